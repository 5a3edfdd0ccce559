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
func lostOwner(t *testing.T) *rig {
	rg := newRig(t, jpsettings.Stream, 3)
	rg.gone["h0"] = true
	rg.view("h0 dead")
	rg.report()
	rg.log = nil
	return rg
}

// owner returns the instance that owns a server now, and another one.
func (rg *rig) owner(server string) (id, other string) {
	for _, mb := range rg.members {
		for _, os := range rg.insts[mb.ID].OwnedServers() {
			if os.Server.Addr() == rg.address(server) && !rg.gone[mb.ID] {
				id = mb.ID
			}
		}
	}
	for _, mb := range rg.members {
		if mb.ID != id && !rg.gone[mb.ID] {
			other = mb.ID
		}
	}
	return id, other
}

// Guards against payload sent to a server that has not confirmed the flow, and
// against flows that the new owner of a server does not find.
func TestLocate(t *testing.T) {
	rg := lostOwner(t)
	fl := rg.flow("s0")
	own, other := rg.owner("s0")
	rg.send(other, data(fl))
	rg.step("only a probe goes to the server", other+">"+own+", "+own+">s0 ACK")
	rg.send(other, data(fl))
	rg.step("while located", other+">"+own+", "+drop(own, jpsteering.DropWaiting))
	rg.reply(own, "s0", probed(fl))
	rg.step("confirmed", own+">s0 ACK data, "+drop(own, jpsteering.DropProbeAnswer))
	rg.reply(own, "s0", answer(fl))
	rg.step("answer", own+">caller ACK data")
	if ss := rg.status("s0"); ss.Flows != 1 {
		t.Errorf("%d flows counted, want 1", ss.Flows)
	}
}

// Guards against a request that is lost because the end of the handshake, sent
// just before it, is being located.
func TestLocateBehindAcknowledgement(t *testing.T) {
	rg := lostOwner(t)
	fl := rg.flow("s0")
	own, _ := rg.owner("s0")
	rg.send(own, fromCaller(fl, ack, callerISN+1, serverISN+1, 0))
	rg.send(own, data(fl))
	rg.reply(own, "s0", probed(fl))
	rg.step("confirmed", own+">s0 ACK, "+own+">s0 ACK data, "+drop(own, jpsteering.DropProbeAnswer))
}

// Guards against a reset of a flow that another instance opened under newer
// settings, beyond a partition or just after a change: all servers that this one
// knows deny it.
func TestLocateOlderSettings(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	rg.members = append(rg.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Alive, Listed: true})
	rg.gone["l0"] = true
	rg.view("l0 dead")
	fl := rg.flow("s0")
	denied := func() string {
		rg.log = nil
		for range 2 {
			rg.send("h0", data(fl))
			rg.reply("h0", "s0", denial(fl))
			rg.wait(5 * time.Second)
		}
		return strings.Join(rg.log, ", ")
	}
	if got := denied(); strings.Contains(got, "RST") {
		t.Errorf("reset during a partition: %s", got)
	}
	rg.view("")
	if got := denied(); !strings.Contains(got, "RST") {
		t.Errorf("no reset after the partition: %s", got)
	}
	rg.send("h0", data(fl))
	rg.reply("h0", "s0", denial(fl))
	rg.wait(5 * time.Second)
	rg.apply("h0")
	rg.log = nil
	rg.send("h0", data(fl))
	rg.reply("h0", "s0", denial(fl))
	rg.step("denied before and after a change", "h0>s0 ACK, "+drop("h0", jpsteering.DropUnconfirmed))
}

// Guards against a reset of a flow that a server still holds: the caller gets
// one only if all servers deny the flow.
func TestLocateDenied(t *testing.T) {
	rg := lostOwner(t)
	fl := rg.flow("s0", "s1", "s2")
	own, _ := rg.owner("s0")
	rg.send(own, data(fl))
	rg.log = nil
	rg.reply(own, "s0", denial(fl))
	if own == "h1" {
		rg.step("next rank", "h1>s1 ACK")
	} else {
		rg.step("next rank", own+">h1, h1>s1 ACK")
	}
	rg.reply("h1", "s1", denial(fl))
	rg.step("last rank", "h1>h2, h2>s2 ACK")
	rg.reply("h2", "s2", denial(fl))
	rg.step("all deny", drop("h2", jpsteering.DropUnconfirmed))
	for _, wait := range []time.Duration{4 * time.Second, time.Second} {
		rg.wait(wait)
		rg.send(own, data(fl))
		rg.reply(own, "s0", denial(fl))
		rg.reply("h1", "s1", denial(fl))
		rg.log = nil
		rg.reply("h2", "s2", denial(fl))
		if wait == time.Second {
			rg.step("all deny, 5 s later", "h2>caller RST, "+event("h2", jpsteering.EventFlowUnlocated))
		} else {
			rg.step("all deny, 4 s later", drop("h2", jpsteering.DropUnconfirmed))
		}
	}

	fl = rg.flow("s0", "s1", "s2")
	rg.send(own, data(fl))
	rg.wait(time.Second) // s0 does not answer
	rg.reply("h1", "s1", denial(fl))
	rg.log = nil
	rg.reply("h2", "s2", denial(fl))
	rg.step("one is silent", drop("h2", jpsteering.DropUnconfirmed))
}

