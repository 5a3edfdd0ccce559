package jpsteering

import (
	"math"
	"time"

	"jacinthpass/core/jpsettings"
)

// balance estimates the loads of a service between the times at which their
// owners tell them, twice a second. Without it, the soft cap stays behind while
// many flows open, all first choices look full, and the second pass places flows
// without regard to the loads (see BenchmarkRamp). The occupied slots of a service
// of requests change many times between two news and are taken as told.
type loadEstimate struct {
	mean       float64   // load of the servers that take new flows
	growthRate float64   // growth of the mean between the last two news, in flows a second
	computedAt time.Time // of mean

	// Homes get the flows of a service in equal shares, so what arrives at one
	// instance's own servers is a sample of what all servers get.
	netArrivals       float64 // flows that arrived less those that ended, for each own server
	netArrivalsAtMean float64 // net at the time of mean
	ownedServers      int     // own servers that take new flows
}

// maxDeviations is the number of standard deviations beyond which the sample of
// new flows counts instead of the growth so far. With 3, the noise of the sample
// costs balance while flows open steadily (BenchmarkRamp).
const maxDeviations = 5

// meanAt extrapolates the mean.
func (ba *loadEstimate) meanAt(now time.Time) float64 {
	return max(ba.mean+ba.growthSince(now.Sub(ba.computedAt), ba.netArrivalsAtMean), 0)
}

// growth is the growth of a server's load since a time, when net had the given
// value. It goes on as between the last news, which come from many servers, unless
// the sample differs from that: many callers may connect again at the same moment.
func (ba *loadEstimate) growthSince(since time.Duration, net float64) float64 {
	expected := ba.growthRate * since.Seconds()
	if ba.ownedServers == 0 {
		return expected
	}
	own := float64(ba.ownedServers)
	seen := ba.netArrivals - net
	if math.Abs(seen-expected) > maxDeviations*math.Sqrt(max(math.Abs(expected)*own, 1))/own {
		return seen
	}
	return expected
}

// arrived counts a new flow at its home, or the end of one.
func (ba *loadEstimate) addArrivals(count int) {
	if ba.ownedServers > 0 {
		ba.netArrivals += float64(count) / float64(ba.ownedServers)
	}
}

// departed counts the end of a flow at an own server. The flows of a server that
// goes to another owner do not end.
func (sr *server) countDeparture() {
	if sr.owned {
		sr.service.loadEstimate.addArrivals(-1)
	}
}

// takeLoad notes what the owner of a server told of its load.
func (sr *server) updateLoad(now time.Time, ld Load) {
	before, since := sr.load, sr.loadReportedAt()
	sr.load = ld
	sr.loadExpires = now.Add(loadMaxAge)
	sr.netArrivalsAtLoad = sr.service.loadEstimate.netArrivals
	sr.loadGrowth = 0
	if took := now.Sub(since); took > 0 && took < loadMaxAge && !ld.Full && !ld.Cold {
		sr.loadGrowth = (float64(ld.Flows) - float64(before.Flows)) / took.Seconds()
	}
}

// told is when the owner told the server's load.
func (sr *server) loadReportedAt() time.Time { return sr.loadExpires.Add(-loadMaxAge) }

// estimate is the load of another instance's server now: what its owner told, and
// the growth since then. A server without room gets no new flows.
func (sr *server) estimateLoad(now time.Time) float64 {
	flows := float64(sr.load.Flows)
	if sr.load.Full || sr.load.Cold {
		return flows
	}
	return max(flows+sr.service.loadEstimate.growthSince(now.Sub(sr.loadReportedAt()), sr.netArrivalsAtLoad), 0)
}

// computeMean recomputes the mean load of a service and its growth.
func (sv *service) updateMean(now time.Time) {
	total, growth, count, own, others := 0.0, 0.0, 0, 0, 0
	for _, sr := range sv.current.servers {
		sr.forwardedThisTick = 0
		if sr.cfg.Draining || sr.cfg.Out {
			continue
		}
		switch {
		case sr.owned:
			total += float64(sr.admission.Observed(now))
			count++
			own++
		case now.Before(sr.loadExpires):
			total += sr.estimateLoad(now)
			growth += sr.loadGrowth
			count++
			others++
		}
	}
	ba := &sv.loadEstimate
	ba.mean, ba.computedAt, ba.netArrivalsAtMean = total/float64(max(count, 1)), now, ba.netArrivals
	if sv.cfg.Kind == jpsettings.Stream {
		ba.growthRate, ba.ownedServers = growth/float64(max(others, 1)), own
	}
}
