package jpdispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jpplacement"
)

// remotePenalty is added to the load per slot of a server in another data centre,
// in flows per slot: its answers cost a round trip and traffic between data centres.
const remotePenalty = 30

// handleSYN selects a server for a new flow, or another one for a flow whose
// earlier SYN was not answered.
func (ds *Dispatcher) handleSYN(now time.Time, pk Packet) Decision {
	if ds.mayHaveWaited(pk) {
		return Decision{Reason: Stale}
	}
	rt := ds.routes[pk.Route]
	if rt == nil {
		return ds.refuseNoRoute(now, pk)
	}
	key := keyOf(pk)
	fl := ds.flows.Get(key)
	if fl != nil && fl.synSequence != pk.Sequence {
		ds.removeFlow(key, fl) // the caller has reused the port
		fl = nil
	}
	if fl != nil && fl.state == resetSent {
		return Decision{Reason: Late}
	}
	if fl != nil && fl.state != opening {
		return Decision{Outcome: Forward, Reason: Known, Server: fl.server.endpoint()}
	}
	if fl != nil && !ds.answerDue(now, fl.sentAt) && !ds.suspected(now, fl.server) {
		return Decision{Outcome: Forward, Reason: Known, Server: fl.server.endpoint()}
	}
	reason := Placed
	var check Check
	if fl != nil {
		reason = Moved
		fl.server.avoidUntil = now.Add(avoidDuration)
		check = ds.checkUnanswered(now, fl.server, fl.sentAt, SYNRepeated)
	}
	sc := ds.services[ds.selectService(now, rt, pk)]
	sr, choices := ds.chooseServer(now, sc, pk, fl)
	if sr == nil {
		return ds.noServer(now, sc, pk, fl, check)
	}
	if dc, wait := ds.admit(now, rt, sc, sr, pk, fl); wait {
		return dc
	}
	if fl == nil {
		added, err := ds.flows.Add(key)
		if err != nil {
			return ds.placeUntracked(now, sc, pk)
		}
		fl = added
		fl.firstSeenAt = now
	}
	fl.assign(sr)
	fl.addTried(sr)
	sr.noteSYN(now)
	fl.synSequence, fl.sentAt, fl.lastSeenAt = pk.Sequence, now, now
	fl.activate()
	fl.beginRequest()
	return Decision{
		Outcome: Forward, Reason: reason, Server: sr.endpoint(), Check: check, Load: sr.load(now), Choices: choices,
	}
}

// mayHaveWaited reports whether a packet may have waited during the latest pause of this
// process. A SYN that did is dropped: by now, copies of it may have opened its flow
// through another instance, and the second SYN+ACK of another server would divert the
// caller's next packets to that server.
func (ds *Dispatcher) mayHaveWaited(pk Packet) bool {
	return !pk.ArrivedAfter.IsZero() && !pk.ArrivedAfter.After(ds.evidenceSince)
}

// refuseNoRoute refuses a flow to an address without a route. While the directory
// may lack a new route, or if another instance may have placed the flow, the packet is
// dropped instead.
func (ds *Dispatcher) refuseNoRoute(now time.Time, pk Packet) Decision {
	if now.Sub(ds.currentAt) > maxDirectoryAge || pk.Ack > 0 {
		return Decision{Reason: NoRoute}
	}
	return Decision{Outcome: Refuse, Reason: NoRoute, Reset: resetOf(pk, NoRoute)}
}

// noServer refuses a flow that no server can take. If an earlier SYN of the flow
// was sent to a server, the retransmission goes to the same one, because the flow
// may still open there; it is dropped if another instance may have got the earlier one.
// If unreachable servers are the reason, the decision contains a check of one of them,
// so that flows are accepted again soon after they recover.
func (ds *Dispatcher) noServer(now time.Time, sc *service, pk Packet, fl *flow, check Check) Decision {
	if fl != nil {
		return Decision{Outcome: Forward, Reason: Known, Server: fl.server.endpoint(), Check: check}
	}
	dc := Decision{Outcome: Refuse, Reason: NoServer, Reset: resetOf(pk, NoServer)}
	servers := ds.eligibleUnreachable(now, sc)
	if len(servers) > 0 {
		dc.Reason, dc.Reset.Reason = Unreachable, Unreachable
		dc.Check = ds.checkAfterRefusal(now, servers)
	}
	if pk.Ack > 0 {
		return Decision{Reason: dc.Reason, Check: dc.Check}
	}
	return dc
}

// eligibleUnreachable returns the servers of a service that might get new flows if
// they were reachable.
func (ds *Dispatcher) eligibleUnreachable(now time.Time, sc *service) []*server {
	if sc == nil {
		return nil
	}
	var list []*server
	for _, sr := range sc.servers {
		if ds.unreachable(sr) && ds.eligible(now, sc, sr) {
			list = append(list, sr)
		}
	}
	return list
}

