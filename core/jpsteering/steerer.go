package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpflow"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jptable"
)

// Limits on what one instance keeps.
const (
	MaxFlows            = 1 << 20      // entries of all kinds
	maxHalfOpen         = 1 << 16      // entries without a completed handshake
	maxRemote           = MaxFlows / 2 // moved entries; the rest is for flows of owned servers
	remoteHighWater     = MaxFlows / 8 // moved entries, above which those of single packets expire early
	maxHeldPackets      = 4096         // packets held while a flow is placed or located
	maxRetryPackets     = 2048         // of maxHeld, handshakes kept for a retry
	maxRemovedAddresses = 64           // service addresses that left the settings and may still have flows
	maxPreviousSets     = 4            // earlier sets of servers of one service address
	maxMovedPerSecond   = 20           // moved messages sent in a second
	softCapRanks        = 4            // ranks that the soft cap is tried on
	maxCandidates       = 12           // ranks that a new flow is offered to
	maxOldLoadHops      = 8            // hops of a waiting flow that goes on for old news of a load
)

// Timeouts of the steering.
const (
	settleTime           = 2 * time.Second        // see design section 2.5
	refuseDelay          = 2 * settleTime         // from a change of owners or a death, which leave less room for a while
	handoverTime         = 300 * time.Millisecond // for the new owner to learn that it is one
	halfOpenTimeout      = 5 * time.Second        // SYN without a completed handshake
	synAnswerTimeout     = time.Second            // a SYN not answered by then counts against the server
	locateProbeInterval  = 300 * time.Millisecond // between probes that locate a flow
	locateProbeTries     = 3
	idleProbeInterval    = 2 * time.Second // between probes of a silent flow
	idleProbeTries       = 3
	closedTimeout        = 5 * time.Second        // entry of an ended flow, for late packets
	remoteTimeout        = 10 * time.Minute       // idle moved entry
	secondSYNTimeout     = 5 * time.Second        // in which a caller's second SYN is expected
	staleAfter           = 500 * time.Millisecond // age at which a new flow's first packet is dropped
	denialDelay          = 5 * time.Second        // from the first denial to the reset; settings spread in 4 s
	denialTimeout        = time.Minute            // note of a denial
	holdTimeout          = 800 * time.Millisecond // below the callers' first retransmission of a SYN
	loadMaxAge           = 3 * time.Second        // age at which a peer's load is ignored
	pauseThreshold       = 750 * time.Millisecond // between ticks; above it the process was paused
	maxConfirmationLapse = 500 * time.Millisecond // without a confirmation, after which another owner is possible
	stableAfter          = 10 * time.Second       // unchanged members for a complete record; settings spread in 4 s
	udpIdleTimeout       = 60 * time.Second       // idle UDP flow
)

// Steerer decides what happens to each packet that one instance receives.
type Steerer struct {
	self                string
	epoch               time.Time // zero point of the entries' clocks
	version             uint64
	appliedAt           time.Time       // when the settings of that version came
	tables              *jptable.Tables // of the settings in force
	services            map[serviceKey]*service
	byName              map[string]*service
	servers             []*server // of all services, by id
	assignmentSeq       uint64    // counts assignments of owners
	view                jpmember.View
	members             *jptable.Members // of view
	hasView             bool
	dataCentre          string    // of this instance
	membersStableSince  time.Time // when the alive instances of the data centre, or partitioned, last changed
	lastDeathAt         time.Time // when an instance was last found dead; the fabric sent it packets until then
	partitioned         bool      // a whole data centre is not heard
	settingsBehindUntil time.Time // until then a peer's settings are known to be newer
	lastTick            time.Time
	resumedAt           time.Time // end of the last pause of this process or partition
	flows               *jpflow.Table[jppacket.Flow, flowEntry]
	peakEntries         int             // largest number of entries so far
	header              jppacket.Header // of the packet in HandlePacket, kept here to save an allocation
	halfOpenEntries     int             // entries in that phase
	remoteEntries       int             // entries in that phase
	heldPackets         map[jppacket.Flow]*heldPacket
	waitingFlows        []jppacket.Flow             // new flows without room, in order of arrival
	droppedSYNs         map[jppacket.Flow]time.Time // new flows that found no room once, until when that counts
	locatingFlows       []jppacket.Flow             // flows with a probe on the way
	probedFlows         []probedFlow                // open flows with unanswered probes
	deniedSince         map[jppacket.Flow]time.Time // when all servers first denied a flow
	confirmedUntil      map[string]time.Time
	movedSent           int
	movedWindowEnds     time.Time
}

// serviceKey is the address that callers use.
type serviceKey struct {
	address  [4]byte
	port     uint16
	protocol uint8
}

