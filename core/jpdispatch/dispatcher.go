package jpdispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpflow"
	"jacinthpass/core/jpspeed"
)

const (
	// maxFlows bounds the flow table. At 144 bytes a flow it takes 9 MB, under
	// a tenth of the smallest instance's memory.
	maxFlows = 64 << 10

	// tagRetention is how long packets with the tag of a server that left the
	// directory are still forwarded to it. No flow on the platform lives longer.
	tagRetention = 60 * time.Second

	// maxDirectoryAge is the age of the directory above which a missing route
	// causes a drop instead of a reset. A watch on the store returns at least
	// every 2 s, and a change takes up to 1 s from one instance to the next.
	maxDirectoryAge = 4 * time.Second
)

// FlowKey identifies a flow by the addresses and ports of its two ends.
type FlowKey struct {
	CallerAddr, RouteAddr [4]byte
	CallerPort, RoutePort uint16
}

func keyOf(pk Packet) FlowKey {
	return FlowKey{
		CallerAddr: pk.Caller.Addr().As4(), CallerPort: pk.Caller.Port(),
		RouteAddr: pk.Route.Addr().As4(), RoutePort: pk.Route.Port(),
	}
}

func (fk FlowKey) caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(fk.CallerAddr), fk.CallerPort)
}

func (fk FlowKey) route() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(fk.RouteAddr), fk.RoutePort)
}

// Dispatcher holds the flow table and the server state of one instance. It is
// not safe for concurrent use.
type Dispatcher struct {
	dataCentre     string
	position       Position
	peerReports    map[string]silentReport // by id of the peer
	hasManifest    bool
	earlyServers   map[uint32]Endpoint // by tag; until there is a manifest, see ApplyEarly
	currentAt      time.Time           // latest time at which the directory was known to be up to date
	storeUpSince   time.Time           // start of the store's current uninterrupted availability
	idleTimeout    time.Duration
	routes         map[netip.AddrPort]*jpdirectory.Route
	services       map[string]*service
	splits         map[netip.AddrPort]split   // by address of the route
	spills         map[string]*spill          // by names of the services
	servers        map[string]*server         // by id
	former         map[string][]*server       // earlier processes of servers by id, latest last
	arrivals       uint64                     // servers that have come so far
	serversByTag   map[uint32]*server         // includes servers that left the directory
	addressOwners  map[netip.AddrPort]*server // see assignAddresses
	dataCentresOut map[string]bool            // by name of the data centre
	flows          *jpflow.Table[FlowKey, flow]
	cutEvidence    map[string]cutEvidence // by data centre
	unknownTags    map[uint32]time.Time   // first packet with the tag, by tag
	routelessFlows map[FlowKey]time.Time  // first packet of an open flow whose route is not known
	usualTimes     map[usualKey]*jpspeed.Usual
	nextSpeeds     time.Time // next update of the beliefs about servers' speeds
	admission      admission
	lastTick       time.Time
	nextExpiry     time.Time
	observedAt     time.Time // latest call of Observe
	observedDay    time.Time // time of day of that call
	requestSamples int       // see sampleRequests
	evidenceSince  time.Time // observations of servers before this time are ignored
}

type service struct {
	cfg     jpdirectory.Service
	ranks   []int     // priorities of the routes with a latency target, in order
	servers []*server // of this instance's data centre first
	local   int       // number of servers in this instance's data centre
	pool    *pool

	learnsSpeed bool
	unheard     float64 // instances that use the servers, over those that report to this one; see queueing
}

// New returns the dispatcher of an instance in a data centre.
func New(dataCentre string) *Dispatcher {
	return &Dispatcher{
		dataCentre:     dataCentre,
		position:       Position{Count: 1, LocalCount: 1},
		peerReports:    map[string]silentReport{},
		routes:         map[netip.AddrPort]*jpdirectory.Route{},
		services:       map[string]*service{},
		servers:        map[string]*server{},
		former:         map[string][]*server{},
		serversByTag:   map[uint32]*server{},
		addressOwners:  map[netip.AddrPort]*server{},
		dataCentresOut: map[string]bool{},
		flows:          jpflow.New[FlowKey, flow](maxFlows),
		cutEvidence:    map[string]cutEvidence{},
		unknownTags:    map[uint32]time.Time{},
		routelessFlows: map[FlowKey]time.Time{},
		usualTimes:     map[usualKey]*jpspeed.Usual{},
		admission:      admission{gates: map[string]*gate{}, waiters: map[FlowKey]*waiter{}},
	}
}

