package jpdispatch

import (
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// Guards against a crashed server that attracts all new flows because it ends
// them at once.
func TestCrashedServerGetsNoFlows(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC))
	reached, first := 0, ""
	for n := range 100 {
		now := at(10 * n)
		syn := rg.newSYN()
		dc := rg.wantDecision(rg.Handle(now, syn), Forward, Placed)
		if first == "" {
			first = dc.Server.ID // it has crashed
		}
		if dc.Server.ID == first {
			reached++
			continue
		}
		rg.Handle(now.Add(4*time.Millisecond), nextPacket(syn, dc.Server.Tag, 0))
	}
	if reached > 3 {
		t.Errorf("%d of 100 new flows went to the crashed server", reached)
	}
	checks := rg.DueChecks(at(1000))
	if len(checks) != 1 || checks[0].ID != first {
		t.Errorf("servers to check %v, want %s", checks, first)
	}
}

// Guards against resets of flows whose server lives: repeated requests, an
// inconclusive check or a lapsed entry are no proof, and against callers that
// wait for a server that is known to be gone.
func TestResets(t *testing.T) {
	rows := []struct {
		name   string
		events func(rg *rig, syn Packet, sr Endpoint)
		reset  bool
	}{
		{"repeated requests", func(rg *rig, syn Packet, sr Endpoint) {
			for ms := 100; ms < 2000; ms += 200 {
				rg.Handle(at(ms), nextPacket(syn, sr.Tag, 500))
			}
		}, false},
		{"check failed", func(rg *rig, _ Packet, sr Endpoint) {
			rg.HandleCheckResult(at(100), at(50), sr, false)
		}, true},
		{"check failed during a pause", func(rg *rig, _ Packet, sr Endpoint) {
			rg.NotePause(at(80))
			rg.HandleCheckResult(at(100), at(50), sr, false)
		}, false},
		{"check failed, then answered", func(rg *rig, _ Packet, sr Endpoint) {
			rg.HandleCheckResult(at(100), at(50), sr, false)
			rg.HandleCheckResult(at(110), at(105), sr, true)
		}, false},
		{"entry lapsed 3 s ago", func(rg *rig, _ Packet, sr Endpoint) {
			rg.remove(at(-1000), sr.ID)
		}, false},
		{"entry gone for 4 s", func(rg *rig, _ Packet, sr Endpoint) {
			rg.remove(at(-2000), sr.ID)
		}, true},
		{"entry gone for 4 s while the store was away", func(rg *rig, _ Packet, sr Endpoint) {
			rg.remove(at(-2000), sr.ID)
			rg.SetFreshness(at(2000), at(0))
		}, false},
		{"address has another server", func(rg *rig, _ Packet, sr Endpoint) {
			next := deskServer(7, localDC)
			next.Address = sr.Address
			rg.server(at(10), next)
		}, true},
		{"started again under its id, known to have run 2 s after the flow began", func(rg *rig, _ Packet, sr Endpoint) {
			rg.setFresh(at(2001))
			next := deskServer(1, localDC)
			next.Started = at(0)
			rg.server(at(10), next)
		}, true},
		{"started again under its id, perhaps before the flow began", func(rg *rig, _ Packet, sr Endpoint) {
			rg.setFresh(at(1999))
			next := deskServer(1, localDC)
			next.Started = at(0)
			rg.server(at(10), next)
		}, false},
	}
	for _, row := range rows {
		rg := newRig(t, deskServer(1, localDC))
		syn, sr := rg.open(at(0))
		rg.setFresh(at(2000))
		row.events(rg, syn, sr)
		resets := rg.runTicks(at(100), at(2000))
		if len(resets) > 0 != row.reset {
			t.Errorf("%s: resets %v, want one: %t", row.name, resets, row.reset)
		}
		for _, rs := range resets {
			if rs.Caller != syn.Caller || rs.Route != syn.Route || rs.Sequence != 1000 {
				t.Errorf("%s: reset %+v does not fit the flow", row.name, rs)
			}
		}
	}
}

