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
		rg := newRig(t, desk(1, home), desk(2, home), desk(3, home))
		syn := rg.syn()
		first := rg.want(rg.Handle(at(0), syn), Forward, Placed)
		if row.checked {
			rg.HandleCheck(at(50), at(40), first.Server, false)
		}
		if row.paused {
			rg.Pause(at(51))
		}
		rg.run(at(100), at(200))
		tried := map[string]bool{first.Server.ID: true}
		for copies, ms := range []int{200, 600} {
			syn.Ack = uint32(copies + 1)
			dc := rg.want(rg.Handle(at(ms), syn), Forward, Moved)
			if tried[dc.Server.ID] {
				t.Errorf("%s: copy %d went to %s again", row.name, copies+1, dc.Server.ID)
			}
			tried[dc.Server.ID] = true
			rg.run(at(ms), at(600))
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
			next := desk(1, home)
			next.Draining = true
			rg.server(at(10), next)
		}},
		{"out", func(rg *rig, _ Endpoint) { rg.out(at(10), home, true) }},
		{"cold again", func(rg *rig, _ Endpoint) {
			next := desk(1, home)
			next.WarmAt = at(5000)
			rg.server(at(10), next)
		}},
		{"entry lapsed", func(rg *rig, sr Endpoint) { rg.remove(at(10), sr.ID) }},
		{"new version", func(rg *rig, _ Endpoint) {
			rg.manifest(2, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "catalogue", Weight: 1}}})
		}},
		{"directory is old", func(rg *rig, _ Endpoint) { rg.SetCurrent(at(-60_000), at(-90_000)) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			seen := newRig(t, desk(1, home))
			syn, sr := seen.open(at(0))
			row.change(seen, sr)
			dc := seen.want(seen.Handle(at(100), answered(syn, sr.Tag, 500)), Forward, Known)
			if dc.Server != sr {
				t.Errorf("seen before: went to %+v, want %+v", dc.Server, sr)
			}
			other := newRig(t, desk(1, home))
			row.change(other, sr)
			dc = other.want(other.Handle(at(100), answered(syn, sr.Tag, 500)), Forward, Tagged)
			if dc.Server != sr {
				t.Errorf("not seen before: went to %+v, want %+v", dc.Server, sr)
			}
		})
	}
}

