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

// refusal is a server's reset in answer to a SYN.
func synRefusal(fl jppacket.Flow) []byte { return serverSegment(fl, rst|ack, 0, callerISN+1, 0) }

// Guards against requests that run twice and against refusals that the caller
// does not hear of: only a SYN of a service that may be repeated, or of a
// standing connection, goes to a second server.
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
		{"standing connection", jpsettings.Stream, false, synRefusal, eventLine("h0", jpsteering.EventShed) + ", h0>h1, h1>s1 SYN"},
		{"reset of a probe", jpsettings.Stream, false, probeReset, dropLine("h0", jpsteering.DropLateAnswer)},
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

// Guards against a handshake that goes to a second server although the caller
// may have completed it with the first, against a server that gets the SYN back
// that it refused, and against retries without a bound.
func TestShedLimits(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 3)
	fl := hn.newFlow("s0", "s1", "s2")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.log = nil
	hn.sendFromServer("h0", "s0", serverSegment(fl, rst|ack, serverISN+1, callerISN+1, 0))
	hn.expectLog("answered before", "h0>caller RST ACK")

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

// Guards against callers refused although a slot becomes free in time, and
// against callers that wait for longer than their first retransmission.
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
		hn.expectLog("no room", dropLine("h0", jpsteering.DropWaiting))
		if freed {
			hn.sendFromServer("h0", "s0", serverSegment(busy, fin|ack, serverISN+1, callerISN+1, 0))
			hn.log = nil
		}
		hn.advance(100 * time.Millisecond)
		if freed {
			hn.expectLog("freed", "h0>s0 SYN")
			continue
		}
		hn.expectLog("no room for the first SYN", dropLine("h0", jpsteering.DropNoRoom))
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(800 * time.Millisecond)
		hn.expectLog("no room for the second", "h0>caller RST ACK, "+eventLine("h0", jpsteering.EventRefused))
	}
}

// freeSlot ends a request, tells the loads and lets one tick pass.
func (hn *harness) endRequest(id, server string, fl jppacket.Flow) {
	hn.sendFromServer(id, server, serverSegment(fl, fin|ack, serverISN+1, callerISN+1, 0))
	hn.exchangeLoads()
	hn.log = nil
	hn.advance(100 * time.Millisecond)
}

// Guards against owners that pass a waiting flow to each other, because each has
// old news of the other's load, until it has been relayed too often.
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
	hn.expectLog("no news", "")
	hn.endRequest("h0", "s0", busy)
	hn.expectLog("news of a free slot", "h1>h0, h0>s0 SYN")
}

// Guards against a refusal by an owner whose predecessor may have passed the
// SYN on.
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

// Guards against refusals while room is missing only for a moment: until the new
// owner of a server has settled, and after the fabric sent packets to a dead
// instance.
func TestNoRefusalDuringOwnerChange(t *testing.T) {
	for _, state := range []string{"h1 leaving", "h3 dead"} {
		hn := newSizedHarness(t, jpsettings.Request, 4, 3)
		remaining := slices.DeleteFunc(slices.Clone(hn.members), func(mb jpmember.Member) bool { return mb.ID == "h1" })
		delete(hn.serverNames, hn.service.Servers[1].Address.Addr())
		for num := 10; ; num++ { // a server of h1 that h2 takes over
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

// Guards against waiting flows that go from owner to owner of a full service.
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
	hn.expectLog("room for one", "h0>h1, h1>s1 SYN")
}

// Guards against a flow that is placed a second time because a waiting SYN is
// remembered although a server answered meanwhile.
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
// connection: a SYN and its copy went to two servers while views differed.
func TestTwoHandshakes(t *testing.T) {
	tests := []struct {
		name   string
		answer bool // of the server whose handshake the caller did not take
		want   string
	}{
		{"answered", true, "h0>s0 RST ACK, h0>s0 ACK"},
		{"not answered", false, "h0>s0 ACK"},
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

// Guards against an acknowledgement that reaches a caller from a server with
// which it has no connection.
func TestACKFromHalfOpenServer(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.log = nil
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, 1<<30, callerISN+1, 0))
	hn.expectLog("dropped", dropLine("h0", jpsteering.DropCrossedAnswer))
}

// Guards against request data before the handshake.
func TestSYNWithPayload(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 10))
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 10))
	hn.expectLog("dropped", dropLine("h0", jpsteering.DropSYNPayload)+", h0>s0 SYN, "+dropLine("h0", jpsteering.DropSYNPayload))
}

// Guards against standing connections that wait for a dead server for as long
// as the caller retransmits its SYN.
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

// Guards against a table that a flood of handshakes fills, so that no flow can
// be located: handshakes kept for a retry leave room for held packets.
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

// Guards against a flood of spoofed flows that fills the table with moved
// entries for minutes, and against losing the entries of real flows meanwhile.
func TestMovedEntryFlood(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	hn.service.Servers[0].Limits.Connections = 1
	hn.applySettings()
	hn.openFlow("h0", "s0", hn.newFlow("s0"))
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s1", fl)

	const spoofed = 1 << 18
	var out []jpsteering.Outcome
	for num := range uint32(2 * spoofed) { // the home of half of them is s0
		other := fl
		binary.BigEndian.PutUint32(other.Caller[:], 10<<24|num)
		out = hn.instances["h0"].HandlePacket(hn.now, jpsteering.Packet{Inner: callerSegment(other, syn, callerISN, 0, 0)}, out[:0])
	}
	if got := hn.instances["h0"].Flows(); got < spoofed/2 {
		t.Fatalf("%d entries, the flood did not arrive", got)
	}
	hn.advance(8 * time.Second)
	// A crowded table holds an eighth of its limit in entries of single packets.
	if got, want := hn.instances["h0"].Flows(), jpsteering.MaxFlows/8+10; got > want {
		t.Errorf("%d entries 8 s after the flood, want at most %d", got, want)
	}
	hn.log = nil
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("followed entry", "h0>h1, h1>s1 ACK data")
}
