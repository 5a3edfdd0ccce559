package jpevent

import (
	"cmp"
	"slices"
	"time"
)

// MaxEvents bounds a Log.
const MaxEvents = 4096

// Log keeps the latest MaxEvents events of one instance; older ones are
// overwritten. The zero value is empty. It is not safe for concurrent use.
type Log struct {
	ring   []Event
	oldest int // index of the oldest event once the ring is full
}

// Add appends an event.
func (lg *Log) Add(ev Event) {
	if len(lg.ring) < MaxEvents {
		lg.ring = append(lg.ring, ev)
		return
	}
	lg.ring[lg.oldest] = ev
	lg.oldest = (lg.oldest + 1) % MaxEvents
}

// Since returns the events at or after a time in the order in which they were
// added. The order does not depend on their times, and all events are examined, so
// that a clock that was set back does not hide events.
func (lg *Log) Since(at time.Time) []Event {
	var events []Event
	for _, part := range [][]Event{lg.ring[lg.oldest:], lg.ring[:lg.oldest]} {
		for _, ev := range part {
			if !ev.At.Before(at) {
				events = append(events, ev)
			}
		}
	}
	return events
}

// Merge returns the events of all lists sorted by time, then by instance. Events
// that are equal in both keep the order of the lists and their order within a list.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance, b.Instance))
	})
	return merged
}
