package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpflow"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jptable"
)

// Limits on the state of one instance, in the units given.
const (
	MaxFlows            = 1 << 20      // entries of all kinds
	maxHalfOpen         = 1 << 16      // entries whose handshake is not complete
	maxRemote           = MaxFlows / 2 // remote entries; the rest is reserved for flows of owned servers
	remoteHighWater     = MaxFlows / 8 // remote entries above which unconfirmed ones expire early
	maxHeldPackets      = 4096         // packets held while their flow is placed or located
	maxRetryPackets     = 2048         // held packets above which SYNs are not kept for a retry
	maxRemovedAddresses = 64           // service addresses removed from the settings that may still have flows
	maxPreviousSets     = 4            // previous server sets of one service address
	maxMovedPerSecond   = 20           // Moved messages sent per second
	softCapRanks        = 4            // ranks that a new flow is offered to under the soft cap
	maxCandidates       = 12           // ranks that a new flow is offered to at most
	maxOldLoadHops      = 8            // hops up to which a waiting flow is relayed because of an old load report
)

// Timeouts and intervals.
const (
	settleTime           = 2 * time.Second        // after a takeover, until the server's flows are known; see design section 2.5
	refuseDelay          = 2 * settleTime         // no refusals after an owner change or an instance's death, which reduce the room
	handoverTime         = 300 * time.Millisecond // for the new owner to learn of the change
	halfOpenTimeout      = 5 * time.Second        // expiry of a SYN whose handshake is not completed
	synAnswerTimeout     = time.Second            // a SYN unanswered for this long counts against the server
	locateProbeInterval  = 300 * time.Millisecond // between probes that locate a flow
	locateProbeTries     = 3
	idleProbeInterval    = 2 * time.Second // length of a round of probes of an idle flow
	idleProbeTries       = 3
	closedTimeout        = 5 * time.Second        // expiry of the entry of an ended flow, which handles late packets
	remoteTimeout        = 10 * time.Minute       // expiry of an idle remote entry
	secondSYNTimeout     = 5 * time.Second        // within which a caller retransmits its dropped SYN
	staleAfter           = 500 * time.Millisecond // age above which the first packet of a flow is dropped
	denialDelay          = 5 * time.Second        // from the first denial of a flow to its reset; settings propagate within 4 s
	denialTimeout        = time.Minute            // expiry of a denial
	holdTimeout          = 800 * time.Millisecond // wait of a new flow for room; below the callers' first SYN retransmission timeout
	loadMaxAge           = 3 * time.Second        // age above which a load reported by a peer is ignored
	pauseThreshold       = 750 * time.Millisecond // time between ticks above which the process counts as paused
	maxConfirmationLapse = 500 * time.Millisecond // time without confirmation after which another instance may own the server
	stableAfter          = 10 * time.Second       // time without membership changes before entries can be complete; settings propagate within 4 s
	udpIdleTimeout       = 60 * time.Second       // expiry of an idle UDP flow
)

// Steerer makes the forwarding decisions of one instance. See the package documentation.
type Steerer struct {
	self                string
	epoch               time.Time // zero of the times in flow entries
	version             uint64
	appliedAt           time.Time       // when the settings of that version were applied
	tables              *jptable.Tables // rank tables of the current settings
	services            map[serviceKey]*service
	byName              map[string]*service
	servers             []*server // of all services, sorted by id
	assignmentSeq       uint64    // number of owner assignments so far
	view                jpmember.View
	members             *jptable.Members // members of view, indexed by data centre
	hasView             bool
	dataCentre          string    // of this instance
	membersStableSince  time.Time // when partitioned or the set of alive instances of the data centre last changed
	lastDeathAt         time.Time // when an instance was last found dead; the network fabric sent it packets until then
	partitioned         bool      // no instance of some data centre is reachable
	settingsBehindUntil time.Time // until then a peer is known to have newer settings
	lastTick            time.Time
	resumedAt           time.Time // end of the last pause of this process or of the last partition
	flows               *jpflow.Table[jppacket.Flow, flowEntry]
	peakEntries         int             // largest number of entries so far
	header              jppacket.Header // of the packet in HandlePacket; kept here to avoid an allocation
	halfOpenEntries     int             // entries in that phase
	remoteEntries       int             // entries in that phase
	heldPackets         map[jppacket.Flow]*heldPacket
	waitingFlows        []jppacket.Flow             // new flows waiting for room, in order of arrival
	droppedSYNs         map[jppacket.Flow]time.Time // expiry of new flows whose first SYN was dropped for lack of room
	locatingFlows       []jppacket.Flow             // flows whose probes have not been answered
	probedFlows         []probedFlow                // open flows whose probes may have to be resent
	deniedSince         map[jppacket.Flow]time.Time // when all servers first denied a flow
	confirmedUntil      map[string]time.Time
	movedSent           int
	movedWindowEnds     time.Time
}

// serviceKey is the address, port and protocol of a service.
type serviceKey struct {
	address  [4]byte
	port     uint16
	protocol uint8
}

// heldPacket is a copy of a packet that is held until its flow is placed or located.
type heldPacket struct {
	inner   []byte
	relay   jppacket.Relay
	until   time.Time // when to give up waiting for room
	nextTry time.Time // next probe
	tries   int
	waiting bool // a new flow that waits for room
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
		pk.flow = hd.FlowFromCaller()
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
		pk.flow = hd.FlowFromServer()
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

// isStale reports whether the packet waited in the instance's socket for so long that
// its sender has retransmitted it, or is about to, if the handshake still needs it.
func (pkt *Packet) isStale(now time.Time) bool {
	return !pkt.Arrived.IsZero() && now.Sub(pkt.Arrived) > staleAfter
}

// serverAddress returns the address of the server that sent a packet.
func serverAddress(pkt Packet) netip.Addr {
	if pkt.Relay.Kind == jppacket.RelayReply {
		return pkt.Relay.Server
	}
	return pkt.Outer
}

// packetContext is a packet being processed, with the outcomes so far.
type packetContext struct {
	st        *Steerer
	now       time.Time
	hd        *jppacket.Header
	flow      jppacket.Flow
	service   *service
	inner     []byte
	relay     jppacket.Relay
	refusedBy *server // server that has just refused this handshake, not offered it again
	out       []Outcome
}

func (pk *packetContext) drop(reason Reason) {
	pk.out = append(pk.out, Outcome{Kind: Drop, Reason: reason, Service: pk.service.cfg.Name})
}

// record adds a timeline event about a server to the outcomes.
func (pk *packetContext) record(event Reason, sr *server) {
	pk.out = append(pk.out, Outcome{Kind: Record, Reason: event, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
}

func (pk *packetContext) toServer(sr *server) {
	pk.out = append(pk.out, Outcome{Kind: ToServer, Packet: pk.inner, Server: sr.cfg.Address})
}

func (pk *packetContext) toCaller() {
	pk.out = append(pk.out, Outcome{Kind: ToCaller, Packet: pk.inner})
}

// toOwner relays the packet to the instance that owns the server.
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
