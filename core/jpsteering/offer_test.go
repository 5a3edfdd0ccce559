package jpsteering_test

import (
	"encoding/binary"
	"slices"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/core/jptable"
)

// synRefusal is the RST with which a server refuses a SYN.
func synRefusal(fl jppacket.Flow) []byte { return serverSegment(fl, rst|ack, 0, callerISN+1, 0) }

// Guards against requests that are executed twice, and against refusals that are
// not forwarded to the caller. Only a SYN of a repeatable service or of a stream
// service is sent to a second server.
func TestShed(t *testing.T) {
	tests := []struct {
		name       string
		kind       jpsettings.Kind
		repeatable bool
		answer     func(fl jppacket.Flow) []byte
		want       string
	}{
		{"request", jpsettings.Request, false, synRefusal, eventLine("h0", jpsteering.EventShed) + ", h0>caller RST ACK"},
		{"repeatable request", jpsettings.Request, true, synRefusal, eventLine("h0", jpsteering.EventShed) + ", h0>h1, h1>s1 SYN"},
		{"stream connection", jpsettings.Stream, false, synRefusal, eventLine("h0", jpsteering.EventShed) + ", h0>h1, h1>s1 SYN"},
		{"RST in reply to a probe", jpsettings.Stream, false, probeReset, dropLine("h0", jpsteering.DropLateAnswer)},
	}
	for _, tt := range tests {
		hn := newHarness(t, tt.kind, 3)
		hn.service.Repeatable = tt.repeatable
		hn.applySettings()
		fl := hn.newFlow("s0", "s1", "s2")
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.log = nil
		hn.sendFromServer("h0", "s0", tt.answer(fl))
		hn.expectLog(tt.name, tt.want)
	}
}

// Guards against a SYN that is sent to a second server although the caller may have
// completed the handshake with the first, against a SYN sent again to the server
// that refused it, and against unlimited retries.
func TestShedLimits(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 3)
	fl := hn.newFlow("s0", "s1", "s2")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.log = nil
	hn.sendFromServer("h0", "s0", serverSegment(fl, rst|ack, serverISN+1, callerISN+1, 0))
	hn.expectLog("refused after the SYN-ACK", "h0>caller RST ACK")

	hn = newHarness(t, jpsettings.Stream, 1)
	fl = hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.log = nil
	hn.sendFromServer("h0", "s0", synRefusal(fl))
	hn.expectLog("only server", eventLine("h0", jpsteering.EventShed))

	hn = newHarness(t, jpsettings.Stream, 3)
	var flows []jppacket.Flow
	for range 10 {
		fl := hn.newFlow("s0", "s1")
		flows = append(flows, fl)
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	}
	retried := 0
	for _, fl := range flows {
		hn.log = nil
		hn.sendFromServer("h0", "s0", synRefusal(fl))
		if hn.log[len(hn.log)-1] == "h1>s1 SYN" {
			retried++
		}
	}
	if retried < 3 || retried > 4 {
		t.Errorf("%d retries for 10 flows in a second, want 3 or 4", retried)
	}
}

// Guards against a caller that is refused although a slot becomes free while its
// SYN is held, and against a SYN held until after the caller's first
// retransmission. A SYN is refused only after the previous one was dropped.
func TestWaitForSlot(t *testing.T) {
	for _, freed := range []bool{true, false} {
		hn := newHarness(t, jpsettings.Request, 1)
		hn.service.Servers[0].Limits.Slots = 1
		hn.applySettings()
		busy, fl := hn.newFlow("s0"), hn.newFlow("s0")
		hn.openFlow("h0", "s0", busy)
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(700 * time.Millisecond)
		hn.expectLog("SYN held, its copy dropped", dropLine("h0", jpsteering.DropWaiting))
		if freed {
			hn.sendFromServer("h0", "s0", serverSegment(busy, fin|ack, serverISN+1, callerISN+1, 0))
			hn.log = nil
		}
		hn.advance(100 * time.Millisecond)
		if freed {
			hn.expectLog("slot freed", "h0>s0 SYN")
			continue
		}
		hn.expectLog("no slot for the first SYN", dropLine("h0", jpsteering.DropNoRoom))
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(800 * time.Millisecond)
		hn.expectLog("no slot for the second SYN", "h0>caller RST ACK, "+eventLine("h0", jpsteering.EventRefused))
	}
}

