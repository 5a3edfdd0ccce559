package jpsteering_test

import (
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// lostOwner returns a rig of which h0, the owner of s0, died. Its flows have no
// entry anywhere.
func newHarnessWithDeadOwner(t *testing.T) *harness {
	hn := newHarness(t, jpsettings.Stream, 3)
	hn.stopped["h0"] = true
	hn.applyView("h0 dead")
	hn.reportWarm()
	hn.log = nil
	return hn
}

// owner returns the instance that owns a server now, and another one.
func (hn *harness) ownerOf(server string) (id, other string) {
	for _, mb := range hn.members {
		for _, os := range hn.instances[mb.ID].OwnedServers() {
			if os.Server.Addr() == hn.serverAddress(server) && !hn.stopped[mb.ID] {
				id = mb.ID
			}
		}
	}
	for _, mb := range hn.members {
		if mb.ID != id && !hn.stopped[mb.ID] {
			other = mb.ID
		}
	}
	return id, other
}

// Guards against payload sent to a server that has not confirmed the flow, and
// against flows that the new owner of a server does not find.
func TestLocateConfirmed(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0")
	owner, other := hn.ownerOf("s0")
	hn.sendFromFabric(other, callerData(fl))
	hn.expectLog("only a probe goes to the server", other+">"+owner+", "+owner+">s0 ACK")
	hn.sendFromFabric(other, callerData(fl))
	hn.expectLog("while located", other+">"+owner+", "+dropLine(owner, jpsteering.DropWaiting))
	hn.sendFromServer(owner, "s0", probeACK(fl))
	hn.expectLog("confirmed", owner+">s0 ACK data, "+dropLine(owner, jpsteering.DropProbeAnswer))
	hn.sendFromServer(owner, "s0", serverData(fl))
	hn.expectLog("answer", owner+">caller ACK data")
	if ss := hn.serverStatus("s0"); ss.Flows != 1 {
		t.Errorf("%d flows counted, want 1", ss.Flows)
	}
}

// Guards against a request that is lost because the end of the handshake, sent
// just before it, is being located.
func TestLocateDataAfterACK(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0")
	owner, _ := hn.ownerOf("s0")
	hn.sendFromFabric(owner, callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
	hn.sendFromFabric(owner, callerData(fl))
	hn.sendFromServer(owner, "s0", probeACK(fl))
	hn.expectLog("confirmed", owner+">s0 ACK, "+owner+">s0 ACK data, "+dropLine(owner, jpsteering.DropProbeAnswer))
}

// Guards against a reset of a flow that another instance opened under newer
// settings, beyond a partition or just after a change: all servers that this one
// knows deny it.
func TestLocateOlderSettings(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	hn.members = append(hn.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Alive, Listed: true})
	hn.stopped["l0"] = true
	hn.applyView("l0 dead")
	fl := hn.newFlow("s0")
	denied := func() string {
		hn.log = nil
		for range 2 {
			hn.sendFromFabric("h0", callerData(fl))
			hn.sendFromServer("h0", "s0", probeReset(fl))
			hn.advance(5 * time.Second)
		}
		return strings.Join(hn.log, ", ")
	}
	if got := denied(); strings.Contains(got, "RST") {
		t.Errorf("reset during a partition: %s", got)
	}
	hn.applyView("")
	if got := denied(); !strings.Contains(got, "RST") {
		t.Errorf("no reset after the partition: %s", got)
	}
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl))
	hn.advance(5 * time.Second)
	hn.applySettings("h0")
	hn.log = nil
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl))
	hn.expectLog("denied before and after a change", "h0>s0 ACK, "+dropLine("h0", jpsteering.DropUnconfirmed))
}

