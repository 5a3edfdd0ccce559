package jpadmission

import "time"

const (
	// repeatWindow is how long after a refusal a further attempt of the same caller
	// counts as the repetition of the refused one: callers that repeat at once do so
	// after a round trip. Later ones may come from others behind the same address.
	repeatWindow = 25 * time.Millisecond

	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 4096
)

// Refusals remembers which callers were refused, so that their next attempts are known
// as repetitions. Many callers may share an address, so each refusal stands for one
// attempt. K identifies a caller without its port. It is not safe for concurrent use.
type Refusals[K comparable] struct {
	byCaller map[K][]refusal
	count    int
	purgeAt  time.Time
}

type refusal struct {
	deadline, expires time.Time // of the refused attempt, see Item
	forgetAt          time.Time
}

// Note records the refusal of an item.
func (rf *Refusals[K]) Note(now time.Time, caller K, deadline, expires time.Time) {
	rf.purge(now)
	if rf.count >= maxRefusals {
		return
	}
	if rf.byCaller == nil {
		rf.byCaller = map[K][]refusal{}
	}
	rf.byCaller[caller] = append(rf.byCaller[caller], refusal{deadline, expires, now.Add(repeatWindow)})
	rf.count++
}

// Take reports whether a caller was refused a short time ago, and the limits of the
// refused attempt. It forgets that refusal.
func (rf *Refusals[K]) Take(now time.Time, caller K) (deadline, expires time.Time, repeated bool) {
	list := rf.byCaller[caller]
	for len(list) > 0 && !repeated {
		first := list[0]
		list = list[1:]
		rf.count--
		deadline, expires, repeated = first.deadline, first.expires, now.Before(first.forgetAt)
	}
	if len(list) == 0 {
		delete(rf.byCaller, caller)
	} else {
		rf.byCaller[caller] = list
	}
	return deadline, expires, repeated
}

// purge removes old refusals, at most once in each repeatWindow.
func (rf *Refusals[K]) purge(now time.Time) {
	if now.Before(rf.purgeAt) {
		return
	}
	rf.purgeAt = now.Add(repeatWindow)
	for caller, list := range rf.byCaller {
		for len(list) > 0 && !now.Before(list[0].forgetAt) {
			list = list[1:]
			rf.count--
		}
		rf.byCaller[caller] = list
		if len(list) == 0 {
			delete(rf.byCaller, caller)
		}
	}
}