// Guards against flows of a dead server that hang, and against resets when the
// server answers again or the owner cannot know that it is dead.
func TestLocateDeadServer(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		rg := newRigOf(t, jpsettings.Stream, 3, 1)
		if !confirmed {
			rg.confirm(0)
		}
		fl := rg.flow("s0")
		for range 3 {
			rg.send("h0", data(fl))
			rg.wait(1200 * time.Millisecond)
		}
		rg.send("h0", data(fl))
		rg.wait(10 * time.Second)
		rg.log = nil
		rg.send("h0", data(fl))
		rg.step("asked again", "h0>s0 ACK")
		for range 6 {
			rg.wait(time.Second)
			rg.log = nil
			rg.send("h0", data(fl))
		}
		if confirmed {
			// The server was asked for the last time 2 s ago.
			rg.step("dead", "h0>caller RST, "+event("h0", jpsteering.EventFlowUnlocated))
		} else {
			rg.step("dead or cut off", "h0>s0 ACK")
		}
		rg.wait(4 * time.Second)
		rg.log = nil
		rg.send("h0", data(fl))
		rg.reply("h0", "s0", probed(fl))
		rg.step("back", "h0>s0 ACK, h0>s0 ACK data, "+drop("h0", jpsteering.DropProbeAnswer))
	}
}

// Guards against flows that are not found because the held packet is not the
// next one that the server expects: it does not answer the probe then.
func TestLocateEarliest(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.send("h0", fromCaller(fl, ack, callerISN+101, serverISN+1, 10))
	rg.send("h0", fromCaller(fl, ack, callerISN+101, serverISN+1, 10))
	rg.send("h0", data(fl))
	rg.step("probed again", "h0>s0 ACK, "+drop("h0", jpsteering.DropWaiting)+", h0>s0 ACK")
	rg.reply("h0", "s0", probed(fl))
	rg.step("confirmed", "h0>s0 ACK data, "+drop("h0", jpsteering.DropProbeAnswer))
	var hd jppacket.Header
	if hd.Parse(rg.last) != nil || hd.Sequence != callerISN+1 {
		t.Errorf("the held packet begins at %d", hd.Sequence)
	}
}

// Guards against payload sent to a server that has not confirmed the flow: its
// entry was made by an old SYN or an old answer and ended by a reset.
func TestPayloadAfterReset(t *testing.T) {
	tests := []struct {
		name  string
		setup func(rg *rig, fl jppacket.Flow)
	}{
		{"half-open", func(rg *rig, fl jppacket.Flow) {
			rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
			rg.send("h0", fromCaller(fl, rst, callerISN+1, 0, 0))
		}},
		{"adopted", func(rg *rig, fl jppacket.Flow) {
			rg.reply("h0", "s0", answer(fl))
			rg.reply("h0", "s0", denial(fl))
		}},
	}
	for _, tt := range tests {
		rg := newRigOf(t, jpsettings.Request, 1, 1)
		fl := rg.flow("s0")
		tt.setup(rg, fl)
		rg.log = nil
		rg.send("h0", data(fl))
		rg.step(tt.name, "h0>s0 ACK")
	}
}

