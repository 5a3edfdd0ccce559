package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jppacket"
)

// fromServer decides on a packet on its way to a caller.
func (pk *packetContext) fromServer(ad netip.Addr) {
	sr := pk.service.serverAt(ad)
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
	held := en != nil && en.phase != phaseRemote && en.server == sr
	if !sr.owned && !(held && (sr.serves(pk.now) || pk.relay.Kind == jppacket.RelayReply)) {
		pk.toOwner(sr, jppacket.RelayReply, 0, 0)
		return
	}
	sr.admission.Answered()
	switch {
	case en == nil:
		pk.adopt(sr)
	case en.server != sr && en.phase == phaseRemote && pk.hd.Flags&(jppacket.SYN|jppacket.RST) == 0:
		// The note of the flow's place is out of date.
		pk.st.removeEntry(pk.flow, en)
		pk.adopt(sr)
	case en.server != sr:
		pk.drop(DropCrossedAnswer)
	default:
		pk.handleReply(en)
	}
}

// answer handles a packet of the server that holds the flow.
func (pk *packetContext) handleReply(en *flowEntry) {
	st := pk.st
	reset := pk.hd.Flags&jppacket.RST != 0
	switch {
	case en.phase == phaseRemote:
		sr := en.server // removing the entry clears it
		st.removeEntry(pk.flow, en)
		pk.adopt(sr)
	case en.phase == phaseLocating && reset:
		pk.out = st.searchNext(pk.now, pk.flow, en, false, pk.out)
	case en.phase == phaseLocating:
		pk.handleLocated(en)
	case en.phase == phaseAdopted && reset:
		// The server does not hold the flow: its earlier packet was late or
		// crossed. The caller may have the flow with another server.
		st.closeEntry(st.millis(pk.now), en, true)
		pk.drop(DropLateAnswer)
	case en.phase == phaseAdopted && en.probeRounds > 0:
		st.setPhase(en, phaseOpen)
		en.probeRounds = 0
		pk.forwardReply(en, reset)
	case en.phase == phaseHalfOpen && en.probeRounds > 0 && reset && pk.hd.Flags&jppacket.ACK == 0:
		// The server does not hold the flow whose handshake stayed incomplete here.
		st.closeEntry(st.millis(pk.now), en, true)
		pk.drop(DropProbeAnswer)
	case en.phase == phaseHalfOpen && reset && en.serverNext == 0:
		pk.handleRefusal(en)
	case en.phase == phaseHalfOpen && en.probeRounds > 0 && pk.bareACK():
		// The server holds it, open or half-open: the caller's packets went through
		// another instance, or the caller is with another server by now.
		en.probeRounds = 0
		pk.drop(DropProbeAnswer)
	case en.phase == phaseHalfOpen && pk.bareACK():
		// The server refuses a segment; the caller knows nothing of this handshake.
		pk.drop(DropCrossedAnswer)
	case en.phase == phaseHalfOpen && pk.hd.Payload > 0:
		// Only an established connection carries data.
		st.setPhase(en, phaseOpen)
		delete(st.heldPackets, pk.flow)
		if en.serverNext == 0 {
			// The handshake was answered through another instance.
			en.serverNext = belowWindow(pk.hd.Sequence)
		}
		pk.forwardReply(en, reset)
	default:
		pk.forwardReply(en, reset)
	}
}

// bare tells whether the packet is a mere acknowledgement.
func (pk *packetContext) bareACK() bool {
	return pk.hd.Protocol == protocolTCP && pk.hd.Payload == 0 && pk.hd.Flags&^jppacket.PSH == jppacket.ACK
}

// forwardAnswer sends a packet of an open flow on to the caller.
func (pk *packetContext) forwardReply(en *flowEntry, reset bool) {
	st := pk.st
	sr := en.server
	if reset && en.phase == phaseOpen && sr.admission.ResetSeen(pk.now) {
		pk.record(EventTurnedCold, sr)
	}
	took := st.trackServer(st.millis(pk.now), en, pk.hd)
	if took > 0 && sr.admission.Responded(pk.now, took) {
		pk.record(EventTurnedCold, sr)
	}
	pk.toCaller()
}

// adopt takes in a flow that is unknown here. The packet of the server shows
// that the server holds it. Only if the caller sends nothing is the server asked.
func (pk *packetContext) adopt(sr *server) {
	st := pk.st
	if pk.hd.Flags&jppacket.RST != 0 || st.knowsAllFlows(pk.now, sr) {
		// A reset may answer another instance's probe, so it proves nothing.
		pk.drop(DropLateAnswer)
		return
	}
	if pk.bareACK() {
		// Nor does an acknowledgement; the caller's next packet leads to the
		// server if it holds the flow.
		pk.drop(DropProbeAnswer)
		return
	}
	if pk.hd.Flags&jppacket.SYN != 0 && sr.admission.Cold() && pk.withholdsSYNACK(sr) {
		return
	}
	ph, wait := phaseAdopted, idleProbeInterval
	switch {
	case pk.hd.Protocol != protocolTCP:
		ph = phaseOpen
	case pk.hd.Flags&jppacket.SYN != 0:
		ph, wait = phaseHalfOpen, halfOpenTimeout
	}
	en := st.addEntry(pk.flow, sr, ph)
	if en == nil {
		pk.drop(DropTableFull)
		return
	}
	en.countFlow()
	now := st.millis(pk.now)
	en.callerSeen = now
	en.dueAt = now + uint32(wait/time.Millisecond)
	st.trackServer(now, en, pk.hd)
	if en.serverNext == 0 {
		// The caller may lack earlier data. A number that is too low does no
		// harm in a probe, and the caller's next packet corrects it.
		en.serverNext = belowWindow(pk.hd.Sequence)
	}
	pk.toCaller()
}

// holdsBack keeps the answer to a SYN without an entry from the caller if the
// flow may be one too many for a cold server. The server repeats the answer.
func (pk *packetContext) withholdsSYNACK(sr *server) bool {
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
func (pk *packetContext) resetForHandshake() []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: pk.flow.Caller, SourcePort: pk.flow.CallerAt, Destination: pk.flow.Service, DestinationPort: pk.flow.Port,
		Flags: jppacket.RST | jppacket.ACK, Sequence: pk.hd.Acknowledgement, Acknowledgement: pk.hd.Sequence + 1,
	})
}

// wellBefore returns a sequence number that is certainly acknowledged.
func belowWindow(seq uint32) uint32 { return max(seq-maxWindow, 1) }

// shed handles a server's refusal of a handshake: another server is tried if
// that is safe and within the budget, otherwise the refusal goes to the caller.
func (pk *packetContext) handleRefusal(en *flowEntry) {
	st := pk.st
	sr := en.server
	if pk.hd.Flags&jppacket.ACK == 0 || pk.hd.Acknowledgement != en.callerNext {
		// Not the answer to the SYN, but to another instance's probe.
		pk.drop(DropLateAnswer)
		return
	}
	st.uncountFlow(en)
	sr.admission.Shed(pk.now)
	pk.record(EventShed, sr)
	hp := st.heldPackets[pk.flow]
	if hp == nil || !pk.service.retriesHandshakes() || !pk.service.retryBudget.Take(pk.now) {
		st.closeEntry(st.millis(pk.now), en, true)
		pk.toCaller()
		return
	}
	st.removeEntry(pk.flow, en)
	next, hd, ok := st.resumeHeld(pk.now, hp, pk.out)
	if !ok {
		return
	}
	next.hd = &hd
	next.refusedBy = sr
	list := next.service.candidates(pk.flow, false)
	next.offerFrom(list, position(list, sr)+1)
	pk.out = next.out
}
