package jpsteering

import (
	"time"

	"jacinthpass/core/jppacket"
)

// maxWindow is the largest distance in bytes between the sequence numbers of the two
// ends of a connection. Linux limits the receive buffer to 6 MB by default.
const maxWindow = 1 << 23

// search locates the server that holds an existing flow without an entry here,
// starting with the server sr.
func (pk *packetContext) search(sr *server) {
	if pk.hd.Flags&jppacket.ACK == 0 {
		// Without an acknowledgement number no valid probe can be built.
		pk.drop(DropUnconfirmed)
		return
	}
	list := pk.service.candidates(pk.flow, true)
	if pk.relay.Rank == jppacket.RankDirect && position(list, sr) > 0 {
		// The entry that named this server may be outdated: probe this server
		// first, then all others.
		list = append([]*server{sr}, list...)
		pk.searchFrom(list, 0)
		return
	}
	pk.searchFrom(list, position(list, sr))
}

// searchUnknown handles a relayed packet for a server that is unknown here. The
// sending instance has other settings, or has seen earlier ones that this instance
// has not. The search is restarted once.
func (pk *packetContext) searchUnknown(en *flowEntry) {
	if en != nil {
		pk.st.removeEntry(pk.flow, en)
	}
	if pk.relay.Flags&jppacket.FlagUncertain != 0 {
		pk.drop(DropUnconfirmed)
		return
	}
	pk.relay.Flags = jppacket.FlagSearch | jppacket.FlagUncertain
	pk.searchFrom(pk.service.candidates(pk.flow, true), 0)
}

// searchFrom probes the candidates one after the other, starting at an index.
func (pk *packetContext) searchFrom(list []*server, from int) {
	uncertain := pk.relay.Flags&jppacket.FlagUncertain != 0
	for ix := from; ix < len(list); ix++ {
		sr := list[ix]
		switch {
		case sr.cfg.Out:
		case !sr.owned && sr.owner == "":
			uncertain = true
		case !sr.owned:
			pk.searchAtPeer(sr, ix, uncertain)
			return
		case pk.st.knowsAllFlows(pk.now, sr) || pk.st.confirmedDead(pk.now, sr):
		case !sr.admission.Responsive() && !sr.admission.AllowTrial(pk.now):
			uncertain = true
		default:
			pk.probeCandidate(sr, uncertain)
			return
		}
	}
	pk.endSearch(uncertain)
}

// confirmedDead reports whether the server is dead, rather than merely unreachable
// from this instance.
func (st *Steerer) confirmedDead(now time.Time, sr *server) bool {
	return sr.admission.Dead(now) && st.inOwnDataCentre(sr) && !st.isolated(sr) && st.ownerConfirmed(now, sr)
}

func (pk *packetContext) searchAtPeer(sr *server, rank int, uncertain bool) {
	flags := jppacket.FlagSearch
	if uncertain {
		flags |= jppacket.FlagUncertain
	}
	pk.noteRemote(sr)
	pk.toOwner(sr, jppacket.RelayForward, uint8(min(rank, jppacket.RankDirect-1)), flags)
}

// probeCandidate sends a server a keepalive probe with the caller's address. The
// packet itself is held until the server confirms that it holds the flow.
func (pk *packetContext) probeCandidate(sr *server, uncertain bool) {
	st := pk.st
	if uncertain {
		pk.relay.Flags |= jppacket.FlagUncertain
	}
	if !pk.holdPacket(locateProbeInterval * locateProbeTries) {
		pk.drop(DropTableFull)
		return
	}
	hp := st.heldPackets[pk.flow]
	if en := st.flows.Get(pk.flow); en != nil {
		st.removeEntry(pk.flow, en)
	}
	en := st.addEntry(pk.flow, sr, phaseLocating)
	if en == nil {
		delete(st.heldPackets, pk.flow)
		pk.drop(DropTableFull)
		return
	}
	if sr.admission.Cold() {
		// The server may hold the flow, which then counts against its cold limits.
		en.countFlow()
	}
	st.heldPackets[pk.flow] = hp
	hp.nextTry = pk.now.Add(locateProbeInterval)
	hp.tries = 1
	st.locatingFlows = append(st.locatingFlows, pk.flow)
	pk.appendProbe(sr)
}

