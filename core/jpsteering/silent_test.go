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
		setup          func(rg *rig)
		ended          bool
	}{
		{"healthy", true, true, nil, false},
		{"caller lost it", false, true, nil, true},
		{"server lost it", true, false, nil, true},
		{"another owner may have it", false, true, func(rg *rig) { rg.confirm(0) }, false},
		{"caller beyond a partition", false, true, isolate, false},
		{"both beyond a partition", false, false, isolate, false},
		{"server lost it during a partition", true, false, isolate, true},
	}
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Stream, 3)
		fl := rg.flow("s0")
		rg.open("h0", "s0", fl)
		if tt.setup != nil {
			tt.setup(rg)
		}
		opened, ended := rg.now, false
		for rg.now.Sub(opened) < 60*time.Second {
			rg.wait(100 * time.Millisecond)
			lines := strings.Join(rg.log, ",")
			rg.log = nil
			if strings.Contains(lines, ">caller RST") {
				ended = true
				if after := rg.now.Sub(opened); after < 26*time.Second || after > 28*time.Second {
					t.Errorf("%s: ended after %v, want 20 s + 6 s to 8 s", tt.name, after)
				}
				if !strings.Contains(lines, ">s0 RST") {
					t.Errorf("%s: only one end got a reset", tt.name)
				}
			}
			if strings.Contains(lines, ">caller ACK") && tt.caller {
				rg.send("h1", fromCaller(fl, ack, callerISN+1, serverISN+1, 0))
			}
			if strings.Contains(lines, ">s0 ACK") && tt.server {
				rg.reply("h1", "s0", fromServer(fl, ack, serverISN+1, callerISN+1, 0))
			}
			rg.log = nil
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
		rg := newRig(t, jpsettings.Stream, 1)
		fl := rg.flow("s0")
		rg.open("h0", "s0", fl)
		counts := map[string]int{}
		for range 290 {
			rg.log = nil
			rg.wait(100 * time.Millisecond)
			for _, line := range slices.Clone(rg.log) {
				counts[line]++
				switch {
				case counts[line] <= lost:
				case line == "h0>s0 ACK":
					rg.reply("h0", "s0", probed(fl))
				case line == "h0>caller ACK":
					rg.send("h0", fromCaller(fl, ack, callerISN+1, serverISN+1, 0))
				}
			}
		}
		if rg.status("s0").Flows != 1 {
			t.Errorf("flow ended after %d lost probes: %v", lost, counts)
		}
	}
}

// Guards against a verdict from probes that were sent while this instance was cut
// off or was not the confirmed owner.
func TestUnsoundProbes(t *testing.T) {
	tests := []struct {
		name        string
		begin, mend func(rg *rig)
	}{
		{"cut off", isolate, func(rg *rig) { rg.members = rg.members[:3]; rg.view("") }},
		{"unconfirmed", func(rg *rig) { rg.confirm(0) }, func(rg *rig) { rg.confirm(time.Hour) }},
	}
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Stream, 3)
		rg.open("h0", "s0", rg.flow("s0"))
		tt.begin(rg)
		rg.wait(25 * time.Second)
		tt.mend(rg)
		rg.wait(5 * time.Second)
		if lines := strings.Join(rg.log, ","); strings.Contains(lines, "RST") {
			t.Errorf("%s: reset: %s", tt.name, lines)
		}
		rg.wait(5 * time.Second)
		if lines := strings.Join(rg.log, ","); !strings.Contains(lines, "RST") {
			t.Errorf("%s: not reset: %s", tt.name, lines)
		}
	}
}

// isolate adds a data centre that is not heard.
func isolate(rg *rig) {
	rg.members = append(rg.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Dead, Listed: true})
	rg.gone["l0"] = true
	rg.view("")
}

// Guards against the verdict of a process that was paused while answers to its
// probes waited, and against servers that it takes for unresponsive.
func TestPaused(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.wait(25 * time.Second) // two probes are out
	for port := range 5 {
		fresh := fl
		fresh.CallerPort = uint16(port + 10)
		rg.send("h0", fromCaller(fresh, syn, callerISN, 0, 0))
	}
	rg.now = rg.now.Add(30 * time.Second)
	rg.log = nil
	rg.wait(100 * time.Millisecond)
	for _, line := range rg.log {
		if strings.Contains(line, "RST") || strings.Contains(line, "event") {
			t.Errorf("on resuming: %s", line)
		}
	}
	if ss := rg.status("s0"); !ss.Responsive || ss.Stage != 0 {
		t.Errorf("responsive %v, stage %d", ss.Responsive, ss.Stage)
	}
}

// Guards against flows that end late because one end lost its state while the
// other goes on sending.
func TestRetransmissionsStartProbes(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	for range 4 {
		rg.send("h0", data(fl))
	}
	rg.log = nil
	rg.wait(900 * time.Millisecond)
	rg.step("too early", "")
	rg.wait(100 * time.Millisecond)
	rg.step("probes", "h0>s0 ACK, h0>caller ACK")
	rg.reply("h0", "s0", fromServer(fl, rst, serverISN+1, 0, 0))
	rg.step("the server has lost the flow", "h0>caller RST")
	if rg.status("s0").Flows != 0 {
		t.Error("flow stays counted")
	}
}

