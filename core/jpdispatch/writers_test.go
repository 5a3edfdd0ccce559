package jpdispatch

import (
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// Guards against open flows that are reset, or sent to another address, because another
// writer's entry contradicts that of a living server, which writes its own again within
// a heartbeat.
func TestFalseEntriesEndNoFlow(t *testing.T) {
	rows := []struct {
		name    string
		falsify func(cfg *jpdirectory.Server)
	}{
		{"under another key, with its address", func(cfg *jpdirectory.Server) { cfg.ID, cfg.Number = "i-7", 7 }},
		{"under another key, of another service", func(cfg *jpdirectory.Server) { cfg.ID, cfg.Number, cfg.Service = "i-7", 7, "catalogue" }},
		{"start left out", func(cfg *jpdirectory.Server) { cfg.Started = time.Time{} }},
		{"later start", func(cfg *jpdirectory.Server) { cfg.Started = cfg.Started.Add(time.Hour) }},
		{"earlier start", func(cfg *jpdirectory.Server) { cfg.Started = cfg.Started.Add(-time.Hour) }},
		{"another address", func(cfg *jpdirectory.Server) { cfg.Address = deskServer(9, localDC).Address }},
		{"address of another server", func(cfg *jpdirectory.Server) { cfg.Address = deskServer(2, localDC).Address }},
		{"another data centre", func(cfg *jpdirectory.Server) { cfg.DataCentre = remoteDC }},
		{"another service", func(cfg *jpdirectory.Server) { cfg.Service = "catalogue" }},
	}
	for _, row := range rows {
		genuine := deskServer(1, localDC)
		hn := newHarness(t, genuine, deskServer(2, localDC))
		var syns []Packet
		for range 10 {
			syn, sr := hn.open(at(0))
			if sr.ID == genuine.ID {
				syns = append(syns, syn)
			}
		}
		if len(syns) != 5 {
			t.Fatalf("%s: %d of 10 flows at the server, want 5", row.name, len(syns))
		}
		for ms := 9000; ms < 21_000; ms += 100 {
			hn.setFresh(at(ms))
			switch ms % 1500 {
			case 0:
				next := genuine
				row.falsify(&next)
				hn.server(at(ms), next)
			case 700:
				hn.server(at(ms), genuine)
				hn.remove(at(ms), "i-7")
			}
			if resets := hn.Tick(at(ms)); len(resets) != 0 {
				t.Fatalf("%s: resets after %d ms: %+v", row.name, ms, resets)
			}
			syn := syns[ms/100%len(syns)]
			dc := hn.Handle(at(ms), nextPacket(syn, 1, 0))
			if dc.Outcome != Forward || dc.Server.Number != 1 || dc.Server.Address != genuine.Address {
				t.Fatalf("%s: packet after %d ms: outcome %d for %v, to %v", row.name, ms, dc.Outcome, dc.Reason, dc.Server)
			}
		}
		// The false entries are gone, so the server gets new flows again.
		hn.server(at(21_000), genuine)
		hn.remove(at(21_000), "i-7")
		hn.runTicks(at(21_000), at(26_000))
		hn.setFresh(at(26_000))
		if _, sr := hn.open(at(26_000)); sr.Address != genuine.Address && sr.Address != deskServer(2, localDC).Address {
			t.Errorf("%s: a new flow went to %v", row.name, sr)
		}
		if len(hn.services["desk"].servers) != 2 || len(hn.services["catalogue"].servers) != 0 {
			t.Errorf("%s: %d and %d servers at the end, want 2 and 0", row.name, len(hn.services["desk"].servers), len(hn.services["catalogue"].servers))
		}
	}
}

// Guards against new flows that are lost because two entries name an address: one of a
// living server and one of another writer, or one of a server that has ended and that of
// its successor. The one that answers gets them.
func TestSharedAddress(t *testing.T) {
	rows := []struct {
		name   string
		answer func(hn *harness, syn Packet) // what callers see after the second entry has come
		first  bool                          // the first server gets new flows afterwards
		reset  bool                          // its open flow is reset
	}{
		{"neither answers", func(*harness, Packet) {}, false, false},
		{"the first one answers", func(hn *harness, syn Packet) {
			pk := nextPacket(syn, 1, 0)
			pk.Ack += 500
			hn.Handle(at(20), pk)
		}, true, false},
		{"the second one accepts a flow", func(hn *harness, _ Packet) { hn.open(at(20)) }, false, true},
		{"the second one accepts a flow after a late packet of the first", func(hn *harness, syn Packet) {
			next := hn.newSYN()
			hn.wantDecision(hn.Handle(at(20), next), Forward, Placed)
			pk := nextPacket(syn, 1, 0)
			pk.Ack += 500
			hn.Handle(at(22), pk)
			hn.wantDecision(hn.Handle(at(24), nextPacket(next, 7, 0)), Forward, Known)
		}, false, true},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC))
		syn, _ := hn.open(at(0))
		second := deskServer(7, localDC)
		second.Address = deskServer(1, localDC).Address
		hn.server(at(10), second)
		row.answer(hn, syn)
		want := "i-7"
		if row.first {
			want = "i-1"
		}
		dc := hn.wantDecision(hn.Handle(at(30), hn.newSYN()), Forward, Placed)
		if dc.Server.ID != want || dc.Choices != 1 {
			t.Errorf("%s: a new flow went to %s of %d servers, want %s of 1", row.name, dc.Server.ID, dc.Choices, want)
		}
		resets := hn.runTicks(at(100), at(2000))
		if len(resets) > 0 != row.reset {
			t.Errorf("%s: resets %+v, want one: %t", row.name, resets, row.reset)
		}
		for _, rs := range resets {
			if rs.Caller != syn.Caller || rs.Reason != ServerGone {
				t.Errorf("%s: reset %+v, want one of the first server's flow", row.name, rs)
			}
		}
	}
}

