package jpcapacity_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"jacinthpass/core/jpcapacity"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ExampleEstimator() {
	var et jpcapacity.Estimator
	for _, peer := range []string{"b", "c", "d"} {
		et.Report(start, peer, 9)
	}
	es := et.Estimate(start, jpcapacity.Use{Slots: 96, Requests: 9, Instances: 8})
	fmt.Println(es.Requests, es.Fill(), es.Room(1), es.Guess)
	// Output: 72 0.75 24 false
}

// Guards against estimates that stale, missing or absurd reports spoil, and against
// refusals because of a guess.
func TestEstimate(t *testing.T) {
	equal := func(count int, requests float64) []float64 {
		var list []float64
		for range count {
			list = append(list, requests)
		}
		return list
	}
	for _, tc := range []struct {
		name     string
		reports  []float64 // of one peer each, at 0
		at       int       // ms
		use      jpcapacity.Use
		min, max float64 // requests
		guess    bool
		room     float64 // with one request for each slot
	}{
		{"single instance", nil, 0, jpcapacity.Use{Slots: 10, Requests: 4, Instances: 1}, 4, 4, false, 6},
		{"single instance, full", nil, 0, jpcapacity.Use{Slots: 10, Requests: 14, Instances: 1}, 14, 14, false, 0},
		{"nothing heard", nil, 0, jpcapacity.Use{Slots: 10, Requests: 4, Instances: 8}, 32, 32, true, 6},
		{"nothing heard, own requests fill the slots", nil, 0, jpcapacity.Use{Slots: 10, Requests: 10, Instances: 8}, 80, 80, true, 0},
		{"two heard of eight", equal(1, 4), 0, jpcapacity.Use{Slots: 10, Requests: 4, Instances: 8}, 32, 32, true, 6},
		{"one of three missing", equal(1, 4), 0, jpcapacity.Use{Slots: 10, Requests: 4, Instances: 3}, 12, 12, false, 0},
		{"all heard", equal(7, 4), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 8}, 32, 32, false, 16},
		{"full, less than the equal share", equal(7, 4), 0, jpcapacity.Use{Slots: 24, Requests: 1, Instances: 8}, 29, 29, false, 2},
		{"17 of 39 heard", equal(16, 4), 0, jpcapacity.Use{Slots: 200, Requests: 4, Instances: 39}, 156, 156, false, 44},
		{"just in time", equal(7, 4), 1499, jpcapacity.Use{Slots: 48, Requests: 0, Instances: 8}, 28, 28, false, 20},
		{"stale", equal(7, 4), 1500, jpcapacity.Use{Slots: 48, Requests: 0, Instances: 8}, 0, 0, true, 48},
		{"more heard than live", equal(3, 4), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 2}, 16, 16, false, 32},
		{"no slots", equal(7, 4), 0, jpcapacity.Use{Requests: 4, Instances: 8}, 32, 32, true, 0},
		{"users that don't report", equal(7, 4), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 16, Unheard: true}, 64, 64, true, 44},
		{"one peer claims the most", append(equal(6, 4), 1e9), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 8}, 32, 42, false, 6},
		{"one peer claims nothing", append(equal(6, 40), 0), 0, jpcapacity.Use{Slots: 480, Requests: 40, Instances: 8}, 290, 320, false, 480 - 280 - 40./3 + 2},
		{"a figure below zero", append(equal(6, 4), -1e9), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 8}, 28, 32, false, 20},
		{"no number", append(equal(6, 4), math.NaN()), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 8}, 28, 32, false, 20},
		{"two instances, the other claims the most", equal(1, 1e9), 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 2}, 18, 18, false, 30},
		{"two instances, the other claims nothing", equal(1, 0), 0, jpcapacity.Use{Slots: 48, Requests: 30, Instances: 2}, 38, 38, false, 10},
		{"three instances that contradict each other", []float64{0, 1e9}, 0, jpcapacity.Use{Slots: 48, Requests: 4, Instances: 3}, 4, 18, false, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var et jpcapacity.Estimator
			for ix, requests := range tc.reports {
				et.Report(at(0), fmt.Sprint(ix), requests)
			}
			es := et.Estimate(at(tc.at), tc.use)
			if es.Requests < tc.min || es.Requests > tc.max || es.Guess != tc.guess {
				t.Errorf("estimate is %+v, want %g to %g requests and guess %t", es, tc.min, tc.max, tc.guess)
			}
			if got := es.Room(1); math.Abs(got-tc.room) > 1e-6 {
				t.Errorf("room is %g, want %g", got, tc.room)
			}
		})
	}
}

// Guards against the figures of peers that have left or that were heard before a pause.
func TestReportsEnd(t *testing.T) {
	var et jpcapacity.Estimator
	use := jpcapacity.Use{Slots: 100, Requests: 2, Instances: 3}
	et.Report(at(0), "b", 50)
	et.Report(at(0), "c", 2)
	et.Report(at(1000), "c", 2)
	et.Report(at(1000), "b", 2)
	es := et.Estimate(at(1400), use)
	if es.Requests != 6 || !es.OldestAt.Equal(at(1000)) {
		t.Errorf("a new report has not replaced the peer's earlier one: %+v", es)
	}
	et.Report(at(2400), "c", 4)
	if es = et.Estimate(at(2500), use); es.Seen != 2 || es.Requests != 9 {
		t.Errorf("a stale report still counts: %+v", es)
	}
	et.Forget()
	if es = et.Estimate(at(2500), use); es.Seen != 1 || !es.Guess {
		t.Errorf("a report counts after Forget: %+v", es)
	}
}

func BenchmarkEstimate(b *testing.B) {
	var et jpcapacity.Estimator
	for peer := range 16 {
		et.Report(at(0), fmt.Sprint(peer), float64(peer%5))
	}
	b.ReportAllocs()
	for b.Loop() {
		et.Estimate(at(1), jpcapacity.Use{Slots: 400, Requests: 3, Instances: 39})
	}
}
