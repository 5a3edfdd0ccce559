package jpcapacity_test

import (
	"testing"

	"jacinthpass/core/jpcapacity"
)

// Guards against a level that follows each short change of the load.
func TestLevel(t *testing.T) {
	var lv jpcapacity.Level
	from := 0
	for _, step := range []struct {
		until   int // ms
		fill    float64
		guess   bool
		changes int
		full    bool
	}{
		{1000, 0.9, false, 0, false},
		{1400, 1.5, false, 0, false},
		{1500, 0.5, false, 0, false},
		{3000, 2, true, 0, false},
		{4000, 1, false, 1, true},
		{8000, 0.8, false, 0, true},
		{9000, 0.5, false, 0, true},
		{9500, 0.9, false, 0, true},
		{12_000, 0, false, 1, false},
	} {
		changes := 0
		for ms := from; ms < step.until; ms += 100 {
			if lv.Update(at(ms), jpcapacity.Estimate{Slots: 10, Requests: 10 * step.fill, Guess: step.guess}) {
				changes++
			}
		}
		from = step.until
		if changes != step.changes || lv.Full() != step.full {
			t.Errorf("until %d ms: %d changes, full %t, want %d and %t", step.until, changes, lv.Full(), step.changes, step.full)
		}
	}
}
