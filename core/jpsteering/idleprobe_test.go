package jpsteering_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// Guards against flows that went silent for good and are not ended in time, and
// against healthy idle flows that are. The bound is idle_probe + 3 probes 2 s
// apart + 2 s.
func TestSilentFlow(t *testing.T) {
	tests := []struct {
		name           string
		caller, server bool // answers probes
		setup          func(hn *harness)
		ended          bool
	}{
		{"healthy", true, true, nil, false},
		{"caller lost it", false, true, nil, true},
		{"server lost it", true, false, nil, true},
		{"another owner may have it", false, true, func(hn *harness) { hn.confirmAll(0) }, false},
		{"caller beyond a partition", false, true, addSilentDataCentre, false},
		{"both beyond a partition", false, false, addSilentDataCentre, false},
		{"server lost it during a partition", true, false, addSilentDataCentre, true},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Stream, 3)
		fl := hn.newFlow("s0")
		hn.openFlow("h0", "s0", fl)
		if tt.setup != nil {
			tt.setup(hn)
		}
		opened, ended := hn.now, false
		for hn.now.Sub(opened) < 60*time.Second {
			hn.advance(100 * time.Millisecond)
			lines := strings.Join(hn.log, ",")
			hn.log = nil
			if strings.Contains(lines, ">caller RST") {
				ended = true
				if after := hn.now.Sub(opened); after < 26*time.Second || after > 28*time.Second {
					t.Errorf("%s: ended after %v, want 20 s + 6 s to 8 s", tt.name, after)
				}
				if !strings.Contains(lines, ">s0 RST") {
					t.Errorf("%s: only one end got a reset", tt.name)
				}
			}
			if strings.Contains(lines, ">caller ACK") && tt.caller {
				hn.sendFromFabric("h1", callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
			}
			if strings.Contains(lines, ">s0 ACK") && tt.server {
				hn.sendFromServer("h1", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 0))
			}
			hn.log = nil
		}
		if ended != tt.ended {
			t.Errorf("%s: ended %v, want %v", tt.name, ended, tt.ended)
		}
	}
}

// Guards against good flows that end because three probes in a row are lost: each
// is repeated until both ends have answered.
func TestLostProbes(t *testing.T) {
	for _, lost := range []int{3, 10} {
		hn := newHarness(t, jpsettings.Stream, 1)
		fl := hn.newFlow("s0")
		hn.openFlow("h0", "s0", fl)
		counts := map[string]int{}
		for range 290 {
			hn.log = nil
			hn.advance(100 * time.Millisecond)
			for _, line := range slices.Clone(hn.log) {
				counts[line]++
				switch {
				case counts[line] <= lost:
				case line == "h0>s0 ACK":
					hn.sendFromServer("h0", "s0", probeACK(fl))
				case line == "h0>caller ACK":
					hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
				}
			}
		}
		if hn.serverStatus("s0").Flows != 1 {
			t.Errorf("flow ended after %d lost probes: %v", lost, counts)
		}
	}
}

// Guards against a verdict from probes that were sent while this instance was cut
// off or was not the confirmed owner.
func TestInconclusiveProbes(t *testing.T) {
	tests := []struct {
		name           string
		setup, restore func(hn *harness)
	}{
		{"cut off", addSilentDataCentre, func(hn *harness) { hn.members = hn.members[:3]; hn.applyView("") }},
		{"unconfirmed", func(hn *harness) { hn.confirmAll(0) }, func(hn *harness) { hn.confirmAll(time.Hour) }},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Stream, 3)
		hn.openFlow("h0", "s0", hn.newFlow("s0"))
		tt.setup(hn)
		hn.advance(25 * time.Second)
		tt.restore(hn)
		hn.advance(5 * time.Second)
		if lines := strings.Join(hn.log, ","); strings.Contains(lines, "RST") {
			t.Errorf("%s: reset: %s", tt.name, lines)
		}
		hn.advance(5 * time.Second)
		if lines := strings.Join(hn.log, ","); !strings.Contains(lines, "RST") {
			t.Errorf("%s: not reset: %s", tt.name, lines)
		}
	}
}