// Apply applies changed records of the directory, in order of revision. It must
// be called before SetFreshness reports the state that includes them.
func (ds *Dispatcher) Apply(now time.Time, records []jpdirectory.Record) {
	if len(records) == 0 {
		return
	}
	reassign := false
	// The entry of a server counts only if the manifest has its service.
	for _, rc := range records {
		if rc.Key.Kind == jpdirectory.ManifestRecord {
			ds.applyManifest(rc.Manifest)
			reassign = true
		}
	}
	for _, rc := range records {
		switch rc.Key.Kind {
		case jpdirectory.ServerRecord:
			reassign = ds.applyServer(now, rc.Key.Name, rc.Server) || reassign
		case jpdirectory.DataCentreOutRecord:
			ds.applyDataCentreOut(now, rc.Key.Name, rc.DataCentreOut)
		}
	}
	if reassign {
		ds.assignServers()
	}
	for _, sc := range ds.services {
		sc.pool.refreshAt = time.Time{} // its servers may drain or be out
	}
}

// ApplyEarly applies the servers among records that were read before the manifest, and
// reports whether there are any. Packets of open flows are forwarded to them; all else
// waits for the manifest. The records have to be applied again with it.
func (ds *Dispatcher) ApplyEarly(records []jpdirectory.Record) bool {
	if ds.hasManifest {
		return false
	}
	ds.earlyServers = map[uint32]Endpoint{}
	for _, rc := range records {
		if rc.Server != nil {
			sr := newServer(*rc.Server)
			ds.earlyServers[sr.tag] = sr.endpoint()
		}
	}
	return len(ds.earlyServers) > 0
}

// MustHold reports whether a packet has to wait for the manifest.
func (ds *Dispatcher) MustHold(pk Packet) bool {
	_, known := ds.earlyServers[pk.Tag]
	return !ds.hasManifest && (pk.Flags&SYN != 0 || !known)
}

// SetFreshness sets the latest time at which the directory was up to date, and
// the time since which the store has been available without interruption.
func (ds *Dispatcher) SetFreshness(currentAt, storeUpSince time.Time) {
	ds.currentAt, ds.storeUpSince = currentAt, storeUpSince
}

// Position is the position of an instance among the live ones. It divides work between
// instances that can't always communicate: new flows to cold servers among all of
// them, checks of silent servers among those of a data centre.
type Position struct {
	Rank, Count           int // among all live instances; the rank starts at 0
	LocalRank, LocalCount int // among those of the instance's data centre
}

// SetPosition sets the position of this instance.
func (ds *Dispatcher) SetPosition(ps Position) {
	ds.position = ps
	ds.position.Count, ds.position.LocalCount = max(ps.Count, 1), max(ps.LocalCount, 1)
}

func (ds *Dispatcher) applyManifest(mf *jpdirectory.Manifest) {
	if mf == nil {
		return
	}
	ds.hasManifest, ds.earlyServers = true, nil
	ds.idleTimeout = mf.IdleTimeout
	clear(ds.routes)
	for ix := range mf.Routes {
		ds.routes[mf.Routes[ix].Address] = &mf.Routes[ix]
	}
	services := map[string]*service{}
	for _, cfg := range mf.Services {
		sc := &service{cfg: cfg, pool: &pool{}}
		if previous := ds.services[cfg.Name]; previous != nil {
			sc.pool = previous.pool
		}
		services[cfg.Name] = sc
	}
	ds.services = services
	ds.applyLearning()
	ds.rankPriorities()
	ds.assignSplits(mf)
}

