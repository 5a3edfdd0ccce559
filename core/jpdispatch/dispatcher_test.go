package jpdispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpflow"
)

// Guards against retransmissions of a SYN that go to a server that has not
// answered the earlier ones, also if a check of it has failed in between.
func TestCopiesGoElsewhere(t *testing.T) {
	rows := []struct {
		name            string
		checked, paused bool
	}{{"not checked", false, false}, {"found silent", true, false}, {"found silent, pause before", true, true}}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC))
		syn := hn.newSYN()
		first := hn.wantDecision(hn.Handle(at(0), syn), Forward, Placed)
		if row.checked {
			hn.HandleCheckResult(at(50), at(40), first.Server, CheckTimedOut)
		}
		if row.paused {
			hn.NotePause(at(51))
		}
		hn.runTicks(at(100), at(200))
		tried := map[string]bool{first.Server.ID: true}
		for earlier, ms := range []int{200, 600} {
			syn.Ack = uint32(earlier + 1)
			dc := hn.wantDecision(hn.Handle(at(ms), syn), Forward, Moved)
			if tried[dc.Server.ID] {
				t.Errorf("%s: retransmission %d was sent to %s again", row.name, earlier+1, dc.Server.ID)
			}
			tried[dc.Server.ID] = true
			hn.runTicks(at(ms), at(600))
		}
	}
}

// Guards guarantee G1: packets of an open flow go to its server, whether or not
// this instance has the flow in its table, and while the server drains, is in a
// data centre that is out or becomes cold.
func TestOpenFlowStays(t *testing.T) {
	rows := []struct {
		name   string
		change func(hn *harness, sr Endpoint)
	}{
		{"nothing", func(*harness, Endpoint) {}},
		{"drains", func(hn *harness, sr Endpoint) {
			next := deskServer(1, localDC)
			next.Draining = true
			hn.server(at(10), next)
		}},
		{"out", func(hn *harness, _ Endpoint) { hn.setDataCentreOut(at(10), localDC, true) }},
		{"cold again", func(hn *harness, _ Endpoint) {
			next := deskServer(1, localDC)
			next.WarmAt = at(5000)
			hn.server(at(10), next)
		}},
		{"entry expired", func(hn *harness, sr Endpoint) { hn.remove(at(10), sr.ID) }},
		{"new version", func(hn *harness, _ Endpoint) {
			hn.manifest(2, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "catalogue", Weight: 1}}})
		}},
		{"directory is old", func(hn *harness, _ Endpoint) { hn.SetFreshness(at(-60_000), at(-90_000)) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			seen := newHarness(t, deskServer(1, localDC))
			syn, sr := seen.open(at(0))
			row.change(seen, sr)
			dc := seen.wantDecision(seen.Handle(at(100), nextPacket(syn, sr.Tag, 500)), Forward, Known)
			if dc.Server != sr {
				t.Errorf("flow in the table: sent to %+v, want %+v", dc.Server, sr)
			}
			other := newHarness(t, deskServer(1, localDC))
			row.change(other, sr)
			dc = other.wantDecision(other.Handle(at(100), nextPacket(syn, sr.Tag, 500)), Forward, Tagged)
			if dc.Server != sr {
				t.Errorf("flow not in the table: sent to %+v, want %+v", dc.Server, sr)
			}
		})
	}
}

// Guards against an open flow that changes its server because the caller echoes
// the tag of a second answer to its SYN.
func TestLateSecondAnswer(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
	syn, sr := hn.open(at(0))
	dc := hn.wantDecision(hn.Handle(at(50), nextPacket(syn, 3-sr.Tag, 100)), Forward, Known)
	if dc.Server != sr {
		t.Errorf("sent to %+v, want %+v", dc.Server, sr)
	}
}

// Guards guarantees G8, G4 and G3: servers that drain, are in a data centre that
// is out, have left or are cold get no new flows while others can take them.
func TestNewFlowsAvoid(t *testing.T) {
	rows := []struct {
		name   string
		change func(hn *harness)
	}{
		{"draining", func(hn *harness) {
			next := deskServer(1, localDC)
			next.Draining = true
			hn.server(at(0), next)
		}},
		{"out", func(hn *harness) {
			next := deskServer(1, remoteDC)
			hn.server(at(0), next)
			hn.setDataCentreOut(at(0), remoteDC, true)
		}},
		{"gone", func(hn *harness) { hn.remove(at(0), "i-1") }},
		{"cold", func(hn *harness) {
			next := deskServer(1, localDC)
			next.WarmAt = at(1000)
			hn.server(at(0), next)
		}},
		{"back and cold", func(hn *harness) {
			hn.server(at(0), deskServer(1, remoteDC))
			hn.setDataCentreOut(at(-500), remoteDC, true)
			hn.setDataCentreOut(at(0), remoteDC, false)
		}},
		{"other service", func(hn *harness) {
			next := deskServer(1, localDC)
			next.Service = "catalogue"
			next.Address = deskServer(9, localDC).Address
			hn.server(at(0), next)
		}},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
		row.change(hn)
		for range 20 {
			dc := hn.wantDecision(hn.Handle(at(10), hn.newSYN()), Forward, Placed)
			if dc.Server.ID != "i-2" {
				t.Fatalf("%s: a new flow was sent to %s", row.name, dc.Server.ID)
			}
			hn.HandleCheckResult(at(10), at(9), dc.Server, CheckAnswered)
		}
	}
}

