package jpsteering_test

import (
	"testing"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// turnCold makes a server's load endpoint report a cold start.
func (rg *rig) turnCold(server string) {
	for _, st := range rg.insts {
		st.HandleReport(rg.now, jpsteering.Report{Service: "desk", Server: rg.address(server), State: jpsteering.ReportCold})
	}
}

// Guards against a cold server that gets more flows than it bears because its
// owner forgets flows that the server still has: one that the caller has reset,
// until the server has handled the reset, and one that is being located.
func TestColdServerKeepsCounts(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.turnCold("s0")
	rg.open("h0", "s0", fl)
	rg.send("h0", fromCaller(fl, rst|ack, callerISN+1, serverISN+1, 0))
	if got := rg.status("s0").Flows; got != 1 {
		t.Errorf("%d flows counted just after the caller's reset, want 1", got)
	}
	rg.wait(10 * time.Second)
	if got := rg.status("s0").Flows; got != 0 {
		t.Errorf("%d flows counted 10 s after the caller's reset, want 0", got)
	}

	rg = newRig(t, jpsettings.Stream, 1)
	fl = rg.flow("s0")
	rg.turnCold("s0")
	rg.send("h0", data(fl))
	if got := rg.status("s0").Flows; got != 1 {
		t.Errorf("%d flows counted while one is located, want 1", got)
	}
	rg.reply("h0", "s0", denial(fl))
	if got := rg.status("s0").Flows; got != 0 {
		t.Errorf("%d flows counted after the server's denial, want 0", got)
	}
}

// Guards against a cold server that gets more flows than it bears because its
// answer to a SYN comes after the admission was given up.
func TestColdServerAnswersLate(t *testing.T) {
	tests := []struct {
		name            string
		full, confirmed bool
		want            string
	}{
		{"room", false, true, "h0>caller SYN ACK"},
		{"no room", true, true, "h0>s0 RST ACK, " + drop("h0", jpsteering.DropNoRoom)},
		{"no room, another owner possible", true, false, drop("h0", jpsteering.DropNoRoom)},
	}
	for _, tt := range tests {
		rg := newRigOf(t, jpsettings.Stream, 3, 1)
		fl := rg.flow("s0")
		rg.turnCold("s0")
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		rg.wait(14 * time.Second) // past the probes of the handshake
		if tt.full {
			rg.open("h0", "s0", rg.flow("s0"))
		}
		if !tt.confirmed {
			rg.confirm(0)
		}
		rg.log = nil
		rg.reply("h0", "s0", synAnswer(fl))
		rg.step(tt.name, tt.want)
		if got := rg.status("s0").Flows; got != 1 {
			t.Errorf("%s: %d flows, want 1", tt.name, got)
		}
	}
}

// Guards against the same just after a takeover, when the flows that the previous
// owner admitted have not shown up yet.
func TestColdServerAnswersNewOwner(t *testing.T) {
	rg := newRigOf(t, jpsettings.Stream, 2, 1)
	fl := rg.flow("s0")
	rg.turnCold("s0")
	rg.loads()
	rg.gone["h0"] = true
	rg.view("h0 dead")
	rg.log = nil
	rg.reply("h1", "s0", synAnswer(fl))
	rg.step("just taken over", drop("h1", jpsteering.DropTakeover))
	rg.wait(2 * time.Second)
	rg.reply("h1", "s0", synAnswer(fl))
	rg.step("2 s later", "h1>caller SYN ACK")
}

// Guards against a cold server that gets more flows than it bears because its
// owner gives up a handshake that another instance has completed meanwhile.
func TestColdServerHandshakeElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		reply func(jppacket.Flow) []byte
		want  int // flows counted after the probe
	}{
		{"held", func(fl jppacket.Flow) []byte { return fromServer(fl, ack, serverISN+1, callerISN+1, 0) }, 1},
		{"not held", func(fl jppacket.Flow) []byte { return fromServer(fl, rst, 0, 0, 0) }, 0},
	}
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Stream, 1)
		fl := rg.flow("s0")
		rg.turnCold("s0")
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		rg.wait(6 * time.Second)
		if got := rg.status("s0").Flows; got != 1 {
			t.Errorf("%s: %d flows 6 s after the SYN, want 1", tt.name, got)
		}
		rg.reply("h0", "s0", tt.reply(fl))
		rg.wait(6 * time.Second)
		if got := rg.status("s0").Flows; got != tt.want {
			t.Errorf("%s: %d flows after the server's answer, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a flow that is tied to a server which only has a late copy of its
// SYN: such a server answers probes as one that holds the flow does.
func TestColdServerHalfOpen(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.turnCold("s0")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.wait(6 * time.Second)
	rg.reply("h0", "s0", fromServer(fl, ack, serverISN+1, callerISN+1, 0))
	rg.log = nil
	rg.send("h0", data(fl))
	rg.step("data of the caller", "h0>s0 ACK")
}