// Guards against checks that grow with instances times servers: one that left is
// checked only by instances that remember flows of it, and a silent one of
// another data centre seldom.
func TestChecksAreBounded(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, remoteDC))
	_, sr := rg.open(at(0))
	other := "i-1"
	if sr.ID == other {
		other = "i-2"
	}
	rg.remove(at(10), other)
	if checks := rg.DueChecks(at(20)); len(checks) != 0 {
		t.Errorf("checks of a server without flows: %v", checks)
	}
	rg.remove(at(30), sr.ID)
	if checks := rg.DueChecks(at(40)); len(checks) != 1 || checks[0] != sr {
		t.Errorf("checks %v, want %v", checks, sr)
	}
	rows := []struct {
		server jpdirectory.Server
		most   int
	}{{deskServer(1, localDC), 7}, {deskServer(1, remoteDC), 2}}
	for _, row := range rows {
		rg := newRig(t, row.server)
		silent := rg.servers["i-1"].endpoint()
		rg.HandleCheckResult(at(10), at(5), silent, false)
		count := 0
		for ms := 100; ms <= 10_000; ms += 100 {
			for _, check := range rg.DueChecks(at(ms)) {
				count++
				rg.HandleCheckResult(at(ms), at(ms), check, false)
			}
		}
		if count == 0 || count > row.most {
			t.Errorf("%d checks of a silent server in %s in 10 s, want 1 to %d", count, row.server.DataCentre, row.most)
		}
	}
}

// Guards against acknowledgements that do not count because the server's sequence
// numbers are in their upper half.
func TestAckSequenceWraparound(t *testing.T) {
	for _, first := range []uint32{1000, 1<<31 + 1, 1<<32 - 50} {
		rg := newRig(t, deskServer(1, localDC))
		syn := rg.newSYN()
		rg.Handle(at(0), syn)
		request := nextPacket(syn, 1, 100)
		request.Ack = first
		rg.Handle(at(10), request)
		acknowledgement := nextPacket(syn, 1, 0)
		acknowledgement.Sequence += 100
		acknowledgement.Ack = first + 100
		rg.Handle(at(40), acknowledgement)
		if sr := rg.servers["i-1"]; !sr.aliveAt.Equal(at(40)) {
			t.Errorf("from %d: last sign of life %v after the start, want 40 ms", first, sr.aliveAt.Sub(at(0)))
		}
	}
}

// Guards against a flow that is reset because its server was silent before the
// flow came here: the server may have started again.
func TestSilentBeforeFlow(t *testing.T) {
	for _, answers := range []bool{false, true} {
		rg := newRig(t, deskServer(1, localDC))
		sr := rg.servers["i-1"].endpoint()
		rg.HandleCheckResult(at(0), at(-120), sr, false)
		request := nextPacket(rg.newSYN(), 1, 100)
		if dc := rg.wantDecision(rg.Handle(at(100), request), Forward, Tagged); dc.Check != sr {
			t.Errorf("check of %+v, want %+v", dc.Check, sr)
		}
		rg.HandleCheckResult(at(200), at(100), sr, answers)
		if resets := rg.runTicks(at(200), at(300)); len(resets) > 0 == answers {
			t.Errorf("server answers: %t, resets %v", answers, resets)
		}
	}
}

// Guards against a flow that is reset because its server started again twice before
// the flow's next packet.
func TestTwoRestarts(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC))
	syn, sr := rg.open(at(0))
	rg.setFresh(at(1000))
	for ms := range 2 {
		next := deskServer(1, localDC)
		next.Started = at(ms + 1)
		rg.server(at(100), next)
	}
	rg.wantDecision(rg.Handle(at(200), nextPacket(syn, sr.Tag, 100)), Forward, Known)
}
