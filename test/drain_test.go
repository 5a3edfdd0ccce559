package test

import (
	"testing"
	"time"
)

// TestDrain guards guarantee G8: a draining server gets no new connections after the
// bound and keeps the established ones. One server is drained by an operator and one
// reports itself as draining, while an instance is paused.
func TestDrain(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 300)
	bd.startCallers("new-connections", derwent.stream, "--standing", "1000", "--ramp", "60", "--alert-every", "250ms")
	before := st.results().Standing.ByServer
	paused := bd.InstancesIn("devonport")[0]
	bd.must(paused.Pause())
	_, err := bd.Operator(bd.InstancesIn("hobart")[0]).SetServer(bd.ctx, derwent.stream, "od-1", true, "test")
	bd.must(err)
	bd.postToServer("od-2", "/lab/drain", map[string]any{"on": true})
	bound := time.Now().Add(removalBound)
	bd.sleep(2 * time.Second)
	bd.must(paused.Resume())
	bd.sleep(removalBound + 2*time.Second)
	for _, name := range []string{"od-1", "od-2"} {
		stats := bd.stats(bd.Server(name))
		if stats.LastAccepted.After(bound) {
			t.Errorf("%s got a new connection %v after the bound", name, stats.LastAccepted.Sub(bound))
		}
		if now := st.results().Standing.ByServer[name]; now != before[name] || now == 0 {
			t.Errorf("%s has %d of its %d connections", name, now, before[name])
		}
	}
	st.awaitAlerts()
	st.wantNoBrokenConnections()
}
