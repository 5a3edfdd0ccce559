package jpdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpplacement"
	"jacinthpass/core/jpspeed"
)

const (
	// answerTimeout is how long a packet may wait for its answer before a
	// retransmission of it counts as a sign of failure. Callers retransmit after
	// 200 ms.
	answerTimeout = 150 * time.Millisecond

	// handshakeTimeout is how long after a SYN the next packet of its flow may
	// take before the server is suspected. A handshake takes 4 ms.
	handshakeTimeout = 20 * time.Millisecond

	// avoidDuration is how long a server that did not answer a SYN gets no new
	// flows while others can take them.
	avoidDuration = time.Second

	// checkInterval is the minimum time between a successful check of a server
	// and the next one. A busy server delays answers for longer than callers wait
	// before they retransmit, so retransmissions alone would trigger many checks.
	checkInterval = time.Second

	// silentCheckInterval is the time between two checks of a silent server in
	// this instance's data centre, remoteSilentCheckInterval that in another one.
	// The latter is longer because the servers of a data centre that is cut off
	// are checked by all instances of all others.
	silentCheckInterval       = 1500 * time.Millisecond
	remoteSilentCheckInterval = 4 * silentCheckInterval

	// unreachableThreshold is the number of servers of another data centre of which
	// checks time out, with no sign of life in between, before the data centre is
	// taken to be cut off. cutEvidenceTTL is for how long after the last one.
	unreachableThreshold = 3
	cutEvidenceTTL       = 5 * time.Second

	// refusalCheckInterval is the minimum time between two checks that refused
	// flows lead to, for each service.
	refusalCheckInterval = 200 * time.Millisecond

	// checkersPerServer is the number of instances of a data centre that check a
	// silent server at the intervals above.
	checkersPerServer = 2

	// peerReportTTL is how long a peer's report on silent servers is kept: three
	// of the peer's report intervals.
	peerReportTTL = 1500 * time.Millisecond

	// inconclusiveCheckDelay is the time between an inconclusive check and the
	// next one. It is longer than a congested link takes to recover from an update
	// of the directory.
	inconclusiveCheckDelay = 500 * time.Millisecond

	// overdueCheckDelay is how late the check of a silent server may be before
	// this instance must have been paused: two ticks.
	overdueCheckDelay = 200 * time.Millisecond

	// registrationDelay is how long a server that has started may take to write its
	// entry to the store: two of its heartbeats, which are less than a second
	// apart, and the time that a write may take to have its effect when the store's
	// responses are lost.
	registrationDelay = 8 * time.Second

	// contradictionHold is how long a server gets no new flows after an entry that
	// contradicts the one before. A server rewrites its entry within a second; a change
	// takes up to 2 s from the store to an instance.
	contradictionHold = 3 * time.Second

	// peerLoadTTL is how long a load that a peer reported counts: three of the
	// peer's report intervals.
	peerLoadTTL = 1500 * time.Millisecond
)