// isolate adds a data centre that is not heard.
func addSilentDataCentre(hn *harness) {
	hn.members = append(hn.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Dead, Listed: true})
	hn.stopped["l0"] = true
	hn.applyView("")
}

// Guards against the verdict of a process that was paused while answers to its
// probes waited, and against servers that it takes for unresponsive.
func TestPausedProcess(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.advance(25 * time.Second) // two probes are out
	for port := range 5 {
		fresh := fl
		fresh.CallerPort = uint16(port + 10)
		hn.sendFromFabric("h0", callerSegment(fresh, syn, callerISN, 0, 0))
	}
	hn.now = hn.now.Add(30 * time.Second)
	hn.log = nil
	hn.advance(100 * time.Millisecond)
	for _, line := range hn.log {
		if strings.Contains(line, "RST") || strings.Contains(line, "event") {
			t.Errorf("on resuming: %s", line)
		}
	}
	if ss := hn.serverStatus("s0"); !ss.Responsive || ss.Stage != 0 {
		t.Errorf("responsive %v, stage %d", ss.Responsive, ss.Stage)
	}
}

// Guards against flows that end late because one end lost its state while the
// other goes on sending.
func TestRetransmissionsStartProbes(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	for range 4 {
		hn.sendFromFabric("h0", callerData(fl))
	}
	hn.log = nil
	hn.advance(900 * time.Millisecond)
	hn.expectLog("too early", "")
	hn.advance(100 * time.Millisecond)
	hn.expectLog("probes", "h0>s0 ACK, h0>caller ACK")
	hn.sendFromServer("h0", "s0", serverSegment(fl, rst, serverISN+1, 0, 0))
	hn.expectLog("the server has lost the flow", "h0>caller RST")
	if hn.serverStatus("s0").Flows != 0 {
		t.Error("flow stays counted")
	}
}

// Guards against probes that acknowledge data which the other end has not
// received, so that it is never sent again, and against probes that the server
// does not answer because it still waits for earlier data.
func TestProbeNumbers(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromFabric("h0", callerData(fl))                                                // lost
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 60))    // lost
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+101, serverISN+1, 10))        // lost too
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+61, callerISN+1, 1000)) // and this
	hn.log = nil
	hn.advance(20 * time.Second)
	var probe, other jppacket.Header
	hn.expectLog("probes", "h0>s0 ACK, h0>caller ACK")
	if probe.Parse(hn.lastPacket) != nil || probe.Sequence != serverISN || probe.Acknowledgement != callerISN+1 {
		t.Errorf("probe of the caller has numbers %d, %d", probe.Sequence, probe.Acknowledgement)
	}
	if other.Parse(hn.previousPacket) != nil || other.Sequence != callerISN || other.Acknowledgement != serverISN+1 {
		t.Errorf("probe of the server has numbers %d, %d", other.Sequence, other.Acknowledgement)
	}
}

// Guards against flows that end at their owner by a reset that belongs to another
// connection with the same ports: the receiver ignores it. Probes then tell.
func TestResetOfOtherConnection(t *testing.T) {
	tests := []struct {
		name   string
		server bool
		pkt    func(fl jppacket.Flow) []byte
		flows  int
	}{
		{"old reset of the caller", false, func(fl jppacket.Flow) []byte { return callerSegment(fl, rst, callerISN, 0, 0) }, 1},
		{"reset of the caller", false, func(fl jppacket.Flow) []byte { return callerSegment(fl, rst, callerISN+101, 0, 0) }, 0},
		{"old reset of the server", true, func(fl jppacket.Flow) []byte { return serverSegment(fl, rst, serverISN, 0, 0) }, 1},
		{"server's refusal of a late SYN", true, func(fl jppacket.Flow) []byte { return serverSegment(fl, rst|ack, 0, callerISN+1, 0) }, 1},
		{"reset of the server", true, probeReset, 0},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Stream, 1)
		fl := hn.newFlow("s0")
		hn.openFlow("h0", "s0", fl)
		if tt.server {
			hn.sendFromServer("h0", "s0", tt.pkt(fl))
		} else {
			hn.sendFromFabric("h0", tt.pkt(fl))
		}
		if got := hn.serverStatus("s0").Flows; got != tt.flows {
			t.Errorf("%s: %d flows, want %d", tt.name, got, tt.flows)
		}
		hn.log = nil
		hn.advance(1500 * time.Millisecond)
		if want := []string{"", "h0>s0 ACK, h0>caller ACK"}[tt.flows]; strings.Join(hn.log, ", ") != want {
			t.Errorf("%s: then %v, want %s", tt.name, hn.log, want)
		}
	}
}

