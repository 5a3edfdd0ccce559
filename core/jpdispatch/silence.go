package jpdispatch

import "time"

// cutEvidence is what suggests that another data centre is cut off: checks of
// different servers there that timed out since one of them was last seen alive.
type cutEvidence struct {
	servers int
	expires time.Time
}

// noteTimeout records that a check of a server has timed out.
func (ds *Dispatcher) noteTimeout(now time.Time, sr *server) {
	ce := ds.cutEvidence[sr.cfg.DataCentre]
	if !now.Before(ce.expires) {
		ce.servers = 0
	}
	if !sr.silent {
		ce.servers++
	}
	ce.expires = now.Add(cutEvidenceTTL)
	ds.cutEvidence[sr.cfg.DataCentre] = ce
}

// noteAlive records that a server is alive, and so its data centre reachable. If it
// was not, in another data centre, the checks of the silent servers there become due.
func (ds *Dispatcher) noteAlive(now time.Time, sr *server) {
	dataCentre := sr.cfg.DataCentre
	if dataCentre != ds.dataCentre && ds.unreachable(sr) {
		ds.checkSilentSoon(now, dataCentre)
	}
	sr.noteAlive(now)
	delete(ds.cutEvidence, dataCentre)
}

// unreachable reports whether no packet is expected to reach a server: it is silent,
// or several checks of servers in its data centre have timed out since one of them
// was last seen alive. Only new flows are decided by the latter: an instance whose
// data centre is cut off would otherwise need seconds to find each server of the
// others silent, while callers wait for them.
func (ds *Dispatcher) unreachable(sr *server) bool {
	if sr.silent || sr.cfg.DataCentre == ds.dataCentre {
		return sr.silent
	}
	ce := ds.cutEvidence[sr.cfg.DataCentre]
	return ce.servers >= unreachableThreshold && ds.lastTick.Before(ce.expires)
}

// checkSilentSoon makes the checks of the silent servers of a data centre due.
func (ds *Dispatcher) checkSilentSoon(now time.Time, dataCentre string) {
	for _, sr := range ds.servers {
		if sr.silent && sr.cfg.DataCentre == dataCentre {
			sr.nextCheckAt = now
		}
	}
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

// silentReport is the latest report of a peer on silent servers.
type silentReport struct {
	ids     map[string]bool
	expires time.Time
}

// HandleSilentServers handles the ids of the servers that a peer of this data
// centre reports as silent, and returns the checks to make:
//   - of servers that it reports for the first time, if this instance may send
//     flows to them or has flows of them. The peer's word is not enough, because
//     its path to a server may be broken while the path from here is not;
//   - of silent servers that it does not report any more, because it has probably
//     seen them alive.
//
// Reports from other data centres must not be passed: a cut between two data
// centres makes all servers of the other one look silent.
func (ds *Dispatcher) HandleSilentServers(now time.Time, peer string, ids []string) []Check {
	previous := ds.peerReports[peer]
	reported := make(map[string]bool, len(ids))
	var list []Check
	for _, id := range ids {
		sr := ds.servers[id]
		checkWanted := sr != nil && !previous.ids[id] && !sr.silent && ds.atStake(sr)
		if checkWanted && (sr.checking || now.Before(sr.nextCheckAt)) {
			continue // the next report counts as the first one
		}
		reported[id] = true
		if checkWanted {
			list = append(list, ds.beginCheck(sr, PeerReport))
		}
	}
	for id := range previous.ids {
		if sr := ds.servers[id]; sr != nil && sr.present && sr.silent && !sr.checking && !reported[id] {
			list = append(list, ds.beginCheck(sr, PeerReport))
		}
	}
	ds.peerReports[peer] = silentReport{reported, now.Add(peerReportTTL)}
	return list
}

// atStake reports whether this instance is likely to send packets to a server.
func (ds *Dispatcher) atStake(sr *server) bool {
	return sr.present && (sr.cfg.DataCentre == ds.dataCentre || sr.trackedFlows > 0)
}

// silentCheckDelay returns the time until the next check of a server that failed
// one. It is short at checkersPerServer of the live instances of the data centre,
// and at the others in proportion to their number, so that the rate of checks
// does not grow with it. The others learn of a recovery from the reports of the
// former.
func (ds *Dispatcher) silentCheckDelay(sr *server) time.Duration {
	delay := remoteSilentCheckInterval
	if sr.cfg.DataCentre == ds.dataCentre {
		delay = silentCheckInterval
	}
	turn := (int(sr.tag%uint32(ds.position.LocalCount)) + ds.position.LocalRank) % ds.position.LocalCount
	if turn < checkersPerServer {
		return delay
	}
	return delay * time.Duration((ds.position.LocalCount+checkersPerServer-1)/checkersPerServer)
}
