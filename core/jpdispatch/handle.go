package jpdispatch

import (
	"time"
)

// strangerTime is how long a tag may be unknown before its flows are reset: the
// record of a new server takes up to 1 s to arrive, and entries that lapsed
// while the store was away take 2 s to come back.
const unknownTagGrace = 4 * time.Second

// Handle decides on a packet of a caller.
func (ds *Dispatcher) Handle(now time.Time, pk Packet) Decision {
	if !ds.hasManifest {
		return Decision{Reason: NotReady}
	}
	if pk.Flags&SYN != 0 {
		return ds.handleSYN(now, pk)
	}
	key := keyOf(pk)
	fl := ds.flows.Get(key)
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

// routeMissing decides on a packet to an address without a route.
func (ds *Dispatcher) handleMissingRoute(now time.Time, key FlowKey, fl *flow, pk Packet) Decision {
	reason := NoRoute
	if fl != nil {
		reason = RouteRemoved
		ds.removeFlow(key, fl)
	}
	if pk.Flags&RST != 0 || now.Sub(ds.currentAt) > maxDirectoryAge {
		return Decision{Reason: reason}
	}
	return Decision{Outcome: Reset, Reason: reason, Reset: resetOf(pk, reason)}
}

// resetOf returns the reset of the flow of a packet.
func resetOf(pk Packet, reason Reason) ResetPacket {
	return ResetPacket{Caller: pk.Caller, Route: pk.Route, Sequence: pk.Ack, Reason: reason}
}

func (ds *Dispatcher) removeFlow(key FlowKey, fl *flow) {
	fl.release()
	ds.flows.Remove(key)
}

// handleReset passes on the end of a flow.
func (ds *Dispatcher) handleReset(now time.Time, key FlowKey, fl *flow, pk Packet) Decision {
	sr := ds.serversByTag[pk.Tag]
	if fl != nil {
		sr = fl.server
		ds.noteGivenUp(now, fl)
		ds.removeFlow(key, fl)
	}
	if sr == nil {
		return Decision{Reason: StrayReset}
	}
	return Decision{Outcome: Forward, Reason: Known, Server: sr.endpoint()}
}

// openFlow finds the server of a flow whose first packet after the handshake
// comes here, or of which another instance has seen the earlier ones.
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
			// The tag alone leads to the server; only the flow's record is lost.
			return nil, Decision{Outcome: Forward, Reason: Tagged, Server: sr.endpoint()}
		}
		fl.firstSeenAt = now
	}
	fl.assign(sr)
	fl.state = open
	if fl.triedCount > 0 {
		sr.noteAlive(now)
	}
	return fl, Decision{Reason: reason}
}

// stranger decides on a packet whose tag names no server.
func (ds *Dispatcher) handleUnknownTag(now time.Time, pk Packet) Decision {
	judgeAt, ok := ds.unknownTags[pk.Tag]
	if !ok {
		if len(ds.unknownTags) >= maxUnknownTags {
			return Decision{Reason: UnknownTag}
		}
		judgeAt = now.Add(unknownTagGrace)
		ds.unknownTags[pk.Tag] = judgeAt
	}
	if now.Before(judgeAt) || !ds.absenceReliable(now) {
		return Decision{Reason: UnknownTag}
	}
	return Decision{Outcome: Reset, Reason: UnknownTag, Reset: resetOf(pk, UnknownTag)}
}

// maxStrangers bounds the unknown tags that are remembered; forged packets can
// carry any.
const maxUnknownTags = 4096

// trusted tells whether a server that the directory does not have is gone: the
// store has answered long enough for lapsed entries to come back.
func (ds *Dispatcher) absenceReliable(now time.Time) bool {
	return now.Sub(ds.currentAt) <= maxDirectoryAge && now.Sub(ds.steadySince) >= unknownTagGrace
}

// forward sends a packet of an open flow to its server.
func (ds *Dispatcher) forward(now time.Time, fl *flow, pk Packet, reason Reason) Decision {
	fl.followRestart()
	sr := fl.server
	check := ds.observe(now, fl, pk)
	if reason, ended := ds.serverLost(now, fl); ended {
		return ds.resetFlow(now, fl, pk, reason)
	}
	if sr.silent && !sr.checking {
		// The flow is newer here than what is known of the server.
		sr.checking = true
		check = sr.endpoint()
	}
	fl.lastSeenAt = now
	if pk.Flags&FIN != 0 && fl.state != closing {
		fl.state = closing
		ds.noteGivenUp(now, fl)
	}
	if fl.state == closing {
		fl.deactivate()
	} else {
		fl.activate()
	}
	return Decision{Outcome: Forward, Reason: reason, Server: sr.endpoint(), Check: check}
}

// unable tells whether a flow's server cannot go on with it, and why.
func (ds *Dispatcher) serverLost(now time.Time, fl *flow) (Reason, bool) {
	sr := fl.server
	switch {
	case !sr.present && ds.permanentlyGone(now, sr, fl.firstSeenAt):
		return ServerGone, true
	case sr.silentFor(now, fl.firstSeenAt):
		return ServerSilent, true
	}
	return 0, false
}

// end resets a flow whose server cannot answer any more.
func (ds *Dispatcher) resetFlow(now time.Time, fl *flow, pk Packet, reason Reason) Decision {
	fl.deactivate()
	fl.state = resetSent
	rs := resetOf(pk, reason)
	rs.Server = fl.server.cfg.ID
	fl.lastSeenAt = now
	return Decision{Outcome: Reset, Reason: reason, Reset: rs}
}

// late decides on a packet of a flow that was reset here.
func (ds *Dispatcher) handleLate(now time.Time, fl *flow, pk Packet) Decision {
	if pk.Flags&RST != 0 {
		return Decision{Reason: Late}
	}
	return ds.resetFlow(now, fl, pk, Late)
}

// gone tells whether a server that left the directory cannot come back to a flow
// that began at a moment.
func (ds *Dispatcher) permanentlyGone(now time.Time, sr *server, begun time.Time) bool {
	if sr.replaced || sr.silentFor(now, begun) || now.Sub(sr.leftAt) >= tagRetention {
		return true
	}
	return ds.absenceReliable(now) && now.Sub(sr.leftAt) >= unknownTagGrace
}

// observe judges the server by what its caller sends: an acknowledgement that
// advances is a sign of life. It returns the server if a repeated packet makes a
// check necessary.
func (ds *Dispatcher) observe(now time.Time, fl *flow, pk Packet) Endpoint {
	sr := fl.server
	if pk.Flags&ACK != 0 && (fl.lastAck == 0 || int32(pk.Ack-fl.lastAck) > 0) {
		if fl.lastAck != 0 {
			sr.noteAlive(now)
		}
		fl.lastAck = pk.Ack
		fl.clearWaiting()
	}
	if pk.Length == 0 {
		return Endpoint{}
	}
	end := pk.Sequence + uint32(pk.Length)
	switch {
	case !fl.awaitingAnswer:
		fl.awaitingAnswer, fl.pendingEnd, fl.sentAt = true, end, now
	case int32(end-fl.pendingEnd) > 0:
		fl.pendingEnd = end
	case ds.answerDue(now, fl.sentAt):
		return ds.checkUnanswered(now, sr, fl.sentAt)
	}
	return Endpoint{}
}

// fair tells whether a packet sent at a moment has had the time to be answered,
// and this instance has not stood still meanwhile.
func (ds *Dispatcher) answerDue(now, sentAt time.Time) bool {
	return now.Sub(sentAt) >= answerTimeout && sentAt.After(ds.evidenceSince)
}
