package jpsteering_test

import (
	"fmt"
	"testing"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

func dropLine(id string, why jpsteering.Reason) string  { return fmt.Sprintf("%s drop %d", id, why) }
func eventLine(id string, why jpsteering.Reason) string { return fmt.Sprintf("%s event %d", id, why) }

// Guards against packets of one flow that reach different servers, also when the
// SYN is retransmitted, and against slots and entries that are not freed when the
// flow ends. Packets arrive at the owner of the home server and at others.
func TestFlowLifecycle(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 3)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h2", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("new flow", "h2>h0, h0>s0 SYN")
	hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("retransmitted SYN", "h1>h0, h0>s0 SYN")
	hn.sendFromServer("h2", "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.expectLog("SYN-ACK at another instance", "h2>h0, h0>caller SYN ACK")
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
	hn.sendFromFabric("h1", callerData(fl))
	hn.expectLog("established flow", "h0>s0 ACK, h1>h0, h0>s0 ACK data")
	hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("late copy of the SYN", "h1>h0, "+dropLine("h0", jpsteering.DropLateAnswer))
	hn.sendFromServer("h0", "s0", serverSegment(fl, fin|ack, serverISN+1, callerISN+101, 50))
	hn.expectLog("response", "h0>caller FIN ACK data")
	if ss := hn.serverStatus("s0"); ss.Flows != 1 || ss.Requests != 0 {
		t.Errorf("%d flows, %d requests after the response, want 1 and 0", ss.Flows, ss.Requests)
	}
	hn.sendFromFabric("h0", callerSegment(fl, fin|ack, callerISN+101, serverISN+52, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+52, callerISN+102, 0))
	hn.expectLog("caller's FIN", "h0>s0 FIN ACK, h0>caller ACK")
	if ss := hn.serverStatus("s0"); ss.Flows != 0 {
		t.Errorf("%d flows counted after both FINs, want 0", ss.Flows)
	}
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("late copy of the SYN", dropLine("h0", jpsteering.DropLateAnswer))
	hn.advance(8 * time.Second)
	if hn.instances["h0"].Flows() != 0 {
		t.Error("entry of a closed flow was not removed")
	}
}

// Guards against packets that are not relayed from the owner of the home server
// to the owner of the server that holds the flow, and against more than one moved
// message per flow. The flow is at a later rank because earlier servers drain or
// are full.
func TestFlowMoved(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 4)
	hn.service.Servers[0].Draining = true
	hn.service.Servers[1].Limits.Slots = 1
	hn.applySettings()
	first, fl, thirdChoice := hn.newFlow("s0", "s1", "s2"), hn.newFlow("s0", "s2"), hn.newFlow("s0", "s1", "s2", "s3")
	hn.openFlow("h0", "s1", first)
	hn.openFlow("h2", "s2", fl)
	hn.sendFromFabric("h0", callerData(first))
	hn.expectLog("at the owner of the home server", "h0>h1, h1>s1 ACK data")
	hn.sendFromFabric("h1", callerData(fl))
	hn.expectLog("relayed through the owner of the home server", "h1>h0, h0>h2, h2>s2 ACK data")

	// s1 is full: h0, the owner of the home server, records the next flow at s1, but
	// h1 relays it to h2.
	hn.advance(100 * time.Millisecond)
	hn.sendFromFabric("h3", callerSegment(thirdChoice, syn, callerISN, 0, 0))
	hn.expectLog("SYN relayed by h1", "h3>h0, h0>h1, h1>h2, h2>s2 SYN")
	hn.sendFromServer("h2", "s2", serverSegment(thirdChoice, syn|ack, serverISN, callerISN+1, 0))
	hn.sendFromFabric("h3", callerSegment(thirdChoice, ack, callerISN+1, serverISN+1, 0))
	moved := hn.movedMessages[0]
	hn.expectLog("owner of the home server notified", "h2>caller SYN ACK, h3>h0, h0>h1, h1>h2, h2 notifies h0, h2>s2 ACK")
	hn.sendFromFabric("h3", callerData(thirdChoice))
	hn.expectLog("notified only once", "h3>h0, h0>h1, h1>h2, h2>s2 ACK data")
	hn.instances["h0"].HandleMoved(hn.now, "h1", moved.Message, nil)
	hn.sendFromFabric("h3", callerData(thirdChoice))
	hn.expectLog("moved message from an instance that does not own s2", "h3>h0, h0>h1, h1>h2, h2>s2 ACK data")
	hn.instances["h0"].HandleMoved(hn.now, "h2", moved.Message, nil)
	hn.sendFromFabric("h3", callerData(thirdChoice))
	hn.expectLog("after the moved message", "h3>h0, h0>h2, h2>s2 ACK data")
}

// Guards against a reset of a flow that both ends have closed while they still
// retransmit their last segments. An owner that knows all flows of its server
// treats the flow as unknown once its entry is removed.
func TestClosedFlowEntryKept(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	last := callerSegment(fl, fin|ack, callerISN+1, serverISN+2, 0)
	hn.sendFromServer("h0", "s0", serverSegment(fl, fin|ack, serverISN+1, callerISN+1, 0))
	for range 4 {
		hn.log = nil
		hn.sendFromFabric("h0", last)
		hn.expectLog("caller's last segment", "h0>s0 FIN ACK")
		hn.advance(4 * time.Second)
	}
	hn.applyView("h0 dead", "h0") // h0 no longer owns s0
	hn.sendFromFabric("h0", last)
	hn.advance(4 * time.Second)
	if hn.instances["h0"].Flows() != 0 {
		t.Error("entry of a closed flow was not removed")
	}
}
