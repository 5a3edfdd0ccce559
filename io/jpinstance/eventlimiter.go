package jpinstance

import (
	"sync"
	"time"

	"jacinthpass/core/jpsteering"
)

// maxFlowEventsPerSecond limits the events of one kind about the flows of one
// service, so that a flood of refused flows does not displace all other events in the
// timeline.
const maxFlowEventsPerSecond = 5

// eventLimiter limits the events of the steerer that callers can cause, in windows
// of one second. It is safe for concurrent use.
type eventLimiter struct {
	mu        sync.Mutex
	windowEnd time.Time
	counts    map[eventKind]int
}

// eventKind identifies events that are counted together.
type eventKind struct {
	reason  jpsteering.Reason
	service string
}

// causedByCallers reports whether callers can cause any number of an event. Other
// events, of servers, members and flows ended by an operator's change, are rare and
// never omitted.
func causedByCallers(reason jpsteering.Reason) bool {
	switch reason {
	case jpsteering.EventRefused, jpsteering.EventShed, jpsteering.EventFlowSilent,
		jpsteering.EventFlowLocated, jpsteering.EventFlowUnlocated:
		return true
	}
	return false
}

// allow reports whether an event may be recorded, and counts it.
func (el *eventLimiter) allow(now time.Time, kind eventKind) bool {
	if !causedByCallers(kind.reason) {
		return true
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if !now.Before(el.windowEnd) {
		el.windowEnd = now.Add(time.Second)
		el.counts = map[eventKind]int{}
	}
	el.counts[kind]++
	return el.counts[kind] <= maxFlowEventsPerSecond
}
