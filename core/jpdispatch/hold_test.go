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
	if taken := hq.Take(at(900)); !slices.Equal(taken, []int{2, 3, 4}) {
		t.Errorf("packets %v, want those that arrived after 300 ms", taken)
	}
	if taken := hq.Take(at(900)); len(taken) != 0 {
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
