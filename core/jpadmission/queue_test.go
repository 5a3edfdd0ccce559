package jpadmission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func at(ms int) time.Time {
	return time.Unix(1_790_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// item returns an item with a key that may be released in time until a number of
// milliseconds, and to some use for 200 ms more.
func item(key string, priority, deadline int) Item[string] {
	return Item[string]{Key: key, Priority: priority, Deadline: at(deadline), Expires: at(deadline + 200)}
}

func anyKey(string) bool { return true }

// Guards against an order of release in which an urgent item, or one that can still be
// served in time, waits for another.
func TestQueueOrder(t *testing.T) {
	rows := []struct {
		name  string
		items []Item[string]
		now   int
		ready func(string) bool
		want  []string
	}{
		{"deadline", []Item[string]{item("b", 1, 300), item("a", 1, 200), item("c", 1, 300)}, 0, anyKey, []string{"a", "b", "c"}},
		{"priority", []Item[string]{item("b", 2, 100), item("a", 1, 300)}, 0, anyKey, []string{"a", "b"}},
		{"late ones last", []Item[string]{item("c", 1, 100), item("b", 2, 300), item("d", 2, 90), item("a", 1, 300)}, 150, anyKey, []string{"a", "b", "c", "d"}},
		{"not ready", []Item[string]{item("a", 1, 100), item("b", 2, 100)}, 0, func(key string) bool { return key != "a" }, []string{"b"}},
	}
	for _, row := range rows {
		qu := NewQueue[string](10)
		for _, it := range row.items {
			qu.Add(at(0), it)
		}
		var got []string
		for {
			it, _, ok := qu.Next(at(row.now), row.ready)
			if !ok {
				break
			}
			qu.Release(at(row.now), it.Key)
			got = append(got, it.Key)
		}
		if !slices.Equal(got, row.want) {
			t.Errorf("%s: order %v, want %v", row.name, got, row.want)
		}
	}
}

// Guards against a priority that starves while a higher one always waits, and against a
// share of the releases for one that has its share of the requests on open flows.
func TestQueueAssuredShare(t *testing.T) {
	rows := []struct {
		name      string
		openFlows int // requests of the lowest priority on open flows, for each release
		want      int // releases of the others among 80
	}{
		{"no open flows", 0, 10},
		{"requests on open flows", 1, 0},
	}
	for _, row := range rows {
		qu := NewQueue[string](1000)
		for no := range 100 {
			qu.Add(at(0), item(fmt.Sprint("high", no), 1, 600_000))
			qu.Add(at(0), item(fmt.Sprint("mid", no), 2, 600_000))
			qu.Add(at(0), item(fmt.Sprint("low", no), 3, 600_000))
		}
		released := map[int]int{}
		for no := range 80 {
			it, _, _ := qu.Next(at(no), anyKey)
			qu.Release(at(no), it.Key)
			released[it.Priority]++
			qu.NoteRequest(at(no), it.Priority)
			for range row.openFlows {
				qu.NoteRequest(at(no), 2)
				qu.NoteRequest(at(no), 3)
			}
		}
		if now := at(79); !qu.InUse(now, 3) || qu.InUse(now.Add(15*time.Second), 3) {
			t.Errorf("%s: a priority is not in use at its requests, or still is 15 s later", row.name)
		}
		if released[2] != row.want/2 || released[3] != row.want/2 {
			t.Errorf("%s: releases by priority %v, want %d of each lower one", row.name, released, row.want/2)
		}
	}
}

// Guards against a queue that grows without bound, and against a refusal of an urgent item
// in the place of one that is less urgent.
func TestQueueFull(t *testing.T) {
	rows := []struct {
		name string
		add  Item[string]
		want string // refused
	}{
		{"higher priority", item("new", 1, 500), "low2"},
		{"lowest priority, last", item("new", 2, 500), "new"},
		{"lowest priority, before the last", item("new", 2, 150), "low2"},
		{"late", item("new", 1, 40), "new"},
	}
	for _, row := range rows {
		qu := NewQueue[string](3)
		for _, it := range []Item[string]{item("high", 1, 100), item("low1", 2, 100), item("low2", 2, 200)} {
			qu.Add(at(0), it)
		}
		refused, full := qu.Add(at(50), row.add)
		if !full || refused.Key != row.want || qu.Len() != 3 {
			t.Errorf("%s: %q refused (%v), %d wait; want %q", row.name, refused.Key, full, qu.Len(), row.want)
		}
	}
}

// Guards against waits that can't end well, and against refusals before the rate of the
// releases is known.
func TestQueueHopeless(t *testing.T) {
	rows := []struct {
		name     string
		releases int // in the second before, 0 if none was possible
		waiting  int // before the item
		hopeless bool
	}{
		{"rate not known", 0, 90, false},
		{"short queue", 100, 5, false},
		{"long queue", 100, 90, true},
		{"long queue, high rate", 400, 90, false},
	}
	for _, row := range rows {
		qu := NewQueue[string](1000)
		for no := range row.releases + row.waiting {
			qu.Add(at(0), item(fmt.Sprint(no), 1, 600_000))
		}
		for no := range row.releases {
			now := at(no * 1000 / row.releases)
			it, _, _ := qu.Next(now, anyKey)
			qu.Release(now, it.Key)
		}
		now := at(1000)
		if row.releases == 0 {
			now = at(0)
		}
		late := Item[string]{Key: "new", Priority: 1, Deadline: at(600_001), Expires: now.Add(500 * time.Millisecond)}
		if got := qu.Hopeless(now, late); got != row.hopeless {
			t.Errorf("%s: hopeless %v, want %v", row.name, got, row.hopeless)
		}
		qu.Add(now, late)
		if got := len(qu.TakeHopeless(now)) == 1; got != row.hopeless {
			t.Errorf("%s: taken %v, want %v", row.name, got, row.hopeless)
		}
		if expired := qu.TakeHopeless(at(1600)); !row.hopeless && len(expired) != 1 {
			t.Errorf("%s: %d have expired, want 1", row.name, len(expired))
		}
	}
}

// Guards against repetitions that are taken for first attempts, and against first attempts
// of others behind the same address that are taken for repetitions.
func TestRefusals(t *testing.T) {
	rows := []struct {
		name     string
		refusals []int // times in ms
		attempts []int
		want     []bool // repeated
	}{
		{"repeated at once", []int{0}, []int{3, 6}, []bool{true, false}},
		{"later", []int{0}, []int{30}, []bool{false}},
		{"several callers", []int{0, 2}, []int{5, 6}, []bool{false, false}},
		{"again later", []int{0, 40}, []int{43}, []bool{true}},
	}
	for _, row := range rows {
		var rf Refusals[string]
		for _, ms := range row.refusals {
			rf.Note(at(ms), "caller", at(ms+300), at(ms+300))
		}
		for ix, ms := range row.attempts {
			if _, _, got := rf.Take(at(ms), "caller"); got != row.want[ix] {
				t.Errorf("%s: attempt at %d ms repeated %v, want %v", row.name, ms, got, row.want[ix])
			}
		}
	}
}

// Guards against lower priorities that take what a waiting higher one needs, and against a
// reserve that stays.
func TestLimits(t *testing.T) {
	const target, usual = 400 * time.Millisecond, 20 * time.Millisecond
	high, low := Class{Target: target, Usual: usual, Ranks: 2}, Class{Target: target, Usual: usual, Rank: 1, Ranks: 2}
	slow, late := high, high
	slow.Usual, late.Late = 200*time.Millisecond, true
	rows := []struct {
		name      string
		fill      float64 // requests for each slot
		until, at int     // ms
		class     Class
		want      float64
	}{
		{"room", 2, 1001, 1000, low, lowestLimit},
		{"full", 4, 1001, 1000, low, reservedLimit},
		{"full", 4, 1001, 1000, high, highestLimit},
		{"full before", 4, 1001, 5000, low, lowestLimit},
		{"slow requests", 2, 1001, 1000, slow, 2},
		{"late", 2, 1001, 1000, late, lateLimit},
	}
	for _, row := range rows {
		var lm Limits
		for ms := 0; ms <= row.at; ms += 10 {
			lm.Observe(at(ms), row.fill*float64(min(max(row.until-ms, 0), 1)))
		}
		if got := lm.PerSlot(row.class); math.Abs(got-row.want) > 1e-9 {
			t.Errorf("%s: limit %v for %+v, want %v", row.name, got, row.class, row.want)
		}
	}
}
