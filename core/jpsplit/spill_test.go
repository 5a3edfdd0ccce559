package jpsplit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_790_000_000, 0)

const tickInterval = 100 * time.Millisecond

// adjustFor calls Adjust with the same loads every tickInterval.
func adjustFor(sp *Spill[string], length time.Duration, loads ...Load[string]) {
	from := sp.adjustedAt
	if from.IsZero() {
		from = start
	}
	for now := from; now.Before(from.Add(length)); now = now.Add(tickInterval) {
		sp.Adjust(now.Add(tickInterval), loads)
	}
}

// A full service passes flows to one with room. The callers of the other one keep theirs.
func Example() {
	sp := New[string]()
	adjustFor(sp, 4*time.Second,
		Load[string]{Target: "orders", Requests: 250, Slots: 240, Known: true},
		Load[string]{Target: "reports", Requests: 4, Slots: 60, Known: true},
	)
	shares := []Share[string]{{Target: "orders", Weight: 90}, {Target: "reports", Weight: 10}}
	for _, dr := range []Draw{{Weight: 7, Spill: 0.1}, {Weight: 7, Spill: 0.6}, {Weight: 95, Spill: 0.1}} {
		ch, _ := sp.Select(shares, dr)
		fmt.Println(ch.Target, ch.Spilled())
	}
	// Output:
	// reports true
	// orders false
	// reports false
}

func TestFractions(t *testing.T) {
	load := func(target string, requests, slots float64) Load[string] {
		return Load[string]{Target: target, Requests: requests, Slots: slots, Known: true}
	}
	unknown := func(target string, slots float64) Load[string] { return Load[string]{Target: target, Slots: slots} }
	for _, ts := range []struct {
		failure      string
		before       []Load[string] // for five seconds, if any
		loads        []Load[string] // for length, a minute by default
		length       time.Duration
		there, back  float64 // fractions from a to b and from b to a
		thereToThird float64
	}{
		{failure: "spills although both have room", loads: []Load[string]{load("a", 89, 100), load("b", 10, 100)}},
		{failure: "full one keeps its share", loads: []Load[string]{load("a", 92, 100), load("b", 5, 100)}, there: 4 * 0.04},
		{failure: "other direction", loads: []Load[string]{load("a", 5, 100), load("b", 92, 100)}, back: 4 * 0.04},
		{failure: "fills the other beyond its headroom", loads: []Load[string]{load("a", 200, 100), load("b", 70, 100)}, there: 4 * 2 * 10.0 / 170},
		{failure: "spills to a full one", loads: []Load[string]{load("a", 200, 100), load("b", 81, 100)}},
		{failure: "acts on a stale load", loads: []Load[string]{unknown("a", 100), load("b", 5, 100)}},
		{failure: "spills to one of stale load", loads: []Load[string]{load("a", 200, 100), unknown("b", 100)}},
		{
			failure: "keeps on spilling by loads that became stale", before: []Load[string]{load("a", 150, 100), load("b", 0, 100)},
			loads: []Load[string]{unknown("a", 100), load("b", 5, 100)}, length: tickInterval,
		},
		{
			failure: "share of a closed one refused for long", before: []Load[string]{load("a", 60, 100), load("b", 20, 100)},
			loads: []Load[string]{load("a", 0, 0), load("b", 20, 100)}, length: tickInterval, there: 60.0 / 80,
		},
		{
			failure: "closed one floods a small one", before: []Load[string]{load("a", 96, 100), load("b", 4, 10)},
			loads: []Load[string]{load("a", 0, 0), load("b", 4, 10)}, length: tickInterval, there: 4.0 / 100,
		},
		{failure: "closed one passes nothing after a start", loads: []Load[string]{load("a", 0, 0), unknown("b", 100)}, there: 1},
		{failure: "all are closed", loads: []Load[string]{load("a", 0, 0), load("b", 0, 0)}},
		{
			failure: "need not shared by rooms", loads: []Load[string]{load("a", 92, 100), load("b", 70, 100), load("c", 50, 100)},
			there: 4 * 0.04 / 4, thereToThird: 4 * 0.04 * 3 / 4,
		},
		{
			failure: "room taken twice", loads: []Load[string]{load("a", 110, 100), load("b", 60, 100), load("c", 110, 100)},
			there: 4 * 20.0 / 260,
		},
		{
			failure: "more than all passed on", loads: []Load[string]{load("a", 200, 100), load("b", 10, 100), load("c", 10, 100)},
			there: 0.5, thereToThird: 0.5,
		},
		{
			failure: "stays spilled when the load has gone", before: []Load[string]{load("a", 200, 100), load("b", 0, 100)},
			loads: []Load[string]{load("a", 50, 100), load("b", 10, 100)}, length: 4 * time.Second,
		},
	} {
		sp := New[string]()
		if ts.before != nil {
			adjustFor(sp, 5*time.Second, ts.before...)
		}
		if ts.length == 0 {
			ts.length = time.Minute
		}
		adjustFor(sp, ts.length, ts.loads...)
		for _, got := range []struct {
			from, to string
			want     float64
		}{{"a", "b", ts.there}, {"b", "a", ts.back}, {"a", "c", ts.thereToThird}} {
			if fraction := sp.Fraction(got.from, got.to); math.Abs(fraction-got.want) > 0.002 {
				t.Errorf("%s: %s to %s %.3f, want %.3f", ts.failure, got.from, got.to, fraction, got.want)
			}
		}
	}
}

func TestSelect(t *testing.T) {
	sp := New[string]()
	adjustFor(sp, time.Minute,
		Load[string]{Target: "a", Requests: 100, Slots: 100, Known: true}, Load[string]{Target: "b", Slots: 100, Known: true})
	for _, ts := range []struct {
		failure string
		shares  []Share[string]
		want    map[string]float64
	}{
		{"spilled part differs", []Share[string]{{"a", 3}, {"b", 1}}, map[string]float64{"a": 0.75 * 0.2, "b": 0.25 + 0.75*0.8}},
		{"changed weights not obeyed", []Share[string]{{"a", 0}, {"b", 4}}, map[string]float64{"b": 1}},
		{"weight 0 gets spilled flows", []Share[string]{{"a", 4}, {"b", 0}}, map[string]float64{"a": 1}},
		{"negative weight counts", []Share[string]{{"a", 4}, {"b", -4}}, map[string]float64{"a": 1}},
		{"flow without a positive weight", []Share[string]{{"a", 0}}, map[string]float64{}},
	} {
		got := map[string]float64{}
		for ix := range uint64(4000) {
			if ch, ok := sp.Select(ts.shares, Draw{Weight: ix, Spill: float64(ix/4) / 1000}); ok {
				got[ch.Target] += 1.0 / 4000
			}
		}
		for _, target := range []string{"a", "b"} {
			if math.Abs(got[target]-ts.want[target]) > 0.01 {
				t.Errorf("%s: %s gets %.3f, want %.3f", ts.failure, target, got[target], ts.want[target])
			}
		}
	}
}
