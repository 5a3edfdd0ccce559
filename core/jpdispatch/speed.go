package jpdispatch

import (
	"maps"
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

// usualKey names the requests whose response times are compared.
type usualKey struct {
	route   netip.AddrPort
	service string
}

// concurrency returns how many requests a server takes well at a time.
func (ds *Dispatcher) concurrency(sr *server) float64 {
	return float64(max(sr.cfg.Slots, 1)) / sr.speed.Slowness()
}

// placingScore returns the load of a server by which servers are compared for new flows.
// A slow server needs a lead: requests take longer there even if it has nothing else to do.
func (ds *Dispatcher) placingScore(now time.Time, sr *server) float64 {
	return float64(sr.load(now))/ds.concurrency(sr) + sr.speed.Slowness() - 1
}

// learnsSpeed reports whether the requests of a route are samples: its callers want
// responses in a stated time, and that time is not up to their links.
func learnsSpeed(rt *jpdirectory.Route) bool {
	return rt != nil && rt.TargetLatency > 0 && rt.Kind != jpdirectory.Download
}

// applyLearning finds the services whose servers' speeds are learned, after a change of
// the manifest.
func (ds *Dispatcher) applyLearning() {
	for _, rt := range ds.routes {
		if !learnsSpeed(rt) {
			continue
		}
		for _, tg := range rt.Targets {
			if sc := ds.services[tg.Service]; sc != nil {
				sc.learnsSpeed = true
			}
		}
	}
	maps.DeleteFunc(ds.usualTimes, func(key usualKey, _ *jpspeed.Usual) bool {
		return ds.routes[key.route] == nil || ds.services[key.service] == nil
	})
}

// startTiming prepares the sample of a request whose data has just been forwarded, if
// it can be one.
func (ds *Dispatcher) startTiming(now time.Time, fl *flow, pk Packet, seenBefore bool) {
	fl.usual = nil
	sr := fl.server
	if !seenBefore || !learnsSpeed(ds.routes[pk.Route]) || ds.mayHaveWaited(pk) {
		return
	}
	sc := ds.services[sr.cfg.Service]
	if sc == nil || sr.cold(now, sc) {
		return
	}
	key := usualKey{pk.Route, sr.cfg.Service}
	fl.usual = ds.usualTimes[key]
	if fl.usual == nil {
		fl.usual = &jpspeed.Usual{}
		ds.usualTimes[key] = fl.usual
	}
}

// noteSpeed adds the sample of a request whose response a packet acknowledges. It is none
// if the packet carries the next request, which the caller sends in its own time, or if an
// earlier one went through another instance.
func (ds *Dispatcher) noteSpeed(now time.Time, fl *flow, pk Packet) {
	if !ds.timed(fl, pk) || pk.Length > 0 {
		return
	}
	took := now.Sub(fl.sentAt)
	if ratio := fl.usual.Ratio(took); ratio > 0 {
		fl.server.speed.Add(now, ratio/ds.queueing(now, fl.server))
	}
	fl.usual.Add(took)
}

// noteGivenUpSpeed adds the sample of a request whose caller gives up with a packet. It
// would have taken at least as long as the caller has waited.
func (ds *Dispatcher) noteGivenUpSpeed(now time.Time, fl *flow, pk Packet) {
	if !ds.timed(fl, pk) {
		return
	}
	if ratio := fl.usual.Ratio(now.Sub(fl.sentAt)) / ds.queueing(now, fl.server); ratio > 1 {
		fl.server.speed.Add(now, ratio)
	}
}

// timed reports whether the time since the flow's unanswered request was sent says how
// long the server has taken: this instance was not paused, and a packet of the caller
// shows that no later request went through another instance.
func (ds *Dispatcher) timed(fl *flow, pk Packet) bool {
	return fl.usual != nil && fl.awaitingAnswer && fl.sentAt.After(ds.evidenceSince) && pk.Sequence == fl.pendingEnd
}

// queueing returns the factor by which the request that ends now has taken longer because
// the server had more of them than slots. Instances that are not heard are taken to be like
// the others.
func (ds *Dispatcher) queueing(now time.Time, sr *server) float64 {
	others := float64(max(sr.requests-1, 0)) + sr.peers(now).requests
	if sc := ds.services[sr.cfg.Service]; sc != nil {
		others *= max(sc.unheard, 1)
	}
	return max((1+others)/float64(max(sr.cfg.Slots, 1)), 1)
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
	var list []SpeedChange
	for _, sc := range ds.services {
		ds.updateSpeeds(now, sc)
		for _, sr := range sc.servers {
			if change, changed := sr.speedChange(now); changed {
				list = append(list, change)
			}
		}
	}
	return list
}

// updateSpeeds updates the beliefs about the servers of a service. Nothing is known of
// those that are cold or whose speed is not learned.
func (ds *Dispatcher) updateSpeeds(now time.Time, sc *service) {
	estimates := make([]*jpspeed.Estimate, 0, len(sc.servers))
	for _, sr := range sc.servers {
		if !sc.learnsSpeed || sr.cold(now, sc) {
			sr.speed = jpspeed.Estimate{}
			continue
		}
		estimates = append(estimates, &sr.speed)
	}
	sc.unheard = 1
	if es := ds.fullness(now, sc); !es.Guess {
		sc.unheard = es.Instances / es.Seen
	}
	if len(estimates) == 0 {
		return
	}
	spread := 0.0
	for key, us := range ds.usualTimes {
		if key.service == sc.cfg.Name {
			spread = max(spread, us.Spread())
		}
	}
	jpspeed.Update(now, estimates, spread)
}

// speedChange returns the change of the belief since it was last returned.
func (sr *server) speedChange(now time.Time) (SpeedChange, bool) {
	from, to := max(sr.loggedSlowness, 1), sr.speed.Slowness()
	if from == to || to > 1 && from > 1 && math.Abs(math.Log(to/from)) < math.Log(speedLogFactor) {
		return SpeedChange{}, false
	}
	sr.loggedSlowness = to
	change := SpeedChange{Server: sr.cfg.ID, From: from, To: to, Samples: sr.speed.Samples()}
	if at := sr.speed.SampledAt(); !at.IsZero() {
		change.Age = now.Sub(at)
	}
	return change, true
}
