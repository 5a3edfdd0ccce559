package jpdispatch

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpflow"
)

const (
	// maxFlows bounds the flow table. At 136 bytes a flow it takes 9 MB, under
	// a tenth of the smallest instance's memory.
	maxFlows = 64 << 10

	// tagTime is how long the tag of a server that left the directory still
	// leads to it. No flow is older than that on the platform.
	tagRetention = 60 * time.Second

	// currentTime is how old the directory may be for a packet to be refused
	// because a route is missing: a watch on the store ends at least every 2 s,
	// and news takes up to 1 s from one instance to the next.
	maxDirectoryAge = 4 * time.Second
)

// FlowKey names a flow by its two ends.
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

// Dispatcher holds what one instance knows of flows and servers. It is not safe
// for concurrent use.
type Dispatcher struct {
	dataCentre     string
	instances      int // that may send to a cold server
	rank           int // of this instance among them
	hasManifest    bool
	currentAt      time.Time // moment at which the directory was up to date
	steadySince    time.Time // since when the store has answered without a break
	idleTimeout    time.Duration
	routes         map[netip.AddrPort]*jpdirectory.Route
	services       map[string]*service
	servers        map[string]*server // by id
	serversByTag   map[uint32]*server // also of servers that left
	dataCentresOut map[string]bool    // data centres
	flows          *jpflow.Table[FlowKey, flow]
	unknownTags    map[uint32]time.Time // unknown tags: when they may be judged
	lastTick       time.Time
	evidenceSince  time.Time // earlier observations of servers do not count
}

type service struct {
	cfg     jpdirectory.Service
	servers []*server
}

// New returns the dispatcher of an instance in a data centre.
func New(dataCentre string) *Dispatcher {
	return &Dispatcher{
		dataCentre:     dataCentre,
		instances:      1,
		routes:         map[netip.AddrPort]*jpdirectory.Route{},
		services:       map[string]*service{},
		servers:        map[string]*server{},
		serversByTag:   map[uint32]*server{},
		dataCentresOut: map[string]bool{},
		flows:          jpflow.New[FlowKey, flow](maxFlows),
		unknownTags:    map[uint32]time.Time{},
	}
}

// Apply takes over changed records of the directory, in order of revision. It is
// called before SetCurrent tells that the directory is newer.
func (ds *Dispatcher) Apply(now time.Time, records []jpdirectory.Record) {
	if len(records) == 0 {
		return
	}
	for _, rc := range records {
		switch rc.Key.Kind {
		case jpdirectory.ManifestRecord:
			ds.applyManifest(rc.Manifest)
		case jpdirectory.ServerRecord:
			ds.applyServer(now, rc.Key.Name, rc.Server)
		case jpdirectory.DataCentreOutRecord:
			ds.applyDataCentreOut(now, rc.Key.Name, rc.DataCentreOut)
		}
	}
	ds.assignServers()
}

// SetCurrent notes how fresh the directory is: the moment at which it was up to
// date, and since when that has been so without a break.
func (ds *Dispatcher) SetFreshness(current, steady time.Time) {
	ds.currentAt, ds.steadySince = current, steady
}

// SetInstances sets the number of live instances, which take turns in sending
// flows to a cold server, and the rank of this one among them.
func (ds *Dispatcher) SetInstances(rank, count int) {
	ds.rank, ds.instances = rank, max(count, 1)
}

func (ds *Dispatcher) applyManifest(mf *jpdirectory.Manifest) {
	if mf == nil {
		return
	}
	ds.hasManifest = true
	ds.idleTimeout = mf.IdleTimeout
	clear(ds.routes)
	for ix := range mf.Routes {
		ds.routes[mf.Routes[ix].Address] = &mf.Routes[ix]
	}
	services := map[string]*service{}
	for _, sc := range mf.Services {
		services[sc.Name] = &service{cfg: sc}
	}
	ds.services = services
}

// applyOut notes that a data centre is out or back. Its servers come back cold.
func (ds *Dispatcher) applyDataCentreOut(now time.Time, name string, out bool) {
	was := ds.dataCentresOut[name]
	ds.dataCentresOut[name] = out
	if !was || out {
		return
	}
	for _, sr := range ds.servers {
		if sr.cfg.DataCentre == name {
			sr.dataCentreBackAt = now
			sr.turnCold(now)
		}
	}
}

func (ds *Dispatcher) applyServer(now time.Time, id string, cfg *jpdirectory.Server) {
	previous := ds.servers[id]
	if cfg == nil {
		if previous != nil {
			previous.markLeft(now, ds.currentAt)
		}
		return
	}
	if previous != nil && previous.cfg.Started.Equal(cfg.Started) && previous.cfg.Address == cfg.Address {
		if cfg.WarmAt.After(previous.cfg.WarmAt) {
			previous.turnCold(now)
		}
		previous.cfg = *cfg
		previous.present = true
		return
	}
	sr := newServer(*cfg)
	sr.turnCold(now)
	ds.replace(now, previous, sr)
	ds.servers[id] = sr
	if other := ds.serversByTag[sr.tag]; other == nil || !other.present || other.cfg.ID == id {
		ds.serversByTag[sr.tag] = sr
	}
	delete(ds.unknownTags, sr.tag)
}

// replace notes that a server has started in the place of others: under the id
// of one, or at its address.
func (ds *Dispatcher) replace(now time.Time, previous, next *server) {
	if previous != nil {
		previous.markLeft(now, ds.currentAt)
		previous.replaced = true
		if previous.cfg.Address == next.cfg.Address && previous.tag == next.tag {
			previous.setSuccessor(next)
		}
	}
	for _, sr := range ds.servers {
		if sr.cfg.Address == next.cfg.Address {
			sr.markLeft(now, ds.currentAt)
			sr.replaced = true
		}
	}
}

// group assigns the present servers to their services.
func (ds *Dispatcher) assignServers() {
	for _, sc := range ds.services {
		sc.servers = sc.servers[:0]
	}
	for _, sr := range ds.servers {
		sc := ds.services[sr.cfg.Service]
		// A server whose tag another one has cannot take flows.
		if sr.present && sc != nil && ds.serversByTag[sr.tag] == sr {
			sc.servers = append(sc.servers, sr)
		}
	}
	for _, sc := range ds.services {
		sortServers(sc.servers)
	}
}

// endpoint returns how packets address a server.
func (sr *server) endpoint() Endpoint {
	return Endpoint{ID: sr.cfg.ID, Tag: sr.tag, Number: sr.cfg.Number, Address: sr.cfg.Address}
}

// Stats are sums over the flows and servers that an instance knows.
type Stats struct {
	Flows   int
	Servers int
	Silent  int // servers that answer nobody
	Failing int // servers that leave requests without an answer
}

// Stats returns the present sums.
func (ds *Dispatcher) Stats() Stats {
	stats := Stats{Flows: ds.flows.Len()}
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
	}
	return stats
}
