package jpdispatch

import (
	"cmp"
	"slices"
	"time"

	"jacinthpass/core/jpcapacity"
)

const (
	// poolInterval is how long the servers of a pool are taken to be the same.
	poolInterval = 100 * time.Millisecond

	// loadInterval is the time between two reports of a peer. Reports that arrive
	// within it after a pause may have waited.
	loadInterval = 500 * time.Millisecond
)

// pool holds the servers that an instance may give new flows of a service to: the
// available ones of its data centre or, if there are none, of all.
type pool struct {
	servers   []*server
	remote    bool // they are in other data centres
	slots     float64
	requests  int       // of this instance at these servers, without a response yet
	reported  float64   // of the peer whose loads are being read
	perRecent float64   // flows for each recent request, see sample.Load
	refreshAt time.Time // when servers has to be collected again
	estimator jpcapacity.Estimator
	level     jpcapacity.Level
}

// Fullness estimates how full a service is, for logs and metrics. It returns false if the
// manifest does not have the service.
func (ds *Dispatcher) Fullness(now time.Time, name string) (jpcapacity.Estimate, bool) {
	sc := ds.services[name]
	if sc == nil {
		return jpcapacity.Estimate{}, false
	}
	return ds.fullness(now, sc), true
}

// ServiceFullness is the fullness of a service, for logs and metrics.
type ServiceFullness struct {
	Service  string
	Estimate jpcapacity.Estimate
	Full     bool
	Changed  bool // Full has changed since the last call of Services
}

// Services returns the fullness of all services of the manifest, in order of their names.
func (ds *Dispatcher) Services(now time.Time) []ServiceFullness {
	list := make([]ServiceFullness, 0, len(ds.services))
	for name, sc := range ds.services {
		sf := ServiceFullness{Service: name, Estimate: ds.fullness(now, sc)}
		sf.Changed = sc.pool.level.Update(now, sf.Estimate)
		sf.Full = sc.pool.level.Full()
		list = append(list, sf)
	}
	slices.SortFunc(list, func(a, b ServiceFullness) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// fullness estimates how full the servers of a service are to which this instance may
// give new flows.
func (ds *Dispatcher) fullness(now time.Time, sc *service) jpcapacity.Estimate {
	pl := ds.poolOf(now, sc)
	use := jpcapacity.Use{Slots: pl.slots, Requests: pl.requests, Instances: ds.position.LocalCount}
	if pl.remote {
		use.Instances, use.Unheard = ds.position.Count, ds.position.Count > ds.position.LocalCount
	}
	return pl.estimator.Estimate(now, use)
}

// poolOf returns the pool of a service, at most poolInterval old.
func (ds *Dispatcher) poolOf(now time.Time, sc *service) *pool {
	pl := sc.pool
	if now.Before(pl.refreshAt) {
		return pl
	}
	pl.refreshAt = now.Add(poolInterval)
	for _, sr := range pl.servers {
		if sr.pool == pl {
			sr.pool = nil
		}
	}
	pl.servers, pl.slots, pl.requests = pl.servers[:0], 0, 0
	flows, recent := 0, 0.0
	for ix, sr := range sc.servers {
		if ix == sc.local && len(pl.servers) > 0 {
			break
		}
		if !ds.eligible(now, sc, sr) || !ds.available(now, sc, sr) {
			continue
		}
		pl.remote = ix >= sc.local
		pl.servers = append(pl.servers, sr)
		pl.slots += ds.concurrency(sr)
		pl.requests += sr.requests
		sr.pool = pl
		flows += sr.load(now)
		recent += sr.recent.Value(now)
	}
	pl.perRecent = float64(flows) / max(recent, 1)
	return pl
}

// addRequests changes the number of this instance's requests at a server.
func (sr *server) addRequests(change int) {
	sr.requests += change
	if sr.pool != nil {
		sr.pool.requests += change
	}
}

// endOverdueRequest ends the count of a request that no server can be working on any more: its
// flow has not opened by the time of the SYN's first copy, or it has no response for
// stuckThreshold. Callers that have gone would otherwise fill a service for seconds, as after
// a loss of power.
func (ds *Dispatcher) endOverdueRequest(now time.Time, fl *flow) {
	limit := stuckThreshold
	if fl.state == opening {
		limit = answerTimeout
	}
	if fl.requesting && now.Sub(fl.sentAt) >= limit {
		fl.endRequest()
	}
}

// sampleRequests adds the current numbers of requests to what the next report of this
// instance averages.
func (ds *Dispatcher) sampleRequests(now time.Time) {
	ds.requestSamples++
	for _, sc := range ds.services {
		for _, sr := range sc.servers {
			sr.requestSum += sr.requests
			if sr.begun > 0 {
				sr.recent.Add(now, sr.begun)
				sr.begunSum += sr.begun
				sr.begun = 0
			}
		}
	}
}

// takeBegun returns the number of requests that were begun at a server since the last call,
// up to the latest sample.
func (sr *server) takeBegun() int {
	begun := sr.begunSum
	sr.begunSum = 0
	return begun
}

// takeMeanRequests returns the mean number of requests at a server since the last call,
// from the samples of sampleRequests.
func (sr *server) takeMeanRequests(samples int) float64 {
	sum := sr.requestSum
	sr.requestSum = 0
	if samples == 0 {
		return float64(sr.requests)
	}
	return float64(sum) / float64(samples)
}

// reportRequests stores how many requests a peer has in each pool. After a pause, reports
// may have waited, so they count again after an interval.
func (ds *Dispatcher) reportRequests(now time.Time, peer string, loads []Load) {
	if !ds.evidenceSince.IsZero() && now.Sub(ds.evidenceSince) < loadInterval {
		return
	}
	for _, sc := range ds.services {
		ds.poolOf(now, sc).reported = 0
	}
	for _, ld := range loads {
		if sr := ds.serversByTag[ld.Tag]; sr != nil && sr.pool != nil {
			sr.pool.reported += ld.Requests
		}
	}
	for _, sc := range ds.services {
		sc.pool.estimator.Report(now, peer, sc.pool.reported)
	}
}

// forgetRequests drops what is known of requests from before a pause of this process.
func (ds *Dispatcher) forgetRequests() {
	ds.requestSamples = 0
	for _, sc := range ds.services {
		sc.pool.estimator.Forget()
		for _, sr := range sc.servers {
			sr.requestSum = 0
		}
	}
}
