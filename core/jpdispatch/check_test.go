package jpdispatch

import (
	"fmt"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// Guards against a crashed server that gets all new flows: its host refuses them
// at once, so its load stays low.
func TestCrashedServerGetsNoFlows(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC))
	reached, first := 0, ""
	for n := range 100 {
		now := at(10 * n)
		syn := hn.newSYN()
		dc := hn.wantDecision(hn.Handle(now, syn), Forward, Placed)
		if first == "" {
			first = dc.Server.ID // this server has crashed
		}
		if dc.Server.ID == first {
			reached++
			continue
		}
		hn.Handle(now.Add(4*time.Millisecond), nextPacket(syn, dc.Server.Tag, 0))
	}
	if reached > 3 {
		t.Errorf("%d of 100 new flows went to the crashed server", reached)
	}
	checks := hn.DueChecks(at(1000))
	if len(checks) != 1 || checks[0].Server.ID != first {
		t.Errorf("servers to check %v, want %s", checks, first)
	}
}

// Guards against resets of flows whose server is alive: retransmitted requests, an
// inconclusive check or an expired entry don't prove that it is gone. Also guards
// against callers that wait for a server that is known to be gone.
func TestResets(t *testing.T) {
	rows := []struct {
		name   string
		events func(hn *harness, syn Packet, sr Endpoint)
		reset  bool
	}{
		{"repeated requests", func(hn *harness, syn Packet, sr Endpoint) {
			for ms := 100; ms < 2000; ms += 200 {
				hn.Handle(at(ms), nextPacket(syn, sr.Tag, 500))
			}
		}, false},
		{"check failed", func(hn *harness, _ Packet, sr Endpoint) {
			hn.HandleCheckResult(at(100), at(50), sr, CheckTimedOut)
		}, true},
		{"check failed during a pause", func(hn *harness, _ Packet, sr Endpoint) {
			hn.NotePause(at(80))
			hn.HandleCheckResult(at(100), at(50), sr, CheckTimedOut)
		}, false},
		{"check failed, but the server answered a packet meanwhile", func(hn *harness, syn Packet, sr Endpoint) {
			pk := nextPacket(syn, sr.Tag, 0)
			pk.Ack += 500
			hn.Handle(at(70), pk)
			hn.HandleCheckResult(at(100), at(50), sr, CheckTimedOut)
		}, false},
		{"check inconclusive", func(hn *harness, _ Packet, sr Endpoint) {
			hn.HandleCheckResult(at(100), at(50), sr, CheckInconclusive)
		}, false},
		{"check failed, then answered", func(hn *harness, _ Packet, sr Endpoint) {
			hn.HandleCheckResult(at(100), at(50), sr, CheckTimedOut)
			hn.HandleCheckResult(at(110), at(105), sr, CheckAnswered)
		}, false},
		{"entry expired 3 s ago", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-1000), sr.ID)
		}, false},
		{"entry expired 4 s ago", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-2000), sr.ID)
		}, true},
		{"entry expired 4 s ago, but the server answers checks", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-2000), sr.ID)
			hn.HandleCheckResult(at(1000), at(990), sr, CheckAnswered)
		}, false},
		{"entry expired 4 s ago, but the server answers callers", func(hn *harness, syn Packet, sr Endpoint) {
			hn.remove(at(-2000), sr.ID)
			for ms := 500; ms <= 1000; ms += 500 {
				pk := nextPacket(syn, sr.Tag, 0)
				pk.Ack += uint32(ms)
				hn.wantDecision(hn.Handle(at(ms), pk), Forward, Known)
			}
		}, false},
		{"entry expired 4 s ago, another server answers at its address", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-2000), sr.ID)
			next := deskServer(7, localDC)
			next.Address = sr.Address
			hn.server(at(10), next)
			hn.HandleCheckResult(at(1000), at(990), sr, CheckAnswered)
		}, true},
		{"entry expired 4 s ago while the store was unavailable", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-2000), sr.ID)
			hn.SetFreshness(at(2000), at(0))
		}, false},
		{"address is named by another entry", func(hn *harness, _ Packet, sr Endpoint) {
			next := deskServer(7, localDC)
			next.Address = sr.Address
			hn.server(at(10), next)
		}, false},
		{"address has another server, own entry expired 3 s ago", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-1000), sr.ID)
			next := deskServer(7, localDC)
			next.Address = sr.Address
			hn.server(at(10), next)
		}, false},
		{"address has another server, own entry expired 4 s ago", func(hn *harness, _ Packet, sr Endpoint) {
			hn.remove(at(-2000), sr.ID)
			next := deskServer(7, localDC)
			next.Address = sr.Address
			hn.server(at(10), next)
		}, true},
		{"address is named by an entry of a service that does not exist", func(hn *harness, _ Packet, sr Endpoint) {
			next := deskServer(7, localDC)
			next.Address, next.Service = sr.Address, "nobody"
			hn.server(at(10), next)
		}, false},
		{"address is named by an entry of a service that is added later", func(hn *harness, _ Packet, sr Endpoint) {
			next := deskServer(7, localDC)
			next.Address, next.Service = sr.Address, "archive"
			hn.server(at(10), next)
			hn.apply(at(20), jpdirectory.Record{
				Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord},
				Manifest: &jpdirectory.Manifest{
					Version: 2, IdleTimeout: 15 * time.Second,
					Routes:   []jpdirectory.Route{{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}}},
					Services: []jpdirectory.Service{{Name: "desk", MaxFlows: 2000}, {Name: "archive", MaxFlows: 2000}},
				},
			})
		}, false},
		{"restarted with its id, last listed more than 8 s after the flow began", func(hn *harness, _ Packet, sr Endpoint) {
			hn.setFresh(at(8001))
			next := deskServer(1, localDC)
			next.Started = at(0)
			hn.server(at(10), next)
		}, true},
		{"restarted with its id, perhaps before the flow began", func(hn *harness, _ Packet, sr Endpoint) {
			hn.setFresh(at(7999))
			next := deskServer(1, localDC)
			next.Started = at(0)
			hn.server(at(10), next)
		}, false},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC))
		syn, sr := hn.open(at(0))
		hn.setFresh(at(2000))
		row.events(hn, syn, sr)
		resets := hn.runTicks(at(100), at(2000))
		if len(resets) > 0 != row.reset {
			t.Errorf("%s: resets %v, want one: %t", row.name, resets, row.reset)
		}
		for _, rs := range resets {
			if rs.Caller != syn.Caller || rs.Route != syn.Route || rs.Sequence != 1000 {
				t.Errorf("%s: reset %+v does not match the flow", row.name, rs)
			}
		}
	}
}