// Guards against a reset of a flow that a server still holds: the caller gets
// one only if all servers deny the flow.
func TestLocateDenied(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0", "s1", "s2")
	owner, _ := hn.ownerOf("s0")
	hn.sendFromFabric(owner, callerData(fl))
	hn.log = nil
	hn.sendFromServer(owner, "s0", probeReset(fl))
	if owner == "h1" {
		hn.expectLog("next rank", "h1>s1 ACK")
	} else {
		hn.expectLog("next rank", owner+">h1, h1>s1 ACK")
	}
	hn.sendFromServer("h1", "s1", probeReset(fl))
	hn.expectLog("last rank", "h1>h2, h2>s2 ACK")
	hn.sendFromServer("h2", "s2", probeReset(fl))
	hn.expectLog("all deny", dropLine("h2", jpsteering.DropUnconfirmed))
	for _, wait := range []time.Duration{4 * time.Second, time.Second} {
		hn.advance(wait)
		hn.sendFromFabric(owner, callerData(fl))
		hn.sendFromServer(owner, "s0", probeReset(fl))
		hn.sendFromServer("h1", "s1", probeReset(fl))
		hn.log = nil
		hn.sendFromServer("h2", "s2", probeReset(fl))
		if wait == time.Second {
			hn.expectLog("all deny, 5 s later", "h2>caller RST, "+eventLine("h2", jpsteering.EventFlowUnlocated))
		} else {
			hn.expectLog("all deny, 4 s later", dropLine("h2", jpsteering.DropUnconfirmed))
		}
	}

	fl = hn.newFlow("s0", "s1", "s2")
	hn.sendFromFabric(owner, callerData(fl))
	hn.advance(time.Second) // s0 does not answer
	hn.sendFromServer("h1", "s1", probeReset(fl))
	hn.log = nil
	hn.sendFromServer("h2", "s2", probeReset(fl))
	hn.expectLog("one is silent", dropLine("h2", jpsteering.DropUnconfirmed))
}

// Guards against flows of a dead server that hang, and against resets when the
// server answers again or the owner cannot know that it is dead.
func TestLocateDeadServer(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		hn := newSizedHarness(t, jpsettings.Stream, 3, 1)
		if !confirmed {
			hn.confirmAll(0)
		}
		fl := hn.newFlow("s0")
		for range 3 {
			hn.sendFromFabric("h0", callerData(fl))
			hn.advance(1200 * time.Millisecond)
		}
		hn.sendFromFabric("h0", callerData(fl))
		hn.advance(10 * time.Second)
		hn.log = nil
		hn.sendFromFabric("h0", callerData(fl))
		hn.expectLog("asked again", "h0>s0 ACK")
		for range 6 {
			hn.advance(time.Second)
			hn.log = nil
			hn.sendFromFabric("h0", callerData(fl))
		}
		if confirmed {
			// The server was asked for the last time 2 s ago.
			hn.expectLog("dead", "h0>caller RST, "+eventLine("h0", jpsteering.EventFlowUnlocated))
		} else {
			hn.expectLog("dead or cut off", "h0>s0 ACK")
		}
		hn.advance(4 * time.Second)
		hn.log = nil
		hn.sendFromFabric("h0", callerData(fl))
		hn.sendFromServer("h0", "s0", probeACK(fl))
		hn.expectLog("back", "h0>s0 ACK, h0>s0 ACK data, "+dropLine("h0", jpsteering.DropProbeAnswer))
	}
}

// Guards against flows that are not found because the held packet is not the
// next one that the server expects: it does not answer the probe then.
func TestLocateLowestSequence(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+101, serverISN+1, 10))
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+101, serverISN+1, 10))
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("probed again", "h0>s0 ACK, "+dropLine("h0", jpsteering.DropWaiting)+", h0>s0 ACK")
	hn.sendFromServer("h0", "s0", probeACK(fl))
	hn.expectLog("confirmed", "h0>s0 ACK data, "+dropLine("h0", jpsteering.DropProbeAnswer))
	var hd jppacket.Header
	if hd.Parse(hn.lastPacket) != nil || hd.Sequence != callerISN+1 {
		t.Errorf("the held packet begins at %d", hd.Sequence)
	}
}

