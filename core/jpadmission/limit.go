package jpadmission

import "time"

// Limits in requests for each slot. Without waiting requests, servers become idle until the
// next ones arrive; with too many, they reject some.
const (
	highestLimit  = 5.0 // of the highest priority
	lowestLimit   = 4.0 // of the lowest priority
	reservedLimit = 2.5 // of the lowest priority at the largest reserve
	lateLimit     = 1.5 // of flows that are probably late

	// reserveFrom is the number of requests for each slot above which servers may reject
	// what the highest priority sends.
	reserveFrom = 3.5
)

const (
	// reserveGrowth is the time in which the reserve of the higher priorities grows to
	// its maximum above reserveFrom.
	reserveGrowth = 500 * time.Millisecond

	// reserveDecay is the time in which it shrinks again, longer than most flows stay
	// open: what is released meanwhile can't be held back any more.
	reserveDecay = 3 * time.Second

	// maxReserveStep bounds the time that one observation stands for.
	maxReserveStep = 50 * time.Millisecond
)

// Limits decides how many requests the servers of a service may have for each slot when a
// flow is added. When servers fill, the lower priorities get less than the highest one:
// their open flows can't be held back afterwards. The zero value reserves nothing.
type Limits struct {
	reserve    float64 // 0 to 1
	observedAt time.Time
}

// Observe records the requests for each slot of a service that the highest priority uses.
func (lm *Limits) Observe(now time.Time, fill float64) {
	elapsed := now.Sub(lm.observedAt)
	lm.observedAt = now
	if fill > reserveFrom {
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
	Late   bool          // it is probably late
}

// PerSlot returns the limit for a flow. A request queues at its server for at most half
// of its latency target. What is probably late only takes what others leave.
func (lm *Limits) PerSlot(cl Class) float64 {
	limit := highestLimit
	switch {
	case cl.Late:
		limit = lateLimit
	case cl.Rank > 0 && cl.Ranks > 1:
		lowest := lowestLimit - (lowestLimit-reservedLimit)*lm.reserve
		limit -= (highestLimit - lowest) * float64(cl.Rank) / float64(cl.Ranks-1)
	}
	if cl.Usual > 0 {
		limit = min(limit, 1+cl.Target.Seconds()/(2*cl.Usual.Seconds()))
	}
	return limit
}
