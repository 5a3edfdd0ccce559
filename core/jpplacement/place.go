// Package jpplacement selects a server for each new flow from what an instance knows of
// the servers' loads, of which the part that other instances cause is known late.
package jpplacement

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Candidates are the servers among which flows are placed.
type Candidates interface {
	// Len returns the number of candidates.
	Len() int

	// Load returns the load of a candidate, and false if it can't take the flow.
	Load(ix int) (float64, bool)
}

// MaxSamples bounds Policy.Samples.
const MaxSamples = 8

// Policy says how many candidates are compared for each flow.
type Policy struct {
	Samples int // different ones, drawn by a hash of the flow; 0 for all candidates
}

// Select returns the index of the least loaded of the compared candidates, or false if
// none of them can take the flow. Of equally loaded ones it is the first drawn. A
// flow's hash draws the same candidates each time.
func Select[C Candidates](pc Policy, cs C, hash uint64) (int, bool) {
	count := cs.Len()
	samples := min(pc.Samples, MaxSamples)
	all := samples <= 0 || samples >= count
	if all {
		samples = count
	}
	var drawn [MaxSamples]int
	best, lowest := -1, math.Inf(1)
	for no := range samples {
		ix := no
		if !all {
			hash = mix(hash)
			ix = draw(hash, count, drawn[:no])
			drawn[no] = ix
		}
		if load, ok := cs.Load(ix); ok && (load < lowest || best < 0) {
			best, lowest = ix, load
		}
	}
	return best, best >= 0
}

// draw returns an index below count that has not been drawn.
func draw(hash uint64, count int, drawn []int) int {
	high, _ := bits.Mul64(hash, uint64(count))
	ix := int(high)
	for slices.Contains(drawn, ix) {
		ix = (ix + 1) % count
	}
	return ix
}

// mix returns the next value of the sequence SplitMix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// recentTime is the time in which a Recent falls to 1/e: long enough to count the
// requests of an open flow whose caller pauses between them, and shorter than a minute,
// the longest life of a flow.
const recentTime = 5 * time.Second

// Recent counts recent events: each counts for less as it grows older, on average for
// recentTime. The zero value has counted none.
type Recent struct {
	value float64
	at    time.Time
}

// Add counts further events.
func (rc *Recent) Add(now time.Time, events int) {
	rc.value, rc.at = rc.Value(now)+float64(events), now
}

// Value returns the current count.
func (rc *Recent) Value(now time.Time) float64 {
	if rc.value == 0 {
		return 0
	}
	return rc.value * math.Exp(-float64(max(now.Sub(rc.at), 0))/float64(recentTime))
}
