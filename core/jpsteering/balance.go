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
type balance struct {
	mean float64   // load of the servers that take new flows
	rate float64   // growth of the mean between the last two news, in flows a second
	at   time.Time // of mean

	// Homes get the flows of a service in equal shares, so what arrives at one
	// instance's own servers is a sample of what all servers get.
	net   float64 // flows that arrived less those that ended, for each own server
	netAt float64 // net at the time of mean
	own   int     // own servers that take new flows
}

// maxDeviations is the number of standard deviations beyond which the sample of
// new flows counts instead of the growth so far. With 3, the noise of the sample
// costs balance while flows open steadily (BenchmarkRamp).
const maxDeviations = 5

// meanAt extrapolates the mean.
func (ba *balance) meanAt(now time.Time) float64 {
	return max(ba.mean+ba.growth(now.Sub(ba.at), ba.netAt), 0)
}

// growth is the growth of a server's load since a time, when net had the given
// value. It goes on as between the last news, which come from many servers, unless
// the sample differs from that: many callers may connect again at the same moment.
func (ba *balance) growth(since time.Duration, net float64) float64 {
	expected := ba.rate * since.Seconds()
	if ba.own == 0 {
		return expected
	}
	own := float64(ba.own)
	seen := ba.net - net
	if math.Abs(seen-expected) > maxDeviations*math.Sqrt(max(math.Abs(expected)*own, 1))/own {
		return seen
	}
	return expected
}

// arrived counts a new flow at its home, or the end of one.
func (ba *balance) arrived(count int) {
	if ba.own > 0 {
		ba.net += float64(count) / float64(ba.own)
	}
}

// departed counts the end of a flow at an own server. The flows of a server that
// goes to another owner do not end.
func (sr *server) departed() {
	if sr.mine {
		sr.service.balance.arrived(-1)
	}
}

// takeLoad notes what the owner of a server told of its load.
func (sr *server) takeLoad(now time.Time, ld Load) {
	before, since := sr.load, sr.told()
	sr.load = ld
	sr.loadUntil = now.Add(loadTrust)
	sr.netThen = sr.service.balance.net
	sr.growth = 0
	if took := now.Sub(since); took > 0 && took < loadTrust && !ld.Full && !ld.Cold {
		sr.growth = (float64(ld.Flows) - float64(before.Flows)) / took.Seconds()
	}
}

// told is when the owner told the server's load.
func (sr *server) told() time.Time { return sr.loadUntil.Add(-loadTrust) }

// estimate is the load of another instance's server now: what its owner told, and
// the growth since then. A server without room gets no new flows.
func (sr *server) estimate(now time.Time) float64 {
	flows := float64(sr.load.Flows)
	if sr.load.Full || sr.load.Cold {
		return flows
	}
	return max(flows+sr.service.balance.growth(now.Sub(sr.told()), sr.netThen), 0)
}

// computeMean recomputes the mean load of a service and its growth.
func (sv *service) computeMean(now time.Time) {
	total, growth, count, own, others := 0.0, 0.0, 0, 0, 0
	for _, sr := range sv.lineup.servers {
		sr.passed = 0
		if sr.cfg.Draining || sr.cfg.Out {
			continue
		}
		switch {
		case sr.mine:
			total += float64(sr.admission.ObservedLoad(now))
			count++
			own++
		case now.Before(sr.loadUntil):
			total += sr.estimate(now)
			growth += sr.growth
			count++
			others++
		}
	}
	ba := &sv.balance
	ba.mean, ba.at, ba.netAt = total/float64(max(count, 1)), now, ba.net
	if sv.cfg.Kind == jpsettings.Stream {
		ba.rate, ba.own = growth/float64(max(others, 1)), own
	}
}
