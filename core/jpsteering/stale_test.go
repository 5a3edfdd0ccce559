package jpsteering_test

import (
	"testing"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// Guards against an instance that refuses or places old SYNs after a pause: the
// callers have sent them again, and other instances have placed the flows.
func TestStaleSYN(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want string
	}{
		{"new", 100 * time.Millisecond, "h0>s0 SYN"},
		{"waited in the socket", time.Second, dropLine("h0", jpsteering.DropStale)},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Request, 1)
		hn.log = nil
		pkt := jpsteering.Packet{Inner: callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0), Arrived: hn.now.Add(-tt.age)}
		hn.deliver("h0", pkt)
		hn.expectLog(tt.name, tt.want)
	}
}

// Guards against answers to SYNs that waited in the same way: they would make an
// owner that took over meanwhile believe in a new handshake.
func TestStaleSYNACK(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	pkt := jpsteering.Packet{Inner: synACK(hn.newFlow("s0")), Outer: hn.serverAddress("s0"), Arrived: hn.now.Add(-time.Second)}
	hn.deliver("h1", pkt)
	hn.expectLog("waited in the socket", dropLine("h1", jpsteering.DropStale))
}

// Guards against the same for SYNs that waited for a slot during the pause.
func TestStaleWaitingSYN(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	hn.service.Servers[0].Limits.Slots = 1
	hn.applySettings()
	hn.openFlow("h0", "s0", hn.newFlow("s0"))
	hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
	hn.now = hn.now.Add(3 * time.Second)
	hn.log = nil
	hn.advance(100 * time.Millisecond)
	hn.expectLog("after a pause", dropLine("h0", jpsteering.DropStale))
}
