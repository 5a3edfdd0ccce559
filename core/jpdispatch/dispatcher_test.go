package jpdispatch

import (
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// Guards against copies of a SYN that go on to a server that has not answered,
// also when a check has found it silent meanwhile.
func TestCopiesGoElsewhere(t *testing.T) {
	rows := []struct {
		name            string
		checked, paused bool
	}{{"not checked", false, false}, {"found silent", true, false}, {"found silent, pause before", true, true}}
	for _, row := range rows {
		rg := newRig(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC))
		syn := rg.newSYN()
		first := rg.wantDecision(rg.Handle(at(0), syn), Forward, Placed)
		if row.checked {
			rg.HandleCheckResult(at(50), at(40), first.Server, false)
		}
		if row.paused {
			rg.NotePause(at(51))
		}
		rg.runTicks(at(100), at(200))
		tried := map[string]bool{first.Server.ID: true}
		for copies, ms := range []int{200, 600} {
			syn.Ack = uint32(copies + 1)
			dc := rg.wantDecision(rg.Handle(at(ms), syn), Forward, Moved)
			if tried[dc.Server.ID] {
				t.Errorf("%s: copy %d went to %s again", row.name, copies+1, dc.Server.ID)
			}
			tried[dc.Server.ID] = true
			rg.runTicks(at(ms), at(600))
		}
	}
}

// Guards G1: packets of an open flow go to its server whatever this instance
// knows of the flow, and while the server drains, is out or becomes cold.
func TestOpenFlowStays(t *testing.T) {
	rows := []struct {
		name   string
		change func(rg *rig, sr Endpoint)
	}{
		{"nothing", func(*rig, Endpoint) {}},
		{"drains", func(rg *rig, sr Endpoint) {
			next := deskServer(1, localDC)
			next.Draining = true
			rg.server(at(10), next)
		}},
		{"out", func(rg *rig, _ Endpoint) { rg.setDataCentreOut(at(10), localDC, true) }},
		{"cold again", func(rg *rig, _ Endpoint) {
			next := deskServer(1, localDC)
			next.WarmAt = at(5000)
			rg.server(at(10), next)
		}},
		{"entry lapsed", func(rg *rig, sr Endpoint) { rg.remove(at(10), sr.ID) }},
		{"new version", func(rg *rig, _ Endpoint) {
			rg.manifest(2, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "catalogue", Weight: 1}}})
		}},
		{"directory is old", func(rg *rig, _ Endpoint) { rg.SetFreshness(at(-60_000), at(-90_000)) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			seen := newRig(t, deskServer(1, localDC))
			syn, sr := seen.open(at(0))
			row.change(seen, sr)
			dc := seen.wantDecision(seen.Handle(at(100), nextPacket(syn, sr.Tag, 500)), Forward, Known)
			if dc.Server != sr {
				t.Errorf("seen before: went to %+v, want %+v", dc.Server, sr)
			}
			other := newRig(t, deskServer(1, localDC))
			row.change(other, sr)
			dc = other.wantDecision(other.Handle(at(100), nextPacket(syn, sr.Tag, 500)), Forward, Tagged)
			if dc.Server != sr {
				t.Errorf("not seen before: went to %+v, want %+v", dc.Server, sr)
			}
		})
	}
}

// Guards against an open flow that changes its server with the tag of a second
// answer to its SYN.
func TestLateSecondAnswer(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC), deskServer(2, localDC))
	syn, sr := rg.open(at(0))
	dc := rg.wantDecision(rg.Handle(at(50), nextPacket(syn, 3-sr.Tag, 100)), Forward, Known)
	if dc.Server != sr {
		t.Errorf("went to %+v, want %+v", dc.Server, sr)
	}
}

