package jpdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jpdirectory"
)

const (
	// answerTime is how long a packet waits for its answer before a repetition
	// of it counts: callers repeat after 200 ms.
	answerTimeout = 150 * time.Millisecond

	// openWait is how long a SYN waits for the next packet of its flow before
	// the server is in doubt: several times the 4 ms of a handshake.
	handshakeTimeout = 20 * time.Millisecond

	// avoidTime is how long a server that gave no answer to a SYN is left to
	// other flows, before it is tried again.
	avoidDuration = time.Second

	// checkGap separates two checks of a server that answered the first one. A
	// busy server delays answers for longer than callers wait before they
	// repeat a request.
	checkInterval = time.Second

	// recheckGap separates two checks of a silent server of the own data
	// centre, remoteRecheckGap those of another one: a data centre that is cut
	// off would be checked by all instances of all others.
	silentCheckInterval       = 1500 * time.Millisecond
	remoteSilentCheckInterval = 4 * silentCheckInterval

	// overdueTime after the moment for the next check, this instance must have
	// stood still: two ticks.
	overdueCheckDelay = 200 * time.Millisecond

	// writeTime is how long a server that has started takes to write its entry:
	// two of its heartbeats, which are less than a second apart.
	registrationDelay = 2 * time.Second

	// loadTime is how long a load that a peer told counts: three of its
	// intervals.
	peerLoadTTL = 1500 * time.Millisecond
)

// server is what this instance knows of one backend server.
type server struct {
	cfg              jpdirectory.Server
	tag              uint32
	present          bool
	replaced         bool      // another server has its address
	successor        *server   // the same one after a restart
	endedAt          time.Time // of a restarted one: earlier flows ended with it
	leftAt           time.Time // when it left the directory
	lastListedAt     time.Time // last moment at which it was known to be in the directory, once it left
	dataCentreBackAt time.Time // when its data centre came back
	activeFlows      int       // active flows of this instance
	trackedFlows     int       // flows that this instance remembers
	peerLoads        map[string]peerLoad

	aliveAt         time.Time // last sign of life
	synAt           time.Time // first SYN since then, zero if none
	avoidUntil      time.Time
	stuckFlows      int         // flows whose requests have waited for long
	failureExpiries []time.Time // ends of the time for which given up requests count
	reportedFailing bool        // as last told in Judgements
	checkFailedAt   time.Time   // latest check that failed
	silent          bool        // a check failed: flows are reset, new ones go elsewhere
	checking        bool
	nextCheckAt     time.Time
	coldSince       time.Time // when it was last known to turn cold
	nextColdAt      time.Time // when this instance may send it the next flow while it is cold
}

type peerLoad struct {
	flows   int
	expires time.Time
}

func newServer(cfg jpdirectory.Server) *server {
	return &server{cfg: cfg, tag: tagOf(cfg.Number), present: true, peerLoads: map[string]peerLoad{}}
}

// tagOf returns the tag of a server. Numbers that fit are their own tags, so
// that all instances agree without a word between them.
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

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.cfg.ID, b.cfg.ID) })
}

func (sr *server) markLeft(now, current time.Time) {
	if sr.present {
		sr.present = false
		sr.leftAt = now
		sr.lastListedAt = current
	}
}

// restart notes that the server has started again under its id, at its address.
// When it was last known to be in the directory it had not, or only just. What
// was opened since then may belong to either process; the server resets what it
// lacks.
func (sr *server) setSuccessor(next *server) {
	sr.successor, sr.endedAt = next, sr.lastListedAt.Add(-registrationDelay)
}

// silentFor tells whether the server is known not to answer a flow that began at
// a moment: a check since then failed, and the next one is not overdue because
// this instance stood still.
func (sr *server) silentFor(now, begun time.Time) bool {
	return sr.silent && !begun.After(sr.checkFailedAt) && now.Before(sr.nextCheckAt.Add(overdueCheckDelay))
}

// alive notes a sign of life.
func (sr *server) noteAlive(now time.Time) {
	sr.aliveAt = now
	sr.synAt = time.Time{}
	sr.silent = false
	sr.avoidUntil = time.Time{}
}

// load returns the flows of the server that this instance and its peers know.
func (sr *server) load(now time.Time) int {
	sum := sr.localLoad(now)
	for peer, ld := range sr.peerLoads {
		if !now.Before(ld.expires) {
			delete(sr.peerLoads, peer)
			continue
		}
		sum += ld.flows
	}
	return sum
}

// turnCold notes that the server may just have turned cold. Until its next turn,
// this instance sends it nothing while it is cold.
func (sr *server) turnCold(now time.Time) {
	sr.coldSince, sr.nextColdAt = now, time.Time{}
}

// cold tells whether the server bears only a little.
func (sr *server) cold(now time.Time, sc *service) bool {
	return now.Before(sr.cfg.WarmAt) || now.Before(sr.dataCentreBackAt.Add(sc.cfg.ColdTime))
}

// Load is the load of a server at one instance.
type Load struct {
	Tag   uint32 // of the server
	Flows int    // active ones, and those that its failures count for
}

// Loads returns the loads of the servers for peers.
func (ds *Dispatcher) Loads() []Load {
	var list []Load
	for _, sr := range ds.servers {
		if flows := sr.localLoad(ds.lastTick); sr.present && flows > 0 {
			list = append(list, Load{Tag: sr.tag, Flows: flows})
		}
	}
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Tag, b.Tag) })
	return list
}

// HandleLoads takes over the loads that a peer told.
func (ds *Dispatcher) HandleLoads(now time.Time, peer string, loads []Load) {
	for _, ld := range loads {
		if sr := ds.serversByTag[ld.Tag]; sr != nil {
			sr.peerLoads[peer] = peerLoad{flows: ld.Flows, expires: now.Add(peerLoadTTL)}
		}
	}
}
