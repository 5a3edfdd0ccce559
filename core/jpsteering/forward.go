package jpsteering

import (
	"slices"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

const (
	protocolTCP   = uint8(jpsettings.TCP)
	maxRemoteHops = 6
)

// fromCaller decides on a packet on its way to a service.
func (pk *packetContext) fromCaller() {
	en := pk.st.flows.Get(pk.flow)
	target := pk.target()
	switch {
	case target == nil && pk.relay.Kind == jppacket.RelayForward && !pk.opensFlow() && (en == nil || en.phase == phaseRemote):
		pk.searchUnknown(en)
	case target == nil:
		pk.fromFabric(en)
	case en != nil && en.phase != phaseRemote:
		pk.handleKnown(en)
	case !target.owned:
		// The sender's view of the owners differs from ours.
		pk.toOwner(target, jppacket.RelayForward, pk.relay.Rank, pk.relay.Flags)
	case en == nil:
		pk.handleUnknownAt(target)
	case pk.mayFollowRemote() && !en.server.owned:
		pk.handleKnown(en)
	default:
		pk.st.removeEntry(pk.flow, en)
		pk.handleUnknownAt(target)
	}
}

// follows tells whether a relayed packet may follow a moved entry. Past
// maxFollow hops the entries of several instances may point in a circle.
func (pk *packetContext) mayFollowRemote() bool {
	if pk.relay.Flags != 0 {
		return false
	}
	return pk.relay.Rank == 0 || pk.relay.Rank == jppacket.RankDirect && pk.relay.Hops <= maxRemoteHops
}

// target is the server that the sending instance chose, if there is one.
func (pk *packetContext) target() *server {
	if pk.relay.Kind != jppacket.RelayForward {
		return nil
	}
	return pk.service.serverAt(pk.relay.Server)
}

// fromFabric handles a packet that no other instance has chosen a server for.
func (pk *packetContext) fromFabric(en *flowEntry) {
	if en != nil {
		pk.handleKnown(en)
		return
	}
	home := pk.service.homeServer(pk.flow)
	switch {
	case pk.opensFlow() && pk.service.removedVersion != 0:
		pk.drop(DropNoService)
	case home == nil && pk.opensFlow():
		pk.refuse()
	case home == nil:
		pk.searchFrom(pk.service.candidates(pk.flow, true), 0)
	case home.owned:
		pk.handleUnknownAt(home)
	default:
		pk.toOwner(home, jppacket.RelayForward, 0, 0)
	}
}

// opens tells whether the packet can be the first of its flow.
func (pk *packetContext) opensFlow() bool {
	if pk.hd.Protocol != protocolTCP {
		return true
	}
	return pk.hd.Flags&(jppacket.SYN|jppacket.ACK|jppacket.RST) == jppacket.SYN
}

// known handles a packet of a flow that has an entry here.
func (pk *packetContext) handleKnown(en *flowEntry) {
	st := pk.st
	now := st.millis(pk.now)
	if en.phase == phaseClosed && pk.opensFlow() {
		if pk.lateSYN(en) {
			pk.drop(DropLateAnswer)
			return
		}
		st.removeEntry(pk.flow, en)
		pk.fromCaller()
		return
	}
	if en.phase != phaseRemote && pk.relay.Kind == jppacket.RelayNone && !en.server.serves(pk.now) {
		st.releaseEntry(pk.flow, en)
		st.markRemote(en)
	}
	switch en.phase {
	case phaseRemote:
		pk.handleRemote(en, now)
	case phaseLocating:
		pk.replaceHeld(en)
	default:
		pk.handleLocal(en, now)
	}
}

// serves tells whether this instance is the server's owner, or was until so
// recently that the new owner may not know yet.
func (sr *server) serves(now time.Time) bool {
	return sr.owned || now.Before(sr.handoverUntil)
}

// knownHere passes a packet to the server that holds its flow.
func (pk *packetContext) handleLocal(en *flowEntry, now uint32) {
	st := pk.st
	if en.server.cfg.Out {
		st.removeEntry(pk.flow, en)
		pk.resetUnlocated()
		return
	}
	if pk.hd.Protocol == protocolTCP {
		if pk.opensFlow() {
			if !pk.acceptsSYN(en) {
				return
			}
		} else if en.phase == phaseHalfOpen && pk.hd.Flags&jppacket.RST == 0 && !pk.completesHandshake(en) {
			return
		}
	}
	if en.phase == phaseClosed && !en.has(flagWasOpen) && pk.hd.Protocol == protocolTCP && pk.hd.Flags&jppacket.RST == 0 {
		// The server has never confirmed the flow: another one may hold it.
		pk.restartSearch(en)
		return
	}
	if en.phase == phaseAdopted {
		st.setPhase(en, phaseOpen)
		en.probeRounds = 0
	}
	st.trackCaller(now, en, pk.hd)
	if pk.relay.Hops > 2 {
		pk.notifyHome(en)
	}
	pk.toServer(en.server)
}

// reopens tells whether a SYN of a known flow goes to the flow's server.
func (pk *packetContext) acceptsSYN(en *flowEntry) bool {
	sr := en.server
	switch {
	case pk.hd.Payload > 0:
		pk.drop(DropSYNPayload)
		return false
	case en.established() && pk.lateSYN(en):
		pk.drop(DropLateAnswer)
		return false
	case en.established() && (sr.cfg.Draining || !pk.service.contains(sr)):
		// Either the caller opened a new flow, which the server must not get,
		// or the SYN is a late copy. Probes tell which.
		en.unansweredSegments = unansweredToProbe
		pk.drop(DropNoRoom)
		return false
	case en.phase == phaseHalfOpen && en.serverNext == 0 && pk.abandonsHandshake(sr):
		sr.admission.Abandon(pk.now)
		pk.st.removeEntry(pk.flow, en)
		pk.handleUnknownAt(sr)
		return false
	case en.phase == phaseHalfOpen && en.serverNext != 0 && !pk.service.contains(sr):
		// The server repeats its answer by itself. If it has restarted, a SYN
		// would open a flow of another service there.
		pk.drop(DropWaiting)
		return false
	}
	return true
}

// late tells whether a SYN is a late copy of the one that opened the flow.
func (pk *packetContext) lateSYN(en *flowEntry) bool {
	behind := int32(pk.hd.Sequence - en.callerNext)
	return behind < 0 && behind > -maxWindow
}

// has tells whether the server is one of the service now.
func (sv *service) contains(sr *server) bool { return slices.Contains(sv.current.servers, sr) }

// abandons tells whether a handshake that a server has not answered goes on
// with another one.
func (pk *packetContext) abandonsHandshake(sr *server) bool {
	return !pk.service.contains(sr) || !sr.admission.Responsive() && pk.service.retriesHandshakes()
}

// completes takes in the end of a handshake. A packet that does not acknowledge
// the SYN of the entry's server belongs to a handshake with another one: the
// SYN and its retransmission came to two servers while views differed.
func (pk *packetContext) completesHandshake(en *flowEntry) bool {
	st := pk.st
	if en.serverNext != 0 && pk.hd.Flags&jppacket.ACK != 0 && pk.hd.Acknowledgement == en.serverNext {
		st.setPhase(en, phaseOpen)
		delete(st.heldPackets, pk.flow)
		return true
	}
	sr := en.server
	ahead := int32(pk.hd.Acknowledgement - en.serverNext)
	if en.serverNext != 0 && (ahead < 0 || ahead > maxWindow) {
		// Otherwise the handshake was completed through another instance.
		pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: resetForServer(pk.flow, en)})
	}
	pk.restartSearch(en)
	return false
}

