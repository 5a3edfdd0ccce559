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
	answerTime = 150 * time.Millisecond

	// openWait is how long a SYN waits for the next packet of its flow before
	// the server is in doubt: several times the 4 ms of a handshake.
	openWait = 20 * time.Millisecond

	// avoidTime is how long a server that gave no answer to a SYN is left to
	// other flows, before it is tried again.
	avoidTime = time.Second

	// checkGap separates two checks of a server that answered the first one. A
	// busy server delays answers for longer than callers wait before they
	// repeat a request.
	checkGap = time.Second

	// recheckGap separates two checks of a silent server of the own data
	// centre, remoteRecheckGap those of another one: a data centre that is cut
	// off would be checked by all instances of all others.
	recheckGap       = 1500 * time.Millisecond
	remoteRecheckGap = 4 * recheckGap

	// overdueTime after the moment for the next check, this instance must have
	// stood still: two ticks.
	overdueTime = 200 * time.Millisecond

	// writeTime is how long a server that has started takes to write its entry:
	// two of its heartbeats, which are less than a second apart.
	writeTime = 2 * time.Second

	// loadTime is how long a load that a peer told counts: three of its
	// intervals.
	loadTime = 1500 * time.Millisecond
)

// server is what this instance knows of one backend server.
type server struct {
	cfg      jpdirectory.Server
	tag      uint32
	present  bool
	replaced bool      // another server has its address
	next     *server   // the same one after a restart
	endedAt  time.Time // of a restarted one: earlier flows ended with it
	leftAt   time.Time // when it left the directory
	listedAt time.Time // last moment at which it was known to be in the directory, once it left
	returned time.Time // when its data centre came back
	flows    int       // active flows of this instance
	entries  int       // flows that this instance remembers
	peers    map[string]peerLoad

	aliveAt    time.Time // last sign of life
	askedAt    time.Time // first SYN since then, zero if none
	avoidUntil time.Time
	stuck      int         // flows whose requests have waited for long
	failures   []time.Time // ends of the time for which given up requests count
	failing    bool        // as last told in Judgements
	silentAt   time.Time   // latest check that failed
	silent     bool        // a check failed: flows are reset, new ones go elsewhere
	checking   bool
	checkNext  time.Time
	coldFrom   time.Time // when it was last known to turn cold
	coldNext   time.Time // when this instance may send it the next flow while it is cold
}

type peerLoad struct {
	flows int
	until time.Time
}

func newServer(cfg jpdirectory.Server) *server {
	return &server{cfg: cfg, tag: tagOf(cfg.Number), present: true, peers: map[string]peerLoad{}}
}

// tagOf returns the tag of a server. Numbers that fit are their own tags, so
// that all instances agree without a word between them.
func tagOf(number uint64) uint32 {
	if number <= math.MaxUint32 {
		return uint32(number)
	}
	var text [8]byte
	for ix := range text {
		text[ix] = byte(number >> (8 * ix))
	}
	return uint32(xxhash.Sum64(text[:]))
}

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.cfg.ID, b.cfg.ID) })
}

func (sr *server) leave(now, current time.Time) {
	if sr.present {
		sr.present = false
		sr.leftAt = now
		sr.listedAt = current
	}
}

// restart notes that the server has started again under its id, at its address.
// When it was last known to be in the directory it had not, or only just. What
// was opened since then may belong to either process; the server resets what it
// lacks.
func (sr *server) restart(next *server) {
	sr.next, sr.endedAt = next, sr.listedAt.Add(-writeTime)
}

// silentFor tells whether the server is known not to answer a flow that began at
// a moment: a check since then failed, and the next one is not overdue because
// this instance stood still.
func (sr *server) silentFor(now, begun time.Time) bool {
	return sr.silent && !begun.After(sr.silentAt) && now.Before(sr.checkNext.Add(overdueTime))
}

// alive notes a sign of life.
func (sr *server) alive(now time.Time) {
	sr.aliveAt = now
	sr.askedAt = time.Time{}
	sr.silent = false
	sr.avoidUntil = time.Time{}
}

// load returns the flows of the server that this instance and its peers know.
func (sr *server) load(now time.Time) int {
	sum := sr.burden(now)
	for peer, ld := range sr.peers {
		if !now.Before(ld.until) {
			delete(sr.peers, peer)
			continue
		}
		sum += ld.flows
	}
	return sum
}

// turnCold notes that the server may just have turned cold. Until its next turn,
// this instance sends it nothing while it is cold.
func (sr *server) turnCold(now time.Time) {
	sr.coldFrom, sr.coldNext = now, time.Time{}
}

// cold tells whether the server bears only a little.
func (sr *server) cold(now time.Time, sc *service) bool {
	return now.Before(sr.cfg.WarmAt) || now.Before(sr.returned.Add(sc.cfg.ColdTime))
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
		if flows := sr.burden(ds.lastTick); sr.present && flows > 0 {
			list = append(list, Load{Tag: sr.tag, Flows: flows})
		}
	}
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Tag, b.Tag) })
	return list
}

// HandleLoads takes over the loads that a peer told.
func (ds *Dispatcher) HandleLoads(now time.Time, peer string, loads []Load) {
	for _, ld := range loads {
		if sr := ds.tags[ld.Tag]; sr != nil {
			sr.peers[peer] = peerLoad{flows: ld.Flows, until: now.Add(loadTime)}
		}
	}
}