// heldPacket is a copy of a packet that waits for a decision about its flow.
type heldPacket struct {
	inner   []byte
	relay   jppacket.Relay
	until   time.Time // when to give up waiting
	nextTry time.Time // next probe
	tries   int
	waiting bool // for room
}

// New returns the Steerer of the instance self. It drops all packets until it
// has settings and a view of the membership.
func New(self string, now time.Time) *Steerer {
	return &Steerer{
		self:           self,
		members:        jptable.NewMembers(nil, nil),
		epoch:          now,
		services:       map[serviceKey]*service{},
		byName:         map[string]*service{},
		flows:          jpflow.New[jppacket.Flow, flowEntry](MaxFlows),
		heldPackets:    map[jppacket.Flow]*heldPacket{},
		droppedSYNs:    map[jppacket.Flow]time.Time{},
		deniedSince:    map[jppacket.Flow]time.Time{},
		confirmedUntil: map[string]time.Time{},
	}
}

// Flows returns the number of flow entries.
func (st *Steerer) Flows() int { return st.flows.Len() }

// HandlePacket decides on one packet and appends the outcomes to out.
func (st *Steerer) HandlePacket(now time.Time, pkt Packet, out []Outcome) []Outcome {
	if len(st.services) == 0 {
		return append(out, Outcome{Kind: Drop, Reason: DropSettings})
	}
	hd := &st.header
	if err := hd.Parse(pkt.Inner); err != nil {
		return append(out, Outcome{Kind: Drop, Reason: DropMalformed})
	}
	if pkt.Relay.Hops > jppacket.MaxHops {
		return append(out, Outcome{Kind: Drop, Reason: DropHops})
	}
	pk := packetContext{st: st, now: now, hd: hd, inner: pkt.Inner, relay: pkt.Relay, out: out}
	if sv := st.services[serviceKey{hd.Destination, hd.DestinationPort, hd.Protocol}]; sv != nil {
		pk.flow = hd.FromCaller()
		pk.service = sv
		if pk.opensFlow() && pkt.isStale(now) {
			pk.drop(DropStale)
			return pk.out
		}
		pk.fromCaller()
		return pk.out
	}
	key := serviceKey{hd.Source, hd.SourcePort, hd.Protocol}
	if sv := st.services[key]; sv != nil {
		pk.flow = hd.FromServer()
		pk.service = sv
		if hd.Flags&jppacket.SYN != 0 && pkt.isStale(now) {
			pk.drop(DropStale)
			return pk.out
		}
		pk.fromServer(serverAddress(pkt))
		return pk.out
	}
	return append(out, Outcome{Kind: Drop, Reason: DropNoService})
}

// waited tells whether the packet was in the instance's socket for so long that
// its sender has sent it again, or is about to, if the handshake still needs it.
func (pkt *Packet) isStale(now time.Time) bool {
	return !pkt.Arrived.IsZero() && now.Sub(pkt.Arrived) > staleAfter
}

// serverAddress is the server that a reply came from.
func serverAddress(pkt Packet) netip.Addr {
	if pkt.Relay.Kind == jppacket.RelayReply {
		return pkt.Relay.Server
	}
	return pkt.Outer
}

// passage is one packet on its way through the Steerer.
type packetContext struct {
	st        *Steerer
	now       time.Time
	hd        *jppacket.Header
	flow      jppacket.Flow
	service   *service
	inner     []byte
	relay     jppacket.Relay
	refusedBy *server // refused this handshake just now
	out       []Outcome
}

func (pk *packetContext) drop(why Reason) {
	pk.out = append(pk.out, Outcome{Kind: Drop, Reason: why, Service: pk.service.cfg.Name})
}

// record adds an event of the time line about a server.
func (pk *packetContext) record(what Reason, sr *server) {
	pk.out = append(pk.out, Outcome{Kind: Record, Reason: what, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
}

func (pk *packetContext) toServer(sr *server) {
	pk.out = append(pk.out, Outcome{Kind: ToServer, Packet: pk.inner, Server: sr.cfg.Address})
}

func (pk *packetContext) toCaller() {
	pk.out = append(pk.out, Outcome{Kind: ToCaller, Packet: pk.inner})
}

// toOwner relays the packet to the owner of a server that is not ours.
func (pk *packetContext) toOwner(sr *server, kind jppacket.RelayKind, rank, flags uint8) {
	if sr.owner == "" {
		pk.drop(DropNoOwner)
		return
	}
	pk.out = append(pk.out, Outcome{
		Kind: ToInstance, Packet: pk.inner, Instance: sr.owner,
		Relay: jppacket.Relay{
			Kind: kind, Rank: rank, Flags: flags,
			Hops: pk.relay.Hops + 1, Server: sr.cfg.Address.Addr(),
		},
	})
}
