package jpdispatch

import (
	"fmt"
	"testing"
)

// Guards against connections over a server's limit that instances open together, and
// against refusals because of what peers report.
func TestFlowLimitOfAllInstances(t *testing.T) {
	for _, tc := range []struct {
		name  string
		held  []int // at the first server, by each peer
		at    int   // ms
		idle  int   // of this instance at the first server
		wants string
	}{
		{"below the limit", []int{600, 600, 600}, 1, 100, "i-1"},
		{"together at the limit", []int{600, 600, 700}, 1, 100, "i-2"},
		{"a peer that is not heard has as many", []int{650, 650}, 1, 100, "i-2"},
		{"stale reports", []int{600, 600, 700}, 1501, 100, "i-1"},
		{"a figure above the limit", []int{600, 600, 1 << 30}, 1, 100, "i-1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC))
			hn.SetPosition(Position{Count: 4, LocalCount: 4})
			hn.servers["i-1"].heldFlows += tc.idle
			for peer, held := range tc.held {
				hn.HandleLoads(at(0), fmt.Sprint(peer), []Load{{Tag: 1, Held: held}, {Tag: 2, Flows: 50, Held: 50}})
			}
			hn.servers["i-2"].activeFlows += 100
			if _, sr := hn.open(at(tc.at)); sr.ID != tc.wants {
				t.Errorf("the flow was sent to %s, want %s", sr.ID, tc.wants)
			}
			hn.HandleLoads(at(tc.at), "0", []Load{{Tag: 1, Held: 2000}, {Tag: 2, Held: 2000}})
			hn.open(at(tc.at + 10))
		})
	}
}

// Guards against a server that all instances of a data centre choose because they know of
// each other's flows late, and against samples that servers which take no flows spoil.
func TestSampledPlacement(t *testing.T) {
	const servers, instances = 20, 8
	placed := map[string]int{}
	for no := range instances {
		hn := newHarness(t)
		hn.nextPort = uint16(1024 + 1000*no)
		for sr := range servers {
			hn.server(at(-1000), deskServer(sr+1, localDC))
		}
		hn.SetPosition(Position{Rank: no, Count: instances, LocalRank: no, LocalCount: instances})
		hn.HandleLoads(at(0), "peer", []Load{{Tag: 1, Flows: 1000}})
		for sr := 1; sr < servers; sr++ {
			hn.HandleLoads(at(0), "peer", []Load{{Tag: uint32(sr + 1), Flows: 1, Begun: sr}})
		}
		draining := deskServer(2, localDC)
		draining.Draining = true
		hn.server(at(0), draining)
		for range 5 {
			_, sr := hn.open(at(1))
			placed[sr.ID]++
		}
	}
	if placed["i-1"] > 0 || placed["i-2"] > 0 {
		t.Errorf("flows went to a full or a draining server: %v", placed)
	}
	for id, count := range placed {
		if count > 10 {
			t.Errorf("%d of %d flows went to %s: %v", count, 5*instances, id, placed)
		}
	}
	hn := newHarness(t)
	hn.SetPosition(Position{Count: instances, LocalCount: instances})
	for sr := range servers {
		hn.server(at(-1000), deskServer(sr+1, localDC))
		if sr > 0 {
			hn.servers[fmt.Sprintf("i-%d", sr+1)].silent = true
		}
	}
	for range 20 {
		if _, sr := hn.open(at(1)); sr.ID != "i-1" {
			t.Fatalf("a flow went to the silent server %s", sr.ID)
		}
	}
}