// searchAgain looks for the flow of an entry whose server has not confirmed it,
// beginning with that server.
func (pk *packetContext) restartSearch(en *flowEntry) {
	sr := en.server
	pk.st.removeEntry(pk.flow, en)
	sr.entriesComplete = false // the entry may have replaced one of an ended flow
	pk.relay.Rank = jppacket.RankDirect
	pk.relay.Flags = 0
	pk.search(sr)
}

// knownElsewhere relays a packet to the owner of the server that holds its flow.
func (pk *packetContext) handleRemote(en *flowEntry, now uint32) {
	if en.server.owned || en.server.cfg.Out {
		// The server became ours; whether it holds the flow has to be asked.
		sr := en.server
		pk.st.removeEntry(pk.flow, en)
		if sr.cfg.Out {
			pk.fromFabric(nil)
			return
		}
		if !pk.opensFlow() {
			// The note may be out of date: all candidates have to be asked.
			pk.relay.Rank = jppacket.RankDirect
		}
		pk.handleUnknownAt(sr)
		return
	}
	en.callerSeen = now
	if !pk.opensFlow() || pk.hd.Protocol != protocolTCP {
		en.flags |= flagRemoteConfirmed
	}
	if pk.hd.Flags&(jppacket.FIN|jppacket.RST) != 0 {
		en.flags |= flagCallerFIN
	}
	pk.toOwner(en.server, jppacket.RelayForward, jppacket.RankDirect, 0)
}

// at handles a packet of an unknown flow at one of our own servers.
func (pk *packetContext) handleUnknownAt(sr *server) {
	switch {
	case pk.opensFlow() && pk.hd.Protocol == protocolTCP && pk.hd.Payload > 0:
		// Without TCP fast open no request data travels before the handshake,
		// so that a refused handshake never carried a request.
		pk.drop(DropSYNPayload)
	case pk.opensFlow() && pk.service.removedVersion != 0:
		pk.drop(DropNoService)
	case pk.opensFlow():
		pk.offer(sr)
	default:
		pk.search(sr)
	}
}

// noteElsewhere remembers where the flow was passed to.
func (pk *packetContext) noteRemote(sr *server) {
	en := pk.st.flows.Get(pk.flow)
	if en == nil {
		en = pk.st.addEntry(pk.flow, sr, phaseRemote)
		if en == nil {
			return
		}
	}
	en.server = sr
	en.callerSeen = pk.st.millis(pk.now)
}

// position is the place of a server among the candidates, 0 if it is none.
func position(list []*server, sr *server) int {
	return max(slices.Index(list, sr), 0)
}
