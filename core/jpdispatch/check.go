package jpdispatch

import "time"

// check returns a server that shows no sign of life since a packet went to it,
// so that its state is checked. A request that waits for its turn at a busy
// server is repeated as well, therefore repeated packets alone prove nothing.
func (ds *Dispatcher) check(now time.Time, sr *server, sentAt time.Time) Endpoint {
	if sr.aliveAt.After(sentAt) || sr.checking || now.Before(sr.checkNext) {
		return Endpoint{}
	}
	sr.checking = true
	return sr.endpoint()
}

// asked notes a SYN to the server.
func (sr *server) asked(now time.Time) {
	if sr.askedAt.IsZero() {
		sr.askedAt = now
	}
}

// unopened tells whether a SYN to the server has led to nothing. The host of a
// server that has crashed refuses new flows at once, so that its load falls and
// it would attract all of them.
func (sr *server) unopened(now time.Time) bool {
	return !sr.askedAt.IsZero() && now.Sub(sr.askedAt) >= openWait
}

// HandleCheck takes in the result of a check: whether the server's host accepts
// connections. A pause of this instance during the check makes a failure
// worthless.
func (ds *Dispatcher) HandleCheck(now, began time.Time, server Endpoint, answered bool) {
	sr := ds.tags[server.Tag]
	if sr == nil || sr.cfg.ID != server.ID || sr.cfg.Address != server.Address {
		return
	}
	sr.checking = false
	switch {
	case answered:
		sr.alive(now)
		sr.checkNext = now.Add(checkGap)
	case !began.After(ds.evidence):
		sr.checkNext = now
		sr.askedAt = time.Time{}
	default:
		sr.silent, sr.silentAt = true, now
		sr.checkNext = now.Add(remoteRecheckGap)
		if sr.cfg.DataCentre == ds.dataCentre {
			sr.checkNext = now.Add(recheckGap)
		}
	}
}

// Checks returns the servers that have to be checked now: those with flows that
// left the directory, whose flows can be ended as soon as they are known to be
// gone, and go on if they are reached again, those whose last SYN led to nothing,
// and silent ones, which may be back.
func (ds *Dispatcher) Checks(now time.Time) []Endpoint {
	var list []Endpoint
	for _, sr := range ds.servers {
		if sr.checking || now.Before(sr.checkNext) {
			continue
		}
		gone := !sr.present && !sr.replaced && sr.entries > 0
		if gone || sr.present && (sr.silent || sr.unopened(now)) {
			sr.checking = true
			list = append(list, sr.endpoint())
		}
	}
	return list
}

// Silent returns the ids of present servers that a check found silent.
func (ds *Dispatcher) Silent() []string {
	var list []string
	for id, sr := range ds.servers {
		if sr.present && sr.silent {
			list = append(list, id)
		}
	}
	return list
}

// Doubt returns those of the servers that a peer found silent which have to be
// checked here: a peer's path to a server may be broken while ours is not.
func (ds *Dispatcher) Doubt(ids []string) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		sr := ds.servers[id]
		if sr == nil || sr.silent || sr.checking || !sr.present || ds.lastTick.Before(sr.checkNext) {
			continue
		}
		sr.checking = true
		list = append(list, sr.endpoint())
	}
	return list
}
