package jpsteering

import (
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// offer places a new flow, starting with the server sr.
func (pk *packetContext) offer(sr *server) {
	if hp := pk.st.heldPackets[pk.flow]; hp != nil && hp.waiting {
		pk.drop(DropWaiting)
		return
	}
	list := pk.service.candidates(pk.flow, false)
	if pk.relay.Flags&jppacket.FlagSecondPass == 0 && pk.relay.Rank == 0 {
		pk.service.retryBudget.Deposit()
		pk.service.loadEstimate.addArrivals(1)
	}
	pk.offerFrom(list, position(list, sr))
}

// offerFrom offers a new flow to the candidates starting at an index: in the first
// pass under the soft cap to the first softCapRanks, in the second pass under the hard
// limits alone to the first maxCandidates. Within a pass the index only increases, so
// that instances cannot relay a flow in a loop.
func (pk *packetContext) offerFrom(list []*server, from int) {
	if pk.relay.Flags&jppacket.FlagSecondPass == 0 {
		if pk.offerPass(list, from, softCapRanks, true) {
			return
		}
		from = 0
	}
	if !pk.offerPass(list, from, maxCandidates, false) {
		pk.waitForRoom()
	}
}

// offerPass offers the flow to the candidates with indexes from up to, but not
// including, limit. It reports whether the flow was admitted or relayed.
func (pk *packetContext) offerPass(list []*server, from, limit int, soft bool) bool {
	var flags uint8
	if !soft {
		flags = jppacket.FlagSecondPass
	}
	for ix := from; ix < min(limit, len(list)); ix++ {
		sr := list[ix]
		if sr == pk.refusedBy {
			continue
		}
		if sr.owned {
			if sr.admission.Decide(pk.now, pk.st.admissionConditions(pk.now, sr, soft)) == jpadmission.Admit {
				pk.admit(sr)
				return true
			}
			continue
		}
		if sr.owner != "" && pk.st.mayHaveRoom(pk.now, sr, soft) {
			pk.noteRemote(sr)
			pk.toOwner(sr, jppacket.RelayForward, uint8(ix), flags)
			return true
		}
	}
	return false
}

// mayHaveRoom reports whether another instance's server may admit a flow, judging by
// the load that its owner reported. Without a recent report it returns true, and the
// owner decides.
func (st *Steerer) mayHaveRoom(now time.Time, sr *server, soft bool) bool {
	if sr.cfg.Draining || sr.cfg.Out {
		return false
	}
	if now.After(sr.loadExpires) {
		return true
	}
	if sr.load.Full {
		return false
	}
	return !soft || sr.estimateLoad(now) < jpadmission.SoftCap(sr.service.loadEstimate.meanAt(now))
}

// admit opens a flow at an owned server.
func (pk *packetContext) admit(sr *server) {
	st := pk.st
	ph := phaseHalfOpen
	if pk.hd.Protocol != protocolTCP {
		ph = phaseOpen
	}
	if en := st.flows.Get(pk.flow); en != nil {
		st.removeEntry(pk.flow, en)
	}
	en := st.addEntry(pk.flow, sr, ph)
	if en == nil {
		pk.drop(DropTableFull)
		return
	}
	en.countFlow()
	nowMs := st.millis(pk.now)
	en.dueAt = nowMs + uint32(halfOpenTimeout/time.Millisecond)
	st.trackCaller(nowMs, en, pk.hd)
	if ph == phaseHalfOpen && pk.service.retriesHandshakes() && len(st.heldPackets) < maxRetryPackets {
		pk.holdPacket(halfOpenTimeout)
	}
	pk.toServer(sr)
}

// retriesHandshakes reports whether a handshake that a server refused may be retried
// at another one. A connection of a stream service carries no request at that point.
func (sv *service) retriesHandshakes() bool {
	return sv.cfg.Repeatable || sv.cfg.Kind == jpsettings.Stream
}

// holdPacket keeps a copy of the packet. It reports false if too many are held.
func (pk *packetContext) holdPacket(wait time.Duration) bool {
	st := pk.st
	if len(st.heldPackets) >= maxHeldPackets {
		return false
	}
	st.heldPackets[pk.flow] = &heldPacket{
		inner: append([]byte(nil), pk.inner...),
		relay: pk.relay,
		until: pk.now.Add(wait),
	}
	return true
}

// waitForRoom holds a new flow for which no server has room, until one has or
// holdTimeout has passed.
func (pk *packetContext) waitForRoom() {
	st := pk.st
	if pk.hd.Protocol != protocolTCP {
		pk.drop(DropNoRoom)
		return
	}
	if !pk.holdPacket(holdTimeout) {
		pk.refuse()
		return
	}
	st.heldPackets[pk.flow].waiting = true
	st.waitingFlows = append(st.waitingFlows, pk.flow)
}

// refuse answers a SYN with a reset, from which the caller knows that its request was
// not executed. For refuseDelay after a change of owners or the death of an instance,
// which reduce the room for a while, it drops the SYN instead.
func (pk *packetContext) refuse() {
	st := pk.st
	if pk.hd.Protocol != protocolTCP {
		pk.drop(DropNoRoom)
		return
	}
	if pk.now.Before(pk.service.ownersChangedAt.Add(refuseDelay)) || pk.now.Before(st.lastDeathAt.Add(refuseDelay)) {
		pk.drop(DropTakeover)
		return
	}
	for _, sr := range pk.service.current.servers {
		if sr.owned && pk.now.Before(sr.settledAt) {
			// The previous owner may have forwarded the SYN to the server.
			pk.drop(DropTakeover)
			return
		}
	}
	if en := st.flows.Get(pk.flow); en != nil && en.phase == phaseRemote {
		st.removeEntry(pk.flow, en)
	}
	pk.out = append(pk.out,
		Outcome{Kind: ToCaller, Packet: pk.resetForCaller()},
		Outcome{Kind: Record, Reason: EventRefused, Service: pk.service.cfg.Name})
}

// resetForCaller returns the reset that answers the packet (RFC 9293, section 3.10.7.1).
func (pk *packetContext) resetForCaller() []byte {
	sg := jppacket.Segment{
		Source: pk.flow.Service, SourcePort: pk.flow.ServicePort,
		Destination: pk.flow.Caller, DestinationPort: pk.flow.CallerPort,
		Flags: jppacket.RST,
	}
	if pk.hd.Flags&jppacket.ACK != 0 {
		sg.Sequence = pk.hd.Acknowledgement
		return jppacket.AppendSegment(nil, sg)
	}
	sg.Flags |= jppacket.ACK
	sg.Acknowledgement = pk.hd.Sequence + uint32(pk.hd.PayloadLength)
	if pk.hd.Flags&jppacket.SYN != 0 {
		sg.Acknowledgement++
	}
	return jppacket.AppendSegment(nil, sg)
}

// dropOrRefuse ends the wait of a new flow. The first SYN is dropped, because room may
// be missing only briefly and the caller retransmits it; if there is no room for the
// retransmission either, the flow is refused.
func (pk *packetContext) dropOrRefuse() {
	st := pk.st
	if _, again := st.droppedSYNs[pk.flow]; again || len(st.droppedSYNs) >= maxHeldPackets {
		delete(st.droppedSYNs, pk.flow)
		pk.refuse()
		return
	}
	st.droppedSYNs[pk.flow] = pk.now.Add(secondSYNTimeout)
	pk.drop(DropNoRoom)
}

// expireDropped removes flows whose callers have not retransmitted their SYN.
func (st *Steerer) expireDropped(now time.Time) {
	for fl, until := range st.droppedSYNs {
		if !now.Before(until) {
			delete(st.droppedSYNs, fl)
		}
	}
}

// offerWaiting retries to place the flows that wait for room.
func (st *Steerer) offerWaiting(now time.Time, out []Outcome) []Outcome {
	st.expireDropped(now)
	list := st.waitingFlows
	st.waitingFlows = nil
	for _, fl := range list {
		hp := st.heldPackets[fl]
		if hp == nil || !hp.waiting {
			continue
		}
		if en := st.flows.Get(fl); en != nil && en.phase != phaseRemote {
			// Meanwhile a packet of a server showed which one holds the flow.
			delete(st.heldPackets, fl)
			continue
		}
		pk, hd, ok := st.resumeHeld(now, hp, out)
		if !ok {
			delete(st.heldPackets, fl)
			continue
		}
		pk.hd = &hd
		delete(st.heldPackets, fl)
		candidates := pk.service.candidates(fl, false)
		switch {
		case now.Sub(hp.until) > staleAfter:
			// This process was paused; the caller has retransmitted its SYN.
			pk.drop(DropStale)
		case pk.placeWaiting(candidates, hp.until.Add(-holdTimeout)):
		case !now.Before(hp.until):
			pk.dropOrRefuse()
		default:
			st.heldPackets[fl] = hp
			st.waitingFlows = append(st.waitingFlows, fl)
		}
		out = pk.out
	}
	return out
}

// placeWaiting offers a flow that has been waiting since the given time to servers
// that are known to have room. Per tick, another instance's server is offered at most
// as many waiting flows as it had room for when its load was reported. Beyond
// maxOldLoadHops, loads reported before the flow began to wait are ignored: owners of
// full servers would otherwise relay their waiting flows to each other in each tick
// until the hop limit.
func (pk *packetContext) placeWaiting(list []*server, since time.Time) bool {
	for ix, sr := range list[:min(maxCandidates, len(list))] {
		if sr.owned {
			if sr.admission.Decide(pk.now, pk.st.admissionConditions(pk.now, sr, false)) == jpadmission.Admit {
				pk.admit(sr)
				return true
			}
			continue
		}
		loadUsable := !pk.now.After(sr.loadExpires) && (pk.relay.Hops <= maxOldLoadHops || sr.loadReportedAt().After(since))
		if sr.owner != "" && loadUsable && pk.st.mayHaveRoom(pk.now, sr, false) && sr.forwardedThisTick < sr.reportedRoom() {
			sr.forwardedThisTick++
			pk.noteRemote(sr)
			pk.toOwner(sr, jppacket.RelayForward, uint8(ix), jppacket.FlagSecondPass)
			return true
		}
	}
	return false
}

// reportedRoom returns how many flows another instance's server had room for when its
// load was reported, but at least 1.
func (sr *server) reportedRoom() int {
	limit := sr.cfg.Limits.Connections
	if sr.service.cfg.Kind == jpsettings.Request {
		limit = sr.cfg.Limits.Slots
	}
	return max(limit-int(sr.load.Flows), 1)
}

// resumeHeld returns the packetContext of a held packet and its parsed header. It
// reports false if the service is no longer known.
func (st *Steerer) resumeHeld(now time.Time, hp *heldPacket, out []Outcome) (packetContext, jppacket.Header, bool) {
	var hd jppacket.Header
	pk := packetContext{st: st, now: now, inner: hp.inner, relay: hp.relay, out: out}
	if hd.Parse(hp.inner) != nil {
		return pk, hd, false
	}
	pk.flow = hd.FlowFromCaller()
	pk.service = st.services[serviceKey{hd.Destination, hd.DestinationPort, hd.Protocol}]
	return pk, hd, pk.service != nil
}
