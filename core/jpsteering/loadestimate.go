package jpsteering

import (
	"math"
	"time"

	"jacinthpass/core/jpsettings"
)

// loadEstimate extrapolates the loads of a service's servers between the reports
// of their owners, which come twice a second. Without it, the soft cap lags behind
// while many flows open, all top-ranked servers look full, and the second pass
// places flows without regard to load (see BenchmarkRamp). The occupied slots of a
// request service change many times between two reports and are used as reported.
type loadEstimate struct {
	mean       float64   // mean load of the servers that take new flows
	growthRate float64   // mean growth of a server's load between its last two reports, in flows per second
	computedAt time.Time // when mean was computed

	// The flows of a service are spread evenly over their home servers, so the
	// arrivals at one instance's own servers are a sample of those at all servers.
	netArrivals       float64 // flows that arrived minus flows that ended, per own server
	netArrivalsAtMean float64 // netArrivals when mean was computed
	ownedServers      int     // own servers that take new flows
}

// maxDeviations is the number of standard deviations beyond which the sampled
// arrivals replace the extrapolated growth. With 3, sampling noise worsens the
// balance while flows open at a steady rate (BenchmarkRamp).
const maxDeviations = 5

// meanAt extrapolates the mean load to now.
func (le *loadEstimate) meanAt(now time.Time) float64 {
	return max(le.mean+le.growthSince(now.Sub(le.computedAt), le.netArrivalsAtMean), 0)
}

// growthSince estimates the growth of a server's load over the duration since,
// at whose start netArrivals was net. It extrapolates growthRate, which is
// averaged over many servers, unless the sampled arrivals deviate from it
// significantly: many callers may reconnect at the same moment.
func (le *loadEstimate) growthSince(since time.Duration, net float64) float64 {
	expected := le.growthRate * since.Seconds()
	if le.ownedServers == 0 {
		return expected
	}
	own := float64(le.ownedServers)
	observed := le.netArrivals - net
	if math.Abs(observed-expected) > maxDeviations*math.Sqrt(max(math.Abs(expected)*own, 1))/own {
		return observed
	}
	return expected
}

// addArrivals adds new flows at their home server, or subtracts ended ones if
// count is negative.
func (le *loadEstimate) addArrivals(count int) {
	if le.ownedServers > 0 {
		le.netArrivals += float64(count) / float64(le.ownedServers)
	}
}

// countDeparture counts the end of a flow at an owned server. Flows of a server
// that passes to another owner have not ended.
func (sr *server) countDeparture() {
	if sr.owned {
		sr.service.loadEstimate.addArrivals(-1)
	}
}

// updateLoad stores the load that the server's owner reported.
func (sr *server) updateLoad(now time.Time, ld Load) {
	previous, reportedAt := sr.load, sr.loadReportedAt()
	sr.load = ld
	sr.loadExpires = now.Add(loadMaxAge)
	sr.netArrivalsAtLoad = sr.service.loadEstimate.netArrivals
	sr.loadGrowth = 0
	if interval := now.Sub(reportedAt); interval > 0 && interval < loadMaxAge && !ld.Full && !ld.Cold {
		sr.loadGrowth = (float64(ld.Flows) - float64(previous.Flows)) / interval.Seconds()
	}
}

// loadReportedAt returns when the owner last reported the server's load.
func (sr *server) loadReportedAt() time.Time { return sr.loadExpires.Add(-loadMaxAge) }

// estimateLoad returns the present load of another instance's server: the load
// that its owner reported plus the growth since. That of a full or cold server is
// used as reported, because a server without room gets no new flows.
func (sr *server) estimateLoad(now time.Time) float64 {
	flows := float64(sr.load.Flows)
	if sr.load.Full || sr.load.Cold {
		return flows
	}
	return max(flows+sr.service.loadEstimate.growthSince(now.Sub(sr.loadReportedAt()), sr.netArrivalsAtLoad), 0)
}

// updateMean recomputes the mean load of a service and its growth rate.
func (sv *service) updateMean(now time.Time) {
	total, growth, count, own, others := 0.0, 0.0, 0, 0, 0
	for _, sr := range sv.current.servers {
		sr.forwardedThisTick = 0
		if sr.cfg.Draining || sr.cfg.Out {
			continue
		}
		switch {
		case sr.owned:
			total += float64(sr.admission.ObservedLoad(now))
			count++
			own++
		case now.Before(sr.loadExpires):
			total += sr.estimateLoad(now)
			growth += sr.loadGrowth
			count++
			others++
		}
	}
	le := &sv.loadEstimate
	le.mean, le.computedAt, le.netArrivalsAtMean = total/float64(max(count, 1)), now, le.netArrivals
	if sv.cfg.Kind == jpsettings.Stream {
		le.growthRate, le.ownedServers = growth/float64(max(others, 1)), own
	}
}
