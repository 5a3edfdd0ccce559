package jpsteering_test

import (
	"testing"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// Guards against SYNs that are refused or placed after they have waited in the
// socket of a paused process. By then the callers have retransmitted them and
// other instances have placed the flows.
func TestStaleSYN(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want string
	}{
		{"fresh", 100 * time.Millisecond, "h0>s0 SYN"},
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

// Guards against SYN-ACKs that have waited in the socket of a paused process. An
// owner that took over the server meanwhile would take one for the SYN-ACK of a
// new handshake.
func TestStaleSYNACK(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	pkt := jpsteering.Packet{Inner: synACK(hn.newFlow("s0")), Outer: hn.serverAddress("s0"), Arrived: hn.now.Add(-time.Second)}
	hn.deliver("h1", pkt)
	hn.expectLog("waited in the socket", dropLine("h1", jpsteering.DropStale))
}

// Guards against SYNs that are refused or placed after the process was paused
// while they were held until a slot is free.
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
