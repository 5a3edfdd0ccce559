package jpdispatch

import (
	"time"
)

// unknownTagGrace is how long a tag may be unknown before its flows are reset: the
// record of a new server takes up to 1 s to arrive, and servers whose entries
// expired during an outage of the store need 2 s to register again.
const unknownTagGrace = 4 * time.Second

// Handle decides what to do with a packet of a caller.
func (ds *Dispatcher) Handle(now time.Time, pk Packet) Decision {
	if ds.MustHold(pk) {
		return Decision{Outcome: Hold, Reason: NotReady}
	}
	if !ds.hasManifest {
		return Decision{Outcome: Forward, Reason: Tagged, Server: ds.earlyServers[pk.Tag]}
	}
	if dc, waits := ds.handleWaiting(now, pk); waits {
		return dc
	}
	if pk.Flags&SYN != 0 {
		dc := ds.handleSYN(now, pk)
		dc.SpilledFrom = ds.spilledFrom(pk, dc)
		return dc
	}
	key := keyOf(pk)
	fl := ds.flows.Get(key)
	if fl != nil && pk.Tag != 0 && !fl.mayHaveSent(pk) {
		ds.removeFlow(key, fl) // the caller has reused the port, and the SYN went elsewhere
		fl = nil
	}
	if ds.routes[pk.Route] == nil {
		return ds.handleMissingRoute(now, key, fl, pk)
	}
	if fl != nil && fl.state == resetSent {
		return ds.handleLate(now, fl, pk)
	}
	if pk.Flags&RST != 0 {
		return ds.handleReset(now, key, fl, pk)
	}
	reason := Known
	if fl == nil || fl.state == opening {
		var dc Decision
		if fl, dc = ds.openFlow(now, key, fl, pk); fl == nil {
			return dc
		}
		reason = dc.Reason
	}
	return ds.forward(now, fl, pk, reason)
}

// handleMissingRoute handles a packet other than a SYN to an address without a
// route. It resets the flow only if the directory is up to date and the route was
// removed: the directory is newer than the flow, or one of later than its packet has
// no route either.
func (ds *Dispatcher) handleMissingRoute(now time.Time, key FlowKey, fl *flow, pk Packet) Decision {
	rs := resetOf(pk, NoRoute)
	removed := fl != nil && !ds.currentAt.Before(fl.firstSeenAt) || ds.routeAbsent(now, key)
	if fl != nil {
		rs.Reason = RouteRemoved
		if fl.server != nil {
			rs.Server, rs.Evidence = fl.server.cfg.ID, ds.evidence(fl)
		}
	}
	if fl != nil && removed {
		ds.removeFlow(key, fl)
	}
	if pk.Flags&RST != 0 || !removed || now.Sub(ds.currentAt) > maxDirectoryAge {
		return Decision{Reason: rs.Reason}
	}
	return Decision{Outcome: Reset, Reason: rs.Reason, Reset: rs}
}

// routeAbsent reports whether the directory was still without the route of a flow
// routeArrivalTime after its first packet, and remembers that packet.
func (ds *Dispatcher) routeAbsent(now time.Time, key FlowKey) bool {
	firstAt, ok := ds.routelessFlows[key]
	if !ok {
		if len(ds.routelessFlows) < maxRoutelessFlows {
			ds.routelessFlows[key] = now
		}
		return false
	}
	return !ds.currentAt.Before(firstAt.Add(routeArrivalTime))
}

const (
	// routeArrivalTime is for how long a directory that counts as up to date may
	// lack a change: a response of the store may have been on its way for as long as
	// a call may take.
	routeArrivalTime = time.Second

	// maxRoutelessFlows bounds the flows without a route that are remembered,
	// because callers may send to any address. Their packets beyond it are dropped.
	maxRoutelessFlows = 4096

	// routelessRetention is how long such a flow is remembered: longer than the
	// longest interval between two retransmissions and routeArrivalTime.
	routelessRetention = 5 * time.Second
)

// resetOf returns the reset that answers a packet.
func resetOf(pk Packet, reason Reason) ResetPacket {
	return ResetPacket{Caller: pk.Caller, Route: pk.Route, Sequence: pk.Ack, Reason: reason}
}

func (ds *Dispatcher) removeFlow(key FlowKey, fl *flow) {
	fl.release()
	ds.flows.Remove(key)
}