// Guards against probes that acknowledge data which the other end has not
// received, so that it is never sent again, and against probes that the server
// does not answer because it still waits for earlier data.
func TestProbeNumbers(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.send("h0", data(fl))                                                    // lost
	rg.reply("h0", "s0", fromServer(fl, ack, serverISN+1, callerISN+1, 60))    // lost
	rg.send("h0", fromCaller(fl, ack, callerISN+101, serverISN+1, 10))         // lost too
	rg.reply("h0", "s0", fromServer(fl, ack, serverISN+61, callerISN+1, 1000)) // and this
	rg.log = nil
	rg.wait(20 * time.Second)
	var probe, other jppacket.Header
	rg.step("probes", "h0>s0 ACK, h0>caller ACK")
	if probe.Parse(rg.last) != nil || probe.Sequence != serverISN || probe.Acknowledgement != callerISN+1 {
		t.Errorf("probe of the caller has numbers %d, %d", probe.Sequence, probe.Acknowledgement)
	}
	if other.Parse(rg.before) != nil || other.Sequence != callerISN || other.Acknowledgement != serverISN+1 {
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
		{"old reset of the caller", false, func(fl jppacket.Flow) []byte { return fromCaller(fl, rst, callerISN, 0, 0) }, 1},
		{"reset of the caller", false, func(fl jppacket.Flow) []byte { return fromCaller(fl, rst, callerISN+101, 0, 0) }, 0},
		{"old reset of the server", true, func(fl jppacket.Flow) []byte { return fromServer(fl, rst, serverISN, 0, 0) }, 1},
		{"server's refusal of a late SYN", true, func(fl jppacket.Flow) []byte { return fromServer(fl, rst|ack, 0, callerISN+1, 0) }, 1},
		{"reset of the server", true, denial, 0},
	}
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Stream, 1)
		fl := rg.flow("s0")
		rg.open("h0", "s0", fl)
		if tt.server {
			rg.reply("h0", "s0", tt.pkt(fl))
		} else {
			rg.send("h0", tt.pkt(fl))
		}
		if got := rg.status("s0").Flows; got != tt.flows {
			t.Errorf("%s: %d flows, want %d", tt.name, got, tt.flows)
		}
		rg.log = nil
		rg.wait(1500 * time.Millisecond)
		if want := []string{"", "h0>s0 ACK, h0>caller ACK"}[tt.flows]; strings.Join(rg.log, ", ") != want {
			t.Errorf("%s: then %v, want %s", tt.name, rg.log, want)
		}
	}
}

// Guards against flows that are never probed because their handshake was answered
// through another instance and the caller has vanished since.
func TestProbesWithoutHandshake(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
	rg.reply("h0", "s0", fromServer(fl, ack, serverISN+1, callerISN+1, 50))
	rg.log = nil
	rg.wait(20 * time.Second)
	rg.step("probes", "h0>s0 ACK, h0>caller ACK")
}

// Guards against the same mistake for a flow that was located: its server had
// data under way that got lost.
func TestProbeNumbersOfLocatedFlow(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.send("h0", fromCaller(fl, ack, callerISN+101, serverISN+1, 10))
	rg.reply("h0", "s0", fromServer(fl, ack, serverISN+61, callerISN+1, 0))
	rg.log = nil
	rg.wait(20 * time.Second)
	rg.step("probes", "h0>s0 ACK, h0>caller ACK")
	var probe, other jppacket.Header
	if probe.Parse(rg.last) != nil || probe.Sequence != serverISN || probe.Acknowledgement != callerISN+1 {
		t.Errorf("probe of the caller has numbers %d, %d", probe.Sequence, probe.Acknowledgement)
	}
	if other.Parse(rg.before) != nil || other.Sequence != callerISN || other.Acknowledgement != serverISN+1 {
		t.Errorf("probe of the server has numbers %d, %d", other.Sequence, other.Acknowledgement)
	}
}

// Guards against an established flow that a late or crossed packet of another
// server ends: the probes of an adopted flow are no business of the caller's.
func TestAdoptedByMistake(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 2)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.reply("h1", "s1", answer(fl))
	rg.log = nil
	rg.wait(2100 * time.Millisecond)
	rg.step("only the server is asked", "h1>s1 ACK")
	rg.reply("h1", "s1", denial(fl))
	rg.log = nil
	rg.wait(6 * time.Second)
	rg.step("forgotten", "")
	if rg.status("s1").Flows != 0 || rg.status("s0").Flows != 1 {
		t.Errorf("flows %d, %d, want 0 and 1", rg.status("s1").Flows, rg.status("s0").Flows)
	}
}

// Guards against the verdict, just after a partition, on ends that could not
// answer the probes during it.
func TestHealed(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	isolate(rg)
	rg.wait(25500 * time.Millisecond) // three probes are out
	rg.members[len(rg.members)-1].State = jpmember.Alive
	rg.view("")
	healed := rg.now
	for rg.now.Sub(healed) < 5*time.Second {
		rg.log = nil
		rg.wait(100 * time.Millisecond)
		lines := strings.Join(rg.log, ",")
		if strings.Contains(lines, "RST") {
			t.Fatalf("flow ended %v after the partition: %s", rg.now.Sub(healed), lines)
		}
		if strings.Contains(lines, ">caller ACK") {
			rg.send("h0", fromCaller(fl, ack, callerISN+1, serverISN+1, 0))
		}
		if strings.Contains(lines, ">s0 ACK") {
			rg.reply("h0", "s0", fromServer(fl, ack, serverISN+1, callerISN+1, 0))
		}
	}
}

// Guards against a slot that stays occupied for minutes because only the previous
// owner of the server saw the end of the request.
func TestIdleRequest(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 1)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.send("h0", data(fl))
	rg.reply("h0", "s0", answer(fl))
	rg.log = nil
	rg.wait(4 * time.Second)
	rg.step("4 s", "")
	rg.wait(1500 * time.Millisecond)
	rg.step("5.5 s", "h0>s0 ACK, h0>caller ACK")
}