// Guards against a half-open connection of the same flow at another server that
// is taken for the flow.
func TestLocateHalfOpen(t *testing.T) {
	rg := lostOwner(t)
	fl := rg.flow("s0")
	own, _ := rg.owner("s0")
	rg.send(own, data(fl))
	rg.log = nil
	rg.reply(own, "s0", fromServer(fl, ack, 1<<30, callerISN+1, 0))
	rg.reply(own, "s0", fromServer(fl, ack, serverISN, callerISN+1, 0))
	rg.step("other numbers", drop(own, jpsteering.DropCrossedAnswer)+", "+drop(own, jpsteering.DropCrossedAnswer))
	rg.reply(own, "s0", fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
	rg.step("the flow's own handshake", own+">s0 ACK data, "+own+">caller SYN ACK")

	rg = lostOwner(t)
	fl = rg.flow("s0", "s1")
	rg.send(own, data(fl))
	rg.log = nil
	rg.reply(own, "s0", fromServer(fl, syn|ack, 1<<30, callerISN+1, 0))
	if rg.log[len(rg.log)-1] != "h1>s1 ACK" {
		t.Errorf("another handshake does not deny the flow: %v", rg.log)
	}
}

// Guards against a probe for each stray packet of a server whose flows are all
// known, and against a denial when another instance may have admitted flows.
func TestCompleteRecord(t *testing.T) {
	tests := []struct {
		name  string
		setup func(rg *rig)
		asked bool
	}{
		{"sole owner", func(*rig) {}, false},
		{"not confirmed since", func(rg *rig) { rg.confirm(0); rg.wait(time.Second); rg.confirm(time.Hour) }, true},
		{"was replaced since", func(rg *rig) { rg.view("h0 dead"); rg.view("") }, true},
		{"a data centre went silent since", isolate, true},
		{"paused since", func(rg *rig) { rg.now = rg.now.Add(time.Second) }, true},
		{"restarted since", func(rg *rig) {
			for range 3 {
				fl := rg.flow("s1")
				rg.open("h0", "s1", fl)
				rg.reply("h0", "s1", denial(fl))
			}
		}, false},
	}
	for _, tt := range tests {
		rg := newRigOf(t, jpsettings.Stream, 3, 1)
		rg.wait(15 * time.Second)
		rg.sv.Servers = append(rg.sv.Servers, rg.server(1, 0))
		rg.apply()
		if ss := rg.status("s1"); ss.Stage != jpadmission.Cold || !ss.Complete {
			t.Errorf("%s: stage %d, complete %v", tt.name, ss.Stage, ss.Complete)
		}
		rg.wait(3 * time.Second)
		tt.setup(rg)
		rg.log = nil
		rg.send("h0", data(rg.flow("s1", "s0")))
		if tt.asked {
			rg.step(tt.name, "h0>s1 ACK")
		} else {
			rg.step(tt.name, "h0>s0 ACK")
		}
	}
}

// Guards against a reset by an instance whose settings lack the server that
// holds the flow.
func TestBehind(t *testing.T) {
	for _, told := range []bool{true, false} {
		rg := newRigOf(t, jpsettings.Stream, 2, 1)
		fl := rg.flow("s0")
		rg.sv.Servers = append(rg.sv.Servers, rg.server(1, 1))
		rg.apply("h1")
		rg.send("h0", data(fl))
		rg.reply("h0", "s0", denial(fl))
		rg.wait(5 * time.Second)
		if told {
			rg.loads()
		}
		rg.send("h0", data(fl))
		rg.log = nil
		rg.reply("h0", "s0", denial(fl))
		if told {
			rg.step("a peer has a server unknown here", drop("h0", jpsteering.DropUnconfirmed))
		} else {
			rg.step("no sign of newer settings", "h0>caller RST, "+event("h0", jpsteering.EventFlowUnlocated))
		}
	}
}

// Guards against answers that reach the caller from a server that does not hold
// the flow, and against answers lost after a takeover.
func TestAnswers(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 3)
	fl := rg.flow("s0", "s1")
	rg.open("h0", "s0", fl)
	rg.reply("h1", "s0", answer(fl))
	rg.step("relayed", "h1>h0, h0>caller ACK data")
	rg.send("h0", data(fl))
	rg.log = nil
	rg.reply("h0", "s1", answer(fl))
	rg.step("no entry at the other owner", "h0>h1, h1>caller ACK data")
	rg.packet("h0", jpsteering.Packet{Inner: answer(fl), Outer: rg.address("s0").Next().Next().Next().Next()})
	rg.step("no server of the service", drop("h0", jpsteering.DropCrossedAnswer))

	rg = lostOwner(t)
	fl = rg.flow("s0")
	own, other := rg.owner("s0")
	rg.reply(other, "s0", denial(fl))
	rg.step("a reset proves nothing", other+">"+own+", "+drop(own, jpsteering.DropLateAnswer))
	rg.reply(other, "s0", probed(fl))
	rg.step("nor does an acknowledgement", other+">"+own+", "+drop(own, jpsteering.DropProbeAnswer))
	rg.reply(other, "s0", answer(fl))
	rg.step("adopted", other+">"+own+", "+own+">caller ACK data")
	rg.send(other, data(fl))
	rg.step("known", other+">"+own+", "+own+">s0 ACK data")
	if own == "h1" {
		rg.reply(own, "s1", answer(fl))
		rg.step("crossed", drop(own, jpsteering.DropCrossedAnswer))
	}
}

// Guards against a crash when a server answers whose flow the new owner knew to
// be elsewhere: at the server's former owner.
func TestAnswerOfMovedFlow(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 3)
	rg.view("h0 dead")
	own, _ := rg.owner("s0") // once h0 is dead
	rg.view("")
	rg.report()
	num := map[string]int{"h1": 1, "h2": 2}[own]
	rg.sv.Servers[num].Draining = true
	rg.apply()
	fl := rg.flow("s"+own[1:], "s0")
	rg.open(own, "s0", fl)
	rg.gone["h0"] = true
	rg.view("h0 dead")
	rg.log = nil
	rg.reply(own, "s0", answer(fl))
	rg.step("adopted", own+">caller ACK data")
}