// Guards G8, G4 and G3: servers that drain, are out, have left or are cold get
// no new flows while others can take them.
func TestNewFlowsAvoid(t *testing.T) {
	rows := []struct {
		name   string
		change func(rg *rig)
	}{
		{"draining", func(rg *rig) {
			next := deskServer(1, localDC)
			next.Draining = true
			rg.server(at(0), next)
		}},
		{"out", func(rg *rig) {
			next := deskServer(1, remoteDC)
			rg.server(at(0), next)
			rg.setDataCentreOut(at(0), remoteDC, true)
		}},
		{"gone", func(rg *rig) { rg.remove(at(0), "i-1") }},
		{"cold", func(rg *rig) {
			next := deskServer(1, localDC)
			next.WarmAt = at(1000)
			rg.server(at(0), next)
		}},
		{"back and cold", func(rg *rig) {
			rg.server(at(0), deskServer(1, remoteDC))
			rg.setDataCentreOut(at(-500), remoteDC, true)
			rg.setDataCentreOut(at(0), remoteDC, false)
		}},
		{"other service", func(rg *rig) {
			next := deskServer(1, localDC)
			next.Service = "catalogue"
			next.Address = deskServer(9, localDC).Address
			rg.server(at(0), next)
		}},
	}
	for _, row := range rows {
		rg := newRig(t, deskServer(1, localDC), deskServer(2, localDC))
		row.change(rg)
		for range 20 {
			dc := rg.wantDecision(rg.Handle(at(10), rg.newSYN()), Forward, Placed)
			if dc.Server.ID != "i-2" {
				t.Fatalf("%s: a new flow went to %s", row.name, dc.Server.ID)
			}
			rg.HandleCheckResult(at(10), at(9), dc.Server, true)
		}
	}
}

// Guards G3 when all servers are cold: the instances together stay below the
// allowance of a server in each second, without a word between them.
func TestColdAllowance(t *testing.T) {
	rows := []struct {
		perSecond float64
		instances int
	}{{0, 1}, {0, 7}, {0, 80}, {4, 3}, {20, 9}}
	for _, row := range rows {
		allowed := row.perSecond*1.5 + 5 // what the platform takes for too much
		worst, recent := 0, []time.Time{}
		var rigs []*rig
		for rank := range row.instances {
			rg := newRig(t)
			rg.SetInstances(rank, row.instances)
			rg.manifest(2, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
			rg.services["desk"].cfg.ColdPerSecond = row.perSecond
			next := deskServer(1, localDC)
			next.WarmAt = at(10_000)
			rg.server(at(rank*130%900), next) // news reaches instances within a second
			rigs = append(rigs, rg)
		}
		for ms := 0; ms < 5000; ms += 10 {
			for _, rg := range rigs {
				dc := rg.Handle(at(ms), rg.newSYN())
				if dc.Outcome != Forward {
					continue
				}
				rg.HandleCheckResult(at(ms), at(ms), dc.Server, true)
				recent = append(recent, at(ms))
			}
			for len(recent) > 0 && at(ms).Sub(recent[0]) >= time.Second {
				recent = recent[1:]
			}
			worst = max(worst, len(recent))
		}
		if float64(worst) > allowed || worst == 0 {
			t.Errorf("%+v: %d new flows in one second, allowed %.0f", row, worst, allowed)
		}
	}
}

// Guards G6: a refusal is sent at once, only for a flow of which no server has
// got anything, and only by an instance that knows the latest routes.
func TestRefusals(t *testing.T) {
	unknown := netip.MustParseAddrPort("198.18.9.9:80")
	rg := newRig(t, deskServer(1, localDC))
	syn := rg.newSYN()
	syn.Route = unknown
	rg.wantDecision(rg.Handle(at(0), syn), Refuse, NoRoute)
	rg.SetFreshness(at(-10_000), at(-60_000))
	rg.wantDecision(rg.Handle(at(0), syn), Drop, NoRoute)

	rg.setFresh(at(0))
	next := deskServer(1, localDC)
	next.Draining = true
	placed := rg.newSYN()
	rg.wantDecision(rg.Handle(at(0), placed), Forward, Placed)
	rg.server(at(1), next)
	rg.wantDecision(rg.Handle(at(2), rg.newSYN()), Refuse, NoServer)
	placed.Ack = 1
	rg.runTicks(at(100), at(200))
	rg.wantDecision(rg.Handle(at(200), placed), Forward, Known)

	if dc := New(localDC).Handle(at(0), rg.newSYN()); dc.Outcome != Drop || dc.Reason != NotReady {
		t.Errorf("without a directory: %+v", dc)
	}
}

// Guards against a tag that no record explains: it is dropped while its record
// may still come, and reset when the store has had the time to tell.
func TestUnknownTag(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC))
	pk := nextPacket(rg.newSYN(), 77, 10)
	rg.wantDecision(rg.Handle(at(0), pk), Drop, UnknownTag)
	rg.wantDecision(rg.Handle(at(3900), pk), Drop, UnknownTag)
	rg.setFresh(at(4000))
	rg.wantDecision(rg.Handle(at(4000), pk), Reset, UnknownTag)
	rg.SetFreshness(at(4000), at(3000))
	rg.wantDecision(rg.Handle(at(4100), pk), Drop, UnknownTag)
	rg.server(at(4200), deskServer(77, localDC))
	rg.wantDecision(rg.Handle(at(4300), pk), Forward, Tagged)
}

