package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jppacket"
)

// fromServer handles a packet from a server, addressed to a caller.
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
	sr.admission.HandleAnswer()
	switch {
	case en == nil:
		pk.adopt(sr)
	case en.server != sr && en.phase == phaseRemote && pk.hd.Flags&(jppacket.SYN|jppacket.RST) == 0:
		// The remote entry is outdated.
		pk.st.removeEntry(pk.flow, en)
		pk.adopt(sr)
	case en.server != sr:
		pk.drop(DropCrossedAnswer)
	default:
		pk.handleReply(en)
	}
}

// handleReply handles a packet of the server that the flow's entry names.
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
		// The server does not hold the flow: its earlier packet was delayed, or
		// answered a segment of a flow that another server holds.
		st.closeEntry(st.millis(pk.now), en, true)
		pk.drop(DropLateAnswer)
	case en.phase == phaseAdopted && en.probeRounds > 0:
		st.setPhase(en, phaseOpen)
		en.probeRounds = 0
		pk.forwardReply(en, reset)
	case en.phase == phaseHalfOpen && en.probeRounds > 0 && reset && pk.hd.Flags&jppacket.ACK == 0:
		// The server does not hold the flow, whose handshake did not complete here.
		st.closeEntry(st.millis(pk.now), en, true)
		pk.drop(DropProbeAnswer)
	case en.phase == phaseHalfOpen && reset && en.serverNext == 0:
		pk.handleRefusal(en)
	case en.phase == phaseHalfOpen && en.probeRounds > 0 && pk.bareACK():
		// The server holds the flow, open or half-open: the caller's packets went
		// through another instance, or its flow is at another server by now.
		en.probeRounds = 0
		pk.drop(DropProbeAnswer)
	case en.phase == phaseHalfOpen && pk.bareACK():
		// The server rejects a segment that is not part of this handshake; the caller
		// does not know of the handshake.
		pk.drop(DropCrossedAnswer)
	case en.phase == phaseHalfOpen && pk.hd.PayloadLength > 0:
		// Only an established connection carries payload.
		st.setPhase(en, phaseOpen)
		delete(st.heldPackets, pk.flow)
		if en.serverNext == 0 {
			// The SYN-ACK went through another instance.
			en.serverNext = belowWindow(pk.hd.Sequence)
		}
		pk.forwardReply(en, reset)
	default:
		pk.forwardReply(en, reset)
	}
}

// bareACK reports whether the packet is an ACK without payload.
func (pk *packetContext) bareACK() bool {
	return pk.hd.Protocol == protocolTCP && pk.hd.PayloadLength == 0 && pk.hd.Flags&^jppacket.PSH == jppacket.ACK
}

// forwardReply forwards a server's packet to the caller.
func (pk *packetContext) forwardReply(en *flowEntry, reset bool) {
	st := pk.st
	sr := en.server
	if reset && en.phase == phaseOpen && sr.admission.HandleReset(pk.now) {
		pk.record(EventTurnedCold, sr)
	}
	took := st.trackServer(st.millis(pk.now), en, pk.hd)
	if took > 0 && sr.admission.HandleResponse(pk.now, took) {
		pk.record(EventTurnedCold, sr)
	}
	pk.toCaller()
}

// adopt creates an entry for a flow that is unknown here and whose server has sent a
// packet. The packet shows that the server holds the flow. The server is probed only
// if the caller sends nothing.
func (pk *packetContext) adopt(sr *server) {
	st := pk.st
	if pk.hd.Flags&jppacket.RST != 0 || st.knowsAllFlows(pk.now, sr) {
		// A reset may answer another instance's probe, so it does not show that the
		// server held the flow.
		pk.drop(DropLateAnswer)
		return
	}
	if pk.bareACK() {
		// A bare ACK does not show it either. If the server holds the flow, the
		// caller's next packet locates it.
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
	nowMs := st.millis(pk.now)
	en.callerSeen = nowMs
	en.dueAt = nowMs + uint32(wait/time.Millisecond)
	st.trackServer(nowMs, en, pk.hd)
	if en.serverNext == 0 {
		// The caller may not have received earlier data. A number that is too low
		// is harmless in a probe, and the caller's next packet corrects it.
		en.serverNext = belowWindow(pk.hd.Sequence)
	}
	pk.toCaller()
}

// withholdsSYNACK drops a SYN-ACK of a flow without an entry if the flow may exceed
// the limits of a cold server, and reports whether it did. The server retransmits the
// SYN-ACK unless it gets a reset.
func (pk *packetContext) withholdsSYNACK(sr *server) bool {
	cn := pk.st.admissionConditions(pk.now, sr, false)
	switch {
	case !cn.TakeoverSettled:
		// Flows that the previous owner admitted may not have entries here yet.
		pk.drop(DropTakeover)
	case sr.admission.CanAbsorb():
		return false
	case !cn.Confirmed:
		// Another instance that owns the server may have completed the handshake.
		pk.drop(DropNoRoom)
	default:
		// The entry expired after halfOpenTimeout, and another flow was admitted in
		// its place; the server retransmits its SYN-ACK for longer than that.
		pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: pk.resetForHandshake()})
		pk.drop(DropNoRoom)
	}
	return true
}

// resetForHandshake returns the reset that ends a handshake at the server, whose
// SYN-ACK is the present packet. It does not end an established connection that has
// received payload.
func (pk *packetContext) resetForHandshake() []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: pk.flow.Caller, SourcePort: pk.flow.CallerPort, Destination: pk.flow.Service, DestinationPort: pk.flow.ServicePort,
		Flags: jppacket.RST | jppacket.ACK, Sequence: pk.hd.Acknowledgement, Acknowledgement: pk.hd.Sequence + 1,
	})
}

// belowWindow returns a sequence number so far below seq that it is certainly
// acknowledged.
func belowWindow(seq uint32) uint32 { return max(seq-maxWindow, 1) }

// handleRefusal handles a server's refusal of a handshake. The handshake is retried at
// another server if that is safe and within the retry budget; otherwise the reset is
// forwarded to the caller.
func (pk *packetContext) handleRefusal(en *flowEntry) {
	st := pk.st
	sr := en.server
	if pk.hd.Flags&jppacket.ACK == 0 || pk.hd.Acknowledgement != en.callerNext {
		// The reset answers another instance's probe and not the SYN.
		pk.drop(DropLateAnswer)
		return
	}
	st.uncountFlow(en)
	sr.admission.HandleRefusal(pk.now)
	pk.record(EventShed, sr)
	hp := st.heldPackets[pk.flow]
	if hp == nil || !pk.service.retriesHandshakes() || !pk.service.retryBudget.TryWithdraw(pk.now) {
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
