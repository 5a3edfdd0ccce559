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

// Guards against flows that change their server between packets, against a
// second server that gets a retransmitted SYN, and against slots that leak.
func TestFlowLifecycle(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 3)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h2", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("new flow", "h2>h0, h0>s0 SYN")
	hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("retransmitted SYN", "h1>h0, h0>s0 SYN")
	hn.sendFromServer("h2", "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.expectLog("answer at another instance", "h2>h0, h0>caller SYN ACK")
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
	hn.sendFromFabric("h1", callerData(fl))
	hn.expectLog("known flow", "h0>s0 ACK, h1>h0, h0>s0 ACK data")
	hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("late copy of the SYN", "h1>h0, "+dropLine("h0", jpsteering.DropLateAnswer))
	hn.sendFromServer("h0", "s0", serverSegment(fl, fin|ack, serverISN+1, callerISN+101, 50))
	hn.expectLog("answer", "h0>caller FIN ACK data")
	if ss := hn.serverStatus("s0"); ss.Flows != 1 || ss.Requests != 0 {
		t.Errorf("%d flows, %d requests after the answer, want 1 and 0", ss.Flows, ss.Requests)
	}
	hn.sendFromFabric("h0", callerSegment(fl, fin|ack, callerISN+101, serverISN+52, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+52, callerISN+102, 0))
	hn.expectLog("end", "h0>s0 FIN ACK, h0>caller ACK")
	if ss := hn.serverStatus("s0"); ss.Flows != 0 {
		t.Errorf("%d flows after the end", ss.Flows)
	}
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("late copy of the SYN", dropLine("h0", jpsteering.DropLateAnswer))
	hn.advance(8 * time.Second)
	if hn.instances["h0"].Flows() != 0 {
		t.Error("entry of an ended flow stays")
	}
}

// Guards against flows lost between the home and the owner of a later rank, and
// against more than one moved message.
func TestFlowMoved(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 4)
	hn.service.Servers[0].Draining = true
	hn.service.Servers[1].Limits.Slots = 1
	hn.applySettings()
	first, fl, thirdChoice := hn.newFlow("s0", "s1", "s2"), hn.newFlow("s0", "s2"), hn.newFlow("s0", "s1", "s2", "s3")
	hn.openFlow("h0", "s1", first)
	hn.openFlow("h2", "s2", fl)
	hn.sendFromFabric("h0", callerData(first))
	hn.expectLog("at the home", "h0>h1, h1>s1 ACK data")
	hn.sendFromFabric("h1", callerData(fl))
	hn.expectLog("relayed twice", "h1>h0, h0>h2, h2>s2 ACK data")

	// s1 is full, so that the home notes the wrong place for the next flow.
	hn.advance(100 * time.Millisecond)
	hn.sendFromFabric("h3", callerSegment(thirdChoice, syn, callerISN, 0, 0))
	hn.expectLog("chain", "h3>h0, h0>h1, h1>h2, h2>s2 SYN")
	hn.sendFromServer("h2", "s2", serverSegment(thirdChoice, syn|ack, serverISN, callerISN+1, 0))
	hn.sendFromFabric("h3", callerSegment(thirdChoice, ack, callerISN+1, serverISN+1, 0))
	moved := hn.movedMessages[0]
	hn.expectLog("the home is told", "h2>caller SYN ACK, h3>h0, h0>h1, h1>h2, h2 tells h0, h2>s2 ACK")
	hn.sendFromFabric("h3", callerData(thirdChoice))
	hn.expectLog("told once", "h3>h0, h0>h1, h1>h2, h2>s2 ACK data")
	hn.instances["h0"].HandleMoved(hn.now, "h1", moved.Message, nil)
	hn.sendFromFabric("h3", callerData(thirdChoice))
	hn.expectLog("a message of another instance", "h3>h0, h0>h1, h1>h2, h2>s2 ACK data")
	hn.instances["h0"].HandleMoved(hn.now, "h2", moved.Message, nil)
	hn.sendFromFabric("h3", callerData(thirdChoice))
	hn.expectLog("after the message", "h3>h0, h0>h2, h2>s2 ACK data")
}

// Guards against a reset of a flow that both ends have closed but whose last
// segments get lost: an owner with a complete record denies the flow once its
// entry is gone.
func TestClosedFlowEntryKept(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	last := callerSegment(fl, fin|ack, callerISN+1, serverISN+2, 0)
	hn.sendFromServer("h0", "s0", serverSegment(fl, fin|ack, serverISN+1, callerISN+1, 0))
	for range 4 {
		hn.log = nil
		hn.sendFromFabric("h0", last)
		hn.expectLog("passed on", "h0>s0 FIN ACK")
		hn.advance(4 * time.Second)
	}
	hn.applyView("h0 dead", "h0") // not the owner any more
	hn.sendFromFabric("h0", last)
	hn.advance(4 * time.Second)
	if hn.instances["h0"].Flows() != 0 {
		t.Error("entry of an ended flow stays")
	}
}