// replaceHeld handles another packet of a flow that is being located. The server
// answers only probes below the sequence number that it expects next, so the segment
// with the lowest sequence number replaces the held packet. A segment with payload
// replaces a bare ACK, which callers send just before it at the end of the handshake:
// the caller retransmits dropped payload only after its retransmission timeout, which
// takes seconds if its SYN was lost too.
func (pk *packetContext) replaceHeld(en *flowEntry) {
	hp := pk.st.heldPackets[pk.flow]
	var held jppacket.Header
	if hp == nil || held.Parse(hp.inner) != nil || pk.hd.Flags&(jppacket.SYN|jppacket.RST|jppacket.ACK) != jppacket.ACK {
		pk.drop(DropWaiting)
		return
	}
	ahead := int32(pk.hd.Sequence - held.Sequence)
	if ahead > 0 || ahead == 0 && (held.PayloadLength > 0 || pk.hd.PayloadLength == 0) {
		pk.drop(DropWaiting)
		return
	}
	hp.inner = append(hp.inner[:0], pk.inner...)
	if ahead < 0 {
		pk.appendProbe(en.server)
	}
}

// appendProbe appends a keepalive segment for the packet's flow to the outcomes. Its
// sequence number is one below the packet's and it has no payload, so a server that
// holds the flow answers with an ACK and any other with a RST.
func (pk *packetContext) appendProbe(sr *server) {
	pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: pk.hd.Source, SourcePort: pk.hd.SourcePort,
		Destination: pk.hd.Destination, DestinationPort: pk.hd.DestinationPort,
		Flags: jppacket.ACK, Sequence: pk.hd.Sequence - 1, Acknowledgement: pk.hd.Acknowledgement,
		HasTimestamps: pk.hd.HasTimestamps, TimestampValue: pk.hd.TimestampValue, TimestampEcho: pk.hd.TimestampEcho,
	})})
}

// handleLocated handles a server's answer to a probe. If the answer belongs to the
// connection of the held packet, the flow is established and the packet forwarded.
func (pk *packetContext) handleLocated(en *flowEntry) {
	st := pk.st
	hp := st.heldPackets[pk.flow]
	if hp != nil && !pk.matchesHeld(hp) {
		if pk.hd.Flags&jppacket.SYN != 0 {
			// The server has only a half-open connection, from a delayed duplicate
			// of the SYN.
			pk.out = st.searchNext(pk.now, pk.flow, en, false, pk.out)
			return
		}
		pk.drop(DropCrossedAnswer)
		return
	}
	delete(st.heldPackets, pk.flow)
	delete(st.deniedSince, pk.flow)
	st.setPhase(en, phaseOpen)
	en.countFlow()
	nowMs := st.millis(pk.now)
	en.callerSeen = nowMs
	en.serverSeen = nowMs
	if hp != nil {
		var hd jppacket.Header
		if hd.Parse(hp.inner) == nil {
			st.trackCaller(nowMs, en, &hd)
			pk.out = append(pk.out, Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: hp.inner})
		}
	}
	st.trackServer(nowMs, en, pk.hd)
	if pk.bareACK() {
		pk.drop(DropProbeAnswer)
		return
	}
	pk.toCaller()
}

// matchesHeld reports whether an answer belongs to the connection of the held packet.
// A server with only a half-open connection of the same flow answers probes too, but
// with a different sequence number.
func (pk *packetContext) matchesHeld(hp *heldPacket) bool {
	var hd jppacket.Header
	if hd.Parse(hp.inner) != nil {
		return false
	}
	if pk.hd.Flags&jppacket.SYN != 0 {
		return pk.hd.Sequence+1 == hd.Acknowledgement
	}
	ahead := int32(pk.hd.Sequence - hd.Acknowledgement)
	return ahead >= 0 && ahead <= maxWindow
}

