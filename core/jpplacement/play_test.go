package jpplacement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpplacement"
)

// Sizes and times of the play: one data centre whose instances hear 16 others, each every
// half second.
const (
	playInstances = 24
	playServers   = 40
	playHeard     = 16
	playReport    = 500 * time.Millisecond
	playLength    = 20 * time.Second
	playIdle      = 4 * time.Second         // after which a flow is not active any more
	playWork      = 60 * time.Millisecond   // of a request, at one of two slots
	playFlowGap   = 7 * time.Millisecond    // mean time between new flows
	playPause     = 1500 * time.Millisecond // mean time between the requests of a flow
)

// figures are what is known of a server: active flows, requests in work, recent requests.
type figures struct{ flows, requests, recent float64 }

// playView is what one instance knows of each server.
type playView struct {
	own, heard [playServers]figures
	placed     [playServers]float64 // own flows since its last report
	hears      []int                // indexes of the instances that hear it
	reported   [playServers]figures
}

// playPolicy selects a server.
type playPolicy struct {
	name    string
	samples jpplacement.Policy
	load    func(known figures, placed float64) float64
}

type candidates struct {
	view *playView
	load func(known figures, placed float64) float64
}

func (cs candidates) Len() int { return playServers }

func (cs candidates) Load(ix int) (float64, bool) {
	own, heard := cs.view.own[ix], cs.view.heard[ix]
	known := figures{own.flows + heard.flows, own.requests + heard.requests, own.recent + heard.recent}
	return cs.load(known, cs.view.placed[ix]), true
}

type playEvent struct {
	at  time.Duration
	run func(at time.Duration)
}

// play returns the requests of the busiest server over the mean, and the share of
// requests that found both slots of their server taken.
func play(pc playPolicy, seed uint64) (busiest, queued float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var events []playEvent
	add := func(at time.Duration, run func(time.Duration)) {
		ix, _ := slices.BinarySearchFunc(events, at, func(ev playEvent, at time.Duration) int { return cmp.Compare(at, ev.at) })
		events = slices.Insert(events, ix, playEvent{at, run}) // latest first
	}
	views := make([]playView, playInstances)
	var served, working [playServers]int
	total, waited := 0, 0
	for no := range views {
		for _, other := range rng.Perm(playInstances)[:playHeard] {
			if other != no {
				views[no].hears = append(views[no].hears, other)
			}
		}
		var report func(time.Duration)
		report = func(at time.Duration) {
			add(at+playReport, report)
			for ix := range playServers {
				now, before := views[no].own[ix], views[no].reported[ix]
				for _, other := range views[no].hears {
					heard := &views[other].heard[ix]
					heard.flows += now.flows - before.flows
					heard.requests += now.requests - before.requests
					heard.recent += now.recent - before.recent
				}
				views[no].reported[ix], views[no].placed[ix] = now, 0
				views[no].own[ix].recent *= 0.9 // in half a second
			}
		}
		add(time.Duration(rng.Int64N(int64(playReport))), report)
	}
	var open func(time.Duration)
	open = func(at time.Duration) {
		add(at+time.Duration(rng.ExpFloat64()*float64(playFlowGap)), open)
		vw := &views[rng.IntN(playInstances)]
		ix, _ := jpplacement.Select(pc.samples, candidates{vw, pc.load}, rng.Uint64())
		vw.own[ix].flows++
		vw.placed[ix]++
		left := 1
		if rng.IntN(3) == 0 {
			left += int(rng.ExpFloat64() * 8) // a caller that keeps its flow
		}
		active := true
		var request func(time.Duration)
		request = func(at time.Duration) {
			if !active {
				active = true
				vw.own[ix].flows++
			}
			left--
			vw.own[ix].requests++
			vw.own[ix].recent++
			served[ix]++
			total++
			if working[ix]++; working[ix] > 2 {
				waited++
			}
			pause := time.Duration(rng.ExpFloat64() * float64(playPause))
			add(at+playWork, func(time.Duration) {
				working[ix]--
				vw.own[ix].requests--
				if left == 0 {
					vw.own[ix].flows--
				}
			})
			if left > 0 {
				if pause > playIdle {
					add(at+playIdle, func(time.Duration) { active = false; vw.own[ix].flows-- })
				}
				add(at+playWork+pause, request)
			}
		}
		request(at)
	}
	add(0, open)
	for at := time.Duration(0); at < playLength; {
		ev := events[len(events)-1]
		events = events[:len(events)-1]
		at = ev.at
		ev.run(at)
	}
	return float64(slices.Max(served[:])*playServers) / float64(total), float64(waited) / float64(total)
}

// Guards against a policy by which instances with late views crowd at a server: the one
// in use must do better than the least loaded of all in both figures.
func TestPoliciesSideBySide(t *testing.T) {
	flows := func(fg figures, _ float64) float64 { return fg.flows }
	policies := []playPolicy{
		{"random", jpplacement.Policy{Samples: 1}, flows},
		{"flows, all", jpplacement.Policy{}, flows},
		{"flows, 2", jpplacement.Policy{Samples: 2}, flows},
		{"flows, 3", jpplacement.Policy{Samples: 3}, flows},
		{"requests, all", jpplacement.Policy{}, func(fg figures, _ float64) float64 { return fg.requests }},
		{"requests, 3", jpplacement.Policy{Samples: 3}, func(fg figures, _ float64) float64 { return fg.requests }},
		{"flows and own placements for all, all", jpplacement.Policy{}, func(fg figures, placed float64) float64 { return fg.flows + placed*(playInstances-1) }},
		{"recent, all", jpplacement.Policy{}, func(fg figures, _ float64) float64 { return fg.recent }},
	}
	mixed := func(fg figures, _ float64) float64 { return fg.flows/3 + fg.recent/6 }
	for _, samples := range []int{2, 3, 4, 8} {
		policies = append(policies, playPolicy{fmt.Sprintf("flows and recent, %d", samples), jpplacement.Policy{Samples: samples}, mixed})
	}
	var table strings.Builder
	results := map[string][2]float64{}
	for _, pc := range policies {
		const seeds = 3
		var sum [2]float64
		for seed := range uint64(seeds) {
			busiest, queued := play(pc, seed)
			sum[0] += busiest / seeds
			sum[1] += queued / seeds
		}
		results[pc.name] = sum
		fmt.Fprintf(&table, "\n%-40s busiest/mean %.2f, found no slot %.3f", pc.name, sum[0], sum[1])
	}
	t.Log(table.String())
	used, before := results["flows and recent, 3"], results["flows, all"]
	if used[0] >= before[0] || used[1] >= before[1] {
		t.Errorf("the policy in use has %.3v, the least loaded of all %.3v", used, before)
	}
}
