package jpdirectory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// watchInstance is an instance of a play of watches. It is checked every 100 ms, and so
// are its statuses to the others.
type watchInstance struct {
	duty      *WatchDuty
	dc, rank  int
	cut       bool      // from the store
	currentAt time.Time // of its directory
	waitUntil time.Time // end of its watch, zero if none
	retryAt   time.Time
	knowsAt   time.Time // when it learned of the change
	statusAt  time.Time // when its next status is due
	calls     int
}

// playWatches plays instances of data centres of a size, of which some are cut from the
// store at cutAt, and a change just after it. It returns the longest time until an
// instance that is not cut knows of the change, and the calls of these.
func playWatches(seed uint64, dcSizes []int, limit time.Duration, cut func(dc, rank int) bool) (slowest time.Duration, calls int) {
	const step = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	now := atSecond(0)
	cutAt := now.Add(10*time.Second + time.Duration(rng.IntN(2000))*time.Millisecond)
	changeAt := cutAt.Add(30 * time.Millisecond)
	var list []*watchInstance
	for dc, size := range dcSizes {
		for rank := range size {
			list = append(list, &watchInstance{
				duty: NewWatchDuty(limit), dc: dc, rank: rank, currentAt: now,
				statusAt: now.Add(time.Duration(rng.IntN(500)) * time.Millisecond),
				retryAt:  now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond),
			})
		}
	}
	respond := func(in *watchInstance) {
		in.waitUntil, in.currentAt, in.statusAt = time.Time{}, now, now.Add(100*time.Millisecond)
		in.duty.Responded(now)
		if !now.Before(changeAt) && in.knowsAt.IsZero() {
			in.knowsAt = now
			in.retryAt = now.Add(800 * time.Millisecond)
		}
	}
	for ; now.Before(cutAt.Add(10 * time.Second)); now = now.Add(step) {
		for _, in := range list {
			in.cut = !now.Before(cutAt) && cut(in.dc, in.rank)
			watching := !in.waitUntil.IsZero()
			switch {
			case in.cut && watching:
				in.waitUntil, in.retryAt = time.Time{}, now.Add(500*time.Millisecond)
			case watching && (!now.Before(in.waitUntil) || !now.Before(changeAt) && in.knowsAt.IsZero()):
				respond(in)
			case !watching && !in.cut && !now.Before(in.retryAt) && !now.Before(in.duty.DueAt(in.currentAt, in.rank)):
				in.calls++
				in.waitUntil = in.duty.WaitUntil()
				if in.waitUntil.Before(now) {
					in.waitUntil = now
				}
			}
			if now.Before(in.statusAt) {
				continue
			}
			in.statusAt = now.Add(500 * time.Millisecond)
			for _, peer := range list {
				// A peer of another data centre gets a change later.
				switch {
				case !in.knowsAt.IsZero() && peer.knowsAt.IsZero() && (peer.dc == in.dc || now.Sub(in.knowsAt) > remoteDelay):
					peer.knowsAt = now
				case in.knowsAt.IsZero() == peer.knowsAt.IsZero() && in.currentAt.After(peer.currentAt):
					peer.currentAt = in.currentAt
				}
			}
		}
	}
	for _, in := range list {
		if cut(in.dc, in.rank) {
			continue
		}
		calls += in.calls
		if in.knowsAt.IsZero() {
			return time.Hour, calls
		}
		slowest = max(slowest, in.knowsAt.Sub(changeAt))
	}
	return slowest, calls
}

// Guards against changes that reach nobody within their time limit, because the instances
// that watch the store are alive and can't reach it.
func TestChangesWithoutWatchers(t *testing.T) {
	rows := []struct {
		name  string
		sizes []int
		limit time.Duration
		cut   func(dc, rank int) bool
	}{
		{"first of each", []int{3, 2, 2}, 3 * time.Second, func(_, rank int) bool { return rank == 0 }},
		{"all but one of each", []int{3, 2, 2}, 3 * time.Second, func(dc, rank int) bool { return rank < []int{2, 1, 1}[dc] }},
		{"five of seven", []int{3, 2, 2}, 3 * time.Second, func(dc, rank int) bool { return rank < []int{2, 2, 1}[dc] }},
		{"all but one", []int{3, 2, 2}, 3 * time.Second, func(dc, rank int) bool { return dc > 0 || rank < 2 }},
		{"first three of each", []int{3, 2, 2, 2}, 3 * time.Second, func(dc, rank int) bool { return dc > 0 || rank < 2 }},
		{"first ten of each, large", []int{27, 27, 26}, 5 * time.Second, func(_, rank int) bool { return rank < 10 }},
		{"first of each, largest", []int{39, 39, 39, 39, 39}, 6 * time.Second, func(_, rank int) bool { return rank == 0 }},
	}
	for _, row := range rows {
		for seed := range uint64(50) {
			if slowest, _ := playWatches(seed, row.sizes, row.limit, row.cut); slowest > row.limit {
				t.Fatalf("%s, seed %d: a change took %v, limit %v", row.name, seed, slowest, row.limit)
			}
		}
	}
}

// Guards against calls to the store that grow with the number of instances: one of each
// data centre watches while nothing fails, and only some take over when none can.
func TestWatchCalls(t *testing.T) {
	rows := []struct {
		name  string
		sizes []int
		limit time.Duration
		cut   func(dc, rank int) bool
		most  int // in 20 to 22 s
	}{
		{"none cut, 7 instances", []int{3, 2, 2}, 3 * time.Second, func(_, _ int) bool { return false }, 3 * 12},
		{"none cut, 195 instances", []int{39, 39, 39, 39, 39}, 6 * time.Second, func(_, _ int) bool { return false }, 5 * 12},
		{"watchers cut, 195 instances", []int{39, 39, 39, 39, 39}, 6 * time.Second, func(_, rank int) bool { return rank == 0 }, 5 * 3 * 10},
	}
	for _, row := range rows {
		for seed := range uint64(20) {
			if _, calls := playWatches(seed, row.sizes, row.limit, row.cut); calls > row.most {
				t.Errorf("%s, seed %d: %d calls, want %d at most", row.name, seed, calls, row.most)
			}
		}
	}
}

func ExampleWatchDuty_DueAt() {
	wd := NewWatchDuty(3 * time.Second)
	currentAt := atSecond(0)
	for rank := range 3 {
		fmt.Println(rank, wd.DueAt(currentAt, rank).Sub(currentAt) > 0)
	}
	// Output:
	// 0 false
	// 1 true
	// 2 true
}