// checkAfterRefusal returns a check of the server whose last failed check is the
// oldest, unless one of the servers is being checked or was within
// refusalCheckInterval.
func (ds *Dispatcher) checkAfterRefusal(now time.Time, servers []*server) Check {
	oldest := servers[0]
	for _, sr := range servers {
		if sr.checking || now.Sub(sr.checkFailedAt) < refusalCheckInterval {
			return Check{}
		}
		if sr.checkFailedAt.Before(oldest.checkFailedAt) {
			oldest = sr
		}
	}
	return ds.beginCheck(oldest, FlowRefused)
}

// chooseServer selects the server for a new flow: the one with the least load per
// slot among those that can take it. Warm servers come first, then cold ones
// within their rate, then warm ones that may not answer. Unreachable servers are left
// out: a flow that only they could take is refused at once instead of keeping its
// caller waiting, as when a data centre whose servers are out is cut off. It also
// returns the number of candidates.
func (ds *Dispatcher) chooseServer(now time.Time, sc *service, pk Packet, fl *flow) (*server, int) {
	if sc == nil {
		return nil, 0
	}
	if sr, choices := ds.sampleServer(now, sc, pk, fl); sr != nil {
		return sr, choices
	}
	for _, accepts := range []func(time.Time, *service, *server) bool{ds.available, ds.coldAvailable, ds.mayAnswer} {
		if sr, choices := ds.leastLoaded(now, sc, pk, fl, accepts); sr != nil {
			return sr, choices
		}
	}
	return nil, 0
}

// sampling compares three servers for each flow. Instances see each other's flows late:
// if each took the least loaded server of all, many would take the same one.
var sampling = jpplacement.Policy{Samples: 3}

// maxReadAlone is the number of servers that the only instance of a data centre, which
// knows all their flows, reads for each of its flows.
const maxReadAlone = 6

// sampleServer selects the server for a new flow among some of this data centre's available
// ones, by their active flows and recent requests per slot. It returns nil if there are
// few or none of those compared can take the flow.
func (ds *Dispatcher) sampleServer(now time.Time, sc *service, pk Packet, fl *flow) (*server, int) {
	pl := ds.poolOf(now, sc)
	maxRead := sampling.Samples
	if ds.position.LocalCount == 1 {
		maxRead = maxReadAlone
	}
	if pl.remote || len(pl.servers) <= maxRead {
		return nil, 0
	}
	ix, ok := jpplacement.Select(sampling, sample{ds, now, sc, fl, pl}, flowHash(pk, 0))
	if !ok {
		return nil, 0
	}
	return pl.servers[ix], len(pl.servers)
}

// recentShare is the part of a load that is taken from recent requests: the greater one,
// because the callers of some flows send much more than those of others.
const recentShare = 2. / 3

// sample makes the servers of a pool the candidates for a flow, which may be nil.
type sample struct {
	ds      *Dispatcher
	now     time.Time
	service *service
	flow    *flow
	pool    *pool
}

func (sm sample) Len() int { return len(sm.pool.servers) }

// Load returns what placingScore does, with a part of the flows replaced by the recent
// requests, each counted as the number of flows that the servers of the pool have for
// one.
func (sm sample) Load(ix int) (float64, bool) {
	sr := sm.pool.servers[ix]
	if !sm.ds.eligible(sm.now, sm.service, sr) || !sm.ds.available(sm.now, sm.service, sr) || sm.flow != nil && sm.flow.hasTried(sr.tag) {
		return 0, false
	}
	score := sm.ds.placingScore(sm.now, sr)
	flows := sr.activeFlows + sr.peers(sm.now).flows
	recent := sm.pool.perRecent*(float64(sr.begun)+sr.recent.Value(sm.now)) - float64(flows)
	return score + recentShare*recent/sm.ds.concurrency(sr), score < remotePenalty
}

// placeUntracked places a flow for which the flow table has no room. It selects
// the server by a hash of the flow, so that copies of the SYN reach the same one.
func (ds *Dispatcher) placeUntracked(now time.Time, sc *service, pk Packet) Decision {
	var chosen *server
	choices := 0
	for _, accepts := range []func(time.Time, *service, *server) bool{ds.available, ds.mayAnswer} {
		for _, sr := range sc.servers {
			if !ds.eligible(now, sc, sr) || !accepts(now, sc, sr) {
				continue
			}
			choices++
			if chosen == nil || tieBreak(pk, sr) > tieBreak(pk, chosen) {
				chosen = sr
			}
		}
		if chosen != nil {
			return Decision{Outcome: Forward, Reason: Placed, Server: chosen.endpoint(), Choices: choices}
		}
	}
	if pk.Ack > 0 {
		return Decision{Reason: NoServer} // an earlier copy may have reached a server
	}
	return Decision{Outcome: Refuse, Reason: NoServer, Reset: resetOf(pk, NoServer)}
}

