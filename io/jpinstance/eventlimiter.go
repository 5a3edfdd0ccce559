package jpinstance

import (
	"sync"
	"time"

	"jacinthpass/core/jpsteering"
)

// maxSteeringEvents bounds the events of one kind about flows of one service in a second,
// so that a flood of refused flows does not push everything else out of the
// time line.
const maxFlowEventsPerSecond = 5

// eventLimit counts the events of the steering in the current second.
type eventLimiter struct {
	mu        sync.Mutex
	windowEnd time.Time
	counts    map[eventKind]int
}

type eventKind struct {
	reason  jpsteering.Reason
	service string
}

// ofFlow tells whether callers can bring about an event as often as they like.
// Events of servers and members are few and are never left out.
func isFlowEvent(reason jpsteering.Reason) bool {
	switch reason {
	case jpsteering.EventRefused, jpsteering.EventShed, jpsteering.EventFlowSilent,
		jpsteering.EventFlowLocated, jpsteering.EventFlowUnlocated:
		return true
	}
	return false
}

// allow reports whether another event fits into the current second.
func (el *eventLimiter) allow(now time.Time, kind eventKind) bool {
	if !isFlowEvent(kind.reason) {
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
