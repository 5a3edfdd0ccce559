package jpcapacity

import "time"

const (
	// A service counts as full when there has been a request or more for each slot for
	// fullAfter, and no longer when there have been less than roomFill for roomAfter.
	fullFill  = 1
	fullAfter = 500 * time.Millisecond
	roomFill  = 0.75
	roomAfter = 2 * time.Second
)

// Level says whether a service is full. It is for people, who want to hear of lasting
// changes only: decisions use the estimate. The zero value has room.
type Level struct {
	full   bool
	turned time.Time // when the estimates began to contradict full, zero if they don't
}

// Full reports whether the service counts as full.
func (lv *Level) Full() bool { return lv.full }

// Update takes a new estimate into account, and reports whether Full has changed. A
// guess changes nothing.
func (lv *Level) Update(now time.Time, es Estimate) bool {
	contradicts, lasting := es.Fill() >= fullFill, fullAfter
	if lv.full {
		contradicts, lasting = es.Fill() < roomFill, roomAfter
	}
	switch {
	case es.Guess || !contradicts:
		lv.turned = time.Time{}
	case lv.turned.IsZero():
		lv.turned = now
	case now.Sub(lv.turned) >= lasting:
		lv.full, lv.turned = !lv.full, time.Time{}
		return true
	}
	return false
}