// handleReset forwards a reset of the caller to the flow's server, and removes
// the flow.
func (ds *Dispatcher) handleReset(now time.Time, key FlowKey, fl *flow, pk Packet) Decision {
	sr := ds.serversByTag[pk.Tag]
	if fl != nil {
		sr = fl.server
		ds.noteGivenUpSpeed(now, fl, pk)
		ds.noteGivenUp(now, fl)
		ds.removeFlow(key, fl)
	}
	if sr == nil {
		return Decision{Reason: StrayReset}
	}
	return Decision{Outcome: Forward, Reason: Known, Server: sr.endpoint()}
}

// openFlow marks a flow as open at the first packet after its handshake, or at
// the first packet that arrives here if other instances got the earlier ones.
// The packet's tag names the server; without a tag, it is the one that got the
// SYN.
func (ds *Dispatcher) openFlow(now time.Time, key FlowKey, fl *flow, pk Packet) (*flow, Decision) {
	sr := ds.serversByTag[pk.Tag]
	if sr == nil && fl != nil && fl.server != nil && pk.Tag == 0 {
		sr = fl.server
	}
	if sr == nil {
		return nil, ds.handleUnknownTag(now, pk)
	}
	reason := Tagged
	if fl != nil {
		reason = Known
	} else {
		var err error
		if fl, err = ds.flows.Add(key); err != nil {
			// The flow table is full. The tag is enough to forward the packet; the
			// flow is just not tracked.
			return nil, Decision{Outcome: Forward, Reason: Tagged, Server: sr.endpoint()}
		}
		fl.firstSeenAt = now
	}
	fl.assign(sr)
	fl.state = open
	switch {
	case fl.triedCount == 0 || ds.mayHaveWaited(pk):
	case pk.Tag == sr.tag && fl.hasTried(sr.tag):
		ds.noteAccepted(now, fl.sentAt, sr)
	default:
		ds.noteAlive(now, sr)
	}
	return fl, Decision{Reason: reason}
}

// handleUnknownTag handles a packet whose tag names no known server: it is
// dropped during the tag's grace period and while the directory may lack servers,
// and its flow is reset otherwise.
func (ds *Dispatcher) handleUnknownTag(now time.Time, pk Packet) Decision {
	firstAt, ok := ds.unknownTags[pk.Tag]
	if !ok {
		if len(ds.unknownTags) >= maxUnknownTags {
			return Decision{Reason: UnknownTag}
		}
		firstAt = now
		ds.unknownTags[pk.Tag] = firstAt
	}
	if !ds.absentSince(now, firstAt) {
		return Decision{Reason: UnknownTag}
	}
	return Decision{Outcome: Reset, Reason: UnknownTag, Reset: resetOf(pk, UnknownTag)}
}

// maxUnknownTags bounds the unknown tags that are remembered, because forged
// packets can carry any tag.
const maxUnknownTags = 4096

// absentSince reports whether a server that has been missing from the directory since
// a time can be taken for gone: the directory is up to date and did not contain the
// server unknownTagGrace later either, and the store had been available for that long,
// so that servers with expired entries have registered again.
func (ds *Dispatcher) absentSince(now, since time.Time) bool {
	shownAt := since.Add(unknownTagGrace)
	if registered := ds.storeUpSince.Add(unknownTagGrace); registered.After(shownAt) {
		shownAt = registered
	}
	return now.Sub(ds.currentAt) <= maxDirectoryAge && !ds.currentAt.Before(shownAt)
}

// forward decides on a packet of an open flow: it goes to the flow's server, or
// the flow is reset if that server is lost.
func (ds *Dispatcher) forward(now time.Time, fl *flow, pk Packet, reason Reason) Decision {
	fl.followRestart()
	sr := fl.server
	check := ds.observe(now, fl, pk)
	if reason, lost := ds.serverLost(now, fl); lost {
		return ds.resetFlow(now, fl, pk, reason)
	}
	if sr.silent && !sr.checking {
		// The latest failed check is older than the flow at this instance, or out
		// of date, so the server has to be checked again.
		check = ds.beginCheck(sr, SilentServerUsed)
	}
	fl.lastSeenAt = now
	if pk.Flags&FIN != 0 && fl.state != closing {
		fl.state = closing
		ds.noteGivenUpSpeed(now, fl, pk)
		fl.endHeld()
		ds.noteGivenUp(now, fl)
	}
	if fl.state == closing {
		fl.deactivate()
	} else {
		fl.activate()
	}
	return Decision{
		Outcome: Forward, Reason: reason, Server: sr.endpoint(), Check: check,
		TagDiffers: pk.Tag != 0 && pk.Tag != sr.tag,
	}
}

