package test

import (
	"slices"
	"testing"
	"time"

	"jacinthpass/lab/jpcaller"
	"jacinthpass/lab/jpcluster"
)

// wantNoTraffic checks guarantee G4: after a time, no packet reached the servers of a
// data centre, polls of their load endpoints included, and none was relayed to its
// instances, as happens while its servers are still in a rank table.
func (bd *testbed) wantNoTraffic(dc string, after time.Time) {
	bd.t.Helper()
	var targets []string
	for _, sr := range bd.ServersIn(dc) {
		targets = append(targets, sr.Config.Name, sr.Config.Name+"-load")
	}
	for _, in := range bd.InstancesIn(dc) {
		targets = append(targets, in.ID+"-relay")
	}
	for _, target := range targets {
		if packets, last := bd.packetsTo(target); last.After(after) {
			bd.t.Errorf("%s got a packet %v after the bound (%d in all)", target, last.Sub(after), packets)
		}
	}
}

// wantServedShare checks that at least perMille of 1000 requests attempted between two
// times were served. Requests that a server of the removed data centre accepted, the
// callers in acceptedBy, may be reset until the bound and count as served. No other
// request may be reset in that time.
func wantServedShare(ld *loadGenerator, rs jpcaller.Results, acceptedBy map[string]string, perMille int, from, bound, to time.Time) {
	ld.bd.t.Helper()
	attempted, served := sumSeconds(rs, from, to)
	for _, end := range rs.Requests.Endings {
		switch {
		case end.Kind != jpcaller.Reset || end.At.Before(from) || end.At.After(bound):
		case acceptedBy[end.Caller] != "":
			served++
		default:
			ld.bd.t.Errorf("%s: request of %s was reset although its server is not in the removed data centre", ld.name, end.Caller)
		}
	}
	if attempted == 0 || served*1000 < attempted*perMille {
		ld.bd.t.Errorf("%s: %d of %d new requests served, want %d of 1000: %s", ld.name, served, attempted, perMille, summariseEndings(rs.Requests.Endings))
	}
}

// wantNoOverload checks guarantee G3: no cold server got more than its cold limits.
func (bd *testbed) wantNoOverload(servers []*jpcluster.Server) {
	bd.t.Helper()
	for _, sr := range jpcluster.RunningServers(servers) {
		if stats := bd.stats(sr); stats.Overloads != 0 {
			bd.t.Errorf("%s was overloaded %d times while cold, last at %s; peaks while cold: %d connections, %d requests",
				sr.Config.Name, stats.Overloads, stats.LastOverload.Format("15:04:05.000"), stats.PeakColdConnections, stats.PeakColdRunning)
		}
	}
}

// dataCentreRemoval is a test case of runDataCentreRemoval.
type dataCentreRemoval struct {
	setup          func(*testbed) // adds the other fault
	resetBound     time.Duration  // within which the connections of its servers are reset, from acceptance of the change
	allReset       bool           // whether no caller may keep one of these connections open
	readRate       float64        // requests per second
	orderRate      float64        // requests per second
	servedPerMille int            // new requests that must be served, of 1000
}

// TestDataCentreOut guards guarantees G4 and G3 while the store is slow and loses
// answers: a data centre that is taken out gets no packets after the bound, flows of
// the other data centres are unaffected, and its servers, cold when it is brought
// back, are not overloaded.
func TestDataCentreOut(t *testing.T) {
	runDataCentreRemoval(t, dataCentreRemoval{resetBound: removalBound, readRate: 60, orderRate: 40, servedPerMille: 999, setup: func(bd *testbed) {
		bd.setStoreFaults(map[string]any{"delay": "200ms", "lose_answers_every": 2})
	}})
}

// TestDataCentreOutPaused checks the same while an instance of another data centre is
// paused.
func TestDataCentreOutPaused(t *testing.T) {
	runDataCentreRemoval(t, dataCentreRemoval{resetBound: removalBound, readRate: 60, orderRate: 40, servedPerMille: 999, setup: func(bd *testbed) {
		in := bd.InstancesIn("lj-b")[0]
		bd.must(in.Pause())
		time.AfterFunc(2*time.Second, func() { _ = in.Resume() })
	}})
}