// server holds this instance's state of one backend server.
type server struct {
	cfg              jpdirectory.Server
	tag              uint32
	arrival          uint64 // position in the order in which servers have come
	present          bool
	local            bool // in this instance's data centre; set for the servers of services
	arrivedAt        time.Time
	answeredAt       time.Time          // latest answer that a caller's packet has shown
	contested        bool               // another present server names its address, and neither is replaced
	replaced         bool               // another server has accepted a flow at its address
	heldUntil        time.Time          // no new flows before, see contradictionHold
	successor        *server            // the process that its entry describes after it, at the same address
	endedAt          time.Time          // if there is a successor: flows first seen before this time stay
	leftAt           time.Time          // when this instance learned that it left the directory
	lastListedAt     time.Time          // latest time at which the directory was known to contain it; set when it leaves
	dataCentreBackAt time.Time          // when its data centre came back into service
	activeFlows      int                // flows of this instance that count as load
	requests         int                // flows of this instance with a request that has no response yet
	requestSum       int                // of requests, over the samples since the last report
	begun            int                // requests of this instance since the last sample, not in recent yet
	begunSum         int                // requests of this instance since the last report, without begun
	recent           jpplacement.Recent // requests of this instance and its peers
	pool             *pool              // that counts requests, nil if none does
	trackedFlows     int                // flow table entries of this instance
	heldFlows        int                // of these, those that have not ended
	peerLoads        map[string]peerLoad
	peerSum          peerLoad // sum of peerLoads; expires is at most their first expiry

	aliveAt         time.Time // latest evidence that it is alive
	synAt           time.Time // first SYN since then, zero if none
	avoidUntil      time.Time
	stuckFlows      int         // flows whose requests are overdue
	failureExpiries []time.Time // for each request given up by its caller, when it stops counting
	reportedFailing bool        // as last reported by FailingChanges
	checkFailedAt   time.Time   // latest failed check
	silent          bool        // a check failed and it was not seen alive since: flows are reset, new ones go to other servers
	checking        bool        // a check is running
	inconclusive    bool        // the latest check was inconclusive and the server was not seen alive since
	nextCheckAt     time.Time
	coldSince       time.Time // when it was last treated as newly cold
	speed           jpspeed.Estimate
	loggedSlowness  float64   // as last reported by SpeedChanges, 0 if never
	nextColdAt      time.Time // earliest next flow from this instance while it is cold
}

// peerLoad is what a peer reported of a server.
type peerLoad struct {
	flows, held int // as in Load
	requests    float64
	expires     time.Time
}

func newServer(cfg jpdirectory.Server) *server {
	return &server{cfg: cfg, tag: tagOf(cfg.Number), present: true, peerLoads: map[string]peerLoad{}}
}

// tagOf returns the tag of a server, which is its number or, if that exceeds 32
// bits, a hash of it. All instances thus derive the same tag without
// communicating.
func tagOf(number uint64) uint32 {
	if number <= math.MaxUint32 {
		return uint32(number)
	}
	var data [8]byte
	for ix := range data {
		data[ix] = byte(number >> (8 * ix))
	}
	return uint32(xxhash.Sum64(data[:]))
}

// markLeft records that the directory no longer contains the server's entry.
func (sr *server) markLeft(now, currentAt time.Time) {
	sr.present = false
	sr.leftAt = now
	sr.lastListedAt = currentAt
}

// listedWithin reports whether the directory has contained the server's entry within a
// time before now.
func (sr *server) listedWithin(now time.Time, age time.Duration) bool {
	return sr.present || now.Sub(sr.leftAt) < age
}

// describedBy reports whether an entry describes this server process. A start that is
// not known matches any, because another writer may leave it out.
func (sr *server) describedBy(cfg jpdirectory.Server) bool {
	sameStart := sr.cfg.Started.Equal(cfg.Started) || sr.cfg.Started.IsZero() || cfg.Started.IsZero()
	return sameStart && sr.cfg.Address == cfg.Address
}

// update applies a further entry of this server process.
func (sr *server) update(cfg jpdirectory.Server) {
	if cfg.Started.IsZero() {
		cfg.Started = sr.cfg.Started
	}
	sr.cfg = cfg
	sr.present = true
}

// setSuccessor records that the server has restarted at its address, at the earliest
// registrationDelay before the directory was last known to contain the old process. A
// flow opened since then may belong to either process; the server itself resets flows
// that it doesn't know.
func (sr *server) setSuccessor(next *server) {
	sr.successor, sr.endedAt = next, sr.lastListedAt.Add(-registrationDelay)
}

// silentFor reports whether the server is known not to answer a flow that this
// instance first saw at firstSeenAt: a check since then has failed, and the next
// check is not overdue, as it is after a pause of this instance.
func (sr *server) silentFor(now, firstSeenAt time.Time) bool {
	return sr.silent && !firstSeenAt.After(sr.checkFailedAt) && now.Before(sr.nextCheckAt.Add(overdueCheckDelay))
}

// noteAlive records that the server is alive.
func (sr *server) noteAlive(now time.Time) {
	sr.aliveAt = now
	sr.synAt = time.Time{}
	sr.silent = false
	sr.inconclusive = false
	sr.avoidUntil = time.Time{}
}

