package jpsteering

import (
	"slices"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

const (
	protocolTCP = uint8(jpsettings.TCP)
	maxFollow   = 6
)

// fromCaller decides on a packet on its way to a service.
func (pk *passage) fromCaller() {
	en := pk.st.flows.Get(pk.flow)
	target := pk.target()
	switch {
	case target == nil && pk.relay.Kind == jppacket.RelayForward && !pk.opens() && (en == nil || en.phase == phaseMoved):
		pk.searchUnknown(en)
	case target == nil:
		pk.fromFabric(en)
	case en != nil && en.phase != phaseMoved:
		pk.known(en)
	case !target.mine:
		// The sender's view of the owners differs from ours.
		pk.toOwner(target, jppacket.RelayForward, pk.relay.Rank, pk.relay.Flags)
	case en == nil:
		pk.at(target)
	case pk.follows() && !en.server.mine:
		pk.known(en)
	default:
		pk.st.remove(pk.flow, en)
		pk.at(target)
	}
}

// follows tells whether a relayed packet may follow a moved entry. Past
// maxFollow hops the entries of several instances may point in a circle.
func (pk *passage) follows() bool {
	if pk.relay.Flags != 0 {
		return false
	}
	return pk.relay.Rank == 0 || pk.relay.Rank == jppacket.RankDirect && pk.relay.Hops <= maxFollow
}

// target is the server that the sending instance chose, if there is one.
func (pk *passage) target() *server {
	if pk.relay.Kind != jppacket.RelayForward {
		return nil
	}
	return pk.service.find(pk.relay.Server)
}

// fromFabric handles a packet that no other instance has chosen a server for.
func (pk *passage) fromFabric(en *entry) {
	if en != nil {
		pk.known(en)
		return
	}
	home := pk.service.home(pk.flow)
	switch {
	case pk.opens() && pk.service.gone != 0:
		pk.drop(DropNoService)
	case home == nil && pk.opens():
		pk.refuse()
	case home == nil:
		pk.searchFrom(pk.service.candidates(pk.flow, true), 0)
	case home.mine:
		pk.at(home)
	default:
		pk.toOwner(home, jppacket.RelayForward, 0, 0)
	}
}

// opens tells whether the packet can be the first of its flow.
func (pk *passage) opens() bool {
	if pk.hd.Protocol != protocolTCP {
		return true
	}
	return pk.hd.Flags&(jppacket.SYN|jppacket.ACK|jppacket.RST) == jppacket.SYN
}

// known handles a packet of a flow that has an entry here.
func (pk *passage) known(en *entry) {
	st := pk.st
	now := st.clock(pk.now)
	if en.phase == phaseClosed && pk.opens() {
		if pk.late(en) {
			pk.drop(DropLateAnswer)
			return
		}
		st.remove(pk.flow, en)
		pk.fromCaller()
		return
	}
	if en.phase != phaseMoved && pk.relay.Kind == jppacket.RelayNone && !en.server.serves(pk.now) {
		st.forget(pk.flow, en)
		st.moveAway(en)
	}
	switch en.phase {
	case phaseMoved:
		pk.knownElsewhere(en, now)
	case phaseLocating:
		pk.waitLocated(en)
	default:
		pk.knownHere(en, now)
	}
}

// serves tells whether this instance is the server's owner, or was until so
// recently that the new owner may not know yet.
func (sr *server) serves(now time.Time) bool {
	return sr.mine || now.Before(sr.handover)
}

// knownHere passes a packet to the server that holds its flow.
func (pk *passage) knownHere(en *entry, now uint32) {
	st := pk.st
	if en.server.cfg.Out {
		st.remove(pk.flow, en)
		pk.endUnlocated()
		return
	}
	if pk.hd.Protocol == protocolTCP {
		if pk.opens() {
			if !pk.reopens(en) {
				return
			}
		} else if en.phase == phaseHalfOpen && pk.hd.Flags&jppacket.RST == 0 && !pk.completes(en) {
			return
		}
	}
	if en.phase == phaseClosed && !en.has(markOpened) && pk.hd.Protocol == protocolTCP && pk.hd.Flags&jppacket.RST == 0 {
		// The server has never confirmed the flow: another one may hold it.
		pk.searchAgain(en)
		return
	}
	if en.phase == phaseAdopted {
		st.setPhase(en, phaseOpen)
		en.probes = 0
	}
	st.trackCaller(now, en, pk.hd)
	if pk.relay.Hops > 2 {
		pk.tellHome(en)
	}
	pk.toServer(en.server)
}

// reopens tells whether a SYN of a known flow goes to the flow's server.
func (pk *passage) reopens(en *entry) bool {
	sr := en.server
	switch {
	case pk.hd.PayloadLength > 0:
		pk.drop(DropSYNPayload)
		return false
	case en.established() && pk.late(en):
		pk.drop(DropLateAnswer)
		return false
	case en.established() && (sr.cfg.Draining || !pk.service.has(sr)):
		// Either the caller opened a new flow, which the server must not get,
		// or the SYN is a late copy. Probes tell which.
		en.repeats = repeatsToProbe
		pk.drop(DropNoRoom)
		return false
	case en.phase == phaseHalfOpen && en.serverNext == 0 && pk.abandons(sr):
		sr.admission.Abandon(pk.now)
		pk.st.remove(pk.flow, en)
		pk.at(sr)
		return false
	case en.phase == phaseHalfOpen && en.serverNext != 0 && !pk.service.has(sr):
		// The server repeats its answer by itself. If it has restarted, a SYN
		// would open a flow of another service there.
		pk.drop(DropWaiting)
		return false
	}
	return true
}

// late tells whether a SYN is a late copy of the one that opened the flow.
func (pk *passage) late(en *entry) bool {
	behind := int32(pk.hd.Sequence - en.callerNext)
	return behind < 0 && behind > -maxWindow
}

// has tells whether the server is one of the service now.
func (sv *service) has(sr *server) bool { return slices.Contains(sv.lineup.servers, sr) }

// abandons tells whether a handshake that a server has not answered goes on
// with another one.
func (pk *passage) abandons(sr *server) bool {
	return !pk.service.has(sr) || !sr.admission.Responsive() && pk.service.retries()
}

// completes takes in the end of a handshake. A packet that does not acknowledge
// the SYN of the entry's server belongs to a handshake with another one: the
// SYN and its retransmission came to two servers while views differed.
func (pk *passage) completes(en *entry) bool {
	st := pk.st
	if en.serverNext != 0 && pk.hd.Flags&jppacket.ACK != 0 && pk.hd.Acknowledgement == en.serverNext {
		st.setPhase(en, phaseOpen)
		delete(st.held, pk.flow)
		return true
	}
	sr := en.server
	ahead := int32(pk.hd.Acknowledgement - en.serverNext)
	if en.serverNext != 0 && (ahead < 0 || ahead > maxWindow) {
		// Otherwise the handshake was completed through another instance.
		pk.out = append(pk.out, Outcome{Kind: ToServer, Server: sr.cfg.Address, Packet: resetForServer(pk.flow, en)})
	}
	pk.searchAgain(en)
	return false
}

// searchAgain looks for the flow of an entry whose server has not confirmed it,
// beginning with that server.
func (pk *passage) searchAgain(en *entry) {
	sr := en.server
	pk.st.remove(pk.flow, en)
	sr.complete = false // the entry may have replaced one of an ended flow
	pk.relay.Rank = jppacket.RankDirect
	pk.relay.Flags = 0
	pk.search(sr)
}

// knownElsewhere relays a packet to the owner of the server that holds its flow.
func (pk *passage) knownElsewhere(en *entry, now uint32) {
	if en.server.mine || en.server.cfg.Out {
		// The server became ours; whether it holds the flow has to be asked.
		sr := en.server
		pk.st.remove(pk.flow, en)
		if sr.cfg.Out {
			pk.fromFabric(nil)
			return
		}
		if !pk.opens() {
			// The note may be out of date: all candidates have to be asked.
			pk.relay.Rank = jppacket.RankDirect
		}
		pk.at(sr)
		return
	}
	en.callerSeen = now
	if !pk.opens() || pk.hd.Protocol != protocolTCP {
		en.marks |= markFollowed
	}
	if pk.hd.Flags&(jppacket.FIN|jppacket.RST) != 0 {
		en.marks |= markCallerFIN
	}
	pk.toOwner(en.server, jppacket.RelayForward, jppacket.RankDirect, 0)
}

// at handles a packet of an unknown flow at one of our own servers.
func (pk *passage) at(sr *server) {
	switch {
	case pk.opens() && pk.hd.Protocol == protocolTCP && pk.hd.PayloadLength > 0:
		// Without TCP fast open no request data travels before the handshake,
		// so that a refused handshake never carried a request.
		pk.drop(DropSYNPayload)
	case pk.opens() && pk.service.gone != 0:
		pk.drop(DropNoService)
	case pk.opens():
		pk.offer(sr)
	default:
		pk.search(sr)
	}
}

// noteElsewhere remembers where the flow was passed to.
func (pk *passage) noteElsewhere(sr *server) {
	en := pk.st.flows.Get(pk.flow)
	if en == nil {
		en = pk.st.add(pk.flow, sr, phaseMoved)
		if en == nil {
			return
		}
	}
	en.server = sr
	en.callerSeen = pk.st.clock(pk.now)
}

// position is the place of a server among the candidates, 0 if it is none.
func position(list []*server, sr *server) int {
	return max(slices.Index(list, sr), 0)
}
