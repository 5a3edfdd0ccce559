package jpspeed

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_790_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// observation is what one source shows of a server in every half second.
type observation struct {
	peer    string // empty for this instance
	ratio   float64
	samples int
}

// TestBeliefs guards against beliefs without evidence, slow servers that stay unknown, and
// sources that decide alone.
func TestBeliefs(t *testing.T) {
	usual := []observation{{"", 1, 3}, {"p1", 1, 3}, {"p2", 1, 3}, {"p4", 1, 3}}
	ratio := func(ratio float64) []observation {
		var list []observation
		for _, ob := range usual {
			list = append(list, observation{ob.peer, ratio, ob.samples})
		}
		return list
	}
	for _, tc := range []struct {
		name     string
		first    []observation // of the first server
		others   []observation // of four others
		ms       int
		min, max float64
	}{
		{"nothing known", nil, usual, 4000, 1, 1},
		{"equal", usual, usual, 4000, 1, 1},
		{"a little slower", ratio(1.3), usual, 4000, 1, 1},
		{"three times, within 2 s", ratio(3), usual, 2000, 2.5, 3.1},
		{"eight times, within 2 s", ratio(8), usual, 2000, 7, 8.1},
		{"beyond the bound", ratio(1000), usual, 2000, 15, maxSlowness + 1e-9},
		{"fast", ratio(0.01), usual, 4000, 1, 1},
		{"all slow", ratio(5), ratio(5), 4000, 1, 1},
		{"all but this one slow", usual, ratio(5), 4000, 1, 1},
		{"a peer's word against the others", append([]observation{{"p3", 16, 1 << 30}}, usual...), usual, 4000, 1, 1},
		{"only one peer", []observation{{"p3", 16, 100}}, usual, 4000, 1, 1},
		{"one sample", []observation{{"", 8, 1}}, usual, 500, 1, 1},
		{"not a number", []observation{{"p1", math.NaN(), 9}, {"p2", math.Inf(1), -1}, {"p4", -3, 9}}, usual, 4000, 1, 1},
	} {
		list := []*Estimate{{}, {}, {}, {}, {}}
		for ms := 0; ms <= tc.ms; ms += 500 {
			for ix, es := range list {
				if ix == 0 {
					es.observe(at(ms), tc.first)
				} else {
					es.observe(at(ms), tc.others)
				}
			}
			Update(at(ms), list, 0.5)
		}
		if got := list[0].Slowness(); got < tc.min || got > tc.max {
			t.Errorf("%s: slowness %.2f, want %.2f to %.2f", tc.name, got, tc.min, tc.max)
		}
	}
}

func (es *Estimate) observe(now time.Time, list []observation) {
	for _, ob := range list {
		if ob.peer != "" {
			es.AddReport(now, ob.peer, Summary{Slowness: ob.ratio, Samples: ob.samples})
			continue
		}
		for range ob.samples {
			es.Add(now, ob.ratio)
		}
	}
}

// TestBeliefFades guards against servers that stay out because nobody tries them again.
func TestBeliefFades(t *testing.T) {
	slow := []observation{{"", 8, 3}, {"p1", 8, 3}, {"p2", 8, 3}}
	usual := []observation{{"", 1, 3}, {"p1", 1, 3}, {"p2", 1, 3}}
	for _, tc := range []struct {
		name  string
		later []observation
		max   float64 // 10 s later
	}{
		{"recovered", usual, 1.2},
		{"not tried", nil, 2},
	} {
		list := []*Estimate{{}, {}, {}}
		for ms := 0; ms < 13_000; ms += 500 {
			first := slow
			if ms >= 3000 {
				first = tc.later
			}
			list[0].observe(at(ms), first)
			list[1].observe(at(ms), usual)
			list[2].observe(at(ms), usual)
			Update(at(ms), list, 0.5)
			if got := list[0].Slowness(); ms == 3000 && got < 6 {
				t.Errorf("%s: slowness %.2f after 3 s, want 6 and more", tc.name, got)
			}
		}
		if got := list[0].Slowness(); got > tc.max {
			t.Errorf("%s: slowness %.2f, want at most %.2f", tc.name, got, tc.max)
		}
	}
}

// TestUsualIsRobust guards against a usual time that a third of slow servers move.
func TestUsualIsRobust(t *testing.T) {
	var us Usual
	for ix := range 3000 {
		took := 30 * time.Millisecond
		if ix%3 == 0 {
			took = 2 * time.Second
		}
		us.Add(took)
	}
	if got := us.Time(); got < 30*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("usual time %v, want 30 to 60 ms", got)
	}
}

func ExampleEstimate() {
	slow, second, third := &Estimate{}, &Estimate{}, &Estimate{}
	for ms := range 2000 {
		if ms%100 == 0 {
			slow.Add(at(ms), 4) // four times the usual response time
			second.Add(at(ms), 1)
			third.Add(at(ms), 1.1)
		}
	}
	list := []*Estimate{slow, second, third}
	Update(at(2000), list, 0.5)
	for _, es := range list {
		fmt.Printf("%.1f\n", es.Slowness())
	}
	// Output:
	// 3.6
	// 1.0
	// 1.0
}