// Guards guarantee G3 when all servers are cold: without communicating, the
// instances together stay below the number of new flows per second that a cold
// server may get.
func TestColdAllowance(t *testing.T) {
	rows := []struct {
		perSecond float64
		instances int
	}{{0, 1}, {0, 7}, {0, 80}, {4, 3}, {20, 9}}
	for _, row := range rows {
		allowed := row.perSecond*1.5 + 5 // limit above which the platform counts an overload
		worst, recent := 0, []time.Time{}
		var harnesses []*harness
		for rank := range row.instances {
			hn := newHarness(t)
			hn.SetPosition(Position{Rank: rank, Count: row.instances})
			hn.manifest(2, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
			hn.services["desk"].cfg.ColdPerSecond = row.perSecond
			next := deskServer(1, localDC)
			next.WarmAt = at(10_000)
			hn.server(at(rank*130%900), next) // changes reach all instances within a second
			harnesses = append(harnesses, hn)
		}
		for ms := 0; ms < 5000; ms += 10 {
			for _, hn := range harnesses {
				dc := hn.Handle(at(ms), hn.newSYN())
				if dc.Outcome != Forward {
					continue
				}
				hn.HandleCheckResult(at(ms), at(ms), dc.Server, CheckAnswered)
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

// Guards guarantee G6: a flow is refused at once, only if no server has received
// anything of it, and only by an instance that has the latest routes.
func TestRefusals(t *testing.T) {
	unknown := netip.MustParseAddrPort("198.18.9.9:80")
	hn := newHarness(t, deskServer(1, localDC))
	syn := hn.newSYN()
	syn.Route = unknown
	hn.wantDecision(hn.Handle(at(0), syn), Refuse, NoRoute)
	hn.SetFreshness(at(-10_000), at(-60_000))
	hn.wantDecision(hn.Handle(at(0), syn), Drop, NoRoute)

	hn.setFresh(at(0))
	next := deskServer(1, localDC)
	next.Draining = true
	placed := hn.newSYN()
	hn.wantDecision(hn.Handle(at(0), placed), Forward, Placed)
	hn.server(at(1), next)
	hn.wantDecision(hn.Handle(at(2), hn.newSYN()), Refuse, NoServer)
	placed.Ack = 1
	hn.runTicks(at(100), at(200))
	hn.wantDecision(hn.Handle(at(200), placed), Forward, Known)

	if dc := New(localDC).Handle(at(0), hn.newSYN()); dc.Outcome != Hold || dc.Reason != NotReady {
		t.Errorf("no manifest yet: %+v", dc)
	}
}

// Guards against wrong handling of a tag without a server record: its packets are
// dropped while the record may still arrive, and reset once the store has been
// available for long enough.
func TestUnknownTag(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	pk := nextPacket(hn.newSYN(), 77, 10)
	hn.wantDecision(hn.Handle(at(0), pk), Drop, UnknownTag)
	hn.wantDecision(hn.Handle(at(3900), pk), Drop, UnknownTag)
	hn.setFresh(at(4000))
	hn.wantDecision(hn.Handle(at(4000), pk), Reset, UnknownTag)
	hn.SetFreshness(at(4000), at(3000))
	hn.wantDecision(hn.Handle(at(4100), pk), Drop, UnknownTag)
	hn.server(at(4200), deskServer(77, localDC))
	hn.wantDecision(hn.Handle(at(4300), pk), Forward, Tagged)
}

// Guards against misrouted flows if two servers have the same tag: the first one
// keeps the tag, and the other one gets no new flows.
func TestDuplicateTags(t *testing.T) {
	first, second := deskServer(1, localDC), deskServer(2, localDC)
	first.Number, second.Number = 5, 5
	hn := newHarness(t, first, second)
	for range 10 {
		dc := hn.Handle(at(0), hn.newSYN())
		if dc.Server.ID != first.ID {
			t.Errorf("a flow was sent to %s", dc.Server.ID)
		}
	}
	if tagOf(0x1_0000_0005) == tagOf(0x2_0000_0005) {
		t.Error("numbers that differ in the upper half have the same tag")
	}
}

// Guards against uneven load: flows are spread evenly over the servers of the
// instance's data centre, and other data centres get some only when the load of
// these servers is much higher.
func TestBalance(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC), deskServer(4, remoteDC))
	count := map[string]int{}
	for range 150 {
		_, sr := hn.open(at(0))
		count[sr.ID]++
	}
	if count["i-1"] != 50 || count["i-2"] != 50 || count["i-3"] != 50 {
		t.Errorf("flows %v", count)
	}
	for range 100 {
		_, sr := hn.open(at(0))
		count[sr.ID]++
	}
	if count["i-4"] == 0 || count["i-4"] > count["i-1"] {
		t.Errorf("flows %v", count)
	}
	peer := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
	peer.HandleLoads(at(0), "10.0.0.2", []Load{{Tag: 1, Flows: 40}})
	for range 30 {
		if _, sr := peer.open(at(1)); sr.ID != "i-2" {
			t.Fatalf("a flow was sent to the server that has many flows of a peer")
		}
	}
}

// Guards against flows that never expire from the loads and the flow table.
func TestFlowsExpire(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	for range 50 {
		hn.open(at(0))
	}
	hn.Handle(at(10), hn.newSYN())
	hn.runTicks(at(100), at(5000))
	hn.Loads()
	hn.runTicks(at(5000), at(5500))
	if loads := hn.Loads(); len(loads) != 1 || loads[0] != (Load{Tag: 1, Held: 50}) {
		t.Errorf("loads of idle flows: %v", loads)
	}
	hn.runTicks(at(5500), at(25_000))
	if loads := hn.Loads(); len(loads) != 0 {
		t.Errorf("loads after 25 s: %v", loads)
	}
	if stats := hn.Stats(); stats.Flows != 0 {
		t.Errorf("%d flows after 25 s", stats.Flows)
	}
}

// Guards against packets that make the dispatcher panic or forward to an address
// other than that of a known server.
func FuzzHandle(f *testing.F) {
	f.Add(uint8(1), uint32(1), uint32(5), uint32(0), uint16(0), uint16(1025), uint16(300))
	f.Fuzz(func(t *testing.T, flags uint8, tag, sequence, ack uint32, length, port, ms uint16) {
		hn := newHarness(t, deskServer(1, localDC), deskServer(2, remoteDC))
		pk := Packet{
			Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Route: route,
			Flags: Flags(flags), Tag: tag, Sequence: sequence, Ack: ack, Length: int(length),
		}
		for n := range 3 {
			dc := hn.Handle(at(n*int(ms)), pk)
			if dc.Outcome == Forward && dc.Server.Address != deskServer(1, localDC).Address && dc.Server.Address != deskServer(2, localDC).Address {
				t.Errorf("%+v was sent to %+v", pk, dc.Server)
			}
			hn.Tick(at(n * int(ms)))
		}
	})
}

// Guards against a late copy of a SYN that reaches a lost server after its flow was
// reset.
func TestSYNAfterReset(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
	syn, sr := hn.open(at(0))
	hn.HandleCheckResult(at(100), at(50), sr, CheckTimedOut)
	if resets := hn.runTicks(at(100), at(300)); len(resets) != 1 {
		t.Fatalf("resets %v, want one", resets)
	}
	hn.wantDecision(hn.Handle(at(310), syn), Drop, Late)
}

// Guards against copies of a SYN that open a flow at several servers because the
// flow table is full and the first copy is not remembered.
func TestSYNCopiesWithFullTable(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC))
	hn.flows = jpflow.New[FlowKey, flow](1)
	hn.open(at(0))
	for range 20 {
		syn := hn.newSYN()
		first := hn.wantDecision(hn.Handle(at(10), syn), Forward, Placed)
		// Loads change between the copies.
		hn.HandleLoads(at(100), "10.0.0.9", []Load{{Tag: first.Server.Tag, Flows: 3}})
		if second := hn.Handle(at(210), syn); second.Server != first.Server {
			t.Errorf("copies of a SYN went to %s and %s", first.Server.ID, second.Server.ID)
		}
	}
}

// Guards against a placement that differs from a search of all servers: it looks at
// other data centres only if the least loaded server of its own has a high load, and
// adds up the loads of peers as they come.
func TestPlacementFindsLeastLoaded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		var servers []jpdirectory.Server
		for no := range 12 {
			servers = append(servers, deskServer(no+1, []string{localDC, remoteDC, "devonport"}[rng.IntN(3)]))
		}
		hn := newHarness(t, servers...)
		loads := map[string]int{}
		for peer := range 3 {
			for _, report := range []int{0, 1} { // the second report replaces the first
				var list []Load
				for no, sr := range servers {
					flows := rng.IntN(100)
					list = append(list, Load{Tag: uint32(no + 1), Flows: flows})
					if report == 1 {
						loads[sr.ID] += flows
					}
				}
				hn.HandleLoads(at(100*report), fmt.Sprint(peer), list)
			}
		}
		lowest := math.Inf(1)
		score := func(sr jpdirectory.Server) float64 {
			score := float64(loads[sr.ID]) / 2
			if sr.DataCentre != localDC {
				score += remotePenalty
			}
			return score
		}
		for _, sr := range servers {
			lowest = min(lowest, score(sr))
		}
		dc := hn.wantDecision(hn.Handle(at(200), hn.newSYN()), Forward, Placed)
		for _, sr := range servers {
			if sr.ID == dc.Server.ID && score(sr) != lowest {
				t.Fatalf("round %d: the flow went to a server with a score of %g, the lowest is %g", round, score(sr), lowest)
			}
		}
		// All reports have expired.
		if load := hn.servers[dc.Server.ID].load(at(1700)); load != 1 {
			t.Fatalf("round %d: load %d after the reports have expired, want 1", round, load)
		}
	}
}

