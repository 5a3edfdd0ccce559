package jpcapacity

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportTTL is how long a report counts: three report intervals.
	reportTTL = 1500 * time.Millisecond

	// minSeen is the number of instances, or more than half of fewer, that have to be
	// heard. One figure among four can't move the medians that bound it.
	minSeen = 4

	// A report counts for at most boundFactor times the median of what the other
	// instances show plus boundSlack requests, and for no less than its boundFactor-th
	// part minus boundSlack. Routers spread flows evenly; an instance that has just
	// joined or leaves may differ as much.
	boundFactor = 3
	boundSlack  = 2
)

// Use is what an instance knows itself of the servers that it may give new flows of
// a service to.
type Use struct {
	Slots     float64 // requests that the servers work on at a time
	Requests  int     // of this instance, without a response yet
	Instances int     // live instances that use the servers, this one included
	Unheard   bool    // others that use the servers don't report to this instance
}

// Estimator derives estimates for one service from the reports of peers. The zero value
// has heard nothing. It is not safe for concurrent use.
type Estimator struct {
	reports map[string]report // by peer
	sorted  []float64         // requests of the reports, ascending
	samples []float64         // sorted and this instance's requests, see total
	oldest  time.Time         // of the reports, zero if there are none
}

type report struct {
	requests float64
	at       time.Time
}

// Report stores the mean number of requests that a peer had at the servers since its last
// report. It replaces the peer's earlier report.
func (et *Estimator) Report(now time.Time, peer string, requests float64) {
	if et.reports == nil {
		et.reports = map[string]report{}
	}
	if !(requests > 0) { // also if it is not a number
		requests = 0
	}
	et.reports[peer] = report{requests: requests, at: now}
	et.update(now)
}

// Forget drops all reports, as after a pause in which they may have become too old.
func (et *Estimator) Forget() {
	clear(et.reports)
	et.sorted, et.oldest = et.sorted[:0], time.Time{}
}

// update drops expired reports and sorts the others.
func (et *Estimator) update(now time.Time) {
	maps.DeleteFunc(et.reports, func(_ string, rp report) bool { return now.Sub(rp.at) >= reportTTL })
	et.sorted, et.oldest = et.sorted[:0], time.Time{}
	for _, rp := range et.reports {
		et.sorted = append(et.sorted, rp.requests)
		if et.oldest.IsZero() || rp.at.Before(et.oldest) {
			et.oldest = rp.at
		}
	}
	slices.Sort(et.sorted)
}

// Heard returns the number of peers whose reports count.
func (et *Estimator) Heard(now time.Time) int {
	if !et.oldest.IsZero() && now.Sub(et.oldest) >= reportTTL {
		et.update(now)
	}
	return len(et.sorted)
}

// Estimate returns the estimate for the servers that an instance uses. Instances that
// are not heard are taken to be like the average of those that are.
func (et *Estimator) Estimate(now time.Time, use Use) Estimate {
	seen := 1 + et.Heard(now)
	instances := max(use.Instances, seen)
	es := Estimate{
		Slots: use.Slots, Own: float64(use.Requests),
		Instances: float64(instances), Seen: float64(seen), OldestAt: now,
		Guess: use.Unheard || use.Slots <= 0 || seen < min(instances/2+1, minSeen),
	}
	if len(et.sorted) > 0 {
		es.OldestAt = et.oldest
	}
	es.Requests = et.total(es.Own) * es.Instances / es.Seen
	return es
}

// total returns the requests of this instance and its peers, each report bounded by what
// the others show.
func (et *Estimator) total(own float64) float64 {
	position, _ := slices.BinarySearch(et.sorted, own)
	et.samples = append(append(append(et.samples[:0], et.sorted[:position]...), own), et.sorted[position:]...)
	sum := own
	for ix, requests := range et.samples {
		if ix != position {
			lower, upper := mediansWithout(et.samples, ix)
			sum += min(max(requests, lower/boundFactor-boundSlack), upper*boundFactor+boundSlack)
		}
	}
	return sum
}

// mediansWithout returns the lower and the upper median of two or more sorted values
// without one of them.
func mediansWithout(sorted []float64, left int) (lower, upper float64) {
	others := len(sorted) - 1
	low, high := (others-1)/2, others/2
	if low >= left {
		low++
	}
	if high >= left {
		high++
	}
	return sorted[low], sorted[high]
}
