package jpdispatch

import (
	"testing"
	"time"
)

// Guards against a flow that is opened a second time at another server, because a SYN
// waited in the socket of a paused instance while a copy of it opened the flow elsewhere.
func TestStaleSYNIsNotPlaced(t *testing.T) {
	rows := []struct {
		name         string
		arrivedAfter time.Time
		copies       uint32
		flags        Flags
		route        bool // the SYN's address has a route
		outcome      Outcome
	}{
		{"waited", at(50), 0, SYN, true, Drop},
		{"copy that waited", at(50), 1, SYN, true, Drop},
		{"waited, without a route", at(50), 0, SYN, false, Drop},
		{"read just after the pause was noted", at(3600), 0, SYN, true, Drop},
		{"arrived after the pause", at(3601), 0, SYN, true, Forward},
		{"has certainly not waited", time.Time{}, 0, SYN, true, Forward},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
		hn.Observe(at(100), at(100))
		hn.Observe(at(3600), at(3600))
		hn.setFresh(at(3600))
		syn := hn.newSYN()
		syn.ArrivedAfter, syn.Ack, syn.Flags = row.arrivedAfter, row.copies, row.flags
		if !row.route {
			syn.Route = deskServer(9, localDC).Address
		}
		if dc := hn.Handle(at(3602), syn); dc.Outcome != row.outcome {
			t.Errorf("%s: outcome %d for %v, want %d", row.name, dc.Outcome, dc.Reason, row.outcome)
		}
	}
}

// Guards against packets of open flows that are dropped after a pause, and against a sign
// of life of a server that is as old as the pause.
func TestStalePacketOfOpenFlow(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	syn, sr := hn.open(at(0))
	hn.Observe(at(100), at(100))
	hn.Observe(at(3600), at(3600))
	pk := nextPacket(syn, sr.Tag, 100)
	pk.Ack, pk.ArrivedAfter = 1500, at(100)
	hn.wantDecision(hn.Handle(at(3600), pk), Forward, Known)
	if alive := hn.servers["i-1"].aliveAt; !alive.Equal(at(4)) {
		t.Errorf("server last alive %v after the start, want 4 ms", alive.Sub(at(0)))
	}
	pk.Ack, pk.ArrivedAfter = 2000, at(3700)
	hn.wantDecision(hn.Handle(at(3710), pk), Forward, Known)
	if alive := hn.servers["i-1"].aliveAt; !alive.Equal(at(3710)) {
		t.Errorf("server last alive %v after the start, want 3.71 s", alive.Sub(at(0)))
	}
}

// Guards against a pause that goes unnoticed, as that of a suspended machine, whose steady
// clock stands still, and against one that is noted though there was none.
func TestObserve(t *testing.T) {
	rows := []struct {
		name           string
		ms, dayMs      int // since the call before
		paused, hidden bool
	}{
		{"tick", 100, 100, false, false},
		{"late tick", 290, 290, false, false},
		{"stopped", 3500, 3500, true, false},
		{"suspended", 100, 3600, true, true},
		{"clock set forward", 100, 2100, true, true},
		{"clock set back", 100, -1900, false, false},
		{"stopped, clock set back", 3500, 1500, true, false},
	}
	for _, row := range rows {
		ds := New(localDC)
		ds.Observe(at(0), at(0))
		var want Pause
		if row.hidden {
			want.Hidden = time.Duration(row.dayMs-row.ms) * time.Millisecond
		}
		if row.paused {
			want.Length = time.Duration(row.ms)*time.Millisecond + want.Hidden
		}
		if pause := ds.Observe(at(row.ms), at(row.dayMs)); pause != want || ds.PausedAt().IsZero() == row.paused {
			t.Errorf("%s: pause %+v, noted at %v; want %+v", row.name, pause, ds.PausedAt(), want)
		}
	}
}
