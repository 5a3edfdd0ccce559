package jpdispatch

import "time"

// check returns a server that shows no sign of life since a packet went to it,
// so that its state is checked. A request that waits for its turn at a busy
// server is repeated as well, therefore repeated packets alone prove nothing.
func (ds *Dispatcher) checkUnanswered(now time.Time, sr *server, sentAt time.Time) Endpoint {
	if sr.aliveAt.After(sentAt) || sr.checking || now.Before(sr.nextCheckAt) {
		return Endpoint{}
	}
	sr.checking = true
	return sr.endpoint()
}

// asked notes a SYN to the server.
func (sr *server) noteSYN(now time.Time) {
	if sr.synAt.IsZero() {
		sr.synAt = now
	}
}

// unopened tells whether a SYN to the server has led to nothing. The host of a
// server that has crashed refuses new flows at once, so that its load falls and
// it would attract all of them.
func (sr *server) handshakeOverdue(now time.Time) bool {
	return !sr.synAt.IsZero() && now.Sub(sr.synAt) >= handshakeTimeout
}

// HandleCheck takes in the result of a check: whether the server's host accepts
// connections. A pause of this instance during the check makes a failure
// worthless.
func (ds *Dispatcher) HandleCheckResult(now, began time.Time, server Endpoint, answered bool) {
	sr := ds.serversByTag[server.Tag]
	if sr == nil || sr.cfg.ID != server.ID || sr.cfg.Address != server.Address {
		return
	}
	sr.checking = false
	switch {
	case answered:
		sr.noteAlive(now)
		sr.nextCheckAt = now.Add(checkInterval)
	case !began.After(ds.evidenceSince):
		sr.nextCheckAt = now
		sr.synAt = time.Time{}
	default:
		sr.silent, sr.checkFailedAt = true, now
		sr.nextCheckAt = now.Add(remoteSilentCheckInterval)
		if sr.cfg.DataCentre == ds.dataCentre {
			sr.nextCheckAt = now.Add(silentCheckInterval)
		}
	}
}

// Checks returns the servers that have to be checked now: those with flows that
// left the directory, whose flows can be ended as soon as they are known to be
// gone, and go on if they are reached again, those whose last SYN led to nothing,
// and silent ones, which may be back.
func (ds *Dispatcher) DueChecks(now time.Time) []Endpoint {
	var list []Endpoint
	for _, sr := range ds.servers {
		if sr.checking || now.Before(sr.nextCheckAt) {
			continue
		}
		gone := !sr.present && !sr.replaced && sr.trackedFlows > 0
		if gone || sr.present && (sr.silent || sr.handshakeOverdue(now)) {
			sr.checking = true
			list = append(list, sr.endpoint())
		}
	}
	return list
}

// Silent returns the ids of present servers that a check found silent.
func (ds *Dispatcher) SilentServers() []string {
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
func (ds *Dispatcher) ReportedChecks(ids []string) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		sr := ds.servers[id]
		if sr == nil || sr.silent || sr.checking || !sr.present || ds.lastTick.Before(sr.nextCheckAt) {
			continue
		}
		sr.checking = true
		list = append(list, sr.endpoint())
	}
	return list
}
