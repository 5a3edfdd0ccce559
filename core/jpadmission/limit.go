package jpadmission

import "time"

// Bounds of a limit in requests for each slot. Without waiting requests, servers become
// idle until the next ones arrive; with too many, they reject some.
const (
	maxPerSlot = 4.0
	minPerSlot = 2.0
)

const (
	// reserveGrowth is the time in which the reserve of the higher priorities grows to
	// its maximum while the highest one waits.
	reserveGrowth = 300 * time.Millisecond

	// reserveDecay is the time in which it shrinks again. Flows that are open for
	// seconds take up what is released meanwhile.
	reserveDecay = 3 * time.Second

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

// PerSlot returns the limit for a flow of a priority. A request queues at its server for
// at most a quarter of its latency target. rank is that of the priority among the
// priorities of the service, 0 for the highest.
func (lm *Limits) PerSlot(target, usual time.Duration, rank, ranks int) float64 {
	highest := maxPerSlot
	if usual > 0 {
		highest = min(1+target.Seconds()/(4*usual.Seconds()), maxPerSlot)
	}
	if ranks <= 1 || highest <= minPerSlot {
		return highest
	}
	return highest - (highest-minPerSlot)*lm.reserve*float64(rank)/float64(ranks-1)
}
