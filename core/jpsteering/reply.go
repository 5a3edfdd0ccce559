package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jppacket"
)

// fromServer decides on a packet on its way to a caller.
func (pk *passage) fromServer(ad netip.Addr) {
	sr := pk.service.find(ad)
	if sr == nil {
		pk.drop(DropCrossedAnswer)
		return
	}
	if sr.cfg.Out {
		pk.drop(DropLateAnswer)
		return
	}
	en := pk.st.flows.Get(pk.flow)
	if en != nil && en.server.cfg.Address.Addr() == ad {
		sr = en.server
	}
	held := en != nil && en.phase != phaseMoved && en.server == sr
	if !sr.mine && !(held && (sr.serves(pk.now) || pk.relay.Kind == jppacket.RelayReply)) {
		pk.toOwner(sr, jppacket.RelayReply, 0, 0)
		return
	}
	sr.admission.Answered()
	switch {
	case en == nil:
		pk.adopt(sr)
	case en.server != sr && en.phase == phaseMoved && pk.hd.Flags&(jppacket.SYN|jppacket.RST) == 0:
		// The note of the flow's place is out of date.
		pk.st.remove(pk.flow, en)
		pk.adopt(sr)
	case en.server != sr:
		pk.drop(DropCrossedAnswer)
	default:
		pk.answer(en)
	}
}

// answer handles a packet of the server that holds the flow.
func (pk *passage) answer(en *entry) {
	st := pk.st
	reset := pk.hd.Flags&jppacket.RST != 0
	switch {
	case en.phase == phaseMoved:
		sr := en.server // removing the entry clears it
		st.remove(pk.flow, en)
		pk.adopt(sr)
	case en.phase == phaseLocating && reset:
		pk.out = st.searchOn(pk.now, pk.flow, en, false, pk.out)
	case en.phase == phaseLocating:
		pk.located(en)
	case en.phase == phaseAdopted && reset:
		// The server does not hold the flow: its earlier packet was late or
		// crossed. The caller may have the flow with another server.
		st.finish(st.clock(pk.now), en, true)
		pk.drop(DropLateAnswer)
	case en.phase == phaseAdopted && en.probes > 0:
		st.setPhase(en, phaseOpen)
		en.probes = 0
		pk.forwardAnswer(en, reset)
	case en.phase == phaseHalfOpen && en.probes > 0 && reset && pk.hd.Flags&jppacket.ACK == 0:
		// The server does not hold the flow whose handshake stayed incomplete here.
		st.finish(st.clock(pk.now), en, true)
		pk.drop(DropProbeAnswer)
	case en.phase == phaseHalfOpen && reset && en.serverNext == 0:
		pk.shed(en)
	case en.phase == phaseHalfOpen && en.probes > 0 && pk.bare():
		// The server holds it, open or half-open: the caller's packets went through
		// another instance, or the caller is with another server by now.
		en.probes = 0
		pk.drop(DropProbeAnswer)
	case en.phase == phaseHalfOpen && pk.bare():
		// The server refuses a segment; the caller knows nothing of this handshake.
		pk.drop(DropCrossedAnswer)
	case en.phase == phaseHalfOpen && pk.hd.PayloadLength > 0:
		// Only an established connection carries data.
		st.setPhase(en, phaseOpen)
		delete(st.held, pk.flow)
		if en.serverNext == 0 {
			// The handshake was answered through another instance.
			en.serverNext = wellBefore(pk.hd.Sequence)
		}
		pk.forwardAnswer(en, reset)
	default:
		pk.forwardAnswer(en, reset)
	}
}

// bare tells whether the packet is a mere acknowledgement.
func (pk *passage) bare() bool {
	return pk.hd.Protocol == protocolTCP && pk.hd.PayloadLength == 0 && pk.hd.Flags&^jppacket.PSH == jppacket.ACK
}

// forwardAnswer sends a packet of an open flow on to the caller.
func (pk *passage) forwardAnswer(en *entry, reset bool) {
	st := pk.st
	sr := en.server
	if reset && en.phase == phaseOpen && sr.admission.ResetSeen(pk.now) {
		pk.record(EventTurnedCold, sr)
	}
	took := st.trackServer(st.clock(pk.now), en, pk.hd)
	if took > 0 && sr.admission.Responded(pk.now, took) {
		pk.record(EventTurnedCold, sr)
	}
	pk.toCaller()
}

