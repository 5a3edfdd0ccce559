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
func refusal(fl jppacket.Flow) []byte { return fromServer(fl, rst|ack, 0, callerISN+1, 0) }

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
		{"request", jpsettings.Request, false, refusal, event("h0", jpsteering.EventShed) + ", h0>caller RST ACK"},
		{"repeatable request", jpsettings.Request, true, refusal, event("h0", jpsteering.EventShed) + ", h0>h1, h1>s1 SYN"},
		{"standing connection", jpsettings.Stream, false, refusal, event("h0", jpsteering.EventShed) + ", h0>h1, h1>s1 SYN"},
		{"reset of a probe", jpsettings.Stream, false, denial, drop("h0", jpsteering.DropLateAnswer)},
	}
	for _, tt := range tests {
		rg := newRig(t, tt.kind, 3)
		rg.sv.Repeatable = tt.repeatable
		rg.apply()
		fl := rg.flow("s0", "s1", "s2")
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		rg.log = nil
		rg.reply("h0", "s0", tt.answer(fl))
		rg.step(tt.name, tt.want)
	}
}

// Guards against a handshake that goes to a second server although the caller
// may have completed it with the first, against a server that gets the SYN back
// that it refused, and against retries without a bound.
func TestShedLimits(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 3)
	fl := rg.flow("s0", "s1", "s2")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.reply("h0", "s0", fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
	rg.log = nil
	rg.reply("h0", "s0", fromServer(fl, rst|ack, serverISN+1, callerISN+1, 0))
	rg.step("answered before", "h0>caller RST ACK")

	rg = newRig(t, jpsettings.Stream, 1)
	fl = rg.flow("s0")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.log = nil
	rg.reply("h0", "s0", refusal(fl))
	rg.step("only server", event("h0", jpsteering.EventShed))

	rg = newRig(t, jpsettings.Stream, 3)
	var flows []jppacket.Flow
	for range 10 {
		fl := rg.flow("s0", "s1")
		flows = append(flows, fl)
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	}
	retried := 0
	for _, fl := range flows {
		rg.log = nil
		rg.reply("h0", "s0", refusal(fl))
		if rg.log[len(rg.log)-1] == "h1>s1 SYN" {
			retried++
		}
	}
	if retried < 3 || retried > 4 {
		t.Errorf("%d retries for 10 flows in a second, want 3 or 4", retried)
	}
}

// Guards against callers refused although a slot becomes free in time, and
// against callers that wait for longer than their first retransmission.
func TestWait(t *testing.T) {
	for _, freed := range []bool{true, false} {
		rg := newRig(t, jpsettings.Request, 1)
		rg.sv.Servers[0].Limits.Slots = 1
		rg.apply()
		busy, fl := rg.flow("s0"), rg.flow("s0")
		rg.open("h0", "s0", busy)
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		rg.wait(700 * time.Millisecond)
		rg.step("no room", drop("h0", jpsteering.DropWaiting))
		if freed {
			rg.reply("h0", "s0", fromServer(busy, fin|ack, serverISN+1, callerISN+1, 0))
			rg.log = nil
		}
		rg.wait(100 * time.Millisecond)
		if freed {
			rg.step("freed", "h0>s0 SYN")
			continue
		}
		rg.step("no room for the first SYN", drop("h0", jpsteering.DropNoRoom))
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		rg.wait(800 * time.Millisecond)
		rg.step("no room for the second", "h0>caller RST ACK, "+event("h0", jpsteering.EventRefused))
	}
}

// freeSlot ends a request, tells the loads and lets one tick pass.
func (rg *rig) freeSlot(id, server string, fl jppacket.Flow) {
	rg.reply(id, server, fromServer(fl, fin|ack, serverISN+1, callerISN+1, 0))
	rg.loads()
	rg.log = nil
	rg.wait(100 * time.Millisecond)
}