// applyDataCentreOut sets whether a data centre is out of service. When it
// comes back, its servers are treated as cold.
func (ds *Dispatcher) applyDataCentreOut(now time.Time, name string, out bool) {
	wasOut := ds.dataCentresOut[name]
	ds.dataCentresOut[name] = out
	if !wasOut || out {
		return
	}
	for _, sr := range ds.servers {
		if sr.cfg.DataCentre == name {
			sr.dataCentreBackAt = now
			sr.turnCold(now)
		}
	}
}

// applyServer applies the entry of a server, or its removal. It reports whether the
// servers of services may have changed. An entry may come from another writer, so it
// ends no flows: those of an earlier process with the id are judged by the absence of
// that process's entry, and it may come back.
func (ds *Dispatcher) applyServer(now time.Time, id string, cfg *jpdirectory.Server) (reassign bool) {
	previous := ds.servers[id]
	if cfg == nil {
		if previous != nil {
			// If it was not present before, its entry has been there in between,
			// so its absence starts again.
			previous.markLeft(now, ds.currentAt)
		}
		return previous != nil
	}
	sr := ds.knownProcess(previous, *cfg)
	switch {
	case sr == nil:
		sr = newServer(*cfg)
		ds.arrivals++
		sr.arrival, sr.arrivedAt = ds.arrivals, now
		sr.turnCold(now)
		reassign = true
	case cfg.WarmAt.After(sr.cfg.WarmAt):
		sr.turnCold(now)
	}
	if previous != nil && previous.listedWithin(now, contradictionHold) && contradicts(*cfg, previous.cfg) {
		sr.heldUntil = now.Add(contradictionHold)
	}
	reassign = reassign || sr != previous || !sr.present || sr.cfg.Service != cfg.Service || sr.cfg.DataCentre != cfg.DataCentre
	if sr != previous {
		ds.replaceProcess(now, previous, sr)
	}
	sr.update(*cfg)
	return reassign
}

// knownProcess returns the server that an entry describes: the current process with
// its id, or an earlier one whose entry was overwritten. It returns nil for a new one.
func (ds *Dispatcher) knownProcess(current *server, cfg jpdirectory.Server) *server {
	if current == nil || current.describedBy(cfg) {
		return current
	}
	for _, sr := range ds.former[cfg.ID] {
		if sr.describedBy(cfg) {
			return sr
		}
	}
	return nil
}

// replaceProcess makes next the current process with its id, in place of previous, which
// may be nil.
func (ds *Dispatcher) replaceProcess(now time.Time, previous, next *server) {
	id := next.cfg.ID
	former := slices.DeleteFunc(ds.former[id], func(sr *server) bool { return sr == next })
	if previous != nil {
		if previous.present {
			previous.markLeft(now, ds.currentAt)
		}
		previous.successor = nil
		if previous.cfg.Address == next.cfg.Address {
			previous.setSuccessor(next)
		}
		former = append(former, previous)
	}
	// If next is an earlier process, its entry was overwritten in the meantime: what came
	// after it was never a process, and the flows are its own.
	former = slices.DeleteFunc(former, func(sr *server) bool {
		if sr.arrival > next.arrival {
			sr.successor, sr.endedAt = next, time.Time{}
		}
		return sr.arrival > next.arrival
	})
	next.successor = nil
	ds.former[id] = former
	ds.servers[id] = next
	if other := ds.serversByTag[next.tag]; other == nil || !other.present || other.cfg.ID == id {
		ds.serversByTag[next.tag] = next
	}
	delete(ds.unknownTags, next.tag)
}

// contradicts reports whether an entry differs from the known one with its id in what
// does not change while a server process runs.
func contradicts(next, known jpdirectory.Server) bool {
	return next.Service != known.Service || next.DataCentre != known.DataCentre || known.Draining && !next.Draining
}

// assignServers rebuilds the list of present servers of each service.
func (ds *Dispatcher) assignServers() {
	for _, sc := range ds.services {
		sc.servers = sc.servers[:0]
	}
	ds.assignAddresses()
	for _, sr := range ds.servers {
		sc := ds.services[sr.cfg.Service]
		// A server whose tag belongs to another server gets no flows, because
		// their packets would be forwarded to the other one.
		if sr.present && sc != nil && ds.serversByTag[sr.tag] == sr && ds.addressOwners[sr.cfg.Address] == sr {
			sr.local = sr.cfg.DataCentre == ds.dataCentre
			sc.servers = append(sc.servers, sr)
		}
	}
	for _, sc := range ds.services {
		sc.sortServers()
		sc.pool.refreshAt = time.Time{}
	}
}