// Guards against two servers with one tag: the first keeps it, and the other
// gets no flows that its packets could not find.
func TestDuplicateTags(t *testing.T) {
	first, second := deskServer(1, localDC), deskServer(2, localDC)
	first.Number, second.Number = 5, 5
	rg := newRig(t, first, second)
	for range 10 {
		dc := rg.Handle(at(0), rg.newSYN())
		if dc.Server.ID != first.ID {
			t.Errorf("a flow went to %s", dc.Server.ID)
		}
	}
	if tagOf(0x1_0000_0005) == tagOf(0x2_0000_0005) {
		t.Error("numbers that differ in the upper half have one tag")
	}
}

// Guards the balance: flows spread evenly over the servers of the own data
// centre, and others get some only when those are far ahead.
func TestBalance(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC), deskServer(4, remoteDC))
	count := map[string]int{}
	for range 150 {
		_, sr := rg.open(at(0))
		count[sr.ID]++
	}
	if count["i-1"] != 50 || count["i-2"] != 50 || count["i-3"] != 50 {
		t.Errorf("flows %v", count)
	}
	for range 100 {
		_, sr := rg.open(at(0))
		count[sr.ID]++
	}
	if count["i-4"] == 0 || count["i-4"] > count["i-1"] {
		t.Errorf("flows %v", count)
	}
	peer := newRig(t, deskServer(1, localDC), deskServer(2, localDC))
	peer.HandleLoads(at(0), "10.0.0.2", []Load{{Tag: 1, Flows: 40}})
	for range 30 {
		if _, sr := peer.open(at(1)); sr.ID != "i-2" {
			t.Fatalf("a flow went to the server that a peer has filled")
		}
	}
}

// Guards against flows that are counted for ever.
func TestFlowsExpire(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC))
	for range 50 {
		rg.open(at(0))
	}
	rg.Handle(at(10), rg.newSYN())
	rg.runTicks(at(100), at(5000))
	if loads := rg.Loads(); len(loads) != 0 {
		t.Errorf("loads of quiet flows: %v", loads)
	}
	rg.runTicks(at(5000), at(25_000))
	if stats := rg.Stats(); stats.Flows != 0 {
		t.Errorf("%d flows after 25 s", stats.Flows)
	}
}

// Guards against packets that make the dispatcher fail or send anything but to
// a server it knows.
func FuzzHandle(f *testing.F) {
	f.Add(uint8(1), uint32(1), uint32(5), uint32(0), uint16(0), uint16(1025), uint16(300))
	f.Fuzz(func(t *testing.T, flags uint8, tag, sequence, ack uint32, length, port, ms uint16) {
		rg := newRig(t, deskServer(1, localDC), deskServer(2, remoteDC))
		pk := Packet{
			Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Route: route,
			Flags: Flags(flags), Tag: tag, Sequence: sequence, Ack: ack, Length: int(length),
		}
		for n := range 3 {
			dc := rg.Handle(at(n*int(ms)), pk)
			if dc.Outcome == Forward && dc.Server.Address != deskServer(1, localDC).Address && dc.Server.Address != deskServer(2, localDC).Address {
				t.Errorf("%+v went to %+v", pk, dc.Server)
			}
			rg.Tick(at(n * int(ms)))
		}
	})
}