// Guards against payload sent to a server that has not confirmed the flow: its
// entry was made by an old SYN or an old answer and ended by a reset.
func TestPayloadAfterReset(t *testing.T) {
	tests := []struct {
		name  string
		setup func(hn *harness, fl jppacket.Flow)
	}{
		{"half-open", func(hn *harness, fl jppacket.Flow) {
			hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
			hn.sendFromFabric("h0", callerSegment(fl, rst, callerISN+1, 0, 0))
		}},
		{"adopted", func(hn *harness, fl jppacket.Flow) {
			hn.sendFromServer("h0", "s0", serverData(fl))
			hn.sendFromServer("h0", "s0", probeReset(fl))
		}},
	}
	for _, tt := range tests {
		hn := newSizedHarness(t, jpsettings.Request, 1, 1)
		fl := hn.newFlow("s0")
		tt.setup(hn, fl)
		hn.log = nil
		hn.sendFromFabric("h0", callerData(fl))
		hn.expectLog(tt.name, "h0>s0 ACK")
	}
}

// Guards against a half-open connection of the same flow at another server that
// is taken for the flow.
func TestLocateHalfOpen(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0")
	owner, _ := hn.ownerOf("s0")
	hn.sendFromFabric(owner, callerData(fl))
	hn.log = nil
	hn.sendFromServer(owner, "s0", serverSegment(fl, ack, 1<<30, callerISN+1, 0))
	hn.sendFromServer(owner, "s0", serverSegment(fl, ack, serverISN, callerISN+1, 0))
	hn.expectLog("other numbers", dropLine(owner, jpsteering.DropCrossedAnswer)+", "+dropLine(owner, jpsteering.DropCrossedAnswer))
	hn.sendFromServer(owner, "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.expectLog("the flow's own handshake", owner+">s0 ACK data, "+owner+">caller SYN ACK")

	hn = newHarnessWithDeadOwner(t)
	fl = hn.newFlow("s0", "s1")
	hn.sendFromFabric(owner, callerData(fl))
	hn.log = nil
	hn.sendFromServer(owner, "s0", serverSegment(fl, syn|ack, 1<<30, callerISN+1, 0))
	if hn.log[len(hn.log)-1] != "h1>s1 ACK" {
		t.Errorf("another handshake does not deny the flow: %v", hn.log)
	}
}

// Guards against a probe for each stray packet of a server whose flows are all
// known, and against a denial when another instance may have admitted flows.
func TestOwnerKnowsAllFlows(t *testing.T) {
	tests := []struct {
		name  string
		setup func(hn *harness)
		asked bool
	}{
		{"sole owner", func(*harness) {}, false},
		{"not confirmed since", func(hn *harness) { hn.confirmAll(0); hn.advance(time.Second); hn.confirmAll(time.Hour) }, true},
		{"was replaced since", func(hn *harness) { hn.applyView("h0 dead"); hn.applyView("") }, true},
		{"a data centre went silent since", addSilentDataCentre, true},
		{"paused since", func(hn *harness) { hn.now = hn.now.Add(time.Second) }, true},
		{"restarted since", func(hn *harness) {
			for range 3 {
				fl := hn.newFlow("s1")
				hn.openFlow("h0", "s1", fl)
				hn.sendFromServer("h0", "s1", probeReset(fl))
			}
		}, false},
	}
	for _, tt := range tests {
		hn := newSizedHarness(t, jpsettings.Stream, 3, 1)
		hn.advance(15 * time.Second)
		hn.service.Servers = append(hn.service.Servers, hn.serverConfig(1, 0))
		hn.applySettings()
		if ss := hn.serverStatus("s1"); ss.Stage != jpadmission.Cold || !ss.Complete {
			t.Errorf("%s: stage %d, complete %v", tt.name, ss.Stage, ss.Complete)
		}
		hn.advance(3 * time.Second)
		tt.setup(hn)
		hn.log = nil
		hn.sendFromFabric("h0", callerData(hn.newFlow("s1", "s0")))
		if tt.asked {
			hn.expectLog(tt.name, "h0>s1 ACK")
		} else {
			hn.expectLog(tt.name, "h0>s0 ACK")
		}
	}
}

// Guards against a reset by an instance whose settings lack the server that
// holds the flow.
func TestLocateWithOutdatedSettings(t *testing.T) {
	for _, loadsExchanged := range []bool{true, false} {
		hn := newSizedHarness(t, jpsettings.Stream, 2, 1)
		fl := hn.newFlow("s0")
		hn.service.Servers = append(hn.service.Servers, hn.serverConfig(1, 1))
		hn.applySettings("h1")
		hn.sendFromFabric("h0", callerData(fl))
		hn.sendFromServer("h0", "s0", probeReset(fl))
		hn.advance(5 * time.Second)
		if loadsExchanged {
			hn.exchangeLoads()
		}
		hn.sendFromFabric("h0", callerData(fl))
		hn.log = nil
		hn.sendFromServer("h0", "s0", probeReset(fl))
		if loadsExchanged {
			hn.expectLog("a peer has a server unknown here", dropLine("h0", jpsteering.DropUnconfirmed))
		} else {
			hn.expectLog("no sign of newer settings", "h0>caller RST, "+eventLine("h0", jpsteering.EventFlowUnlocated))
		}
	}
}

// Guards against answers that reach the caller from a server that does not hold
// the flow, and against answers lost after a takeover.
func TestServerReplies(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 3)
	fl := hn.newFlow("s0", "s1")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromServer("h1", "s0", serverData(fl))
	hn.expectLog("relayed", "h1>h0, h0>caller ACK data")
	hn.sendFromFabric("h0", callerData(fl))
	hn.log = nil
	hn.sendFromServer("h0", "s1", serverData(fl))
	hn.expectLog("no entry at the other owner", "h0>h1, h1>caller ACK data")
	hn.deliver("h0", jpsteering.Packet{Inner: serverData(fl), Outer: hn.serverAddress("s0").Next().Next().Next().Next()})
	hn.expectLog("no server of the service", dropLine("h0", jpsteering.DropCrossedAnswer))

	hn = newHarnessWithDeadOwner(t)
	fl = hn.newFlow("s0")
	owner, other := hn.ownerOf("s0")
	hn.sendFromServer(other, "s0", probeReset(fl))
	hn.expectLog("a reset proves nothing", other+">"+owner+", "+dropLine(owner, jpsteering.DropLateAnswer))
	hn.sendFromServer(other, "s0", probeACK(fl))
	hn.expectLog("nor does an acknowledgement", other+">"+owner+", "+dropLine(owner, jpsteering.DropProbeAnswer))
	hn.sendFromServer(other, "s0", serverData(fl))
	hn.expectLog("adopted", other+">"+owner+", "+owner+">caller ACK data")
	hn.sendFromFabric(other, callerData(fl))
	hn.expectLog("known", other+">"+owner+", "+owner+">s0 ACK data")
	if owner == "h1" {
		hn.sendFromServer(owner, "s1", serverData(fl))
		hn.expectLog("crossed", dropLine(owner, jpsteering.DropCrossedAnswer))
	}
}

// Guards against a crash when a server answers whose flow the new owner knew to
// be elsewhere: at the server's former owner.
func TestReplyOfMovedFlow(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 3)
	hn.applyView("h0 dead")
	owner, _ := hn.ownerOf("s0") // once h0 is dead
	hn.applyView("")
	hn.reportWarm()
	num := map[string]int{"h1": 1, "h2": 2}[owner]
	hn.service.Servers[num].Draining = true
	hn.applySettings()
	fl := hn.newFlow("s"+owner[1:], "s0")
	hn.openFlow(owner, "s0", fl)
	hn.stopped["h0"] = true
	hn.applyView("h0 dead")
	hn.log = nil
	hn.sendFromServer(owner, "s0", serverData(fl))
	hn.expectLog("adopted", owner+">caller ACK data")
}