// Guards against callers that wait for a server process that has been replaced: its flows
// are reset once its entry has been missing for as long as that of a server that left.
func TestReplacedServerEndsFlows(t *testing.T) {
	rows := []struct {
		name    string
		replace func(hn *harness)
	}{
		{"restarted at its address", func(hn *harness) {
			next := deskServer(1, localDC)
			next.Started = at(9000)
			hn.server(at(10_000), next)
		}},
		{"restarted at another address", func(hn *harness) {
			next := deskServer(1, localDC)
			next.Started, next.Address = at(9000), deskServer(9, localDC).Address
			hn.server(at(10_000), next)
		}},
		{"gone, and its address has another server", func(hn *harness) {
			hn.remove(at(10_000), "i-1")
			next := deskServer(7, localDC)
			next.Address = deskServer(1, localDC).Address
			hn.server(at(10_000), next)
		}},
	}
	for _, row := range rows {
		genuine := deskServer(1, localDC)
		hn := newHarness(t, genuine)
		hn.open(at(0))
		hn.setFresh(at(9900))
		row.replace(hn)
		var resets []ResetPacket
		ms := 10_000
		for ; ms < 20_000 && len(resets) == 0; ms += 100 {
			hn.setFresh(at(ms))
			resets = hn.Tick(at(ms))
		}
		if wait := ms - 10_000; len(resets) != 1 || resets[0].Reason != ServerGone || wait < 4000 || wait > 5200 {
			t.Errorf("%s: resets %+v after %d ms, want one after 4 to 5.2 s", row.name, resets, wait)
		}
	}
}

// Guards against new flows that go to a server of another service or of a data centre that
// is out, or to one that drains, because another writer has overwritten its entry.
func TestContradictingEntryGetsNoFlows(t *testing.T) {
	rows := []struct {
		name    string
		genuine func(cfg *jpdirectory.Server)
		falsify func(cfg *jpdirectory.Server)
	}{
		{"another service", func(cfg *jpdirectory.Server) { cfg.Service = "catalogue" }, func(cfg *jpdirectory.Server) { cfg.Service = "desk" }},
		{"another data centre", func(cfg *jpdirectory.Server) { cfg.DataCentre = "devonport" }, func(cfg *jpdirectory.Server) { cfg.DataCentre = localDC }},
		{"ready again", func(cfg *jpdirectory.Server) { cfg.Draining = true }, func(cfg *jpdirectory.Server) { cfg.Draining = false }},
		{"ready again after a restart", func(cfg *jpdirectory.Server) { cfg.Draining = true }, func(cfg *jpdirectory.Server) { cfg.Draining, cfg.Started = false, at(0) }},
	}
	for _, row := range rows {
		genuine := deskServer(1, localDC)
		row.genuine(&genuine)
		hn := newHarness(t, genuine)
		hn.setDataCentreOut(at(0), "devonport", true)
		next := genuine
		row.falsify(&next)
		hn.server(at(100), next)
		if dc := hn.Handle(at(900), hn.newSYN()); dc.Outcome == Forward {
			t.Errorf("%s: a flow was placed 0.8 s after the entry", row.name)
		}
		// An entry that stays is the server's own.
		if dc := hn.Handle(at(3100), hn.newSYN()); dc.Outcome != Forward {
			t.Errorf("%s: 3 s after the entry: outcome %d for %v, want a flow placed", row.name, dc.Outcome, dc.Reason)
		}
	}
}

// Guards against a server that gets no flows for seconds after it has left and started
// again under its id: only an entry that overwrites another one can be false.
func TestRestartAfterDrainGetsFlows(t *testing.T) {
	draining := deskServer(1, localDC)
	draining.Draining = true
	hn := newHarness(t, draining)
	hn.remove(at(0), draining.ID)
	next := deskServer(1, localDC)
	next.Started = at(3900)
	hn.server(at(4000), next)
	hn.setFresh(at(4000))
	hn.wantDecision(hn.Handle(at(4100), hn.newSYN()), Forward, Placed)
}
