package jpsplit

import (
	"testing"
	"time"
)

// play is two services and two instances that place flows on them, as a fluid: flows
// arrive at a rate and stay for a time, those beyond four for each slot are rejected.
type play struct {
	slots, requests [2]float64
	shares          []Share[string]
	own             [2][2]float64 // requests by instance and service
	stay            time.Duration // of a request at its slot
	spills          [2]*Spill[string]
	history         [][2][2]float64 // of own, one for each step
}

const (
	playStep  = 10 * time.Millisecond
	reportAge = 500 * time.Millisecond
)

var (
	playNames = [2]string{"a", "b"}
)

// loads returns what an instance knows: its own requests, and its peer's of reportAge ago.
func (pl *play) loads(instance int) []Load[string] {
	var list []Load[string]
	late := pl.history[max(len(pl.history)-int(reportAge/playStep), 0)]
	for ix, name := range playNames {
		requests := pl.own[instance][ix] + late[1-instance][ix]
		list = append(list, Load[string]{Target: name, Requests: requests, Slots: pl.slots[ix], Known: true})
	}
	return list
}

// step adds the flows of a step: those of the split, and those that only a or b may get,
// in requests at work that they would amount to without limits.
func (pl *play) step(split float64, only [2]float64) {
	pl.history = append(pl.history, pl.own)
	now := start.Add(time.Duration(len(pl.history)) * playStep)
	part := playStep.Seconds() / pl.stay.Seconds()
	var arriving [2][2]float64
	for instance, sp := range pl.spills {
		if len(pl.history)%10 == instance {
			sp.Adjust(now, pl.loads(instance))
		}
		for ix := range playNames {
			weight := float64(pl.shares[ix].Weight) / 100
			spilled := weight * sp.Fraction(playNames[ix], playNames[1-ix])
			arriving[instance][ix] += (split*(weight-spilled) + only[ix]) / 2 * part
			arriving[instance][1-ix] += split * spilled / 2 * part
		}
	}
	for ix := range playNames {
		total := pl.own[0][ix] + pl.own[1][ix]
		served := min(total, pl.slots[ix]) * part
		accepted := min(arriving[0][ix]+arriving[1][ix], max(4*pl.slots[ix]-total, 0))
		for instance := range pl.own {
			pl.own[instance][ix] += accepted/2 - served*pl.own[instance][ix]/max(total, 1e-9)
		}
		pl.requests[ix] = pl.own[0][ix] + pl.own[1][ix]
	}
}

// Loads come up, stay for 45 s and go again. Afterwards neither service may swing, and the
// one that takes spilled flows must keep free slots.
func TestNoSwinging(t *testing.T) {
	for _, ts := range []struct {
		name    string
		stay    time.Duration
		weights [2]int
		split   float64
		only    [2]float64
		settled [2]float64 // greatest fill in the last 5 s of load
	}{
		{"a full, short requests", 30 * time.Millisecond, [2]int{90, 10}, 210, [2]float64{60, 4}, [2]float64{1, 0.9}},
		{"a full, long flows", 5 * time.Second, [2]int{90, 10}, 210, [2]float64{60, 4}, [2]float64{1, 0.9}},
		{"a full, more than b can take", 30 * time.Millisecond, [2]int{90, 10}, 400, [2]float64{500, 4}, [2]float64{4, 0.9}},
		{"b full of its own", 30 * time.Millisecond, [2]int{90, 10}, 100, [2]float64{0, 57}, [2]float64{0.8, 1.05}},
		{"b full by weight", 30 * time.Millisecond, [2]int{50, 50}, 220, [2]float64{10, 5}, [2]float64{0.9, 1.05}},
		{"b full by weight, long flows", 5 * time.Second, [2]int{50, 50}, 220, [2]float64{10, 5}, [2]float64{0.9, 1.05}},
		{"a gets four times its slots", 30 * time.Millisecond, [2]int{99, 1}, 900, [2]float64{60, 4}, [2]float64{4, 0.9}},
	} {
		shares := []Share[string]{{"a", ts.weights[0]}, {"b", ts.weights[1]}}
		pl := &play{shares: shares, slots: [2]float64{240, 60}, stay: ts.stay, spills: [2]*Spill[string]{New[string](), New[string]()}}
		var low, high [2]float64
		for step := range 6500 {
			load := 1.0
			if step < 500 || step >= 5000 {
				load = 0.2
			}
			pl.step(load*ts.split, [2]float64{load * ts.only[0], load * ts.only[1]})
			for ix := range playNames {
				fill := pl.requests[ix] / pl.slots[ix]
				switch {
				case step == 4500:
					low[ix], high[ix] = fill, fill
				case step > 4500 && step < 5000:
					low[ix], high[ix] = min(low[ix], fill), max(high[ix], fill)
				}
			}
		}
		for ix, name := range playNames {
			if high[ix]-low[ix] > 0.05 {
				t.Errorf("%s: fill of %s swings from %.2f to %.2f", ts.name, name, low[ix], high[ix])
			}
			if high[ix] > ts.settled[ix] {
				t.Errorf("%s: fill of %s %.2f, want at most %.2f", ts.name, name, high[ix], ts.settled[ix])
			}
			for instance, sp := range pl.spills {
				if left := sp.Fraction(name, playNames[1-ix]); left > 0.001 {
					t.Errorf("%s: instance %d still spills %.3f of %s", ts.name, instance, left, name)
				}
			}
		}
	}
}
