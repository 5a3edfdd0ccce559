package jpadmission

import (
	"cmp"
	"slices"
	"time"
)

// assuredInterval is the number of releases of which one goes to a priority other than
// the highest that waits, so that no priority starves. One whose requests on open flows
// are that share already needs none.
const assuredInterval = 8

// Item is a request for admission that waits.
type Item[K comparable] struct {
	Key      K
	Priority int       // 0 is the highest
	Deadline time.Time // latest release that still meets the latency target
	Expires  time.Time // latest release of any use
}

// Queue orders the requests for admission that wait until there is room. Those that can
// still meet their latency targets go first, by priority and then by deadline; the others
// follow in the same order. One of assuredInterval releases goes to the priorities below
// the highest one, in turn. It is not safe for concurrent use.
type Queue[K comparable] struct {
	limit    int
	length   int
	lanes    []*lane[K] // in the order of release
	rate     rate       // of all releases while anything waits
	releases uint64
	skipped  int // releases of the first lane in a row while others waited
}

// lane holds the items of one priority that can still meet their targets, or those that
// can't, in order of their deadlines.
type lane[K comparable] struct {
	late       bool
	priority   int
	items      []Item[K]
	rate       rate // of its releases while it has items
	requests   rate // of all requests of the priority
	releasedAt uint64
}

// NewQueue returns a queue of at most limit items.
func NewQueue[K comparable](limit int) *Queue[K] { return &Queue[K]{limit: limit} }

// minPresence is the decayed number of requests from which a priority is in use: one within
// three times rateWindow.
const minPresence = 0.05

// InUse reports whether there were requests of a priority in the last seconds.
func (qu *Queue[K]) InUse(now time.Time, priority int) bool {
	requests := &qu.lane(now, false, priority).requests
	requests.advance(now, true)
	return requests.sum >= minPresence
}

// Len returns the number of items.
func (qu *Queue[K]) Len() int { return qu.length }

// Add adds an item. If the queue is full, it returns the item that has to be refused for
// it and true: the last one of the lowest priority, or the new one.
func (qu *Queue[K]) Add(now time.Time, it Item[K]) (Item[K], bool) {
	qu.advance(now)
	if qu.length < qu.limit {
		qu.insert(now, it)
		return Item[K]{}, false
	}
	last := qu.last()
	if compareItems(now, it, last) >= 0 {
		return it, true
	}
	qu.Remove(now, last.Key)
	qu.insert(now, it)
	return last, true
}

// Remove removes the item with a key, if there is one.
func (qu *Queue[K]) Remove(now time.Time, key K) bool {
	qu.advance(now)
	ln := qu.remove(key)
	return ln != nil
}

// NoteRequest counts a request of a priority, on a new flow or an open one.
func (qu *Queue[K]) NoteRequest(now time.Time, priority int) {
	ln := qu.lane(now, false, priority)
	ln.requests.advance(now, true)
	ln.requests.add()
}

// Next returns the item to release next among those that ready selects, and whether it is
// the turn of a priority below the highest one.
func (qu *Queue[K]) Next(now time.Time, ready func(K) bool) (it Item[K], assured, ok bool) {
	qu.advance(now)
	if qu.skipped >= assuredInterval-1 {
		if it, ok := qu.assured(ready); ok {
			return it, true, true
		}
	}
	for _, ln := range qu.lanes {
		if it, ok := ln.first(ready); ok {
			return it, false, true
		}
	}
	return Item[K]{}, false, false
}

// Release removes an item that Next has returned, and counts it as released.
func (qu *Queue[K]) Release(now time.Time, key K) {
	qu.advance(now)
	others := 0
	first := qu.firstLane()
	for _, ln := range qu.lanes {
		if !ln.late && ln != first && len(ln.items) > 0 {
			others++
		}
	}
	ln := qu.remove(key)
	if ln == nil {
		return
	}
	qu.releases++
	ln.releasedAt = qu.releases
	ln.rate.add()
	qu.rate.add()
	if ln == first && others > 0 {
		qu.skipped++
	} else {
		qu.skipped = 0
	}
}

// Hopeless reports whether an item that arrives now is not expected to be released before
// it expires.
func (qu *Queue[K]) Hopeless(now time.Time, it Item[K]) bool {
	qu.advance(now)
	late := now.After(it.Deadline)
	before, ownBefore := 0, 0
	var own *lane[K]
	for _, ln := range qu.lanes {
		switch order := compareLanes(ln.late, ln.priority, late, it.Priority); {
		case order < 0:
			before += len(ln.items)
		case order == 0:
			own = ln
			ownBefore, _ = slices.BinarySearchFunc(ln.items, it, compareDeadlines)
		}
	}
	return now.Add(qu.expectedWait(own, late, before, ownBefore)).After(it.Expires)
}

// TakeHopeless removes and returns the items that are not expected to be released before
// they expire.
func (qu *Queue[K]) TakeHopeless(now time.Time) []Item[K] {
	qu.advance(now)
	var list []Item[K]
	before := 0
	for _, ln := range qu.lanes {
		kept := ln.items[:0]
		for _, it := range ln.items {
			if now.Add(qu.expectedWait(ln, ln.late, before, len(kept))).After(it.Expires) {
				list = append(list, it)
				continue
			}
			kept = append(kept, it)
		}
		clear(ln.items[len(kept):])
		ln.items = kept
		before += len(kept)
	}
	qu.length -= len(list)
	return list
}