// endRequest ends a request at its server, exchanges the loads and advances by one
// tick.
func (hn *harness) endRequest(id, server string, fl jppacket.Flow) {
	hn.sendFromServer(id, server, serverSegment(fl, fin|ack, serverISN+1, callerISN+1, 0))
	hn.exchangeLoads()
	hn.log = nil
	hn.advance(100 * time.Millisecond)
}

// Guards against owners that relay a held SYN to each other, because each has an
// outdated load of the other's server, until the limit of hops is reached.
func TestWaitAtFullServers(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	for ix := range hn.service.Servers {
		hn.service.Servers[ix].Limits.Slots = 1
	}
	hn.applySettings()
	hn.exchangeLoads()
	busy := hn.newFlow("s0")
	hn.openFlow("h0", "s0", busy)
	hn.openFlow("h1", "s1", hn.newFlow("s1"))
	hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0", "s1"), syn, callerISN, 0, 0))
	hn.advance(400 * time.Millisecond)
	hn.log = nil
	hn.advance(200 * time.Millisecond)
	hn.expectLog("no new loads", "")
	hn.endRequest("h0", "s0", busy)
	hn.expectLog("load with a free slot", "h1>h0, h0>s0 SYN")
}

// Guards against a refusal just after a takeover, when the previous owner may have
// forwarded the SYN to the server.
func TestNoRefusalAfterTakeover(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	hn.service.Servers = hn.service.Servers[:1]
	hn.service.Servers[0].Draining = true
	hn.applySettings()
	hn.stopped["h0"] = true
	hn.applyView("h0 dead")
	hn.log = nil
	fl := hn.newFlow("s0")
	for _, want := range []jpsteering.Reason{jpsteering.DropNoRoom, jpsteering.DropTakeover} {
		hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(800 * time.Millisecond)
		hn.expectLog("just taken over", dropLine("h1", want))
	}
}

// Guards against refusals while servers are full only for a short time: when a
// server has a new owner that does not admit all flows yet, and when the fabric
// has sent packets to an instance that is dead.
func TestNoRefusalDuringOwnerChange(t *testing.T) {
	for _, state := range []string{"h1 leaving", "h3 dead"} {
		hn := newSizedHarness(t, jpsettings.Request, 4, 3)
		remaining := slices.DeleteFunc(slices.Clone(hn.members), func(mb jpmember.Member) bool { return mb.ID == "h1" })
		delete(hn.serverNames, hn.service.Servers[1].Address.Addr())
		for num := 10; ; num++ { // find a server of h1 that h2 takes over
			sc := hn.serverConfig(num, 1)
			if successor, _ := jptable.Owners(remaining, "hobart", "desk/"+sc.Name+"@"+sc.Address.String()); successor == "h2" {
				hn.serverNames[sc.Address.Addr()] = "s1"
				hn.service.Servers[1] = sc
				break
			}
		}
		for num := range hn.service.Servers {
			hn.service.Servers[num].Limits.Slots = 1
		}
		hn.applySettings()
		hn.advance(30 * time.Second)
		for _, server := range []string{"s0", "s1", "s2"} {
			hn.openFlow("h"+server[1:], server, hn.newFlow(server))
		}
		sendSYNTwice := func(want string) {
			hn.exchangeLoads()
			hn.log = nil
			fl := hn.newFlow("s0")
			for range 2 {
				hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
				hn.advance(800 * time.Millisecond)
			}
			if got := strings.Join(hn.log, ", "); !strings.Contains(got, want) {
				t.Errorf("%s: %s, want %s", state, got, want)
			}
		}
		sendSYNTwice("RST ACK")
		hn.applyView(state)
		sendSYNTwice(dropLine("h0", jpsteering.DropTakeover))
	}
}

// Guards against more held SYNs relayed to a server than it has free slots
// according to its latest load.
func TestWaitingFlowsLimitedByReportedRoom(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	hn.service.Servers[0].Limits.Slots, hn.service.Servers[1].Limits.Slots = 1, 1
	hn.applySettings()
	busy := hn.newFlow("s1")
	hn.openFlow("h0", "s0", hn.newFlow("s0"))
	hn.openFlow("h1", "s1", busy)
	hn.exchangeLoads()
	for range 3 {
		hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
	}
	hn.advance(100 * time.Millisecond)
	hn.endRequest("h1", "s1", busy)
	hn.expectLog("one free slot", "h0>h1, h1>s1 SYN")
}