// Guards against a number of checks that grows with instances times servers: a
// server that left the directory is checked only by instances that have flows of
// it, and a silent server of another data centre at a longer interval.
func TestChecksAreBounded(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, remoteDC))
	_, sr := hn.open(at(0))
	other := "i-1"
	if sr.ID == other {
		other = "i-2"
	}
	hn.remove(at(10), other)
	if checks := hn.DueChecks(at(20)); len(checks) != 0 {
		t.Errorf("checks of a server without flows: %v", checks)
	}
	hn.remove(at(30), sr.ID)
	if checks := hn.DueChecks(at(40)); len(checks) != 1 || checks[0].Server != sr {
		t.Errorf("checks %v, want %v", checks, sr)
	}
	rows := []struct {
		server jpdirectory.Server
		most   int
	}{{deskServer(1, localDC), 7}, {deskServer(1, remoteDC), 2}}
	for _, row := range rows {
		hn := newHarness(t, row.server)
		silent := hn.servers["i-1"].endpoint()
		hn.HandleCheckResult(at(10), at(5), silent, CheckTimedOut)
		count := 0
		for ms := 100; ms <= 10_000; ms += 100 {
			for _, check := range hn.DueChecks(at(ms)) {
				count++
				hn.HandleCheckResult(at(ms), at(ms), check.Server, CheckTimedOut)
			}
		}
		if count == 0 || count > row.most {
			t.Errorf("%d checks of a silent server in %s in 10 s, want 1 to %d", count, row.server.DataCentre, row.most)
		}
	}
}

// Guards against acknowledgements that are ignored because the server's sequence
// numbers are in the upper half of their range or wrap around.
func TestAckSequenceWraparound(t *testing.T) {
	for _, first := range []uint32{1000, 1<<31 + 1, 1<<32 - 50} {
		hn := newHarness(t, deskServer(1, localDC))
		syn := hn.newSYN()
		hn.Handle(at(0), syn)
		request := nextPacket(syn, 1, 100)
		request.Ack = first
		hn.Handle(at(10), request)
		acknowledgement := nextPacket(syn, 1, 0)
		acknowledgement.Sequence += 100
		acknowledgement.Ack = first + 100
		hn.Handle(at(40), acknowledgement)
		if sr := hn.servers["i-1"]; !sr.aliveAt.Equal(at(40)) {
			t.Errorf("sequence from %d: server last alive %v after the start, want 40 ms", first, sr.aliveAt.Sub(at(0)))
		}
	}
}

