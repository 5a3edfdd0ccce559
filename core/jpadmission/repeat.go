package jpadmission

import (
	"maps"
	"time"
)

const (
	// repeatWindow is how long after a refusal a further attempt of the same caller
	// counts as the repetition of the refused one. Callers that repeat at once do so
	// after a round trip.
	repeatWindow = 25 * time.Millisecond

	// maxRefusals bounds the callers that are remembered.
	maxRefusals = 4096
)

// Refusals remembers which callers were refused, so that their next attempts are known as
// repetitions. K identifies a caller, but not its attempt. Several callers may share an
// address: if more than one attempt was refused within repeatWindow, none of the following
// ones counts as a repetition, because it may be another caller's first. It is not safe
// for concurrent use.
type Refusals[K comparable] struct {
	byCaller map[K]refusal
	purgeAt  time.Time
}

type refusal struct {
	deadline, expires time.Time // of the refused attempt, see Item
	forgetAt          time.Time
	shared            bool
}

// Note records the refusal of an attempt with the limits of its Item.
func (rf *Refusals[K]) Note(now time.Time, caller K, deadline, expires time.Time) {
	if rf.byCaller == nil {
		rf.byCaller = map[K]refusal{}
	}
	if !now.Before(rf.purgeAt) {
		rf.purgeAt = now.Add(repeatWindow)
		maps.DeleteFunc(rf.byCaller, func(_ K, rf refusal) bool { return !now.Before(rf.forgetAt) })
	}
	known, ok := rf.byCaller[caller]
	if !ok && len(rf.byCaller) >= maxRefusals {
		return
	}
	rf.byCaller[caller] = refusal{deadline, expires, now.Add(repeatWindow), ok && now.Before(known.forgetAt)}
}

// Take reports whether an attempt repeats one that was refused, and the limits of that
// one. It forgets the refusal.
func (rf *Refusals[K]) Take(now time.Time, caller K) (deadline, expires time.Time, repeated bool) {
	known, ok := rf.byCaller[caller]
	if !ok || known.shared || !now.Before(known.forgetAt) {
		return time.Time{}, time.Time{}, false
	}
	delete(rf.byCaller, caller)
	return known.deadline, known.expires, true
}