// load returns the load of the server in flows, as seen by this instance and
// reported by its peers.
func (sr *server) load(now time.Time) int {
	return sr.localLoad(now) + sr.peers(now).flows
}

// peers returns the sum of the loads that peers reported.
func (sr *server) peers(now time.Time) peerLoad {
	if len(sr.peerLoads) > 0 && !now.Before(sr.peerSum.expires) {
		sr.sumPeerLoads(now)
	}
	return sr.peerSum
}

// setPeerLoad sets the load that a peer reported.
func (sr *server) setPeerLoad(now time.Time, peer string, load Load) {
	previous := sr.peerLoads[peer]
	ld := peerLoad{flows: load.Flows, held: load.Held, requests: load.Requests, expires: now.Add(peerLoadTTL)}
	if len(sr.peerLoads) == 0 {
		sr.peerSum.expires = ld.expires
	}
	sr.peerSum.flows += ld.flows - previous.flows
	sr.peerSum.held += ld.held - previous.held
	sr.peerSum.requests += ld.requests - previous.requests
	sr.peerLoads[peer] = ld
}

// sumPeerLoads removes the expired loads of peers and adds up the others.
func (sr *server) sumPeerLoads(now time.Time) {
	sr.peerSum = peerLoad{expires: now.Add(peerLoadTTL)}
	for peer, ld := range sr.peerLoads {
		if !now.Before(ld.expires) {
			delete(sr.peerLoads, peer)
			continue
		}
		sr.peerSum.flows += ld.flows
		sr.peerSum.held += ld.held
		sr.peerSum.requests += ld.requests
		if ld.expires.Before(sr.peerSum.expires) {
			sr.peerSum.expires = ld.expires
		}
	}
}

// turnCold records that the server may have just become cold. While it is cold,
// this instance sends it no flow before its turn.
func (sr *server) turnCold(now time.Time) {
	sr.coldSince, sr.nextColdAt = now, time.Time{}
}

// cold reports whether the server can take only few new flows: during its slow
// start, and for the service's cold time after its data centre came back.
func (sr *server) cold(now time.Time, sc *service) bool {
	return now.Before(sr.cfg.WarmAt) || now.Before(sr.dataCentreBackAt.Add(sc.cfg.ColdTime))
}

// Load is the load that one instance puts on a server, and what it observes of it.
type Load struct {
	Tag      uint32          // of the server
	Flows    int             // active flows plus the weight of unanswered requests
	Held     int             // all flows, idle ones included
	Requests float64         // mean number of requests without a response since the last report
	Begun    int             // requests begun since the last report
	Speed    jpspeed.Summary // of its responses since the last report
}

// Loads returns the loads that this instance reports to its peers, in order of
// the tags. Observations are returned once.
func (ds *Dispatcher) Loads() []Load {
	var list []Load
	for _, sr := range ds.servers {
		ld := Load{
			Tag: sr.tag, Flows: sr.localLoad(ds.lastTick), Held: sr.heldFlows,
			Requests: sr.takeMeanRequests(ds.requestSamples), Begun: sr.takeBegun(),
			Speed: sr.speed.TakeSummary(),
		}
		if sr.present && ld != (Load{Tag: sr.tag}) {
			list = append(list, ld)
		}
	}
	ds.requestSamples = 0
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Tag, b.Tag) })
	return list
}

// HandleLoads stores the loads that a peer of the data centre reported.
func (ds *Dispatcher) HandleLoads(now time.Time, peer string, loads []Load) {
	for _, ld := range loads {
		if sr := ds.serversByTag[ld.Tag]; sr != nil {
			if sc := ds.services[sr.cfg.Service]; sc != nil && ld.Held > sc.cfg.MaxFlows {
				ld.Held = 0 // the server would not hold them
			}
			sr.setPeerLoad(now, peer, ld)
			sr.recent.Add(now, ld.Begun)
			sr.speed.AddReport(now, peer, ld.Speed)
		}
	}
	ds.reportRequests(now, peer, loads)
}
