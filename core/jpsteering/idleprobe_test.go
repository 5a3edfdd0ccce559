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

// Guards against a flow that one end has lost and that is not reset in time, and
// against a reset of a healthy idle flow. The limit is idle_probe + 3 probes at
// intervals of 2 s + 2 s.
func TestSilentFlow(t *testing.T) {
	tests := []struct {
		name           string
		caller, server bool // whether this end answers probes
		setup          func(hn *harness)
		ended          bool
	}{
		{"healthy", true, true, nil, false},
		{"caller lost the connection", false, true, nil, true},
		{"server lost the connection", true, false, nil, true},
		{"owner not confirmed", false, true, func(hn *harness) { hn.confirmAll(0) }, false},
		{"caller unreachable in a partition", false, true, addUnreachableDataCentre, false},
		{"both unreachable in a partition", false, false, addUnreachableDataCentre, false},
		{"server lost the connection, partition", true, false, addUnreachableDataCentre, true},
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
					t.Errorf("%s: reset after %v, want 20 s + 6 s to 8 s", tt.name, after)
				}
				if !strings.Contains(lines, ">s0 RST") {
					t.Errorf("%s: only the caller got a reset", tt.name)
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
			t.Errorf("%s: reset %v, want %v", tt.name, ended, tt.ended)
		}
	}
}

// Guards against a reset of a healthy flow because three probes in a row are lost.
// In each interval, probes are sent again until both ends have answered.
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
			t.Errorf("flow was reset after %d lost probes: %v", lost, counts)
		}
	}
}

// Guards against a reset because of probes that were sent while this instance was
// partitioned or was not the confirmed owner. The answers may have gone elsewhere.
func TestInconclusiveProbes(t *testing.T) {
	tests := []struct {
		name           string
		setup, restore func(hn *harness)
	}{
		{"partitioned", addUnreachableDataCentre, func(hn *harness) { hn.members = hn.members[:3]; hn.applyView("") }},
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
			t.Errorf("%s: flow was reset within 5 s: %s", tt.name, lines)
		}
		hn.advance(5 * time.Second)
		if lines := strings.Join(hn.log, ","); !strings.Contains(lines, "RST") {
			t.Errorf("%s: flow was not reset within 10 s: %s", tt.name, lines)
		}
	}
}

// addUnreachableDataCentre adds a data centre whose only instance is dead, so that the
// other instances are partitioned.
func addUnreachableDataCentre(hn *harness) {
	hn.members = append(hn.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Dead, Listed: true})
	hn.stopped["l0"] = true
	hn.applyView("")
}

// Guards against resets by a process that was paused while answers to its probes
// waited in its socket, and against servers that it then regards as unresponsive.
func TestPausedProcess(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.advance(25 * time.Second) // two probes have been sent
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
			t.Errorf("after the pause: %s", line)
		}
	}
	if ss := hn.serverStatus("s0"); !ss.Responsive || ss.Stage != 0 {
		t.Errorf("after the pause: responsive %v, stage %d, want true and 0", ss.Responsive, ss.Stage)
	}
}

// Guards against a flow that is reset late although one end has lost its connection
// and the other retransmits: retransmissions start probes before idle_probe.
func TestRetransmissionsStartProbes(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	for range 4 {
		hn.sendFromFabric("h0", callerData(fl))
	}
	hn.log = nil
	hn.advance(900 * time.Millisecond)
	hn.expectLog("after 0.9 s", "")
	hn.advance(100 * time.Millisecond)
	hn.expectLog("probes after 1 s", "h0>s0 ACK, h0>caller ACK")
	hn.sendFromServer("h0", "s0", serverSegment(fl, rst, serverISN+1, 0, 0))
	hn.expectLog("the server has lost the connection", "h0>caller RST")
	if hn.serverStatus("s0").Flows != 0 {
		t.Error("flow is still counted")
	}
}

// Guards against probes that acknowledge data which the other end has not received,
// so that it is never retransmitted, and against probes that an end does not answer
// because their sequence number is above the one that it expects next.
func TestProbeNumbers(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromFabric("h0", callerData(fl))                                                // lost
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 60))    // lost
	hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+101, serverISN+1, 10))        // also lost
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+61, callerISN+1, 1000)) // also lost
	hn.log = nil
	hn.advance(20 * time.Second)
	var probe, other jppacket.Header
	hn.expectLog("probes", "h0>s0 ACK, h0>caller ACK")
	if probe.Parse(hn.lastPacket) != nil || probe.Sequence != serverISN || probe.Acknowledgement != callerISN+1 {
		t.Errorf("probe of the caller has sequence number %d, acknowledgement number %d", probe.Sequence, probe.Acknowledgement)
	}
	if other.Parse(hn.previousPacket) != nil || other.Sequence != callerISN || other.Acknowledgement != serverISN+1 {
		t.Errorf("probe of the server has sequence number %d, acknowledgement number %d", other.Sequence, other.Acknowledgement)
	}
}

