package jpdispatch

import (
	"math"
	"net/netip"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpspeed"
)

// The time from a request's data to the caller's first acknowledgement of new data is a
// sample of its server's speed. See docs/design/speed.md for what is none.

const (
	// speedInterval is the time between two updates of the beliefs, the interval at
	// which peers report.
	speedInterval = 500 * time.Millisecond

	// speedLogFactor is the factor by which a belief changes before it is logged again.
	speedLogFactor = 1.5
)

// routeSpeed is the usual response time of a route's requests to one service.
type routeSpeed struct {
	usual jpspeed.Usual
}

type routeSpeedKey struct {
	route   netip.AddrPort
	service string
}

// concurrency returns how many requests a server takes well at a time.
func (ds *Dispatcher) concurrency(_ time.Time, sr *server) float64 {
	return float64(max(sr.cfg.Slots, 1)) / sr.speed.Slowness()
}

// placingScore returns the load of a server by which servers are compared for new flows.
// A slow server needs a lead: requests take longer there even if it has nothing else to do.
func (ds *Dispatcher) placingScore(now time.Time, sr *server) float64 {
	return float64(sr.load(now))/ds.concurrency(now, sr) + sr.speed.Slowness() - 1
}

// learnsSpeed reports whether the requests of a route are samples: its callers want
// responses in a stated time, and that time is not up to their links.
func learnsSpeed(rt *jpdirectory.Route) bool {
	return rt != nil && rt.TargetLatency > 0 && rt.Kind != jpdirectory.Download
}

// learnedServices returns the services whose servers' speeds are learned.
func (ds *Dispatcher) learnedServices() map[string]bool {
	learned := map[string]bool{}
	for _, rt := range ds.routes {
		if !learnsSpeed(rt) {
			continue
		}
		for _, tg := range rt.Targets {
			learned[tg.Service] = true
		}
	}
	return learned
}

// startTiming prepares the sample of a request whose data has just been forwarded, if
// it can be one.
func (ds *Dispatcher) startTiming(now time.Time, fl *flow, pk Packet, seenBefore bool) {
	fl.speed = nil
	sr := fl.server
	if !seenBefore || !learnsSpeed(ds.routes[pk.Route]) || ds.mayHaveWaited(pk) {
		return
	}
	sc := ds.services[sr.cfg.Service]
	if sc == nil || sr.cold(now, sc) {
		return
	}
	key := routeSpeedKey{pk.Route, sr.cfg.Service}
	rs := ds.routeSpeeds[key]
	if rs == nil {
		rs = &routeSpeed{}
		ds.routeSpeeds[key] = rs
	}
	fl.speed = rs
}

// noteSpeed adds the sample of a request that has been answered.
func (ds *Dispatcher) noteSpeed(now time.Time, fl *flow) {
	rs := fl.speed
	if rs == nil || !fl.awaitingAnswer || !fl.sentAt.After(ds.evidenceSince) {
		return
	}
	took := now.Sub(fl.sentAt)
	ratio := rs.usual.Ratio(took)
	rs.usual.Add(took)
	if ratio > 0 {
		fl.server.speed.Add(now, ratio/ds.queueing(now, fl.server))
	}
}

// noteSlow adds the sample of a request whose caller has given up. It would have
// taken at least as long as the caller has waited.
func (ds *Dispatcher) noteSlow(now time.Time, fl *flow) {
	if fl.speed == nil || !fl.awaitingAnswer || !fl.sentAt.After(ds.evidenceSince) {
		return
	}
	if ratio := fl.speed.usual.Ratio(now.Sub(fl.sentAt)) / ds.queueing(now, fl.server); ratio > 1 {
		fl.server.speed.Add(now, ratio)
	}
}

// queueing returns the factor by which requests take longer because the server has more
// of them than slots. Instances that are not heard are taken to be like the others.
func (ds *Dispatcher) queueing(now time.Time, sr *server) float64 {
	requests := float64(sr.requests) + sr.peers(now).requests
	if sc := ds.services[sr.cfg.Service]; sc != nil {
		requests *= max(sc.unheard, 1)
	}
	return max(requests/float64(max(sr.cfg.Slots, 1)), 1)
}

// SpeedChange reports a change of the belief about a server's speed.
type SpeedChange struct {
	Server   string // id
	From, To float64
	Samples  float64       // recent ones, weighted by age
	Age      time.Duration // of the latest
}

// SpeedChanges updates the beliefs about the speed of all servers, at most once in
// speedInterval, and returns the changes by a factor of speedLogFactor and more since
// they were last returned, and those to and from the usual speed.
func (ds *Dispatcher) SpeedChanges(now time.Time) []SpeedChange {
	if now.Before(ds.nextSpeeds) {
		return nil
	}
	ds.nextSpeeds = now.Add(speedInterval)
	learned := ds.learnedServices()
	var list []SpeedChange
	for name, sc := range ds.services {
		if !learned[name] {
			for _, sr := range sc.servers {
				sr.speed = jpspeed.Estimate{}
			}
		} else {
			ds.updateSpeeds(now, sc)
		}
		for _, sr := range sc.servers {
			if sc, changed := sr.speedChange(now); changed {
				list = append(list, sc)
			}
		}
	}
	return list
}

func (ds *Dispatcher) updateSpeeds(now time.Time, sc *service) {
	estimates := make([]*jpspeed.Estimate, 0, len(sc.servers))
	for _, sr := range sc.servers {
		if sr.cold(now, sc) {
			sr.speed = jpspeed.Estimate{}
		}
		estimates = append(estimates, &sr.speed)
	}
	spread := 0.0
	for key, rs := range ds.routeSpeeds {
		if key.service == sc.cfg.Name {
			spread = max(spread, rs.usual.Spread())
		}
	}
	jpspeed.Update(now, estimates, spread)
	sc.unheard = 1
	if es := ds.fullness(now, sc); !es.Guess {
		sc.unheard = es.Instances / es.Seen
	}
}

// speedChange returns the change of the belief since it was last returned.
func (sr *server) speedChange(now time.Time) (SpeedChange, bool) {
	from, to := max(sr.loggedSlowness, 1), sr.speed.Slowness()
	if from == to || to > 1 && from > 1 && math.Abs(math.Log(to/from)) < math.Log(speedLogFactor) {
		return SpeedChange{}, false
	}
	sr.loggedSlowness = to
	sc := SpeedChange{Server: sr.cfg.ID, From: from, To: to, Samples: sr.speed.Samples()}
	if at := sr.speed.SampledAt(); !at.IsZero() {
		sc.Age = now.Sub(at)
	}
	return sc, true
}