// expectedWait returns how long an item waits with ownBefore items of its lane before it,
// and before items of earlier lanes, at the rates of the releases so far. It is 0 while
// these are not known.
func (qu *Queue[K]) expectedWait(ln *lane[K], late bool, before, ownBefore int) time.Duration {
	perSecond, known := qu.rate.perSecond()
	if !known {
		return 0
	}
	ahead := before + ownBefore
	if !late {
		ahead = min(ahead, assuredInterval*(ownBefore+1))
	}
	wait := float64(ahead) / perSecond
	if ln != nil {
		// What arrives later goes before this lane too, which only its own rate shows.
		if perSecond, known := ln.rate.perSecond(); known {
			wait = max(wait, float64(ownBefore)/perSecond)
		}
	}
	return time.Duration(wait * float64(time.Second))
}

// advance moves the items whose deadlines have passed behind the others, and the clocks of
// the rates to now.
func (qu *Queue[K]) advance(now time.Time) {
	qu.rate.advance(now, qu.length > 0)
	var late []Item[K]
	for _, ln := range qu.lanes {
		ln.rate.advance(now, len(ln.items) > 0)
		ln.requests.advance(now, true)
		if ln.late {
			continue
		}
		passed := 0
		for passed < len(ln.items) && now.After(ln.items[passed].Deadline) {
			passed++
		}
		late = append(late, ln.items[:passed]...)
		ln.items = slices.Delete(ln.items, 0, passed)
	}
	qu.length -= len(late)
	for _, it := range late {
		qu.insert(now, it)
	}
}

func (qu *Queue[K]) insert(now time.Time, it Item[K]) {
	ln := qu.lane(now, now.After(it.Deadline), it.Priority)
	// Behind those of the same deadline.
	at, _ := slices.BinarySearchFunc(ln.items, it, func(other, it Item[K]) int {
		return cmp.Or(compareDeadlines(other, it), -1)
	})
	ln.items = slices.Insert(ln.items, at, it)
	qu.length++
}

// lane returns a lane, which it adds if necessary.
func (qu *Queue[K]) lane(now time.Time, late bool, priority int) *lane[K] {
	ix, found := slices.BinarySearchFunc(qu.lanes, priority, func(ln *lane[K], priority int) int {
		return compareLanes(ln.late, ln.priority, late, priority)
	})
	if !found {
		qu.lanes = slices.Insert(qu.lanes, ix, &lane[K]{late: late, priority: priority, rate: rate{at: now}, requests: rate{at: now}})
	}
	return qu.lanes[ix]
}

// remove removes the item with a key and returns its lane, or nil if there is none.
func (qu *Queue[K]) remove(key K) *lane[K] {
	for _, ln := range qu.lanes {
		ix := slices.IndexFunc(ln.items, func(it Item[K]) bool { return it.Key == key })
		if ix >= 0 {
			ln.items = slices.Delete(ln.items, ix, ix+1)
			qu.length--
			return ln
		}
	}
	return nil
}

// firstLane returns the first lane with items, or nil.
func (qu *Queue[K]) firstLane() *lane[K] {
	for _, ln := range qu.lanes {
		if len(ln.items) > 0 {
			return ln
		}
	}
	return nil
}

// assured returns the first item of the lane that has had no release for the longest,
// among those after the first one whose items can meet their targets.
func (qu *Queue[K]) assured(ready func(K) bool) (Item[K], bool) {
	var chosen Item[K]
	var from *lane[K]
	first := qu.firstLane()
	total := 0.0
	for _, ln := range qu.lanes {
		total += ln.requests.sum
	}
	for _, ln := range qu.lanes {
		if ln.requests.sum*assuredInterval > total {
			continue
		}
		if ln.late || ln == first || from != nil && ln.releasedAt >= from.releasedAt {
			continue
		}
		if it, ok := ln.first(ready); ok {
			chosen, from = it, ln
		}
	}
	return chosen, from != nil
}

// last returns the item that would be released last.
func (qu *Queue[K]) last() Item[K] {
	for _, ln := range slices.Backward(qu.lanes) {
		if len(ln.items) > 0 {
			return ln.items[len(ln.items)-1]
		}
	}
	return Item[K]{}
}

func (ln *lane[K]) first(ready func(K) bool) (Item[K], bool) {
	for _, it := range ln.items {
		if ready(it.Key) {
			return it, true
		}
	}
	return Item[K]{}, false
}

// compareLanes compares the places of two lanes in the order of release.
func compareLanes(late bool, priority int, otherLate bool, otherPriority int) int {
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(priority, otherPriority)
}

func compareDeadlines[K comparable](it, other Item[K]) int {
	return it.Deadline.Compare(other.Deadline)
}

// compareItems compares the places of two items in the order of release.
func compareItems[K comparable](now time.Time, it, other Item[K]) int {
	return cmp.Or(
		compareLanes(now.After(it.Deadline), it.Priority, now.After(other.Deadline), other.Priority),
		compareDeadlines(it, other),
	)
}
