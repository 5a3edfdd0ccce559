package jpdispatch

import (
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

func splitRoute(desk, catalogue int) jpdirectory.Route {
	return jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{
		{Service: "desk", Weight: desk}, {Service: "catalogue", Weight: catalogue},
	}}
}

// newSplitHarness returns a dispatcher with one server of each service and a route that
// divides its flows by the weights.
func newSplitHarness(tb testing.TB, desk, catalogue int) *harness {
	other := deskServer(2, localDC)
	other.Service = "catalogue"
	hn := newHarness(tb, deskServer(1, localDC), other)
	hn.manifest(2, splitRoute(desk, catalogue))
	hn.runTicks(at(0), at(300))
	return hn
}

// placeFlows places new flows whose requests remain, and returns how many each server got,
// how many were refused and how many count as spilled.
func (hn *harness) placeFlows(now time.Time, count int) (desk, catalogue, refused, spilled int) {
	for range count {
		syn := hn.newSYN()
		dc := hn.Handle(now, syn)
		if dc.Outcome == Forward {
			hn.Handle(now, nextPacket(syn, dc.Server.Tag, 100))
		}
		switch {
		case dc.Outcome == Refuse:
			refused++
		case dc.Server.ID == "i-1":
			desk++
		case dc.Server.ID == "i-2":
			catalogue++
		}
		if dc.SpilledFrom != "" {
			spilled++
		}
	}
	return desk, catalogue, refused, spilled
}

// A service that can't take anything passes its share on at once, and one of weight 0
// never gets it.
func TestClosedService(t *testing.T) {
	drain := func(hn *harness) {
		sr := deskServer(1, localDC)
		sr.Draining = true
		hn.server(at(300), sr)
	}
	for _, ts := range []struct {
		failure         string
		catalogueWeight int
		close           func(hn *harness)
		catalogue       int
		refused         int
	}{
		{"drained, other one has weight", 1, drain, 1, 0},
		{"gone, other one has weight", 1, func(hn *harness) { hn.remove(at(300), "i-1") }, 1, 0},
		{"drained, other one has weight 0", 0, drain, 0, 1},
	} {
		hn := newSplitHarness(t, 100_000, ts.catalogueWeight)
		ts.close(hn)
		_, catalogue, refused, spilled := hn.placeFlows(at(310), 1)
		if catalogue != ts.catalogue || refused != ts.refused || spilled != ts.catalogue {
			t.Errorf("%s: catalogue got %d, refused %d, spilled %d; want %d, %d, %d",
				ts.failure, catalogue, refused, spilled, ts.catalogue, ts.refused, ts.catalogue)
		}
	}
}

// A full service spills, and its flows return when it has room again. A change of weights
// counts for the next flow.
func TestFullServiceSpills(t *testing.T) {
	hn := newSplitHarness(t, 100_000, 1)
	var busy []Packet // flows whose callers send the next request at once
	for range 4 {
		syn := hn.newSYN()
		dc := hn.Handle(at(300), syn)
		if dc.Server.ID != "i-1" || dc.SpilledFrom != "" {
			t.Fatalf("a flow below full load went to %s instead of %q", dc.Server.ID, dc.SpilledFrom)
		}
		busy = append(busy, nextPacket(syn, dc.Server.Tag, 100))
	}
	for ms := 300; ms < 1500; ms += 200 {
		for ix := range busy {
			hn.Handle(at(ms), busy[ix])
			busy[ix].Sequence, busy[ix].Ack = busy[ix].Sequence+100, busy[ix].Ack+500
		}
		hn.runTicks(at(ms), at(ms+100))
	}
	if _, catalogue, _, spilled := hn.placeFlows(at(1500), 20); spilled < 2 || spilled == 20 || spilled != catalogue {
		t.Errorf("full service: %d of 20 flows spilled, %d at the other", spilled, catalogue)
	}
	hn.manifest(3, splitRoute(1, 0))
	if _, catalogue, _, _ := hn.placeFlows(at(1510), 20); catalogue != 0 {
		t.Errorf("%d of 20 flows to a service whose weight is now 0", catalogue)
	}
	hn.manifest(4, splitRoute(100_000, 1))
	hn.runTicks(at(1600), at(20_000))
	if desk, _, _, _ := hn.placeFlows(at(20_000), 20); desk < 19 {
		t.Errorf("%d of 20 flows by weight after the load has gone", desk)
	}
}

// A copy of a SYN goes to the service of the first one, because both may accept the flow.
func TestCopyStaysWithService(t *testing.T) {
	hn := newSplitHarness(t, 100_000, 1)
	syn := hn.newSYN()
	hn.Handle(at(300), syn)
	drained := deskServer(1, localDC)
	drained.Draining = true
	hn.server(at(400), drained)
	syn.Ack = 1
	if dc := hn.Handle(at(900), syn); dc.Server.ID != "i-1" {
		t.Errorf("copy went to %q, want the first one's service", dc.Server.ID)
	}
}
