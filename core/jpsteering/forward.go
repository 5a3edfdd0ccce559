package jpsteering

import (
	"slices"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

const (
	protocolTCP   = uint8(jpsettings.TCP)
	maxRemoteHops = 6 // hops up to which a relayed packet follows remote entries
)

// fromCaller handles a packet addressed to a service.
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
		// The sending instance has a different view of the owners.
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

// mayFollowRemote reports whether a relayed packet may follow a remote entry. Beyond
// maxRemoteHops, the entries of several instances may form a loop.
func (pk *packetContext) mayFollowRemote() bool {
	if pk.relay.Flags != 0 {
		return false
	}
	return pk.relay.Rank == 0 || pk.relay.Rank == jppacket.RankDirect && pk.relay.Hops <= maxRemoteHops
}

// target returns the server that the relaying instance chose, or nil if the packet
// was not relayed or the server is not known here.
func (pk *packetContext) target() *server {
	if pk.relay.Kind != jppacket.RelayForward {
		return nil
	}
	return pk.service.serverAt(pk.relay.Server)
}

// fromFabric handles a packet for which no other instance has chosen a server.
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

// opensFlow reports whether the packet can be the first of its flow.
func (pk *packetContext) opensFlow() bool {
	if pk.hd.Protocol != protocolTCP {
		return true
	}
	return pk.hd.Flags&(jppacket.SYN|jppacket.ACK|jppacket.RST) == jppacket.SYN
}

// handleKnown handles a packet of a flow that has an entry here.
func (pk *packetContext) handleKnown(en *flowEntry) {
	st := pk.st
	nowMs := st.millis(pk.now)
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
		pk.handleRemote(en, nowMs)
	case phaseLocating:
		pk.replaceHeld(en)
	default:
		pk.handleLocal(en, nowMs)
	}
}

// serves reports whether this instance owns the server, or owned it until so
// recently that the new owner may not know of the change yet.
func (sr *server) serves(now time.Time) bool {
	return sr.owned || now.Before(sr.handoverUntil)
}

// handleLocal forwards a packet to the server that holds its flow.
func (pk *packetContext) handleLocal(en *flowEntry, nowMs uint32) {
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
		// The server never confirmed the flow, so another one may hold it.
		pk.restartSearch(en)
		return
	}
	if en.phase == phaseAdopted {
		st.setPhase(en, phaseOpen)
		en.probeRounds = 0
	}
	st.trackCaller(nowMs, en, pk.hd)
	if pk.relay.Hops > 2 {
		pk.notifyHome(en)
	}
	pk.toServer(en.server)
}

// acceptsSYN reports whether a SYN of a known flow is forwarded to the flow's server.
// If not, it has dropped the SYN or handled it otherwise.
func (pk *packetContext) acceptsSYN(en *flowEntry) bool {
	sr := en.server
	switch {
	case pk.hd.PayloadLength > 0:
		pk.drop(DropSYNPayload)
		return false
	case en.established() && pk.lateSYN(en):
		pk.drop(DropLateAnswer)
		return false
	case en.established() && (sr.cfg.Draining || !pk.service.contains(sr)):
		// Either the caller opens a new flow, which this server must not get, or the
		// SYN is a delayed duplicate. Probes find out which.
		en.unansweredSegments = unansweredToProbe
		pk.drop(DropNoRoom)
		return false
	case en.phase == phaseHalfOpen && en.serverNext == 0 && pk.abandonsHandshake(sr):
		sr.admission.HandleAbandoned(pk.now)
		pk.st.removeEntry(pk.flow, en)
		pk.handleUnknownAt(sr)
		return false
	case en.phase == phaseHalfOpen && en.serverNext != 0 && !pk.service.contains(sr):
		// The server retransmits its SYN-ACK by itself. If it has restarted, the SYN
		// would open a flow of another service there.
		pk.drop(DropWaiting)
		return false
	}
	return true
}

// lateSYN reports whether a SYN is a delayed duplicate of the one that opened the flow.
func (pk *packetContext) lateSYN(en *flowEntry) bool {
	ahead := int32(pk.hd.Sequence - en.callerNext)
	return ahead < 0 && ahead > -maxWindow
}

// contains reports whether the server belongs to the service under the present settings.
func (sv *service) contains(sr *server) bool { return slices.Contains(sv.current.servers, sr) }

// abandonsHandshake reports whether a handshake that the server has not answered is
// offered to another server.
func (pk *packetContext) abandonsHandshake(sr *server) bool {
	return !pk.service.contains(sr) || !sr.admission.Responsive() && pk.service.retriesHandshakes()
}

// completesHandshake reports whether a packet completes the entry's handshake. A
// packet that does not acknowledge the SYN-ACK of the entry's server belongs to a
// handshake with another server: the SYN and its retransmission reached two servers
// while the views of instances differed. The flow is then located.
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
		// Within the window, the handshake was completed through another instance.
		pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: resetForServer(pk.flow, en)})
	}
	pk.restartSearch(en)
	return false
}

// restartSearch locates the flow of an entry whose server has not confirmed it,
// starting with that server.
func (pk *packetContext) restartSearch(en *flowEntry) {
	sr := en.server
	pk.st.removeEntry(pk.flow, en)
	sr.entriesComplete = false // the entry may have replaced that of an ended flow
	pk.relay.Rank = jppacket.RankDirect
	pk.relay.Flags = 0
	pk.search(sr)
}

// handleRemote relays a packet to the owner of the server that holds its flow.
func (pk *packetContext) handleRemote(en *flowEntry, nowMs uint32) {
	if en.server.owned || en.server.cfg.Out {
		// The server was taken out, or this instance has become its owner and has to
		// probe for the flow.
		sr := en.server
		pk.st.removeEntry(pk.flow, en)
		if sr.cfg.Out {
			pk.fromFabric(nil)
			return
		}
		if !pk.opensFlow() {
			// The remote entry may be outdated: all candidates have to be probed.
			pk.relay.Rank = jppacket.RankDirect
		}
		pk.handleUnknownAt(sr)
		return
	}
	en.callerSeen = nowMs
	if !pk.opensFlow() || pk.hd.Protocol != protocolTCP {
		en.flags |= flagRemoteConfirmed
	}
	if pk.hd.Flags&(jppacket.FIN|jppacket.RST) != 0 {
		en.flags |= flagCallerFIN
	}
	pk.toOwner(en.server, jppacket.RelayForward, jppacket.RankDirect, 0)
}

// handleUnknownAt handles a packet of an unknown flow for an owned server.
func (pk *packetContext) handleUnknownAt(sr *server) {
	switch {
	case pk.opensFlow() && pk.hd.Protocol == protocolTCP && pk.hd.PayloadLength > 0:
		// Without TCP Fast Open, no request data is sent before the handshake
		// completes, so a refused handshake never carried a request.
		pk.drop(DropSYNPayload)
	case pk.opensFlow() && pk.service.removedVersion != 0:
		pk.drop(DropNoService)
	case pk.opensFlow():
		pk.offer(sr)
	default:
		pk.search(sr)
	}
}

// noteRemote records the server to whose owner the flow is relayed.
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

// position returns the index of a server among the candidates, or 0 if it is not
// one of them.
func position(list []*server, sr *server) int {
	return max(slices.Index(list, sr), 0)
}
