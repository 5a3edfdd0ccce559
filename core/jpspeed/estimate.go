package jpspeed

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupCount is the number of groups into which the sources of samples are divided.
	// The median of the groups' means holds if all sources of one group are wrong.
	groupCount = 3

	// shortMemory and longMemory are the time constants with which samples lose their
	// weight. The short one shows a server that slows down within a second or two, the
	// long one what few samples show.
	shortMemory = 700 * time.Millisecond
	longMemory  = 2500 * time.Millisecond

	// decayStep is the shortest time after which weights are adapted.
	decayStep = 50 * time.Millisecond

	// recovery is the time constant with which a belief falls towards what is observed.
	// A server that slows down only when it has much to do looks fast as soon as it gets
	// less, so what it gets grows slower than it is taken away.
	recovery = 3 * time.Second

	// minGroupWeight and minWeight are the numbers of recent samples that a group and a
	// server need to count.
	minGroupWeight = 1
	minWeight      = 3

	// minServers is the number of servers needed to say what is usual among them.
	minServers = 3

	// confidence is the number of standard errors by which a server must exceed the others.
	confidence = 2.5

	// deadBand is the slowness below which no belief begins, negligible that below which
	// it ends.
	deadBand   = 1.5
	negligible = 1.15

	// minSpread and defaultSpread are standard deviations of the logarithms of response
	// times: the least that is assumed, and the one that is before any is known.
	minSpread     = 0.3
	defaultSpread = 0.7

	// maxReportSamples bounds the samples of one report of a peer.
	maxReportSamples = 16
)

// Estimate is what one instance knows of the speed of one server. The zero value knows
// nothing: the server counts as fast as the others.
type Estimate struct {
	short     groups // samples weighted by their age with shortMemory
	long      groups // the same with longMemory
	decayedAt time.Time
	nextGroup int     // of this instance's next sample
	unsent    float64 // sum of the logarithms of this instance's ratios since the last report
	unsentNum int
	belief    float64 // logarithm of the slowness
	updatedAt time.Time
	sampledAt time.Time // latest sample or report
}

// groups holds samples, weighted by their age. Those of one peer are in one group.
type groups [groupCount]struct {
	sum    float64 // of weighted logarithms of ratios
	weight float64
}

// Slowness returns the factor by which the server is believed to be slower than the
// usual one of its service, from 1 to 16.
func (es *Estimate) Slowness() float64 {
	if es.belief == 0 {
		return 1
	}
	return math.Exp(es.belief)
}

// Samples returns the number of recent samples, weighted by age.
func (es *Estimate) Samples() float64 { return es.long.weight() }

// SampledAt returns the time of the latest sample or report, zero if there was none.
func (es *Estimate) SampledAt() time.Time { return es.sampledAt }

// Add adds the ratio of a response time to the usual one that this instance has observed.
func (es *Estimate) Add(now time.Time, ratio float64) {
	value := boundedLog(ratio)
	es.add(now, es.nextGroup, value, 1)
	es.nextGroup = (es.nextGroup + 1) % groupCount
	es.unsent += value
	es.unsentNum++
}

// AddReport adds what a peer has observed.
func (es *Estimate) AddReport(now time.Time, peer string, sm Summary) {
	if sm.Samples <= 0 || !(sm.Slowness > 0) {
		return
	}
	ix := int(xxhash.Sum64String(peer) % groupCount)
	es.add(now, ix, boundedLog(sm.Slowness), float64(min(sm.Samples, maxReportSamples)))
}

func (es *Estimate) add(now time.Time, ix int, value, weight float64) {
	es.decay(now)
	es.short.add(ix, value, weight)
	es.long.add(ix, value, weight)
	es.sampledAt = now
}

// decay adapts the weights of the samples to their age.
func (es *Estimate) decay(now time.Time) {
	age := now.Sub(es.decayedAt)
	if age < decayStep {
		return
	}
	es.decayedAt = now
	es.short.scale(math.Exp(-float64(age) / float64(shortMemory)))
	es.long.scale(math.Exp(-float64(age) / float64(longMemory)))
}

func (gr *groups) add(ix int, value, weight float64) {
	gr[ix].sum += weight * value
	gr[ix].weight += weight
}

func (gr *groups) scale(factor float64) {
	for ix := range gr {
		gr[ix].sum *= factor
		gr[ix].weight *= factor
	}
}

func (gr *groups) weight() float64 {
	total := 0.0
	for _, one := range gr {
		total += one.weight
	}
	return total
}

// TakeSummary returns what this instance has observed since the last call.
func (es *Estimate) TakeSummary() Summary {
	if es.unsentNum == 0 {
		return Summary{}
	}
	sm := Summary{Slowness: math.Exp(es.unsent / float64(es.unsentNum)), Samples: es.unsentNum}
	es.unsent, es.unsentNum = 0, 0
	return sm
}

// mean returns the median of the groups' mean logarithms, the lower one of two. It returns
// false if there are too few samples, or only those of one group.
func (gr *groups) mean() (float64, bool) {
	var means [groupCount]float64
	count := 0
	for _, one := range gr {
		if one.weight >= minGroupWeight {
			means[count] = one.sum / one.weight
			count++
		}
	}
	if count < 2 || gr.weight() < minWeight {
		return 0, false
	}
	slices.Sort(means[:count])
	return means[(count-1)/2], true
}

// excess returns by how much the mean exceeds what is usual, 0 if the samples don't show it.
func (gr *groups) excess(usual, spread float64) float64 {
	mean, ok := gr.mean()
	if !ok || mean-usual <= confidence*spread/math.Sqrt(gr.weight()) {
		return 0
	}
	return mean - usual
}

// Update updates the beliefs about all servers of a service. Slowness is relative to the
// median of the servers, so that nobody is slow if all are. spread is that of the
// service's response times, 0 if not known.
func Update(now time.Time, list []*Estimate, spread float64) {
	known := make([]float64, 0, len(list))
	for _, es := range list {
		es.decay(now)
		if value, ok := es.long.mean(); ok {
			known = append(known, value)
		}
	}
	if spread == 0 {
		spread = defaultSpread
	}
	usual := math.Inf(1)
	if len(known) >= minServers {
		slices.Sort(known)
		usual = known[(len(known)-1)/2]
	}
	for _, es := range list {
		es.update(now, usual, max(spread, minSpread))
	}
}

// update updates the belief, given the logarithm of the ratio that is usual among the
// servers of the service.
func (es *Estimate) update(now time.Time, usual, spread float64) {
	shown := max(es.short.excess(usual, spread), es.long.excess(usual, spread))
	elapsed := now.Sub(es.updatedAt)
	es.updatedAt = now
	switch {
	case es.belief == 0 && shown < math.Log(deadBand):
	case shown > es.belief:
		es.belief = min(shown, math.Log(maxSlowness))
	default:
		es.belief = shown + (es.belief-shown)*math.Exp(-float64(elapsed)/float64(recovery))
		if es.belief < math.Log(negligible) {
			es.belief = 0
		}
	}
}
