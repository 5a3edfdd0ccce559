package jpdispatch

import (
	"testing"

	"jacinthpass/core/jpdirectory"
)

// Guards against open flows that are reset by an instance that has started after the store
// has lost the entry of their server, although its peers know the server.
func TestFormerServerOfPeer(t *testing.T) {
	rows := []struct {
		name   string
		events func(peer *harness, sr Endpoint)
		known  bool // the peer names the server
	}{
		{"answers", func(peer *harness, sr Endpoint) {
			peer.HandleCheckResult(at(5000), at(4990), sr, CheckAnswered)
		}, true},
		{"was not checked", func(*harness, Endpoint) {}, true},
		{"doesn't answer", func(peer *harness, sr Endpoint) {
			peer.HandleCheckResult(at(5000), at(4990), sr, CheckTimedOut)
		}, false},
		{"another server has its address", func(peer *harness, sr Endpoint) {
			peer.HandleCheckResult(at(5000), at(4990), sr, CheckAnswered)
			next := deskServer(7, localDC)
			next.Address = sr.Address
			peer.server(at(5000), next)
		}, false},
	}
	for _, row := range rows {
		peer := newHarness(t, deskServer(1, localDC))
		syn, sr := peer.open(at(0))
		peer.remove(at(100), sr.ID)
		row.events(peer, sr)

		started := newHarness(t, deskServer(2, localDC))
		started.setFresh(at(5000))
		started.newSYN() // has the caller's port of the peer's flow
		packet := nextPacket(syn, sr.Tag, 500)
		started.wantDecision(started.Handle(at(5000), packet), Drop, UnknownTag)
		servers := peer.ServersOf(started.UnknownTags())
		if len(servers) > 0 != row.known {
			t.Errorf("%s: the peer names %v, want a server: %t", row.name, servers, row.known)
		}
		if !row.known {
			continue
		}
		if added := started.AddFormer(at(5100), servers); len(added) != 1 || added[0] != sr.ID {
			t.Errorf("%s: added %v, want %s", row.name, added, sr.ID)
		}
		if dc := started.Handle(at(5200), packet); dc.Outcome != Forward || dc.Server != sr {
			t.Errorf("%s: %+v, want a packet forwarded to %v", row.name, dc, sr)
		}
		for ms := 6000; ms <= 12000; ms += 1000 {
			started.setFresh(at(ms))
			started.HandleCheckResult(at(ms), at(ms-10), sr, CheckAnswered)
			if resets := started.runTicks(at(ms), at(ms+900)); len(resets) > 0 {
				t.Errorf("%s: %v after %d ms", row.name, resets, ms)
			}
		}
		for range 20 {
			if dc := started.Handle(at(13000), started.newSYN()); dc.Server.ID == sr.ID {
				t.Fatalf("%s: a new flow was placed on %s", row.name, sr.ID)
			}
		}
		started.setFresh(at(15000))
		if resets := started.runTicks(at(14000), at(15000)); len(resets) != 1 {
			t.Errorf("%s: resets %v after the server has ceased to answer, want one", row.name, resets)
		}
	}
}

// Guards against a peer's server that takes the place of one in the directory.
func TestFormerServerIsKnown(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	if added := hn.AddFormer(at(0), []jpdirectory.Server{deskServer(1, localDC)}); len(added) > 0 {
		t.Errorf("added %v, which the directory contains", added)
	}
}

// Guards against an open flow that is reset by the first instance that its packets come to
// after the store has lost the entry of its server: one without flows of a server doesn't
// check it.
func TestFlowComesToInstanceWithoutFlows(t *testing.T) {
	peer := newHarness(t, deskServer(1, localDC))
	syn, sr := peer.open(at(0))
	hn := newHarness(t, deskServer(1, localDC))
	hn.newSYN() // has the caller's port of the peer's flow
	hn.remove(at(0), sr.ID)
	hn.setFresh(at(10000))
	hn.wantDecision(hn.Handle(at(10000), nextPacket(syn, sr.Tag, 500)), Forward, Tagged)
	hn.HandleCheckResult(at(10150), at(10140), sr, CheckAnswered)
	if resets := hn.runTicks(at(10100), at(11600)); len(resets) > 0 {
		t.Errorf("resets %v although the server answers checks", resets)
	}
	hn.setFresh(at(12000))
	if resets := hn.runTicks(at(11700), at(12000)); len(resets) != 1 {
		t.Errorf("resets %v after the server has ceased to answer, want one", resets)
	}
}
