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
	MaxFlows      = 1 << 20      // entries of all kinds
	maxHalfOpen   = 1 << 16      // entries without a completed handshake
	maxMoved      = MaxFlows / 2 // moved entries; the rest is for flows of owned servers
	crowdedMoved  = MaxFlows / 8 // moved entries, above which those of single packets expire early
	maxHeld       = 4096         // packets held while a flow is placed or located
	maxRetried    = 2048         // of maxHeld, handshakes kept for a retry
	maxGone       = 64           // service addresses that left the settings and may still have flows
	maxBefore     = 4            // earlier sets of servers of one service address
	maxTold       = 20           // moved messages sent in a second
	firstPass     = 4            // ranks that the soft cap is tried on
	maxCandidates = 12           // ranks that a new flow is offered to
	maxOffered    = 8            // hops of a waiting flow that goes on for old news of a load
)

// Timeouts of the steering.
const (
	settleAfter     = 2 * time.Second        // see design section 2.5
	refuseAfter     = 2 * settleAfter        // from a change of owners or a death, which leave less room for a while
	handoverTime    = 300 * time.Millisecond // for the new owner to learn that it is one
	halfOpenTimeout = 5 * time.Second        // SYN without a completed handshake
	synAnswer       = time.Second            // a SYN not answered by then counts against the server
	probeInterval   = 300 * time.Millisecond // between probes that locate a flow
	probeTries      = 3
	idleInterval    = 2 * time.Second // between probes of a silent flow
	idleTries       = 3
	closedLinger    = 5 * time.Second        // entry of an ended flow, for late packets
	movedTimeout    = 10 * time.Minute       // idle moved entry
	secondSYN       = 5 * time.Second        // in which a caller's second SYN is expected
	staleAfter      = 500 * time.Millisecond // age at which a new flow's first packet is dropped
	denyAfter       = 5 * time.Second        // from the first denial to the reset; settings spread in 4 s
	deniedTimeout   = time.Minute            // note of a denial
	holdTimeout     = 800 * time.Millisecond // below the callers' first retransmission of a SYN
	loadTrust       = 3 * time.Second        // age at which a peer's load is ignored
	pauseLimit      = 750 * time.Millisecond // between ticks; above it the process was paused
	lapseLimit      = 500 * time.Millisecond // without a confirmation, after which another owner is possible
	steadyAfter     = 10 * time.Second       // unchanged members for a complete record; settings spread in 4 s
	udpTimeout      = 60 * time.Second       // idle UDP flow
)

// Steerer decides what happens to each packet that one instance receives.
type Steerer struct {
	self        string
	epoch       time.Time // zero point of the entries' clocks
	version     uint64
	applied     time.Time       // when the settings of that version came
	tables      *jptable.Tables // of the settings in force
	services    map[serviceKey]*service
	byName      map[string]*service
	servers     []*server // of all services, by id
	assigned    uint64    // counts assignments of owners
	view        jpmember.View
	members     *jptable.Members // of view
	viewed      bool
	dataCentre  string    // of this instance
	steady      time.Time // when the alive instances of the data centre, or partitioned, last changed
	died        time.Time // when an instance was last found dead; the fabric sent it packets until then
	partitioned bool      // a whole data centre is not heard
	behind      time.Time // until then a peer's settings are known to be newer
	lastTick    time.Time
	resumed     time.Time // end of the last pause of this process or partition
	flows       *jpflow.Table[jppacket.Flow, entry]
	peak        int             // largest number of entries so far
	header      jppacket.Header // of the packet in HandlePacket, kept here to save an allocation
	halfOpen    int             // entries in that phase
	moved       int             // entries in that phase
	held        map[jppacket.Flow]*heldPacket
	waiting     []jppacket.Flow             // new flows without room, in order of arrival
	dropped     map[jppacket.Flow]time.Time // new flows that found no room once, until when that counts
	locating    []jppacket.Flow             // flows with a probe on the way
	repeated    []repeat                    // open flows with unanswered probes
	denied      map[jppacket.Flow]time.Time // when all servers first denied a flow
	confirms    map[string]time.Time
	told        int
	toldEnds    time.Time
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
		self:     self,
		members:  jptable.NewMembers(nil, nil),
		epoch:    now,
		services: map[serviceKey]*service{},
		byName:   map[string]*service{},
		flows:    jpflow.New[jppacket.Flow, entry](MaxFlows),
		held:     map[jppacket.Flow]*heldPacket{},
		dropped:  map[jppacket.Flow]time.Time{},
		denied:   map[jppacket.Flow]time.Time{},
		confirms: map[string]time.Time{},
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
	pk := passage{st: st, now: now, hd: hd, inner: pkt.Inner, relay: pkt.Relay, out: out}
	if sv := st.services[serviceKey{hd.Destination, hd.DestinationPort, hd.Protocol}]; sv != nil {
		pk.flow = hd.FlowFromCaller()
		pk.service = sv
		if pk.opens() && pkt.waited(now) {
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
		if hd.Flags&jppacket.SYN != 0 && pkt.waited(now) {
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
func (pkt *Packet) waited(now time.Time) bool {
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
type passage struct {
	st      *Steerer
	now     time.Time
	hd      *jppacket.Header
	flow    jppacket.Flow
	service *service
	inner   []byte
	relay   jppacket.Relay
	refused *server // refused this handshake just now
	out     []Outcome
}

func (pk *passage) drop(why Reason) {
	pk.out = append(pk.out, Outcome{Kind: Drop, Reason: why, Service: pk.service.cfg.Name})
}

// record adds an event of the time line about a server.
func (pk *passage) record(what Reason, sr *server) {
	pk.out = append(pk.out, Outcome{Kind: Record, Reason: what, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
}

func (pk *passage) toServer(sr *server) {
	pk.out = append(pk.out, Outcome{Kind: ToServer, Packet: pk.inner, Server: sr.cfg.Address})
}

func (pk *passage) toCaller() {
	pk.out = append(pk.out, Outcome{Kind: ToCaller, Packet: pk.inner})
}

// toOwner relays the packet to the owner of a server that is not ours.
func (pk *passage) toOwner(sr *server, kind jppacket.RelayKind, rank, flags uint8) {
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