// adopt takes in a flow that is unknown here. The packet of the server shows
// that the server holds it. Only if the caller sends nothing is the server asked.
func (pk *passage) adopt(sr *server) {
	st := pk.st
	if pk.hd.Flags&jppacket.RST != 0 || st.knowsAll(pk.now, sr) {
		// A reset may answer another instance's probe, so it proves nothing.
		pk.drop(DropLateAnswer)
		return
	}
	if pk.bare() {
		// Nor does an acknowledgement; the caller's next packet leads to the
		// server if it holds the flow.
		pk.drop(DropProbeAnswer)
		return
	}
	if pk.hd.Flags&jppacket.SYN != 0 && sr.admission.Cold() && pk.holdsBack(sr) {
		return
	}
	ph, wait := phaseAdopted, idleInterval
	switch {
	case pk.hd.Protocol != protocolTCP:
		ph = phaseOpen
	case pk.hd.Flags&jppacket.SYN != 0:
		ph, wait = phaseHalfOpen, halfOpenTimeout
	}
	en := st.add(pk.flow, sr, ph)
	if en == nil {
		pk.drop(DropTableFull)
		return
	}
	en.count()
	now := st.clock(pk.now)
	en.callerSeen = now
	en.due = now + uint32(wait/time.Millisecond)
	st.trackServer(now, en, pk.hd)
	if en.serverNext == 0 {
		// The caller may lack earlier data. A number that is too low does no
		// harm in a probe, and the caller's next packet corrects it.
		en.serverNext = wellBefore(pk.hd.Sequence)
	}
	pk.toCaller()
}

// holdsBack keeps the answer to a SYN without an entry from the caller if the
// flow may be one too many for a cold server. The server repeats the answer.
func (pk *passage) holdsBack(sr *server) bool {
	dm := pk.st.demand(pk.now, sr, false)
	switch {
	case !dm.Settled:
		// Flows that the previous owner admitted may not have shown up yet.
		pk.drop(DropTakeover)
	case sr.admission.Bears():
		return false
	case !dm.Confirmed:
		// Another owner may have completed the handshake.
		pk.drop(DropNoRoom)
	default:
		// The admission was given up after halfOpenTimeout, and the room went to
		// another flow; the server repeats its answer for longer.
		pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: pk.resetForHandshake()})
		pk.drop(DropNoRoom)
	}
	return true
}

// resetForHandshake builds the reset that ends a handshake at the server that
// sent the packet, its SYN-ACK. It does not end an open connection that has
// received payload.
func (pk *passage) resetForHandshake() []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: pk.flow.Caller, SourcePort: pk.flow.CallerPort, Destination: pk.flow.Service, DestinationPort: pk.flow.ServicePort,
		Flags: jppacket.RST | jppacket.ACK, Sequence: pk.hd.Acknowledgement, Acknowledgement: pk.hd.Sequence + 1,
	})
}

// wellBefore returns a sequence number that is certainly acknowledged.
func wellBefore(seq uint32) uint32 { return max(seq-maxWindow, 1) }

// shed handles a server's refusal of a handshake: another server is tried if
// that is safe and within the budget, otherwise the refusal goes to the caller.
func (pk *passage) shed(en *entry) {
	st := pk.st
	sr := en.server
	if pk.hd.Flags&jppacket.ACK == 0 || pk.hd.Acknowledgement != en.callerNext {
		// Not the answer to the SYN, but to another instance's probe.
		pk.drop(DropLateAnswer)
		return
	}
	st.discount(en)
	sr.admission.Shed(pk.now)
	pk.record(EventShed, sr)
	hp := st.held[pk.flow]
	if hp == nil || !pk.service.retries() || !pk.service.budget.Take(pk.now) {
		st.finish(st.clock(pk.now), en, true)
		pk.toCaller()
		return
	}
	st.remove(pk.flow, en)
	next, hd, ok := st.resume(pk.now, hp, pk.out)
	if !ok {
		return
	}
	next.hd = &hd
	next.refused = sr
	list := next.service.candidates(pk.flow, false)
	next.offerFrom(list, position(list, sr)+1)
	pk.out = next.out
}