// assignAddresses finds the owner of each address. Of several present servers that name
// it, one may have ended without its entry having been removed, or have been named by
// another writer: the owner is the one that answers, and by default the one that came last.
func (ds *Dispatcher) assignAddresses() {
	clear(ds.addressOwners)
	for _, sr := range ds.servers {
		sr.contested = false
	}
	for _, sr := range ds.servers {
		if !sr.present || ds.services[sr.cfg.Service] == nil {
			continue
		}
		owner := ds.addressOwners[sr.cfg.Address]
		if owner == nil || sr.ownsBefore(owner) {
			ds.addressOwners[sr.cfg.Address] = sr
		}
		if owner != nil && !owner.replaced && !sr.replaced {
			owner.contested, sr.contested = true, true
		}
	}
}

// ownsBefore reports whether a server owns the address that it shares with another one.
func (sr *server) ownsBefore(other *server) bool {
	answers, otherAnswers := sr.answeredAt.After(other.arrivedAt), other.answeredAt.After(sr.arrivedAt)
	switch {
	case sr.replaced != other.replaced:
		return other.replaced
	case answers != otherAnswers:
		return answers
	}
	return sr.arrival > other.arrival
}

// noteAnswered records that a caller's packet shows an answer of the server. It may be
// older than it looks if the flow's earlier packets came to other instances.
func (ds *Dispatcher) noteAnswered(now time.Time, sr *server) {
	ds.noteAlive(now, sr)
	owner := ds.addressOwners[sr.cfg.Address]
	news := sr.contested && owner != nil && !sr.answeredAt.After(owner.arrivedAt)
	sr.answeredAt = now
	if news {
		ds.assignServers()
	}
}

// noteAccepted records that a server has accepted a flow whose SYN this instance sent to
// it at a time. So it has run at its address since then, and no other server that was known
// by then does.
func (ds *Dispatcher) noteAccepted(now, sentAt time.Time, sr *server) {
	ds.noteAnswered(now, sr)
	if !sr.contested && !sr.replaced {
		return
	}
	sr.replaced = false
	for _, other := range ds.servers {
		if other != sr && other.cfg.Address == sr.cfg.Address && sentAt.After(other.arrivedAt) {
			other.replaced = true
		}
	}
	ds.assignServers()
}

// addressTaken reports whether the address of a server belongs to another one.
func (ds *Dispatcher) addressTaken(sr *server) bool {
	owner := ds.addressOwners[sr.cfg.Address]
	return owner != nil && owner != sr
}

// sortServers sorts the servers by data centre, this instance's first, and id.
func (sc *service) sortServers() {
	slices.SortFunc(sc.servers, func(a, b *server) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cfg.ID, b.cfg.ID)
	})
	sc.local = sort.Search(len(sc.servers), func(ix int) bool { return !sc.servers[ix].local })
}

// endpoint returns the identity and address that packets to the server carry.
func (sr *server) endpoint() Endpoint {
	return Endpoint{ID: sr.cfg.ID, Tag: sr.tag, Number: sr.cfg.Number, Address: sr.cfg.Address}
}

// Stats holds counts of the flows and servers that an instance knows.
type Stats struct {
	Flows   int
	Waiting int // new flows that wait for room
	Servers int
	Silent  int // servers that failed a check and were not seen alive since
	Failing int // servers with unanswered requests
	Slow    int // servers believed to be slower than the others of their service
}

// Stats returns the current counts. Only servers in the directory are counted.
func (ds *Dispatcher) Stats() Stats {
	stats := Stats{Flows: ds.flows.Len(), Waiting: ds.Waiting()}
	for _, sr := range ds.servers {
		if !sr.present {
			continue
		}
		stats.Servers++
		if sr.silent {
			stats.Silent++
		}
		if sr.reportedFailing {
			stats.Failing++
		}
		if sr.speed.Slowness() > 1 {
			stats.Slow++
		}
	}
	return stats
}
