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

// newHarnessWithDeadOwner returns a harness in which h0, the owner of s0, is dead.
// No other instance has entries of its flows.
func newHarnessWithDeadOwner(t *testing.T) *harness {
	hn := newHarness(t, jpsettings.Stream, 3)
	hn.stopped["h0"] = true
	hn.applyView("h0 dead")
	hn.reportWarm()
	hn.log = nil
	return hn
}

// ownerOf returns the current owner of a server and another running instance.
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

// Guards against payload forwarded to a server that has not confirmed by an answer
// to a probe that it has the flow, and against flows that a new owner cannot locate.
func TestLocateConfirmed(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0")
	owner, other := hn.ownerOf("s0")
	hn.sendFromFabric(other, callerData(fl))
	hn.expectLog("only a probe is sent to the server", other+">"+owner+", "+owner+">s0 ACK")
	hn.sendFromFabric(other, callerData(fl))
	hn.expectLog("packet while the flow is being located", other+">"+owner+", "+dropLine(owner, jpsteering.DropWaiting))
	hn.sendFromServer(owner, "s0", probeACK(fl))
	hn.expectLog("confirmed", owner+">s0 ACK data, "+dropLine(owner, jpsteering.DropProbeAnswer))
	hn.sendFromServer(owner, "s0", serverData(fl))
	hn.expectLog("response", owner+">caller ACK data")
	if ss := hn.serverStatus("s0"); ss.Flows != 1 {
		t.Errorf("%d flows counted, want 1", ss.Flows)
	}
}

// Guards against a request that is dropped because the ACK of the handshake, sent
// just before it, is the packet held while the flow is located.
func TestLocateDataAfterACK(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0")
	owner, _ := hn.ownerOf("s0")
	hn.sendFromFabric(owner, callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
	hn.sendFromFabric(owner, callerData(fl))
	hn.sendFromServer(owner, "s0", probeACK(fl))
	hn.expectLog("confirmed", owner+">s0 ACK, "+owner+">s0 ACK data, "+dropLine(owner, jpsteering.DropProbeAnswer))
}

// Guards against a reset of a flow that another instance has opened under newer
// settings, on the other side of a partition or just after a change. All servers
// that this instance knows answer probes with a RST then.
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
		t.Errorf("flow was reset during a partition: %s", got)
	}
	hn.applyView("")
	if got := denied(); !strings.Contains(got, "RST") {
		t.Errorf("flow was not reset after the partition: %s", got)
	}
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl))
	hn.advance(5 * time.Second)
	hn.applySettings("h0")
	hn.log = nil
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl))
	hn.expectLog("no server has the flow, before and after a change", "h0>s0 ACK, "+dropLine("h0", jpsteering.DropUnconfirmed))
}

// Guards against a reset of a flow that a server still has. The caller gets a reset
// only if all servers answer probes with a RST, twice at an interval of 5 s.
func TestLocateDenied(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0", "s1", "s2")
	owner, _ := hn.ownerOf("s0")
	hn.sendFromFabric(owner, callerData(fl))
	hn.log = nil
	hn.sendFromServer(owner, "s0", probeReset(fl))
	if owner == "h1" {
		hn.expectLog("server at the next rank", "h1>s1 ACK")
	} else {
		hn.expectLog("server at the next rank", owner+">h1, h1>s1 ACK")
	}
	hn.sendFromServer("h1", "s1", probeReset(fl))
	hn.expectLog("server at the last rank", "h1>h2, h2>s2 ACK")
	hn.sendFromServer("h2", "s2", probeReset(fl))
	hn.expectLog("no server has the flow", dropLine("h2", jpsteering.DropUnconfirmed))
	for _, wait := range []time.Duration{4 * time.Second, time.Second} {
		hn.advance(wait)
		hn.sendFromFabric(owner, callerData(fl))
		hn.sendFromServer(owner, "s0", probeReset(fl))
		hn.sendFromServer("h1", "s1", probeReset(fl))
		hn.log = nil
		hn.sendFromServer("h2", "s2", probeReset(fl))
		if wait == time.Second {
			hn.expectLog("no server has the flow, 5 s later", "h2>caller RST, "+eventLine("h2", jpsteering.EventFlowUnlocated))
		} else {
			hn.expectLog("no server has the flow, 4 s later", dropLine("h2", jpsteering.DropUnconfirmed))
		}
	}

	fl = hn.newFlow("s0", "s1", "s2")
	hn.sendFromFabric(owner, callerData(fl))
	hn.advance(time.Second) // s0 does not answer
	hn.sendFromServer("h1", "s1", probeReset(fl))
	hn.log = nil
	hn.sendFromServer("h2", "s2", probeReset(fl))
	hn.expectLog("one server does not answer", dropLine("h2", jpsteering.DropUnconfirmed))
}