// serverLost reports whether a flow's server can't continue the flow, and why.
func (ds *Dispatcher) serverLost(now time.Time, fl *flow) (Reason, bool) {
	sr := fl.server
	switch {
	case sr.replaced || !sr.present && ds.permanentlyGone(now, sr, fl.firstSeenAt):
		return ServerGone, true
	case sr.silentFor(now, fl.firstSeenAt):
		return ServerSilent, true
	}
	return 0, false
}

// resetFlow resets a flow whose server can't answer any more.
func (ds *Dispatcher) resetFlow(now time.Time, fl *flow, pk Packet, reason Reason) Decision {
	fl.deactivate()
	fl.state = resetSent
	fl.endHeld()
	rs := resetOf(pk, reason)
	rs.Server = fl.server.cfg.ID
	rs.Evidence = ds.evidence(fl)
	fl.lastSeenAt = now
	return Decision{Outcome: Reset, Reason: reason, Reset: rs}
}

// evidence returns what is known of a flow and its server.
func (ds *Dispatcher) evidence(fl *flow) Evidence {
	ev := Evidence{
		FlowSeenAt: fl.firstSeenAt, ServerAliveAt: fl.server.aliveAt, CheckFailedAt: fl.server.checkFailedAt,
		StoreUpSince: ds.storeUpSince,
	}
	if !fl.server.present {
		ev.ServerLeftAt = fl.server.leftAt
	}
	return ev
}

// handleLate handles a packet of a flow that this instance has reset before.
func (ds *Dispatcher) handleLate(now time.Time, fl *flow, pk Packet) Decision {
	if pk.Flags&RST != 0 {
		return Decision{Reason: Late}
	}
	return ds.resetFlow(now, fl, pk, Late)
}

// permanentlyGone reports whether a server that left the directory can't continue
// a flow that this instance first saw at firstSeenAt. One that still answers can, although
// the store has lost its entry.
func (ds *Dispatcher) permanentlyGone(now time.Time, sr *server, firstSeenAt time.Time) bool {
	if sr.silentFor(now, firstSeenAt) || now.Sub(sr.leftAt) >= tagRetention {
		return true
	}
	return ds.absentSince(now, sr.leftAt) && !ds.mayStillRun(now, sr, firstSeenAt)
}

// observe updates the state of the server from a packet of the caller: an
// acknowledgement that advances shows that the server is alive. It returns the
// check that a retransmission requires.
func (ds *Dispatcher) observe(now time.Time, fl *flow, pk Packet) Check {
	sr := fl.server
	seenBefore := fl.lastAck != 0 || fl.triedCount > 0
	fl.noteSequence(pk)
	if pk.Flags&ACK != 0 && (fl.lastAck == 0 || int32(pk.Ack-fl.lastAck) > 0) {
		if fl.lastAck != 0 && !ds.mayHaveWaited(pk) {
			ds.noteAnswered(now, sr)
			ds.noteResponse(now, fl)
			ds.noteSpeed(now, fl, pk)
		}
		fl.lastAck = pk.Ack
		fl.clearWaiting()
	}
	if pk.Length == 0 {
		return Check{}
	}
	end := pk.Sequence + uint32(pk.Length)
	switch {
	case !fl.awaitingAnswer:
		fl.awaitingAnswer, fl.pendingEnd, fl.sentAt = true, end, now
		fl.beginRequest()
		ds.startTiming(now, fl, pk, seenBefore)
		ds.noteRequest(now, pk, sr)
	case int32(end-fl.pendingEnd) > 0:
		fl.pendingEnd = end
	case ds.answerDue(now, fl.sentAt):
		return ds.checkUnanswered(now, sr, fl.sentAt, DataRepeated)
	}
	return Check{}
}

// answerDue reports whether a packet sent at sentAt should have been answered by
// now, and this instance was not paused in between.
func (ds *Dispatcher) answerDue(now, sentAt time.Time) bool {
	return now.Sub(sentAt) >= answerTimeout && sentAt.After(ds.evidenceSince)
}