// Guards against flows that are never probed because their handshake was answered
// through another instance and the caller has vanished since.
func TestProbesWithoutHandshake(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 50))
	hn.log = nil
	hn.advance(20 * time.Second)
	hn.expectLog("probes", "h0>s0 ACK, h0>caller ACK")
}

// Guards against the same mistake for a flow that was located: its server had
// data under way that got lost.
func TestProbeNumbersOfLocatedFlow(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+101, serverISN+1, 10))
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+61, callerISN+1, 0))
	hn.log = nil
	hn.advance(20 * time.Second)
	hn.expectLog("probes", "h0>s0 ACK, h0>caller ACK")
	var probe, other jppacket.Header
	if probe.Parse(hn.lastPacket) != nil || probe.Sequence != serverISN || probe.Acknowledgement != callerISN+1 {
		t.Errorf("probe of the caller has numbers %d, %d", probe.Sequence, probe.Acknowledgement)
	}
	if other.Parse(hn.previousPacket) != nil || other.Sequence != callerISN || other.Acknowledgement != serverISN+1 {
		t.Errorf("probe of the server has numbers %d, %d", other.Sequence, other.Acknowledgement)
	}
}

// Guards against an established flow that a late or crossed packet of another
// server ends: the probes of an adopted flow are no business of the caller's.
func TestAdoptedFlowNotHeld(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromServer("h1", "s1", serverData(fl))
	hn.log = nil
	hn.advance(2100 * time.Millisecond)
	hn.expectLog("only the server is asked", "h1>s1 ACK")
	hn.sendFromServer("h1", "s1", probeReset(fl))
	hn.log = nil
	hn.advance(6 * time.Second)
	hn.expectLog("forgotten", "")
	if hn.serverStatus("s1").Flows != 0 || hn.serverStatus("s0").Flows != 1 {
		t.Errorf("flows %d, %d, want 0 and 1", hn.serverStatus("s1").Flows, hn.serverStatus("s0").Flows)
	}
}

// Guards against the verdict, just after a partition, on ends that could not
// answer the probes during it.
func TestPartitionHealed(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	addSilentDataCentre(hn)
	hn.advance(25500 * time.Millisecond) // three probes are out
	hn.members[len(hn.members)-1].State = jpmember.Alive
	hn.applyView("")
	healed := hn.now
	for hn.now.Sub(healed) < 5*time.Second {
		hn.log = nil
		hn.advance(100 * time.Millisecond)
		lines := strings.Join(hn.log, ",")
		if strings.Contains(lines, "RST") {
			t.Fatalf("flow ended %v after the partition: %s", hn.now.Sub(healed), lines)
		}
		if strings.Contains(lines, ">caller ACK") {
			hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
		}
		if strings.Contains(lines, ">s0 ACK") {
			hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 0))
		}
	}
}

// Guards against a slot that stays occupied for minutes because only the previous
// owner of the server saw the end of the request.
func TestIdleRequest(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s0", serverData(fl))
	hn.log = nil
	hn.advance(4 * time.Second)
	hn.expectLog("4 s", "")
	hn.advance(1500 * time.Millisecond)
	hn.expectLog("5.5 s", "h0>s0 ACK, h0>caller ACK")
}