// Guards against a flow that is reset because a check of its server failed before
// the flow's first packet at this instance: the server may have restarted since.
func TestSilentBeforeFlow(t *testing.T) {
	for _, result := range []CheckResult{CheckTimedOut, CheckAnswered} {
		hn := newHarness(t, deskServer(1, localDC))
		sr := hn.servers["i-1"].endpoint()
		hn.HandleCheckResult(at(0), at(-120), sr, CheckTimedOut)
		request := nextPacket(hn.newSYN(), 1, 100)
		if dc := hn.wantDecision(hn.Handle(at(100), request), Forward, Tagged); dc.Check.Server != sr {
			t.Errorf("check of %+v, want %+v", dc.Check, sr)
		}
		hn.HandleCheckResult(at(200), at(100), sr, result)
		if resets := hn.runTicks(at(200), at(300)); len(resets) > 0 != (result == CheckTimedOut) {
			t.Errorf("check %v, resets %v", result, resets)
		}
	}
}

// Guards against a flow that is reset because its server restarted twice before
// the flow's next packet.
func TestTwoRestarts(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	syn, sr := hn.open(at(0))
	hn.setFresh(at(1000))
	for ms := range 2 {
		next := deskServer(1, localDC)
		next.Started = at(ms + 1)
		hn.server(at(100), next)
	}
	hn.wantDecision(hn.Handle(at(200), nextPacket(syn, sr.Tag, 100)), Forward, Known)
}

// Guards against a data centre that counts as cut off because the same server is
// checked again and again, or for longer than that can be known.
func TestUnreachableDataCentre(t *testing.T) {
	hn := newHarness(t, deskServer(1, remoteDC), deskServer(2, remoteDC), deskServer(3, remoteDC), deskServer(4, remoteDC))
	rows := []struct {
		ms, number int
		reachable  bool // afterwards
	}{
		{500, 1, true}, {1000, 1, true}, {1500, 1, true}, {2000, 1, true}, {2500, 2, true}, {3000, 3, false}, {3500, 1, false},
	}
	for _, row := range rows {
		hn.runTicks(at(row.ms-500), at(row.ms))
		hn.HandleCheckResult(at(row.ms), at(row.ms-120), hn.servers[fmt.Sprint("i-", row.number)].endpoint(), CheckTimedOut)
		if reachable := !hn.unreachable(hn.servers["i-4"]); reachable != row.reachable {
			t.Errorf("after %d ms: reachable %t, want %t", row.ms, reachable, row.reachable)
		}
	}
	hn.runTicks(at(3600), at(8500))
	if hn.unreachable(hn.servers["i-4"]) {
		t.Error("the data centre counts as cut off 5 s after the last check")
	}
}

// Guards against a report of a peer that has no effect because the server was
// checked just before.
func TestReportAfterCheck(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	sr := hn.servers["i-1"].endpoint()
	hn.HandleCheckResult(at(0), at(-1), sr, CheckAnswered)
	for _, row := range []struct {
		ms, checks int
	}{{500, 0}, {1000, 1}, {1500, 0}, {2500, 0}} {
		list := hn.HandleSilentServers(at(row.ms), "10.0.0.9", []string{"i-1"})
		if len(list) != row.checks {
			t.Errorf("report after %d ms: checks %v, want %d", row.ms, list, row.checks)
		}
		for _, check := range list {
			hn.HandleCheckResult(at(row.ms), at(row.ms), check.Server, CheckAnswered)
		}
	}
}

// Guards against checks without a reference when the entries of all servers expire
// together, as after an outage of the store: a congested link would then count.
func TestChecksOfExpiredEntriesHaveReferences(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
	hn.open(at(0))
	hn.open(at(0))
	hn.remove(at(100), "i-1")
	hn.remove(at(100), "i-2")
	checks := hn.DueChecks(at(200))
	if len(checks) != 2 {
		t.Fatalf("checks %+v, want two", checks)
	}
	for _, ck := range checks {
		if len(ck.References) != 1 || ck.References[0].ID == ck.Server.ID {
			t.Errorf("check of %s has the references %+v, want the other server", ck.Server.ID, ck.References)
		}
	}
}

// Guards against a dead server that is not found because the first check of it was
// inconclusive.
func TestInconclusiveCheckIsRepeated(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
	_, sr := hn.open(at(0))
	hn.HandleCheckResult(at(400), at(50), sr, CheckInconclusive)
	if checks := hn.DueChecks(at(800)); len(checks) != 0 {
		t.Errorf("checks %+v after 0.4 s, want none", checks)
	}
	if checks := hn.DueChecks(at(900)); len(checks) != 1 || checks[0].Server.ID != sr.ID {
		t.Errorf("checks %+v after 0.5 s, want one of %s", checks, sr.ID)
	}
	hn.HandleCheckResult(at(1000), at(900), sr, CheckAnswered)
	if checks := hn.DueChecks(at(5000)); len(checks) != 0 {
		t.Errorf("checks %+v after it was answered, want none", checks)
	}
}