// Guards against flows of a dead server that are never reset, and against resets
// when the server answers again or the owner is not confirmed and so cannot tell a
// dead server from one that it cannot reach.
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
		hn.expectLog("probed again", "h0>s0 ACK")
		for range 6 {
			hn.advance(time.Second)
			hn.log = nil
			hn.sendFromFabric("h0", callerData(fl))
		}
		if confirmed {
			// The last probe of the server was 2 s ago.
			hn.expectLog("dead", "h0>caller RST, "+eventLine("h0", jpsteering.EventFlowUnlocated))
		} else {
			hn.expectLog("dead or unreachable", "h0>s0 ACK")
		}
		hn.advance(4 * time.Second)
		hn.log = nil
		hn.sendFromFabric("h0", callerData(fl))
		hn.sendFromServer("h0", "s0", probeACK(fl))
		hn.expectLog("answering again", "h0>s0 ACK, h0>s0 ACK data, "+dropLine("h0", jpsteering.DropProbeAnswer))
	}
}

// Guards against flows that are not located because the server does not answer the
// probe. It answers only if the held packet, from which the probe is built, starts at
// or below the sequence number that it expects next.
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
		t.Errorf("held packet starts at sequence number %d", hd.Sequence)
	}
}

// Guards against payload forwarded to a server that has not confirmed the flow. The
// flow's entry was created for a stale SYN or a stale packet of the server and was
// closed by a reset.
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

