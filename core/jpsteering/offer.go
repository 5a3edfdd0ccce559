package jpsteering

import (
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// offer places a new flow, beginning with the server sr.
func (pk *passage) offer(sr *server) {
	if hp := pk.st.held[pk.flow]; hp != nil && hp.waiting {
		pk.drop(DropWaiting)
		return
	}
	list := pk.service.candidates(pk.flow, false)
	if pk.relay.Flags&jppacket.FlagSecondPass == 0 && pk.relay.Rank == 0 {
		pk.service.budget.Earn()
		pk.service.balance.arrived(1)
	}
	pk.offerFrom(list, position(list, sr))
}

// offerFrom offers a new flow to the candidates from a position on: first under
// the soft cap to the best few, then under the hard limits to all. The position
// only moves forward, so that the instances cannot pass a flow in a circle.
func (pk *passage) offerFrom(list []*server, from int) {
	if pk.relay.Flags&jppacket.FlagSecondPass == 0 {
		if pk.pass(list, from, firstPass, true) {
			return
		}
		from = 0
	}
	if !pk.pass(list, from, maxCandidates, false) {
		pk.wait()
	}
}

// pass offers the flow to the candidates from a position up to a limit.
func (pk *passage) pass(list []*server, from, limit int, soft bool) bool {
	var flags uint8
	if !soft {
		flags = jppacket.FlagSecondPass
	}
	for ix := from; ix < min(limit, len(list)); ix++ {
		sr := list[ix]
		if sr == pk.refused {
			continue
		}
		if sr.mine {
			if sr.admission.Ask(pk.now, pk.st.demand(pk.now, sr, soft)) == jpadmission.Admit {
				pk.admit(sr)
				return true
			}
			continue
		}
		if sr.owner != "" && pk.st.mayHaveRoom(pk.now, sr, soft) {
			pk.noteElsewhere(sr)
			pk.toOwner(sr, jppacket.RelayForward, uint8(ix), flags)
			return true
		}
	}
	return false
}

// mayHaveRoom judges another instance's server by the load that its owner told.
// Without recent news the server is worth an offer; its owner decides.
func (st *Steerer) mayHaveRoom(now time.Time, sr *server, soft bool) bool {
	if sr.cfg.Draining || sr.cfg.Out {
		return false
	}
	if now.After(sr.loadUntil) {
		return true
	}
	if sr.load.Full {
		return false
	}
	return !soft || sr.estimate(now) < jpadmission.SoftCap(sr.service.balance.meanAt(now))
}

// admit opens a flow at one of our own servers.
func (pk *passage) admit(sr *server) {
	st := pk.st
	ph := phaseHalfOpen
	if pk.hd.Protocol != protocolTCP {
		ph = phaseOpen
	}
	if en := st.flows.Get(pk.flow); en != nil {
		st.remove(pk.flow, en)
	}
	en := st.add(pk.flow, sr, ph)
	if en == nil {
		pk.drop(DropTableFull)
		return
	}
	en.count()
	now := st.clock(pk.now)
	en.due = now + uint32(halfOpenTimeout/time.Millisecond)
	st.trackCaller(now, en, pk.hd)
	if ph == phaseHalfOpen && pk.service.retries() && len(st.held) < maxRetried {
		pk.hold(halfOpenTimeout)
	}
	pk.toServer(sr)
}

// retries tells whether a handshake that a server refused may be tried at
// another one. A standing connection carries no request yet at that point.
func (sv *service) retries() bool {
	return sv.cfg.Repeatable || sv.cfg.Kind == jpsettings.Stream
}

// hold keeps a copy of the packet. It reports false if too many are held.
func (pk *passage) hold(wait time.Duration) bool {
	st := pk.st
	if len(st.held) >= maxHeld {
		return false
	}
	st.held[pk.flow] = &heldPacket{
		inner: append([]byte(nil), pk.inner...),
		relay: pk.relay,
		until: pk.now.Add(wait),
	}
	return true
}

// wait holds a new flow for which no server has room, until one has or the
// time is up.
func (pk *passage) wait() {
	st := pk.st
	if pk.hd.Protocol != protocolTCP {
		pk.drop(DropNoRoom)
		return
	}
	if !pk.hold(holdTimeout) {
		pk.refuse()
		return
	}
	st.held[pk.flow].waiting = true
	st.waiting = append(st.waiting, pk.flow)
}

// refuse answers a SYN with a reset, which tells the caller that the request
// did not run.
func (pk *passage) refuse() {
	st := pk.st
	if pk.hd.Protocol != protocolTCP {
		pk.drop(DropNoRoom)
		return
	}
	if pk.now.Before(pk.service.ownersChanged.Add(refuseAfter)) || pk.now.Before(st.died.Add(refuseAfter)) {
		pk.drop(DropTakeover)
		return
	}
	for _, sr := range pk.service.lineup.servers {
		if sr.mine && pk.now.Before(sr.settled) {
			// The previous owner may have passed the SYN on to the server.
			pk.drop(DropTakeover)
			return
		}
	}
	if en := st.flows.Get(pk.flow); en != nil && en.phase == phaseMoved {
		st.remove(pk.flow, en)
	}
	pk.out = append(pk.out,
		Outcome{Kind: ToCaller, Packet: pk.resetForCaller()},
		Outcome{Kind: Record, Reason: EventRefused, Service: pk.service.cfg.Name})
}

// resetForCaller builds the reset that answers the packet.
func (pk *passage) resetForCaller() []byte {
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

// turnAway ends the wait of a new flow. The first SYN is dropped, because room
// may be missing only for a moment and the caller sends it again; the flow is
// refused if there is no room for the second one either.
func (pk *passage) turnAway() {
	st := pk.st
	if _, again := st.dropped[pk.flow]; again || len(st.dropped) >= maxHeld {
		delete(st.dropped, pk.flow)
		pk.refuse()
		return
	}
	st.dropped[pk.flow] = pk.now.Add(secondSYN)
	pk.drop(DropNoRoom)
}

// forgetDropped forgets flows whose callers have not sent their SYN again.
func (st *Steerer) forgetDropped(now time.Time) {
	for fl, until := range st.dropped {
		if !now.Before(until) {
			delete(st.dropped, fl)
		}
	}
}

// offerWaiting tries again to place the flows that wait for room.
func (st *Steerer) offerWaiting(now time.Time, out []Outcome) []Outcome {
	st.forgetDropped(now)
	list := st.waiting
	st.waiting = nil
	for _, fl := range list {
		hp := st.held[fl]
		if hp == nil || !hp.waiting {
			continue
		}
		if en := st.flows.Get(fl); en != nil && en.phase != phaseMoved {
			// A server's answer showed meanwhile where the flow is.
			delete(st.held, fl)
			continue
		}
		pk, hd, ok := st.resume(now, hp, out)
		if !ok {
			delete(st.held, fl)
			continue
		}
		pk.hd = &hd
		delete(st.held, fl)
		candidates := pk.service.candidates(fl, false)
		switch {
		case now.Sub(hp.until) > staleAfter:
			// This process was paused; the caller has sent its SYN again.
			pk.drop(DropStale)
		case pk.placeWaiting(candidates, hp.until.Add(-holdTimeout)):
		case !now.Before(hp.until):
			pk.turnAway()
		default:
			st.held[fl] = hp
			st.waiting = append(st.waiting, fl)
		}
		out = pk.out
	}
	return out
}

// placeWaiting offers a flow that has been waiting since a time to servers that
// are known to have room, no more of them in a tick than the room that was told.
// Past maxOffered hops, older news of another instance's server does not count.
// Owners of full servers would otherwise pass their waiting flows to each other at
// each tick, until they have been relayed too often.
func (pk *passage) placeWaiting(list []*server, since time.Time) bool {
	for ix, sr := range list[:min(maxCandidates, len(list))] {
		if sr.mine {
			if sr.admission.Ask(pk.now, pk.st.demand(pk.now, sr, false)) == jpadmission.Admit {
				pk.admit(sr)
				return true
			}
			continue
		}
		news := !pk.now.After(sr.loadUntil) && (pk.relay.Hops <= maxOffered || sr.told().After(since))
		if sr.owner != "" && news && pk.st.mayHaveRoom(pk.now, sr, false) && sr.passed < sr.free() {
			sr.passed++
			pk.noteElsewhere(sr)
			pk.toOwner(sr, jppacket.RelayForward, uint8(ix), jppacket.FlagSecondPass)
			return true
		}
	}
	return false
}

// free is the room of another instance's server when its load was told.
func (sr *server) free() int {
	limit := sr.cfg.Limits.Connections
	if sr.service.cfg.Kind == jpsettings.Request {
		limit = sr.cfg.Limits.Slots
	}
	return max(limit-int(sr.load.Flows), 1)
}

// resume makes a passage of a held packet.
func (st *Steerer) resume(now time.Time, hp *heldPacket, out []Outcome) (passage, jppacket.Header, bool) {
	var hd jppacket.Header
	pk := passage{st: st, now: now, inner: hp.inner, relay: hp.relay, out: out}
	if hd.Parse(hp.inner) != nil {
		return pk, hd, false
	}
	pk.flow = hd.FlowFromCaller()
	pk.service = st.services[serviceKey{hd.Destination, hd.DestinationPort, hd.Protocol}]
	return pk, hd, pk.service != nil
}