// Guards against a flow that is placed twice because its SYN is still held although
// the SYN-ACK of a server has arrived meanwhile.
func TestWaitingFlowPlacedElsewhere(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	hn.service.Servers[0].Limits.Slots = 1
	hn.applySettings()
	busy, fl := hn.newFlow("s0"), hn.newFlow("s0")
	hn.openFlow("h0", "s0", busy)
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.sendFromServer("h0", "s0", serverSegment(busy, fin|ack, serverISN+1, callerISN+1, 0))
	hn.log = nil
	hn.advance(time.Second)
	hn.expectLog("not placed again", "")
}

// Guards against payload that reaches a server with which the caller has no
// connection, after a SYN and its copy were sent to two servers because instances
// had different membership views.
func TestTwoHandshakes(t *testing.T) {
	tests := []struct {
		name   string
		answer bool // the server whose handshake the caller did not complete has sent a SYN-ACK
		want   string
	}{
		{"SYN-ACK sent", true, "h0>s0 RST ACK, h0>s0 ACK"},
		{"no SYN-ACK sent", false, "h0>s0 ACK"},
	}
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.log = nil
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+101, serverISN+51, 0))
	hn.expectLog("completed through another instance", "h0>s0 ACK")
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Request, 2)
		fl := hn.newFlow("s0")
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		if tt.answer {
			hn.sendFromServer("h0", "s0", serverSegment(fl, syn|ack, 1<<30, callerISN+1, 0))
		}
		hn.sendFromServer("h1", "s1", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
		hn.log = nil
		hn.sendFromFabric("h0", callerData(fl))
		hn.expectLog(tt.name, tt.want)
		hn.sendFromServer("h0", "s0", probeReset(fl))
		hn.expectLog(tt.name, "h0>h1, h1>s1 ACK data")
	}
}

// Guards against an ACK that reaches the caller from a server with which it has no
// connection.
func TestACKFromHalfOpenServer(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.log = nil
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, 1<<30, callerISN+1, 0))
	hn.expectLog("ACK of a half-open connection", dropLine("h0", jpsteering.DropCrossedAnswer))
}

// Guards against request data in a SYN: a SYN that is refused must never have
// carried a request.
func TestSYNWithPayload(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 10))
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 10))
	hn.expectLog("SYNs with payload dropped", dropLine("h0", jpsteering.DropSYNPayload)+", h0>s0 SYN, "+dropLine("h0", jpsteering.DropSYNPayload))
}

// Guards against the SYN of a stream service that is sent to an unresponsive server
// for as long as the caller retransmits it.
func TestUnresponsiveServer(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	fl := hn.newFlow("s0")
	hn.service.Servers[1].Draining = true
	hn.applySettings()
	for range 2 {
		hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
	}
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.advance(1100 * time.Millisecond)
	hn.service.Servers[1].Draining = false
	hn.applySettings()
	hn.log = nil
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("next server", "h0>h1, h1>s1 SYN")
}

// Guards against a SYN flood that uses up the limit of held packets, so that no
// flow can be located. SYNs kept for a retry may use only a part of the limit.
func TestHandshakesLeaveRoomForLocating(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	hn.service.Servers[0].Limits.Connections = 1 << 20
	hn.applySettings()
	fl := hn.newFlow("s0")
	for port := range 5000 {
		fl.CallerPort = uint16(port + 10000)
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	}
	hn.log = nil
	fl.CallerPort = 9999
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("located", "h0>s0 ACK")
}

// Guards against a SYN flood from spoofed addresses that fills the flow table with
// remote entries for minutes, and against the removal of a remote entry that an
// established flow needs.
func TestRemoteEntryFlood(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	hn.service.Servers[0].Limits.Connections = 1
	hn.applySettings()
	hn.openFlow("h0", "s0", hn.newFlow("s0"))
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s1", fl)

	const spoofed = 1 << 18
	var out []jpsteering.Outcome
	for num := range uint32(2 * spoofed) { // s0 is the home server of half of them
		other := fl
		binary.BigEndian.PutUint32(other.Caller[:], 10<<24|num)
		out = hn.instances["h0"].HandlePacket(hn.now, jpsteering.Packet{Inner: callerSegment(other, syn, callerISN, 0, 0)}, out[:0])
	}
	if got := hn.instances["h0"].Flows(); got < spoofed/2 {
		t.Fatalf("%d entries, too few for a flood", got)
	}
	hn.advance(8 * time.Second)
	// Remote entries that only one packet has used expire early while the table has
	// more of them than an eighth of its limit.
	if got, want := hn.instances["h0"].Flows(), jpsteering.MaxFlows/8+10; got > want {
		t.Errorf("%d entries 8 s after the flood, want at most %d", got, want)
	}
	hn.log = nil
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("remote entry of an established flow", "h0>h1, h1>s1 ACK data")
}