// leastLoaded returns the server with the least load per slot among those that
// accepts selects, and the number of these. Servers of other data centres are looked
// at only if they can have less.
func (ds *Dispatcher) leastLoaded(now time.Time, sc *service, pk Packet, fl *flow, accepts func(time.Time, *service, *server) bool) (*server, int) {
	var best *server
	lowest, choices := math.Inf(1), 0
	for ix, sr := range sc.servers {
		if ix == sc.local && lowest < remotePenalty {
			break
		}
		if !ds.eligible(now, sc, sr) || fl != nil && fl.hasTried(sr.tag) || !accepts(now, sc, sr) {
			continue
		}
		choices++
		score := ds.placingScore(now, sr)
		if ix >= sc.local {
			score += remotePenalty
		}
		if score < lowest || score == lowest && tieBreak(pk, sr) > tieBreak(pk, best) {
			best, lowest = sr, score
		}
	}
	if best != nil && best.cold(now, sc) {
		best.nextColdAt = now.Add(time.Duration(ds.position.Count) * coldInterval(sc))
	}
	return best, choices
}

// eligible reports whether a server may get new flows at all.
func (ds *Dispatcher) eligible(now time.Time, sc *service, sr *server) bool {
	return !sr.cfg.Draining && !now.Before(sr.heldUntil) && !ds.dataCentresOut[sr.cfg.DataCentre] && sr.activeFlows < sc.cfg.MaxFlows
}

// available reports whether a server is warm, not suspected and below its limit on flows.
func (ds *Dispatcher) available(now time.Time, sc *service, sr *server) bool {
	return !sr.cold(now, sc) && !ds.suspected(now, sr) && ds.heldFlows(now, sc, sr) < sc.cfg.MaxFlows
}

// heldFlows estimates the flows of all instances of the data centre at a server, idle ones
// included. It decides only which server is preferred, so that no flow is refused because
// of an estimate.
func (ds *Dispatcher) heldFlows(now time.Time, sc *service, sr *server) int {
	held, heard := sr.peers(now).held, sc.pool.estimator.Heard(now)
	if unheard := ds.position.LocalCount - 1 - heard; heard > 0 && unheard > 0 {
		held += held * unheard / heard
	}
	return sr.heldFlows + held
}

func (ds *Dispatcher) suspected(now time.Time, sr *server) bool {
	return ds.unreachable(sr) || sr.handshakeOverdue(now) || now.Before(sr.avoidUntil)
}

// coldAvailable reports whether a cold server may get a flow from this instance
// now.
func (ds *Dispatcher) coldAvailable(now time.Time, sc *service, sr *server) bool {
	first := sr.coldSince.Add(time.Duration(ds.position.Rank) * coldInterval(sc))
	return sr.cold(now, sc) && !ds.suspected(now, sr) && !now.Before(first) && !now.Before(sr.nextColdAt)
}

// mayAnswer reports whether a server is warm and at most suspected.
func (ds *Dispatcher) mayAnswer(now time.Time, sc *service, sr *server) bool {
	return !sr.cold(now, sc) && !ds.unreachable(sr)
}

// minColdPerSecond is the rate of new flows per second that any cold server can
// take.
const minColdPerSecond = 2

// coldInterval is the time between two new flows to a cold server, each from
// another instance. The turns depend on the ranks alone, because instances can't
// always communicate.
func coldInterval(sc *service) time.Duration {
	return time.Duration(float64(time.Second) / max(sc.cfg.ColdPerSecond, minColdPerSecond))
}

// tieBreak orders servers of equal load, differently for each flow.
func tieBreak(pk Packet, sr *server) uint64 { return flowHash(pk, sr.tag) }

func flowHash(pk Packet, salt uint32) uint64 {
	var data [16]byte
	caller := pk.Caller.Addr().As4()
	copy(data[:4], caller[:])
	put16(data[4:], pk.Caller.Port())
	put16(data[6:], pk.Route.Port())
	put32(data[8:], pk.Sequence)
	put32(data[12:], salt)
	return xxhash.Sum64(data[:])
}

func put16(buffer []byte, value uint16) { buffer[0], buffer[1] = byte(value), byte(value>>8) }

func put32(buffer []byte, value uint32) {
	put16(buffer, uint16(value))
	put16(buffer[2:], uint16(value>>16))
}
