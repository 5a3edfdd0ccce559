package jpadmission

import "time"

// Limits in requests for each slot. Without waiting requests, servers become idle until the
// next ones arrive; with too many, they reject some.
const (
	highestLimit  = 5.0 // of the highest priority
	lowestLimit   = 3.0 // of the lowest priority
	reservedLimit = 2.0 // of the lowest priority while the highest one waits
)

const (
	// reserveGrowth is the time in which the reserve of the higher priorities grows to
	// its maximum while the highest one waits.
	reserveGrowth = time.Second

	// reserveDecay is the time in which it shrinks again, longer than most flows stay
	// open: what is released meanwhile can't be held back any more.
	reserveDecay = 5 * time.Second

	// maxReserveStep bounds the time that one observation stands for.
	maxReserveStep = 50 * time.Millisecond
)

// Limits decides how many requests the servers of a service may have for each slot when a
// flow is added. While flows of the highest priority have to wait, the lower priorities
// get less: their open flows can't be held back afterwards. The zero value reserves
// nothing.
type Limits struct {
	reserve    float64 // 0 to 1
	observedAt time.Time
}

// Observe records whether flows of the highest priority wait.
func (lm *Limits) Observe(now time.Time, waits bool) {
	elapsed := now.Sub(lm.observedAt)
	lm.observedAt = now
	if waits {
		lm.reserve = min(lm.reserve+min(elapsed, maxReserveStep).Seconds()/reserveGrowth.Seconds(), 1)
	} else {
		lm.reserve = max(lm.reserve-elapsed.Seconds()/reserveDecay.Seconds(), 0)
	}
}

// Class is what the limit for a flow depends on.
type Class struct {
	Target time.Duration // latency target
	Usual  time.Duration // usual response time, 0 if not known
	Rank   int           // of its priority among those of the service, 0 for the highest
	Ranks  int           // number of priorities of the service
	Late   bool          // it can't be served in time any more
}

// PerSlot returns the limit for a flow. A request queues at its server for at most a
// quarter of its latency target. What is served late only takes what others leave.
func (lm *Limits) PerSlot(cl Class) float64 {
	limit := highestLimit
	switch {
	case cl.Late:
		limit = reservedLimit
	case cl.Rank > 0:
		lowest := lowestLimit - (lowestLimit-reservedLimit)*lm.reserve
		limit -= (highestLimit - lowest) * float64(cl.Rank) / float64(cl.Ranks-1)
	}
	if cl.Usual > 0 {
		limit = min(limit, 1+cl.Target.Seconds()/(4*cl.Usual.Seconds()))
	}
	return limit
}