// Guards against owners that pass a waiting flow to each other, because each has
// old news of the other's load, until it has been relayed too often.
func TestWaitAtFullServers(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	for ix := range rg.sv.Servers {
		rg.sv.Servers[ix].Limits.Slots = 1
	}
	rg.apply()
	rg.loads()
	busy := rg.flow("s0")
	rg.open("h0", "s0", busy)
	rg.open("h1", "s1", rg.flow("s1"))
	rg.send("h0", fromCaller(rg.flow("s0", "s1"), syn, callerISN, 0, 0))
	rg.wait(400 * time.Millisecond)
	rg.log = nil
	rg.wait(200 * time.Millisecond)
	rg.step("no news", "")
	rg.freeSlot("h0", "s0", busy)
	rg.step("news of a free slot", "h1>h0, h0>s0 SYN")
}

// Guards against a refusal by an owner whose predecessor may have passed the
// SYN on.
func TestNoRefusalAfterTakeover(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	rg.sv.Servers = rg.sv.Servers[:1]
	rg.sv.Servers[0].Draining = true
	rg.apply()
	rg.gone["h0"] = true
	rg.view("h0 dead")
	rg.log = nil
	fl := rg.flow("s0")
	for _, want := range []jpsteering.Reason{jpsteering.DropNoRoom, jpsteering.DropTakeover} {
		rg.send("h1", fromCaller(fl, syn, callerISN, 0, 0))
		rg.wait(800 * time.Millisecond)
		rg.step("just taken over", drop("h1", want))
	}
}

// Guards against refusals while room is missing only for a moment: until the new
// owner of a server has settled, and after the fabric sent packets to a dead
// instance.
func TestNoRefusalWhileRoomReturns(t *testing.T) {
	for _, event := range []string{"h1 leaving", "h3 dead"} {
		rg := newRigOf(t, jpsettings.Request, 4, 3)
		left := slices.DeleteFunc(slices.Clone(rg.members), func(mb jpmember.Member) bool { return mb.ID == "h1" })
		delete(rg.names, rg.sv.Servers[1].Address.Addr())
		for num := 10; ; num++ { // a server of h1 that h2 takes over
			sc := rg.server(num, 1)
			if heir, _ := jptable.Owners(left, "hobart", "desk/"+sc.Name+"@"+sc.Address.String()); heir == "h2" {
				rg.names[sc.Address.Addr()] = "s1"
				rg.sv.Servers[1] = sc
				break
			}
		}
		for num := range rg.sv.Servers {
			rg.sv.Servers[num].Limits.Slots = 1
		}
		rg.apply()
		rg.wait(30 * time.Second)
		for _, server := range []string{"s0", "s1", "s2"} {
			rg.open("h"+server[1:], server, rg.flow(server))
		}
		tryTwice := func(want string) {
			rg.loads()
			rg.log = nil
			fl := rg.flow("s0")
			for range 2 {
				rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
				rg.wait(800 * time.Millisecond)
			}
			if got := strings.Join(rg.log, ", "); !strings.Contains(got, want) {
				t.Errorf("%s: %s, want %s", event, got, want)
			}
		}
		tryTwice("RST ACK")
		rg.view(event)
		tryTwice(drop("h0", jpsteering.DropTakeover))
	}
}

// Guards against waiting flows that go from owner to owner of a full service.
func TestWaitingFlowsTakeToldRoom(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	rg.sv.Servers[0].Limits.Slots, rg.sv.Servers[1].Limits.Slots = 1, 1
	rg.apply()
	busy := rg.flow("s1")
	rg.open("h0", "s0", rg.flow("s0"))
	rg.open("h1", "s1", busy)
	rg.loads()
	for range 3 {
		rg.send("h0", fromCaller(rg.flow("s0"), syn, callerISN, 0, 0))
	}
	rg.wait(100 * time.Millisecond)
	rg.freeSlot("h1", "s1", busy)
	rg.step("room for one", "h0>h1, h1>s1 SYN")
}

