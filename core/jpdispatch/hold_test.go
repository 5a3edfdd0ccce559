package jpdispatch

import (
	"slices"
	"testing"
)

// Guards against packets that are handled after their callers have given up, or out
// of order, and against a queue that grows without bound.
func TestHoldQueue(t *testing.T) {
	var hq HoldQueue[int]
	for no := range 5 {
		hq.Add(at(200*no), no)
	}
	if taken := hq.Take(at(900), func(no int) bool { return no == 3 }); !slices.Equal(taken, []int{3}) {
		t.Errorf("packets %v, want the one that is ready", taken)
	}
	ready := func(int) bool { return true }
	if taken := hq.Take(at(900), ready); !slices.Equal(taken, []int{2, 4}) {
		t.Errorf("packets %v, want the others that arrived after 300 ms", taken)
	}
	if taken := hq.Take(at(900), ready); len(taken) != 0 {
		t.Errorf("packets %v were taken twice", taken)
	}
	for range maxHeld {
		hq.Add(at(1000), 0)
	}
	if hq.Add(at(1599), 0) {
		t.Errorf("more than %d packets are held", maxHeld)
	}
	if !hq.Add(at(1600), 0) {
		t.Error("packets that have waited for too long take up room")
	}
}
