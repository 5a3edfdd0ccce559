package jpsteering_test

import (
	"testing"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// turnCold makes a server's load endpoint report a cold start.
func (hn *harness) reportCold(server string) {
	for _, st := range hn.instances {
		st.HandleReport(hn.now, jpsteering.Report{Service: "desk", Server: hn.serverAddress(server), State: jpsteering.ReportCold})
	}
}

// Guards against a cold server that gets more flows than it bears because its
// owner forgets flows that the server still has: one that the caller has reset,
// until the server has handled the reset, and one that is being located.
func TestColdServerCountsHeldFlows(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.reportCold("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromFabric("h0", callerSegment(fl, rst|ack, callerISN+1, serverISN+1, 0))
	if got := hn.serverStatus("s0").Flows; got != 1 {
		t.Errorf("%d flows counted just after the caller's reset, want 1", got)
	}
	hn.advance(10 * time.Second)
	if got := hn.serverStatus("s0").Flows; got != 0 {
		t.Errorf("%d flows counted 10 s after the caller's reset, want 0", got)
	}

	hn = newHarness(t, jpsettings.Stream, 1)
	fl = hn.newFlow("s0")
	hn.reportCold("s0")
	hn.sendFromFabric("h0", callerData(fl))
	if got := hn.serverStatus("s0").Flows; got != 1 {
		t.Errorf("%d flows counted while one is located, want 1", got)
	}
	hn.sendFromServer("h0", "s0", probeReset(fl))
	if got := hn.serverStatus("s0").Flows; got != 0 {
		t.Errorf("%d flows counted after the server's denial, want 0", got)
	}
}

// Guards against a cold server that gets more flows than it bears because its
// answer to a SYN comes after the admission was given up.
func TestColdServerLateSYNACK(t *testing.T) {
	tests := []struct {
		name            string
		full, confirmed bool
		want            string
	}{
		{"room", false, true, "h0>caller SYN ACK"},
		{"no room", true, true, "h0>s0 RST ACK, " + dropLine("h0", jpsteering.DropNoRoom)},
		{"no room, another owner possible", true, false, dropLine("h0", jpsteering.DropNoRoom)},
	}
	for _, tt := range tests {
		hn := newSizedHarness(t, jpsettings.Stream, 3, 1)
		fl := hn.newFlow("s0")
		hn.reportCold("s0")
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(14 * time.Second) // past the probes of the handshake
		if tt.full {
			hn.openFlow("h0", "s0", hn.newFlow("s0"))
		}
		if !tt.confirmed {
			hn.confirmAll(0)
		}
		hn.log = nil
		hn.sendFromServer("h0", "s0", synACK(fl))
		hn.expectLog(tt.name, tt.want)
		if got := hn.serverStatus("s0").Flows; got != 1 {
			t.Errorf("%s: %d flows, want 1", tt.name, got)
		}
	}
}

// Guards against the same just after a takeover, when the flows that the previous
// owner admitted have not shown up yet.
func TestColdServerSYNACKAfterTakeover(t *testing.T) {
	hn := newSizedHarness(t, jpsettings.Stream, 2, 1)
	fl := hn.newFlow("s0")
	hn.reportCold("s0")
	hn.exchangeLoads()
	hn.stopped["h0"] = true
	hn.applyView("h0 dead")
	hn.log = nil
	hn.sendFromServer("h1", "s0", synACK(fl))
	hn.expectLog("just taken over", dropLine("h1", jpsteering.DropTakeover))
	hn.advance(2 * time.Second)
	hn.sendFromServer("h1", "s0", synACK(fl))
	hn.expectLog("2 s later", "h1>caller SYN ACK")
}

// Guards against a cold server that gets more flows than it bears because its
// owner gives up a handshake that another instance has completed meanwhile.
func TestColdServerHandshakeCompletedElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		reply func(jppacket.Flow) []byte
		want  int // flows counted after the probe
	}{
		{"held", func(fl jppacket.Flow) []byte { return serverSegment(fl, ack, serverISN+1, callerISN+1, 0) }, 1},
		{"not held", func(fl jppacket.Flow) []byte { return serverSegment(fl, rst, 0, 0, 0) }, 0},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Stream, 1)
		fl := hn.newFlow("s0")
		hn.reportCold("s0")
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(6 * time.Second)
		if got := hn.serverStatus("s0").Flows; got != 1 {
			t.Errorf("%s: %d flows 6 s after the SYN, want 1", tt.name, got)
		}
		hn.sendFromServer("h0", "s0", tt.reply(fl))
		hn.advance(6 * time.Second)
		if got := hn.serverStatus("s0").Flows; got != tt.want {
			t.Errorf("%s: %d flows after the server's answer, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a flow that is tied to a server which only has a late copy of its
// SYN: such a server answers probes as one that holds the flow does.
func TestColdServerHalfOpen(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.reportCold("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.advance(6 * time.Second)
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 0))
	hn.log = nil
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("data of the caller", "h0>s0 ACK")
}
