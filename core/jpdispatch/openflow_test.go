package jpdispatch

import (
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
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

// Guards against an open flow that is reset because its instance is two versions behind:
// one drops the route, the next one, with which the flow was opened, has it again.
func TestFlowOfRouteThatIsBack(t *testing.T) {
	with := jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}}
	rows := []struct {
		name      string
		currentAt int // of the directory with the version without the route, ms
		outcome   Outcome
	}{
		{"directory older than the flow", 900, Drop},
		{"directory newer than the flow", 1100, Reset},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC))
		syn, sr := hn.open(at(1000))
		hn.manifest(2)
		hn.setFresh(at(row.currentAt))
		hn.wantDecision(hn.Handle(at(1200), nextPacket(syn, sr.Tag, 100)), row.outcome, RouteRemoved)
		hn.manifest(3, with)
		hn.setFresh(at(1300))
		if dc := hn.Handle(at(1400), nextPacket(syn, sr.Tag, 100)); dc.Outcome != Forward {
			t.Errorf("%s: route back: outcome %d for %v, want the packet forwarded", row.name, dc.Outcome, dc.Reason)
		}
	}
}

// Guards against packets of a flow that are sent to the server of an earlier flow
// from the same port, or answered with a reset, because the SYN took another way.
func TestPortReusedElsewhere(t *testing.T) {
	rows := []struct {
		name string
		end  func(hn *harness, earlier Packet)
	}{
		{"earlier flow idle", func(*harness, Packet) {}},
		{"earlier flow closed", func(hn *harness, earlier Packet) {
			earlier.Flags |= FIN
			hn.Handle(at(100), earlier)
		}},
		{"earlier flow reset", func(hn *harness, earlier Packet) {
			hn.HandleCheckResult(at(100), at(90), Endpoint{ID: "i-1", Tag: 1, Address: deskServer(1, localDC).Address}, CheckRefused)
			hn.wantDecision(hn.Handle(at(110), earlier), Reset, ServerSilent)
		}},
		{"earlier flow not open yet", nil},
	}
	for _, row := range rows {
		hn := newHarness(t, deskServer(1, localDC))
		syn := hn.newSYN()
		dc := hn.wantDecision(hn.Handle(at(0), syn), Forward, Placed)
		hn.server(at(10), deskServer(2, localDC))
		if row.end != nil {
			earlier := nextPacket(syn, dc.Server.Tag, 0)
			hn.wantDecision(hn.Handle(at(20), earlier), Forward, Known)
			row.end(hn, earlier)
		}
		// The next flow is open at the other server, through another instance.
		pk := nextPacket(syn, 2, 100)
		pk.Sequence, pk.Ack = syn.Sequence+0x4000_0001, 0x7000_0000
		dc = hn.Handle(at(1500), pk)
		if dc.Outcome != Forward || dc.Server.ID != "i-2" {
			t.Errorf("%s: outcome %d for %v to %q, want it forwarded to i-2", row.name, dc.Outcome, dc.Reason, dc.Server.ID)
		}
	}
}

// Guards against an open flow that is reset because its server's entry is missing for the
// second time, and this instance has not heard that it was back in between.
func TestAbsenceStartsAgain(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	syn, sr := hn.open(at(0))
	hn.setFresh(at(1000))
	hn.remove(at(1000), sr.ID)
	hn.setFresh(at(6000))
	hn.remove(at(6000), sr.ID)
	hn.wantDecision(hn.Handle(at(6000), nextPacket(syn, sr.Tag, 100)), Forward, Known)
	hn.setFresh(at(10_100))
	hn.wantDecision(hn.Handle(at(10_100), nextPacket(syn, sr.Tag, 100)), Reset, ServerGone)
}

// Guards against packets of open flows that wait for a large manifest after all instances
// have started again, and against new flows that don't.
func TestServersBeforeManifest(t *testing.T) {
	ds := New(localDC)
	server := deskServer(7, localDC)
	record := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: server.ID}, Server: &server}
	if !ds.ApplyEarly([]jpdirectory.Record{record}) {
		t.Fatal("the server is not known")
	}
	for _, tc := range []struct {
		name string
		pk   Packet
		want Outcome
	}{
		{"open flow", Packet{Flags: ACK, Tag: 7, Length: 20}, Forward},
		{"reset of an open flow", Packet{Flags: RST, Tag: 7}, Forward},
		{"unknown tag", Packet{Flags: ACK, Tag: 8, Length: 20}, Hold},
		{"no tag", Packet{Flags: ACK}, Hold},
		{"new flow", Packet{Flags: SYN, Tag: 7}, Hold},
	} {
		if dc := ds.Handle(at(0), tc.pk); dc.Outcome != tc.want || tc.want == Forward && dc.Server.ID != server.ID {
			t.Errorf("%s: %+v", tc.name, dc)
		}
	}
	hn := newHarness(t)
	if hn.ApplyEarly([]jpdirectory.Record{record}) || hn.MustHold(Packet{Flags: ACK, Tag: 7}) {
		t.Error("early servers count beside a manifest")
	}
}