// Guards against a flow that is placed a second time because a waiting SYN is
// remembered although a server answered meanwhile.
func TestWaitingFlowPlacedElsewhere(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 1)
	rg.sv.Servers[0].Limits.Slots = 1
	rg.apply()
	busy, fl := rg.flow("s0"), rg.flow("s0")
	rg.open("h0", "s0", busy)
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.reply("h0", "s0", fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
	rg.reply("h0", "s0", fromServer(busy, fin|ack, serverISN+1, callerISN+1, 0))
	rg.log = nil
	rg.wait(time.Second)
	rg.step("not placed again", "")
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
	rg := newRig(t, jpsettings.Request, 1)
	fl := rg.flow("s0")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.reply("h0", "s0", fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
	rg.log = nil
	rg.send("h0", fromCaller(fl, ack, callerISN+101, serverISN+51, 0))
	rg.step("completed through another instance", "h0>s0 ACK")
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Request, 2)
		fl := rg.flow("s0")
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		if tt.answer {
			rg.reply("h0", "s0", fromServer(fl, syn|ack, 1<<30, callerISN+1, 0))
		}
		rg.reply("h1", "s1", fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
		rg.log = nil
		rg.send("h0", data(fl))
		rg.step(tt.name, tt.want)
		rg.reply("h0", "s0", denial(fl))
		rg.step(tt.name, "h0>h1, h1>s1 ACK data")
	}
}

// Guards against an acknowledgement that reaches a caller from a server with
// which it has no connection.
func TestHalfOpenAcknowledges(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 1)
	fl := rg.flow("s0")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.log = nil
	rg.reply("h0", "s0", fromServer(fl, ack, 1<<30, callerISN+1, 0))
	rg.step("dropped", drop("h0", jpsteering.DropCrossedAnswer))
}

// Guards against request data before the handshake.
func TestSYNWithPayload(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	fl := rg.flow("s0")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 10))
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 10))
	rg.step("dropped", drop("h0", jpsteering.DropSYNPayload)+", h0>s0 SYN, "+drop("h0", jpsteering.DropSYNPayload))
}

// Guards against standing connections that wait for a dead server for as long
// as the caller retransmits its SYN.
func TestDeadServer(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 2)
	fl := rg.flow("s0")
	rg.sv.Servers[1].Draining = true
	rg.apply()
	for range 2 {
		rg.send("h0", fromCaller(rg.flow("s0"), syn, callerISN, 0, 0))
	}
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.wait(1100 * time.Millisecond)
	rg.sv.Servers[1].Draining = false
	rg.apply()
	rg.log = nil
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.step("next server", "h0>h1, h1>s1 SYN")
}

// Guards against a table that a flood of handshakes fills, so that no flow can
// be located: handshakes kept for a retry leave room for held packets.
func TestHandshakesLeaveRoom(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	rg.sv.Servers[0].Limits.Connections = 1 << 20
	rg.apply()
	fl := rg.flow("s0")
	for port := range 5000 {
		fl.CallerPort = uint16(port + 10000)
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	}
	rg.log = nil
	fl.CallerPort = 9999
	rg.send("h0", data(fl))
	rg.step("located", "h0>s0 ACK")
}

// Guards against a flood of spoofed flows that fills the table with moved
// entries for minutes, and against losing the entries of real flows meanwhile.
func TestMovedFlood(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 2)
	rg.sv.Servers[0].Limits.Connections = 1
	rg.apply()
	rg.open("h0", "s0", rg.flow("s0"))
	fl := rg.flow("s0")
	rg.open("h0", "s1", fl)

	const spoofed = 1 << 18
	var out []jpsteering.Outcome
	for num := range uint32(2 * spoofed) { // the home of half of them is s0
		other := fl
		binary.BigEndian.PutUint32(other.Caller[:], 10<<24|num)
		out = rg.insts["h0"].HandlePacket(rg.now, jpsteering.Packet{Inner: fromCaller(other, syn, callerISN, 0, 0)}, out[:0])
	}
	if got := rg.insts["h0"].Flows(); got < spoofed/2 {
		t.Fatalf("%d entries, the flood did not arrive", got)
	}
	rg.wait(8 * time.Second)
	// A crowded table holds an eighth of its limit in entries of single packets.
	if got, want := rg.insts["h0"].Flows(), jpsteering.MaxFlows/8+10; got > want {
		t.Errorf("%d entries 8 s after the flood, want at most %d", got, want)
	}
	rg.log = nil
	rg.send("h0", data(fl))
	rg.step("followed entry", "h0>h1, h1>s1 ACK data")
}
