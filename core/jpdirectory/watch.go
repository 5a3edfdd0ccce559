package jpdirectory

import "time"

const (
	// WatchWait is the longest time between two responses of the store to an instance
	// that watches it. A longer one would need fewer calls, each of which incurs a cost,
	// but only a response shows that the store is still reachable.
	WatchWait = 2 * time.Second

	// minStaleAfter leaves the peers 0.5 s to hear of a response of the store.
	// maxStaleAfter leaves them the time for which a peer's status is used.
	minStaleAfter = WatchWait + 500*time.Millisecond
	maxStaleAfter = WatchWait + 1500*time.Millisecond

	// spreadTime is the part of the time limit of a change that is reserved for reading
	// it and for its way from one instance to the next.
	spreadTime = 1500 * time.Millisecond

	// takeoverInterval is the time between two instances of a data centre that watch
	// the store in place of others. The first response makes the directories of the
	// following ones current, unless it comes too late. maxTakeoverDelay bounds their
	// sum.
	takeoverInterval = 50 * time.Millisecond
	maxTakeoverDelay = 500 * time.Millisecond
)

// WatchDuty decides when an instance has to watch the store. The first instance of each
// data centre always does. It may be alive and not reach the store, or have no processor
// time, and so may those of all data centres. Then nobody's directory is confirmed any
// more, and the others take over in the order of their ranks.
type WatchDuty struct {
	staleAfter  time.Duration
	respondedAt time.Time // of the latest response of the store to this instance
}

// NewWatchDuty returns the duty of an instance. changeLimit is the time limit within which
// a change has to take effect, 0 if not known.
func NewWatchDuty(changeLimit time.Duration) *WatchDuty {
	staleAfter := maxStaleAfter
	if changeLimit > 0 {
		staleAfter = min(max(changeLimit-spreadTime, minStaleAfter), maxStaleAfter)
	}
	return &WatchDuty{staleAfter: staleAfter}
}

// DueAt returns the time from which an instance has to watch the store if its directory is
// not confirmed before. rank is its position among those of its data centre that may
// watch, from 0. currentAt is the latest time at which its directory was up to date.
func (wd *WatchDuty) DueAt(currentAt time.Time, rank int) time.Time {
	if rank == 0 {
		return time.Time{}
	}
	return currentAt.Add(wd.staleAfter + min(time.Duration(rank)*takeoverInterval, maxTakeoverDelay))
}

// Responded records a response of the store.
func (wd *WatchDuty) Responded(now time.Time) { wd.respondedAt = now }

// WaitUntil returns the time at which a watch that begins now has to return if there is no
// change. It is not after now if the latest response is WatchWait old.
func (wd *WatchDuty) WaitUntil() time.Time { return wd.respondedAt.Add(WatchWait) }