// Guards against the reset of an open flow that does not say on which evidence, and
// against packets that go to another server than their tag says unnoticed.
func TestResetEvidence(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
	syn, sr := hn.open(at(0))
	other := nextPacket(syn, 3-sr.Tag, 0)
	if dc := hn.wantDecision(hn.Handle(at(50), other), Forward, Known); dc.Server.ID != sr.ID || !dc.TagDiffers {
		t.Errorf("packet with the tag of another server: %+v", dc)
	}
	hn.remove(at(60), sr.ID)
	hn.HandleCheckResult(at(200), at(100), sr, CheckTimedOut)
	resets := hn.runTicks(at(200), at(1200))
	want := Evidence{
		FlowSeenAt: at(0), ServerAliveAt: at(4), CheckFailedAt: at(200), ServerLeftAt: at(60), StoreUpSince: at(-60_000),
	}
	if len(resets) != 1 || resets[0].Evidence != want {
		t.Errorf("resets %+v, want one with %+v", resets, want)
	}
}

// Guards against the reset of an open flow by an instance that does not know the
// flow's route yet.
func TestFlowOfNewRouteIsNotReset(t *testing.T) {
	added := netip.MustParseAddrPort("198.18.0.2:443")
	rows := []struct {
		name    string
		events  func(hn *harness)
		outcome Outcome
		reason  Reason
	}{
		{"the directory is older than the packet", func(*harness) {}, Drop, NoRoute},
		{"the route arrives", func(hn *harness) {
			hn.manifest(2, jpdirectory.Route{Address: added, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
		}, Forward, Tagged},
		{"the directory of a later time has no such route", func(hn *harness) { hn.setFresh(at(1999)) }, Reset, NoRoute},
		{"the directory of a later time has it no more", func(hn *harness) {
			hn.manifest(2, jpdirectory.Route{Address: added, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
			hn.manifest(3)
			hn.setFresh(at(1999))
		}, Reset, NoRoute},
		{"the earlier packet was of another flow", func(hn *harness) {
			other := nextPacket(hn.newSYN(), 1, 100)
			other.Route = added
			hn.setFresh(at(1999))
			hn.wantDecision(hn.Handle(at(2000), other), Drop, NoRoute)
		}, Reset, NoRoute},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC))
		pk := nextPacket(hn.newSYN(), 1, 100)
		pk.Route = added
		hn.wantDecision(hn.Handle(at(900), pk), Drop, NoRoute)
		row.events(hn)
		if dc := hn.Handle(at(2000), pk); dc.Outcome != row.outcome || dc.Reason != row.reason {
			t.Errorf("%s: outcome %d for %v, want %d for %v", row.name, dc.Outcome, dc.Reason, row.outcome, row.reason)
		}
	}
}

// Guards against an address that goes to the server which had it earlier when the
// entries of both are known before the manifest.
func TestLastEntryHasTheAddress(t *testing.T) {
	for range 20 { // the order of maps varies
		ds := New(localDC)
		ds.Tick(at(-1000))
		hn := &harness{Dispatcher: ds, tb: t, nextPort: 1024}
		next := deskServer(2, localDC)
		next.Address = deskServer(1, localDC).Address
		hn.server(at(0), deskServer(1, localDC))
		hn.server(at(0), next)
		hn.manifest(1, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
		hn.setFresh(at(0))
		if dc := hn.wantDecision(hn.Handle(at(0), hn.newSYN()), Forward, Placed); dc.Server.ID != "i-2" || dc.Choices != 1 {
			t.Errorf("a new flow went to %q of %d servers, want i-2 of 1", dc.Server.ID, dc.Choices)
		}
	}
}
