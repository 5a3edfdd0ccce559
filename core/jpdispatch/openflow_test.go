package jpdispatch

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against an open flow that is reset because its server's entry expired 4 s
// ago, although the directory is too old to show that it has not come back.
func TestAbsenceOlderThanDirectory(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		hn := newHarness(t, deskServer(1, localDC))
		syn, sr := hn.open(at(0))
		hn.setFresh(at(1000))
		hn.remove(at(1000), sr.ID)
		hn.SetFreshness(at(5000).Add(-age), at(-60_000))
		if dc := hn.Handle(at(5000), nextPacket(syn, sr.Tag, 100)); dc.Outcome != Forward {
			t.Errorf("directory %v old: outcome %d for %v, want the packet forwarded", age, dc.Outcome, dc.Reason)
		}
	}
}

// Guards against the same at an instance that has not known the server.
func TestUnknownTagOlderThanDirectory(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	hn.setFresh(at(1000))
	pk := nextPacket(hn.newSYN(), 2, 100)
	hn.wantDecision(hn.Handle(at(1000), pk), Drop, UnknownTag)
	hn.SetFreshness(at(1500), at(-60_000))
	hn.wantDecision(hn.Handle(at(5100), pk), Drop, UnknownTag)
}

// Guards against an open flow that is reset because its server restarted with its id
// before the flow began and could not register for some seconds.
func TestLateRegistration(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	syn, sr := hn.open(at(1000))
	hn.setFresh(at(5900))
	next := deskServer(1, localDC)
	next.Started = at(0)
	hn.server(at(6000), next)
	hn.wantDecision(hn.Handle(at(6100), nextPacket(syn, sr.Tag, 100)), Forward, Known)
}

// Guards against an open flow that is reset because a later copy of its SYN came to an
// instance that can't place it.
func TestCopyOfSYNIsNotRefused(t *testing.T) {
	rows := []struct {
		name    string
		route   netip.AddrPort
		copies  uint32 // sent earlier
		outcome Outcome
		reason  Reason
	}{
		{"no route", netip.MustParseAddrPort("198.18.9.9:80"), 0, Refuse, NoRoute},
		{"no route, second copy", netip.MustParseAddrPort("198.18.9.9:80"), 1, Drop, NoRoute},
		{"no server", route, 0, Refuse, NoServer},
		{"no server, third copy", route, 2, Drop, NoServer},
	}
	for _, row := range rows {
		hn := newHarness(t)
		syn := hn.newSYN()
		syn.Route, syn.Ack = row.route, row.copies
		if dc := hn.Handle(at(0), syn); dc.Outcome != row.outcome || dc.Reason != row.reason {
			t.Errorf("%s: outcome %d for %v, want %d for %v", row.name, dc.Outcome, dc.Reason, row.outcome, row.reason)
		}
	}
}