// searchNext continues the search with the next candidate after a server denied the
// flow or did not answer.
func (st *Steerer) searchNext(now time.Time, fl jppacket.Flow, en *flowEntry, uncertain bool, out []Outcome) []Outcome {
	sr := en.server
	hp := st.heldPackets[fl]
	st.removeEntry(fl, en)
	if hp == nil {
		return out
	}
	pk, hd, ok := st.resumeHeld(now, hp, out)
	if !ok {
		return out
	}
	pk.hd = &hd
	if uncertain {
		pk.relay.Flags |= jppacket.FlagUncertain
	}
	list := pk.service.candidates(fl, true)
	at := position(list, sr)
	if pk.relay.Rank == jppacket.RankDirect && at > 0 {
		// The server was probed first, regardless of its rank; all others follow.
		list = append(list[:at:at], list[at+1:]...)
		pk.relay.Rank = 0
		pk.searchFrom(list, 0)
		return pk.out
	}
	pk.searchFrom(list, at+1)
	return pk.out
}

// endSearch ends the search for a flow that no server has confirmed. If a candidate
// could not be probed, it may hold the flow, and the packet is dropped without a
// reset. The same applies while another data centre is unreachable, which may have
// newer settings with other servers, or while a peer is known to have such settings.
func (pk *packetContext) endSearch(uncertain bool) {
	st := pk.st
	if en := st.flows.Get(pk.flow); en != nil {
		st.removeEntry(pk.flow, en)
	}
	uncertain = uncertain || pk.now.Before(st.settingsBehindUntil) || st.partitioned
	if uncertain || !pk.denialConfirmed() {
		pk.drop(DropUnconfirmed)
		return
	}
	pk.resetUnlocated()
}

// denialConfirmed reports whether all servers denied the flow at least denialDelay
// ago already. After the first denial, another instance may still have newer settings
// and hold the flow at a server that this instance does not know for the service. A
// denial from before a settings change, a pause or a partition does not count, since
// newer settings may be in transit again.
func (pk *packetContext) denialConfirmed() bool {
	st := pk.st
	first, ok := st.deniedSince[pk.flow]
	ok = ok && !first.Before(st.appliedAt) && !first.Before(st.resumedAt)
	if !ok && len(st.deniedSince) < maxHeldPackets {
		st.deniedSince[pk.flow] = pk.now
	}
	return ok && pk.now.Sub(first) >= denialDelay
}

// expireDenials removes denials older than denialTimeout.
func (st *Steerer) expireDenials(now time.Time) {
	for fl, first := range st.deniedSince {
		if now.Sub(first) >= denialTimeout {
			delete(st.deniedSince, fl)
		}
	}
}

// resetUnlocated resets the caller's end of a flow that no longer exists.
func (pk *packetContext) resetUnlocated() {
	delete(pk.st.deniedSince, pk.flow)
	if pk.hd.Protocol != protocolTCP || pk.hd.Flags&jppacket.RST != 0 {
		pk.drop(DropUnconfirmed)
		return
	}
	pk.out = append(pk.out,
		Outcome{Kind: ToCaller, Packet: pk.resetForCaller()},
		Outcome{Kind: Record, Reason: EventFlowUnlocated, Service: pk.service.cfg.Name})
}

// retryLocateProbes resends the probes that servers have not answered, and moves on
// to the next candidate after locateProbeTries.
func (st *Steerer) retryLocateProbes(now time.Time, out []Outcome) []Outcome {
	list := st.locatingFlows
	st.locatingFlows = nil
	for _, fl := range list {
		en, hp := st.flows.Get(fl), st.heldPackets[fl]
		if en == nil || hp == nil || en.phase != phaseLocating {
			continue
		}
		switch {
		case now.Before(hp.nextTry):
			st.locatingFlows = append(st.locatingFlows, fl)
		case hp.tries < locateProbeTries || st.resumedAt.After(hp.nextTry.Add(-locateProbeInterval)):
			hp.tries++
			hp.nextTry = now.Add(locateProbeInterval)
			st.locatingFlows = append(st.locatingFlows, fl)
			if pk, hd, ok := st.resumeHeld(now, hp, out); ok {
				pk.hd = &hd
				pk.appendProbe(en.server)
				out = pk.out
			}
		default:
			out = st.recordUnanswered(now, en.server, out)
			out = st.searchNext(now, fl, en, !st.confirmedDead(now, en.server), out)
		}
	}
	return out
}

// recordUnanswered counts an unanswered handshake or probe against the server.
func (st *Steerer) recordUnanswered(now time.Time, sr *server, out []Outcome) []Outcome {
	if !sr.admission.HandleUnanswered(now) {
		return out
	}
	return append(out, Outcome{Kind: Record, Reason: EventUnresponsive, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
}