// TestDataCentreOutBadNetwork checks the same while packets are duplicated, reordered,
// delayed and lost everywhere. Resets may be lost, and some handshakes lose so many
// packets that the callers give up after 5 s. Requests occupy their slots several
// times longer than without the fault, so fewer are sent.
func TestDataCentreOutBadNetwork(t *testing.T) {
	runDataCentreRemoval(t, dataCentreRemoval{resetBound: awaitTimeout, readRate: 15, orderRate: 15, servedPerMille: 980, setup: func(bd *testbed) { bd.addFault(impairedNetwork) }})
}

// TestDataCentreOutResets guards against callers that get no reset when their flow is
// given up, and keep waiting for alerts (design section 1.2).
func TestDataCentreOutResets(t *testing.T) {
	runDataCentreRemoval(t, dataCentreRemoval{resetBound: removalBound, allReset: true, readRate: 60, orderRate: 40, servedPerMille: 999, setup: func(*testbed) {}})
}

// runDataCentreRemoval takes a data centre out and brings it back in, while the fault
// of the test case is present.
func runDataCentreRemoval(t *testing.T, dr dataCentreRemoval) {
	bd := startTestbed(t, popravek, options{warm: true})
	st := bd.startStanding("standing", popravek.stream, 300)
	bd.startCallers("new-connections", popravek.stream, "--standing", "2000", "--ramp", "40", "--alert-every", "250ms")
	reads := bd.startRequests("reads", popravek.reads, dr.readRate)
	orders := bd.startRequests("orders", popravek.orders, dr.orderRate)
	// About ten of these requests are open at any time, far fewer than the slots of the
	// servers.
	slow := bd.startRequests("slow", popravek.stream, 30, "--work", "300ms")
	slow.awaitServed(10)
	removed := bd.ServersIn("lj-a")
	op := bd.Operator(bd.InstancesIn("lj-c")[0])
	begin := time.Now()
	dr.setup(bd)
	_, err := op.SetDataCentre(bd.ctx, "lj-a", true, "test")
	bd.must(err)
	accepted := time.Now()
	bound := accepted.Add(removalBound)
	bd.sleep(removalBound + 2*time.Second)
	bd.wantNoTraffic("lj-a", bound)
	acceptedBy := bd.acceptedBy(removed)
	for _, sr := range removed {
		if open := st.results().Standing.ByServer[sr.Config.Name]; dr.allReset && open != 0 {
			t.Errorf("%d connections at %s got no reset", open, sr.Config.Name)
		}
	}
	wantServedShare(slow, slow.finish(), acceptedBy, dr.servedPerMille, begin, bound, time.Now())
	for _, end := range st.results().Standing.Endings {
		if late := end.At.Sub(accepted); end.Kind != jpcaller.Reset || late > dr.resetBound || !slices.Contains(removed, bd.Server(end.Server)) {
			t.Errorf("connection at %s ended as %s %v after acceptance", end.Server, end.Kind, late)
		}
	}
	if st.results().Standing.Broken == 0 {
		t.Error("no connection to the removed data centre ended")
	}
	for _, sr := range removed {
		bd.must(jpcluster.PostJSON(bd.ctx, sr.Control+"/lab/cold", map[string]bool{"drop_connections": true}, nil))
	}
	_, err = op.SetDataCentre(bd.ctx, "lj-a", false, "test")
	bd.must(err)
	bd.await(awaitTimeout, func() string {
		for _, sr := range removed {
			if stats, err := sr.Stats(bd.ctx); err != nil || !stats.LastAccepted.After(bound) {
				return sr.Config.Name + " got no flow after its data centre was brought back in"
			}
		}
		return ""
	})
	end := time.Now()
	bd.wantNoOverload(removed)
	for _, ld := range []*loadGenerator{reads, orders} {
		rs := ld.finish()
		wantServedShare(ld, rs, acceptedBy, dr.servedPerMille, begin, bound, end)
		ld.checkExecutions(rs, bd.executions())
	}
}
