package jpdispatch

import (
	"time"

	"jacinthpass/core/jpcapacity"
)

// Fullness estimates how full a service is, for logs and metrics. It returns false if the
// manifest does not have the service.
func (ds *Dispatcher) Fullness(now time.Time, name string) (jpcapacity.Estimate, bool) {
	sc := ds.services[name]
	if sc == nil {
		return jpcapacity.Estimate{}, false
	}
	return ds.fullness(now, sc), true
}

// fullness estimates how full the servers of a service are to which this instance may
// give new flows: the available ones of its data centre or, if there are none, of all.
func (ds *Dispatcher) fullness(now time.Time, sc *service) jpcapacity.Estimate {
	es := jpcapacity.Estimate{Instances: float64(ds.position.LocalCount), Seen: 1, OldestAt: now}
	for ix, sr := range sc.servers {
		if ix == sc.local && es.Slots > 0 {
			break
		}
		if ds.eligible(now, sc, sr) && ds.available(now, sc, sr) {
			es.Slots += ds.concurrency(now, sr)
			es.Own += float64(sr.requests)
		}
	}
	es.Requests = es.Own * es.Instances
	return es
}

// concurrency returns how many requests a server takes well at a time.
func (ds *Dispatcher) concurrency(_ time.Time, sr *server) float64 {
	return float64(max(sr.cfg.Slots, 1))
}
