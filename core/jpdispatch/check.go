package jpdispatch

import "time"

// checkUnanswered returns the server for a check if it has shown no sign of life
// since sentAt and no check is running or was done lately. A retransmission alone
// doesn't prove a failure: a caller also repeats a request that is queued at a
// busy server.
func (ds *Dispatcher) checkUnanswered(now time.Time, sr *server, sentAt time.Time) Endpoint {
	if sr.aliveAt.After(sentAt) || sr.checking || now.Before(sr.nextCheckAt) {
		return Endpoint{}
	}
	sr.checking = true
	return sr.endpoint()
}

// noteSYN records that a SYN was sent to the server.
func (sr *server) noteSYN(now time.Time) {
	if sr.synAt.IsZero() {
		sr.synAt = now
	}
}

// handshakeOverdue reports whether a SYN to the server has not been followed by
// a packet of an open flow in time. The host of a crashed server refuses new
// flows at once; its load stays low, and without this test it would get all new
// flows.
func (sr *server) handshakeOverdue(now time.Time) bool {
	return !sr.synAt.IsZero() && now.Sub(sr.synAt) >= handshakeTimeout
}

// HandleCheckResult handles the result of a check: whether the server's host
// accepts connections. A failure is ignored if this instance was paused during
// the check.
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

// DueChecks returns the servers that have to be checked now:
//   - servers that left the directory and still have flows, because these flows
//     are reset if the check fails and go on if it succeeds;
//   - servers that didn't answer a SYN;
//   - silent servers, which may have recovered.
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

// SilentServers returns the ids of the servers in the directory that failed a
// check and were not seen alive since.
func (ds *Dispatcher) SilentServers() []string {
	var list []string
	for id, sr := range ds.servers {
		if sr.present && sr.silent {
			list = append(list, id)
		}
	}
	return list
}

// ReportedChecks returns those of the servers that a peer reported as silent
// which this instance has to check itself: the peer's path to a server may be
// broken while the path from here is not.
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
