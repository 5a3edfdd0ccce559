package jpsteering

import (
	"time"

	"jacinthpass/core/jppacket"
)

// maxWindow bounds how far the two ends of a connection can be apart. Linux
// receives up to 6 MB by default.
const maxWindow = 1 << 23

// search looks for the server that holds an existing flow of which this
// instance knows nothing, beginning with the server sr.
func (pk *packetContext) search(sr *server) {
	if pk.hd.Flags&jppacket.ACK == 0 {
		// Without an acknowledgement number no valid probe can be built.
		pk.drop(DropUnconfirmed)
		return
	}
	list := pk.service.candidates(pk.flow, true)
	if pk.relay.Rank == jppacket.RankDirect && position(list, sr) > 0 {
		// The home's note was out of date: ask this server, then all others.
		list = append([]*server{sr}, list...)
		pk.searchFrom(list, 0)
		return
	}
	pk.searchFrom(list, position(list, sr))
}

// searchUnknown handles a packet for a server that is not in the settings here.
// The other instance has other settings, or has seen earlier ones that this one
// has not. The search begins again, once.
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

// searchFrom asks the candidates from a position on, one after the other.
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
		case !sr.admission.Responsive() && !sr.admission.Trial(pk.now):
			uncertain = true
		default:
			pk.probeCandidate(sr, uncertain)
			return
		}
	}
	pk.endSearch(uncertain)
}

// lost tells whether the server is dead and not merely cut off from us.
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

// ask sends a server a keepalive probe in the caller's name. The packet itself
// is held until the server has confirmed that it holds the flow.
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
		// The flow takes up room at the server if it is there.
		en.countFlow()
	}
	st.heldPackets[pk.flow] = hp
	hp.nextTry = pk.now.Add(locateProbeInterval)
	hp.tries = 1
	st.locatingFlows = append(st.locatingFlows, pk.flow)
	pk.appendProbe(sr)
}

// waitLocated handles another packet of a flow that is being located. The
// server only answers a probe below the sequence number that it expects next,
// so the earliest segment takes the place of the held packet. Payload takes the
// place of a mere acknowledgement, which callers send just before it at the end
// of a handshake: lost payload comes again only after a timeout of the caller's,
// which takes seconds if the SYN was lost before.
func (pk *packetContext) replaceHeld(en *flowEntry) {
	hp := pk.st.heldPackets[pk.flow]
	var held jppacket.Header
	if hp == nil || held.Parse(hp.inner) != nil || pk.hd.Flags&(jppacket.SYN|jppacket.RST|jppacket.ACK) != jppacket.ACK {
		pk.drop(DropWaiting)
		return
	}
	ahead := int32(pk.hd.Sequence - held.Sequence)
	if ahead > 0 || ahead == 0 && (held.Payload > 0 || pk.hd.Payload == 0) {
		pk.drop(DropWaiting)
		return
	}
	hp.inner = append(hp.inner[:0], pk.inner...)
	if ahead < 0 {
		pk.appendProbe(en.server)
	}
}

// probe appends the keepalive segment for the packet's flow: one sequence
// number back and no payload, so that a server that holds the flow answers with
// an acknowledgement, and any other with a reset.
func (pk *packetContext) appendProbe(sr *server) {
	pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: pk.hd.Source, SourcePort: pk.hd.SourcePort,
		Destination: pk.hd.Destination, DestinationPort: pk.hd.DestinationPort,
		Flags: jppacket.ACK, Sequence: pk.hd.Sequence - 1, Acknowledgement: pk.hd.Acknowledgement,
		HasTimestamps: pk.hd.HasTimestamps, TimestampValue: pk.hd.TimestampValue, TimestampEcho: pk.hd.TimestampEcho,
	})})
}

// located adopts a flow whose server has confirmed it, and sends the held
// packet on.
func (pk *packetContext) handleLocated(en *flowEntry) {
	st := pk.st
	hp := st.heldPackets[pk.flow]
	if hp != nil && !pk.matchesHeld(hp) {
		if pk.hd.Flags&jppacket.SYN != 0 {
			// Only a half-open connection: a late copy of the SYN came there.
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
	now := st.millis(pk.now)
	en.callerSeen = now
	en.serverSeen = now
	if hp != nil {
		var hd jppacket.Header
		if hd.Parse(hp.inner) == nil {
			st.trackCaller(now, en, &hd)
			pk.out = append(pk.out, Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: hp.inner})
		}
	}
	st.trackServer(now, en, pk.hd)
	if pk.bareACK() {
		pk.drop(DropProbeAnswer)
		return
	}
	pk.toCaller()
}

// confirms tells whether an answer belongs to the connection of the held
// packet. A server that only has a half-open connection of the same flow
// answers probes too, but with another sequence number.
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

// searchOn goes on with the next candidate after a server said that it does not
// hold the flow, or did not answer.
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
		// The server was asked first out of turn; all others follow.
		list = append(list[:at:at], list[at+1:]...)
		pk.relay.Rank = 0
		pk.searchFrom(list, 0)
		return pk.out
	}
	pk.searchFrom(list, at+1)
	return pk.out
}

// unlocated ends the search for a flow that no server holds. If a candidate
// could not be asked, the flow may live there and the packet is only dropped. The
// same holds while a data centre is not heard: it may have newer settings, which
// name other servers.
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

// deniedAgain tells whether all servers denied the flow some time ago already.
// The first time, another instance may have newer settings and hold the flow at
// a server that this instance does not know for the service. A denial from before
// a change of the settings, a pause or a partition does not count: settings may be
// on the way again.
func (pk *packetContext) denialConfirmed() bool {
	st := pk.st
	first, ok := st.deniedSince[pk.flow]
	ok = ok && !first.Before(st.appliedAt) && !first.Before(st.resumedAt)
	if !ok && len(st.deniedSince) < maxHeldPackets {
		st.deniedSince[pk.flow] = pk.now
	}
	return ok && pk.now.Sub(first) >= denialDelay
}

// forgetDenied removes old notes of denials.
func (st *Steerer) expireDenials(now time.Time) {
	for fl, first := range st.deniedSince {
		if now.Sub(first) >= denialTimeout {
			delete(st.deniedSince, fl)
		}
	}
}

// endUnlocated tells the caller that its flow does not exist any more.
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

// retryProbes repeats the probes that servers have not answered.
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

// noteUnanswered counts a handshake or probe without an answer.
func (st *Steerer) recordUnanswered(now time.Time, sr *server, out []Outcome) []Outcome {
	if !sr.admission.Unanswered(now) {
		return out
	}
	return append(out, Outcome{Kind: Record, Reason: EventUnresponsive, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
}
