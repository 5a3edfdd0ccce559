package jpsteering_test

import (
	"testing"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// reportCold gives the owner of a server a load report that the server is cold.
func (hn *harness) reportCold(server string) {
	for _, st := range hn.instances {
		st.HandleReport(hn.now, jpsteering.Report{Service: "desk", Server: hn.serverAddress(server), State: jpsteering.ReportCold})
	}
}

// Guards against a cold server that gets more flows than its cold limit because its
// owner does not count flows that the server may still have: a flow that its
// caller has just reset, and a flow that is being located.
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
		t.Errorf("%d flows counted after the server's reset, want 0", got)
	}
}

// Guards against a cold server that gets more flows than its cold limit because its
// SYN-ACK arrives after the owner's entry has expired and another flow has taken
// the place.
func TestColdServerLateSYNACK(t *testing.T) {
	tests := []struct {
		name            string
		full, confirmed bool
		want            string
	}{
		{"below the limit", false, true, "h0>caller SYN ACK"},
		{"at the limit", true, true, "h0>s0 RST ACK, " + dropLine("h0", jpsteering.DropNoRoom)},
		{"at the limit, not confirmed", true, false, dropLine("h0", jpsteering.DropNoRoom)},
	}
	for _, tt := range tests {
		hn := newSizedHarness(t, jpsettings.Stream, 3, 1)
		fl := hn.newFlow("s0")
		hn.reportCold("s0")
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		hn.advance(14 * time.Second) // the probes of the handshake end earlier
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

// Guards against a cold server that gets more flows than its cold limit just after
// a takeover, before the new owner has seen packets of all flows that the previous
// owner admitted.
func TestColdServerSYNACKAfterTakeover(t *testing.T) {
	hn := newSizedHarness(t, jpsettings.Stream, 2, 1)
	fl := hn.newFlow("s0")
	hn.reportCold("s0")
	hn.exchangeLoads()
	hn.stopped["h0"] = true
	hn.applyView("h0 dead")
	hn.log = nil
	hn.sendFromServer("h1", "s0", synACK(fl))
	hn.expectLog("just after the takeover", dropLine("h1", jpsteering.DropTakeover))
	hn.advance(2 * time.Second)
	hn.sendFromServer("h1", "s0", synACK(fl))
	hn.expectLog("2 s after the takeover", "h1>caller SYN ACK")
}

// Guards against a cold server that gets more flows than its cold limit because its
// owner stops counting a half-open flow whose handshake was completed through
// another instance. The owner probes the server first.
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
			t.Errorf("%s: %d flows after the server's reply to the probe, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a flow that is assigned to a server which has only accepted a late
// copy of its SYN. A server with a half-open connection answers probes like one
// with an established connection, so the caller's data has to be held for a probe.
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