// Guards against an open flow that changes its server with the tag of a second
// answer to its SYN.
func TestLateSecondAnswer(t *testing.T) {
	rg := newRig(t, desk(1, home), desk(2, home))
	syn, sr := rg.open(at(0))
	dc := rg.want(rg.Handle(at(50), answered(syn, 3-sr.Tag, 100)), Forward, Known)
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
			next := desk(1, home)
			next.Draining = true
			rg.server(at(0), next)
		}},
		{"out", func(rg *rig) {
			next := desk(1, remote)
			rg.server(at(0), next)
			rg.out(at(0), remote, true)
		}},
		{"gone", func(rg *rig) { rg.remove(at(0), "i-1") }},
		{"cold", func(rg *rig) {
			next := desk(1, home)
			next.WarmAt = at(1000)
			rg.server(at(0), next)
		}},
		{"back and cold", func(rg *rig) {
			rg.server(at(0), desk(1, remote))
			rg.out(at(-500), remote, true)
			rg.out(at(0), remote, false)
		}},
		{"other service", func(rg *rig) {
			next := desk(1, home)
			next.Service = "catalogue"
			next.Address = desk(9, home).Address
			rg.server(at(0), next)
		}},
	}
	for _, row := range rows {
		rg := newRig(t, desk(1, home), desk(2, home))
		row.change(rg)
		for range 20 {
			dc := rg.want(rg.Handle(at(10), rg.syn()), Forward, Placed)
			if dc.Server.ID != "i-2" {
				t.Fatalf("%s: a new flow went to %s", row.name, dc.Server.ID)
			}
			rg.HandleCheck(at(10), at(9), dc.Server, true)
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
			next := desk(1, home)
			next.WarmAt = at(10_000)
			rg.server(at(rank*130%900), next) // news reaches instances within a second
			rigs = append(rigs, rg)
		}
		for ms := 0; ms < 5000; ms += 10 {
			for _, rg := range rigs {
				dc := rg.Handle(at(ms), rg.syn())
				if dc.Outcome != Forward {
					continue
				}
				rg.HandleCheck(at(ms), at(ms), dc.Server, true)
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
	rg := newRig(t, desk(1, home))
	syn := rg.syn()
	syn.Route = unknown
	rg.want(rg.Handle(at(0), syn), Refuse, NoRoute)
	rg.SetCurrent(at(-10_000), at(-60_000))
	rg.want(rg.Handle(at(0), syn), Drop, NoRoute)

	rg.fresh(at(0))
	next := desk(1, home)
	next.Draining = true
	placed := rg.syn()
	rg.want(rg.Handle(at(0), placed), Forward, Placed)
	rg.server(at(1), next)
	rg.want(rg.Handle(at(2), rg.syn()), Refuse, NoServer)
	placed.Ack = 1
	rg.run(at(100), at(200))
	rg.want(rg.Handle(at(200), placed), Forward, Known)

	if dc := New(home).Handle(at(0), rg.syn()); dc.Outcome != Drop || dc.Reason != NotReady {
		t.Errorf("without a directory: %+v", dc)
	}
}

// Guards against a tag that no record explains: it is dropped while its record
// may still come, and reset when the store has had the time to tell.
func TestUnknownTag(t *testing.T) {
	rg := newRig(t, desk(1, home))
	pk := answered(rg.syn(), 77, 10)
	rg.want(rg.Handle(at(0), pk), Drop, UnknownTag)
	rg.want(rg.Handle(at(3900), pk), Drop, UnknownTag)
	rg.fresh(at(4000))
	rg.want(rg.Handle(at(4000), pk), Reset, UnknownTag)
	rg.SetCurrent(at(4000), at(3000))
	rg.want(rg.Handle(at(4100), pk), Drop, UnknownTag)
	rg.server(at(4200), desk(77, home))
	rg.want(rg.Handle(at(4300), pk), Forward, Tagged)
}

// Guards against two servers with one tag: the first keeps it, and the other
// gets no flows that its packets could not find.
func TestEqualTags(t *testing.T) {
	first, second := desk(1, home), desk(2, home)
	first.Number, second.Number = 5, 5
	rg := newRig(t, first, second)
	for range 10 {
		dc := rg.Handle(at(0), rg.syn())
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
	rg := newRig(t, desk(1, home), desk(2, home), desk(3, home), desk(4, remote))
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
	peer := newRig(t, desk(1, home), desk(2, home))
	peer.HandleLoads(at(0), "10.0.0.2", []Load{{Tag: 1, Flows: 40}})
	for range 30 {
		if _, sr := peer.open(at(1)); sr.ID != "i-2" {
			t.Fatalf("a flow went to the server that a peer has filled")
		}
	}
}

// Guards against flows that are counted for ever.
func TestFlowsAreForgotten(t *testing.T) {
	rg := newRig(t, desk(1, home))
	for range 50 {
		rg.open(at(0))
	}
	rg.Handle(at(10), rg.syn())
	rg.run(at(100), at(5000))
	if loads := rg.Loads(); len(loads) != 0 {
		t.Errorf("loads of quiet flows: %v", loads)
	}
	rg.run(at(5000), at(25_000))
	if stats := rg.Stats(); stats.Flows != 0 {
		t.Errorf("%d flows after 25 s", stats.Flows)
	}
}

// Guards against packets that make the dispatcher fail or send anything but to
// a server it knows.
func FuzzHandle(f *testing.F) {
	f.Add(uint8(1), uint32(1), uint32(5), uint32(0), uint16(0), uint16(1025), uint16(300))
	f.Fuzz(func(t *testing.T, flags uint8, tag, sequence, ack uint32, length, port, ms uint16) {
		rg := newRig(t, desk(1, home), desk(2, remote))
		pk := Packet{
			Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Route: route,
			Flags: Flags(flags), Tag: tag, Sequence: sequence, Ack: ack, Length: int(length),
		}
		for n := range 3 {
			dc := rg.Handle(at(n*int(ms)), pk)
			if dc.Outcome == Forward && dc.Server.Address != desk(1, home).Address && dc.Server.Address != desk(2, home).Address {
				t.Errorf("%+v went to %+v", pk, dc.Server)
			}
			rg.Tick(at(n * int(ms)))
		}
	})
}
