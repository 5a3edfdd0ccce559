package jpdirectory

import "time"

const (
	// requestInterval is the minimum time between two requests for changes, to
	// any peers. An answer takes 2 ms, or much longer from an instance that gets
	// no processor time.
	requestInterval = 300 * time.Millisecond

	// fullRequestInterval is the minimum time between two requests for all
	// records, which are 260 KB at 3,000 servers. They take 0.2 s on a link of
	// 10 Mbit/s, and as much of processor time.
	fullRequestInterval = time.Second

	// remoteDelay is how long an instance waits for its own data centre before it
	// requests changes from another one. A change takes one status interval from
	// one instance to the next at most; without the delay, each instance next to a
	// border would get most changes across it.
	remoteDelay = 500 * time.Millisecond

	// storeReadTime is how long a starting instance waits for its first read of
	// the store before it requests all records from peers. 100 instances that
	// start at the same time have read 1,100 records each within 0.3 s.
	storeReadTime = 300 * time.Millisecond
)

// RequestLimiter decides when an instance may request from a peer the records that
// its directory lacks.
type RequestLimiter struct {
	storeReadUntil time.Time // end of the time reserved for the first read of the store
	storeFailing   bool      // the latest call of the store by this instance has failed
	nextAt         time.Time
	behindAt       Progress  // progress of the directory when a peer first reported a higher one
	remoteFrom     time.Time // from then on, peers in other data centres may be asked
}

// NewRequestLimiter returns the limiter of an instance that starts to read the
// store.
func NewRequestLimiter(now time.Time) *RequestLimiter {
	return &RequestLimiter{storeReadUntil: now.Add(storeReadTime)}
}

// StoreReadFailed records that a read of the store has failed, so that peers may be
// asked at once.
func (rl *RequestLimiter) StoreReadFailed() {
	rl.storeReadUntil = time.Time{}
	rl.storeFailing = true
}

// StoreResponded records that the store has responded to this instance.
func (rl *RequestLimiter) StoreResponded() { rl.storeFailing = false }

// Allow reports whether to send a request now to a peer whose directory has the
// progress reported, and counts the request if so. known is the progress of this
// instance's directory. A peer in another data centre, which is not local, is asked
// only if those in this one have not helped for remoteDelay.
func (rl *RequestLimiter) Allow(now time.Time, known, reported Progress, local bool) bool {
	if !known.Behind(reported) {
		return false
	}
	if rl.remoteFrom.IsZero() || rl.behindAt != known {
		rl.behindAt, rl.remoteFrom = known, now.Add(remoteDelay)
	}
	// An instance whose own calls of the store fail takes any help: it would be the one
	// to supply its data centre.
	urgent := rl.storeFailing
	if now.Before(rl.nextAt) || known.Revision.IsZero() && now.Before(rl.storeReadUntil) || !local && !urgent && now.Before(rl.remoteFrom) {
		return false
	}
	rl.nextAt = now.Add(requestInterval)
	if known.Revision.IsZero() {
		rl.nextAt = now.Add(fullRequestInterval)
	}
	return true
}