// Guards against a flow assigned to a server that has only a half-open connection
// with the same addresses and ports. Its replies have other sequence numbers.
func TestLocateHalfOpen(t *testing.T) {
	hn := newHarnessWithDeadOwner(t)
	fl := hn.newFlow("s0")
	owner, _ := hn.ownerOf("s0")
	hn.sendFromFabric(owner, callerData(fl))
	hn.log = nil
	hn.sendFromServer(owner, "s0", serverSegment(fl, ack, 1<<30, callerISN+1, 0))
	hn.sendFromServer(owner, "s0", serverSegment(fl, ack, serverISN, callerISN+1, 0))
	hn.expectLog("sequence numbers of another connection", dropLine(owner, jpsteering.DropCrossedAnswer)+", "+dropLine(owner, jpsteering.DropCrossedAnswer))
	hn.sendFromServer(owner, "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.expectLog("SYN-ACK of the flow's own handshake", owner+">s0 ACK data, "+owner+">caller SYN ACK")

	hn = newHarnessWithDeadOwner(t)
	fl = hn.newFlow("s0", "s1")
	hn.sendFromFabric(owner, callerData(fl))
	hn.log = nil
	hn.sendFromServer(owner, "s0", serverSegment(fl, syn|ack, 1<<30, callerISN+1, 0))
	if hn.log[len(hn.log)-1] != "h1>s1 ACK" {
		t.Errorf("SYN-ACK of another handshake did not continue the search at s1: %v", hn.log)
	}
}

// Guards against a probe for each packet of an unknown flow although the owner
// knows all flows of the server, and against a missing probe when another instance
// may have admitted flows to the server.
func TestOwnerKnowsAllFlows(t *testing.T) {
	tests := []struct {
		name   string
		setup  func(hn *harness)
		probed bool
	}{
		{"sole owner", func(*harness) {}, false},
		{"unconfirmed for 1 s", func(hn *harness) { hn.confirmAll(0); hn.advance(time.Second); hn.confirmAll(time.Hour) }, true},
		{"another owner for a time", func(hn *harness) { hn.applyView("h0 dead"); hn.applyView("") }, true},
		{"partitioned", addUnreachableDataCentre, true},
		{"process paused", func(hn *harness) { hn.now = hn.now.Add(time.Second) }, true},
		{"server restarted", func(hn *harness) {
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
			t.Errorf("%s: stage %d, complete %v, want the cold stage and true", tt.name, ss.Stage, ss.Complete)
		}
		hn.advance(3 * time.Second)
		tt.setup(hn)
		hn.log = nil
		hn.sendFromFabric("h0", callerData(hn.newFlow("s1", "s0")))
		if tt.probed {
			hn.expectLog(tt.name, "h0>s1 ACK")
		} else {
			hn.expectLog(tt.name, "h0>s0 ACK")
		}
	}
}

// Guards against a reset by an instance whose settings do not have the server that
// has the flow yet. A load of an unknown server shows that a peer has newer ones.
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
			hn.expectLog("load of an unknown server received", dropLine("h0", jpsteering.DropUnconfirmed))
		} else {
			hn.expectLog("no load received", "h0>caller RST, "+eventLine("h0", jpsteering.EventFlowUnlocated))
		}
	}
}

// Guards against packets that reach the caller from a server that does not have
// the flow, and against responses that are dropped after a takeover.
func TestServerReplies(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 3)
	fl := hn.newFlow("s0", "s1")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromServer("h1", "s0", serverData(fl))
	hn.expectLog("relayed to the owner of s0", "h1>h0, h0>caller ACK data")
	hn.sendFromFabric("h0", callerData(fl))
	hn.log = nil
	hn.sendFromServer("h0", "s1", serverData(fl))
	hn.expectLog("no entry at the owner of s1", "h0>h1, h1>caller ACK data")
	hn.deliver("h0", jpsteering.Packet{Inner: serverData(fl), Outer: hn.serverAddress("s0").Next().Next().Next().Next()})
	hn.expectLog("from an address that is no server of the service", dropLine("h0", jpsteering.DropCrossedAnswer))

	hn = newHarnessWithDeadOwner(t)
	fl = hn.newFlow("s0")
	owner, other := hn.ownerOf("s0")
	hn.sendFromServer(other, "s0", probeReset(fl))
	hn.expectLog("RST does not prove that the server has the flow", other+">"+owner+", "+dropLine(owner, jpsteering.DropLateAnswer))
	hn.sendFromServer(other, "s0", probeACK(fl))
	hn.expectLog("ACK does not prove that the server has the flow", other+">"+owner+", "+dropLine(owner, jpsteering.DropProbeAnswer))
	hn.sendFromServer(other, "s0", serverData(fl))
	hn.expectLog("adopted", other+">"+owner+", "+owner+">caller ACK data")
	hn.sendFromFabric(other, callerData(fl))
	hn.expectLog("request of an adopted flow", other+">"+owner+", "+owner+">s0 ACK data")
	if owner == "h1" {
		hn.sendFromServer(owner, "s1", serverData(fl))
		hn.expectLog("from a server that does not have the flow", dropLine(owner, jpsteering.DropCrossedAnswer))
	}
}

// Guards against a crash when an instance that has taken over a server gets a
// response of a flow for which it still has a remote entry from before the takeover.
func TestReplyOfRemoteFlow(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 3)
	hn.applyView("h0 dead")
	owner, _ := hn.ownerOf("s0") // the owner when h0 is dead
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