// Guards against an owner that closes a flow because of a RST of another connection
// with the same addresses and ports. The receiver ignores such a RST, so the owner
// sends probes to both ends.
func TestResetOfOtherConnection(t *testing.T) {
	tests := []struct {
		name   string
		server bool
		pkt    func(fl jppacket.Flow) []byte
		flows  int
	}{
		{"caller's RST below the window", false, func(fl jppacket.Flow) []byte { return callerSegment(fl, rst, callerISN, 0, 0) }, 1},
		{"caller's RST", false, func(fl jppacket.Flow) []byte { return callerSegment(fl, rst, callerISN+101, 0, 0) }, 0},
		{"server's RST below the window", true, func(fl jppacket.Flow) []byte { return serverSegment(fl, rst, serverISN, 0, 0) }, 1},
		{"server's refusal of a late SYN", true, func(fl jppacket.Flow) []byte { return serverSegment(fl, rst|ack, 0, callerISN+1, 0) }, 1},
		{"server's RST", true, probeReset, 0},
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
			t.Errorf("%s: 1.5 s later %v, want %s", tt.name, hn.log, want)
		}
	}
}

// Guards against a flow that is never probed because its SYN-ACK went through
// another instance and its caller is gone, so that the owner has not seen the
// sequence numbers of the handshake.
func TestProbesWithoutHandshake(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 50))
	hn.log = nil
	hn.advance(20 * time.Second)
	hn.expectLog("probes", "h0>s0 ACK, h0>caller ACK")
}

// Guards against probes with wrong sequence numbers for a flow that was located
// while data of its server was lost on the way.
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
		t.Errorf("probe of the caller has sequence number %d, acknowledgement number %d", probe.Sequence, probe.Acknowledgement)
	}
	if other.Parse(hn.previousPacket) != nil || other.Sequence != callerISN || other.Acknowledgement != serverISN+1 {
		t.Errorf("probe of the server has sequence number %d, acknowledgement number %d", other.Sequence, other.Acknowledgement)
	}
}

// Guards against an established flow that is reset because of a late packet of
// another server. The owner of that server adopts the flow and probes only the
// server, not the caller.
func TestAdoptedFlowNotHeld(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromServer("h1", "s1", serverData(fl))
	hn.log = nil
	hn.advance(2100 * time.Millisecond)
	hn.expectLog("only the server is probed", "h1>s1 ACK")
	hn.sendFromServer("h1", "s1", probeReset(fl))
	hn.log = nil
	hn.advance(6 * time.Second)
	hn.expectLog("entry closed without a reset", "")
	if hn.serverStatus("s1").Flows != 0 || hn.serverStatus("s0").Flows != 1 {
		t.Errorf("s1 has %d flows and s0 %d, want 0 and 1", hn.serverStatus("s1").Flows, hn.serverStatus("s0").Flows)
	}
}

// Guards against a reset just after a partition, because of probes that the ends
// could not answer during the partition.
func TestPartitionHealed(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	addUnreachableDataCentre(hn)
	hn.advance(25500 * time.Millisecond) // three probes have been sent
	hn.members[len(hn.members)-1].State = jpmember.Alive
	hn.applyView("")
	healed := hn.now
	for hn.now.Sub(healed) < 5*time.Second {
		hn.log = nil
		hn.advance(100 * time.Millisecond)
		lines := strings.Join(hn.log, ",")
		if strings.Contains(lines, "RST") {
			t.Fatalf("flow was reset %v after the partition: %s", hn.now.Sub(healed), lines)
		}
		if strings.Contains(lines, ">caller ACK") {
			hn.sendFromFabric("h0", callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
		}
		if strings.Contains(lines, ">s0 ACK") {
			hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 0))
		}
	}
}

// Guards against a slot that stays occupied for idle_probe because only the previous
// owner of the server has seen the end of the request. Idle requests are probed
// after 5 s.
func TestIdleRequest(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s0", serverData(fl))
	hn.log = nil
	hn.advance(4 * time.Second)
	hn.expectLog("after 4 s", "")
	hn.advance(1500 * time.Millisecond)
	hn.expectLog("after 5.5 s", "h0>s0 ACK, h0>caller ACK")
}
