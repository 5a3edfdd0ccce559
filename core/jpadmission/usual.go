package jpadmission

import "time"

// Weights of a new response time below and above the usual one. Load only makes
// responses slower, so the usual time follows the fast ones.
const (
	fasterWeight = 0.1
	slowerWeight = 0.01
)

// UsualTime is the usual response time of a service without queueing. The zero value
// knows none.
type UsualTime struct{ time time.Duration }

// Add adds a response time.
func (ut *UsualTime) Add(took time.Duration) {
	weight := fasterWeight
	switch {
	case ut.time == 0:
		weight = 1
	case took > ut.time:
		weight = slowerWeight
	}
	ut.time += time.Duration(weight * float64(took-ut.time))
}

// Get returns the usual response time, 0 if it is not known.
func (ut *UsualTime) Get() time.Duration { return ut.time }

// Bounds of PerSlot for the highest and the lowest priority. With one request behind each
// one at work, no server becomes idle until the next request arrives.
var (
	maxPerSlot = 3.0
	minPerSlot = 2.0
)

// PerSlot returns how many requests a server may have for each slot when a flow of a
// priority is added. A request queues there for at most a quarter of its latency target.
// The flows of lower priorities leave room for those of higher ones, which may open flows
// for every request while others keep theirs. rank is that of the priority, 0 for the
// highest, among the priorities of the service.
func PerSlot(target, usual time.Duration, rank, ranks int) float64 {
	highest := maxPerSlot
	if usual > 0 {
		highest = min(1+target.Seconds()/(4*usual.Seconds()), maxPerSlot)
	}
	if ranks <= 1 || highest <= minPerSlot {
		return highest
	}
	return highest - (highest-minPerSlot)*float64(rank)/float64(ranks-1)
}
