package jpdispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// simPlay selects what a simulation plays besides the faults of all runs.
type simPlay struct {
	routes bool // manifests add and remove routes
	peers  bool // instances get their directories from each other
	late   bool // entries of restarted servers arrive late, those of others lapse
	copies bool // SYNs are repeated, and several servers accept them
	ports  bool // callers reuse the ports of flows that they have closed
	writes bool // another writer overwrites entries of servers and adds false ones

	copiesElsewhere bool // copies of SYNs take other ways
}

// playState is the state of what simPlay selects. It has random numbers of its own,
// so that seeds play the same without it.
type playState struct {
	playRng       *rand.Rand
	routes        []netip.AddrPort // of the store's latest manifest
	droppedRoutes []netip.AddrPort
	version       uint64
	nextManifest  time.Time
	nextLapse     time.Time
	nextWrite     time.Time // of another writer
	usedPorts     []usedPort
}

func newPlayState(seed uint64) playState {
	return playState{
		playRng: rand.New(rand.NewPCG(seed, 7)), routes: []netip.AddrPort{route}, nextManifest: at(3000), nextLapse: at(3000),
		nextWrite: at(3000),
	}
}

func (sm *simulation) randomTime(low, high int) time.Duration {
	return time.Duration(low+sm.playRng.IntN(high-low)) * time.Millisecond
}

// runPlay does what is due of that which simPlay selects.
func (sm *simulation) runPlay() {
	if sm.play.routes && sm.storeUp() && !sm.now.Before(sm.nextManifest) {
		sm.nextManifest = sm.now.Add(sm.randomTime(500, 4000))
		sm.changeRoutes()
	}
	if sm.play.late && !sm.now.Before(sm.nextLapse) {
		sm.nextLapse = sm.now.Add(sm.randomTime(1000, 6000))
		sm.lapseEntry()
	}
	if sm.play.writes && sm.storeUp() && !sm.now.Before(sm.nextWrite) {
		sm.nextWrite = sm.now.Add(sm.randomTime(300, 3000))
		sm.writeFalseEntry()
	}
	if sm.play.ports && sm.playRng.IntN(4) == 0 {
		sm.closeFlow()
	}
}

// changeRoutes writes a manifest that has a new route, lacks one or has one again.
func (sm *simulation) changeRoutes() {
	switch kind := sm.playRng.IntN(3); {
	case kind == 0 && len(sm.routes) > 1:
		ix := 1 + sm.playRng.IntN(len(sm.routes)-1)
		sm.droppedRoutes = append(sm.droppedRoutes, sm.routes[ix])
		sm.routes = slices.Delete(sm.routes, ix, ix+1)
	case kind == 1 && len(sm.droppedRoutes) > 0:
		sm.routes = append(sm.routes, sm.droppedRoutes[0])
		sm.droppedRoutes = sm.droppedRoutes[1:]
	default:
		sm.routes = append(sm.routes, netip.AddrPortFrom(route.Addr(), uint16(1000+sm.version)))
	}
	sm.putManifest()
	for _, fl := range sm.flows {
		fl.routeDropped = fl.routeDropped || !slices.Contains(sm.routes, fl.packet.Route)
	}
}

func (sm *simulation) putManifest() {
	sm.version++
	sm.note("store: version %d", sm.version)
	mf := &jpdirectory.Manifest{
		Version: sm.version, IdleTimeout: 15 * time.Second,
		Services: []jpdirectory.Service{{Name: "desk", MaxFlows: 2000, ColdTime: 2 * time.Second}, {Name: "catalogue", MaxFlows: 2000}},
	}
	for _, address := range sm.routes {
		mf.Routes = append(mf.Routes, jpdirectory.Route{Address: address, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
	}
	sm.putRecord(jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Manifest: mf})
}

// pickRoute returns a route of the store's latest manifest, often the newest one.
func (sm *simulation) pickRoute() netip.AddrPort {
	if !sm.play.routes {
		return route
	}
	if sm.playRng.IntN(2) == 0 {
		return sm.routes[len(sm.routes)-1]
	}
	return sm.routes[sm.playRng.IntN(len(sm.routes))]
}

// note logs an event, for the trace of a failure.
func (sm *simulation) note(format string, args ...any) {
	sm.tb.Logf("%v: "+format, append([]any{sm.now.Sub(at(0))}, args...)...)
}

// describe returns the state of an instance that a failure depends on.
func (sm *simulation) describe(in *simInstance, fl *simFlow) string {
	text := fmt.Sprintf("instance %d, route %v, caller %v, tag %d, revision %v of %v, directory %v old, store up for %v, entry listed %t",
		slices.Index(sm.instances, in), fl.packet.Route.Port(), fl.packet.Caller.Port(), fl.packet.Tag, in.directory.Revision(), sm.revision,
		sm.now.Sub(in.currentAt), sm.now.Sub(in.Dispatcher.storeUpSince), fl.server.listed)
	if mf := in.directory.Manifest(); mf != nil {
		text += fmt.Sprintf(", version %d of %d", mf.Version, sm.version)
	}
	return text
}

// simRow is one kind of play.
type simRow struct {
	name string
	play simPlay
}

// simulateRows plays in addition to TestSimulation what the rows say, also with further
// seeds.
func simulateRows(t *testing.T, rows []simRow, further ...uint64) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for _, seed := range simSeedList(further) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { newSimulation(t, seed, row.play).run() })
			}
		})
	}
}

// Guards against open flows that are reset by instances whose directories are older
// than a route, or come from peers.
func TestSimulationOfDirectories(t *testing.T) {
	simulateRows(t, []simRow{
		{"routes", simPlay{routes: true}},
		{"peers", simPlay{peers: true}},
	})
}

// Guards against the same with both together.
func TestSimulationOfRoutesAndPeers(t *testing.T) {
	simulateRows(t, []simRow{{"both", simPlay{routes: true, peers: true}}})
}

// Guards against open flows that are reset because their servers' entries come late.
func TestSimulationOfLateEntries(t *testing.T) {
	simulateRows(t, []simRow{{"late", simPlay{late: true}}})
}

// Guards against packets that go to another server which accepted a copy of the SYN.
func TestSimulationOfCopies(t *testing.T) {
	simulateRows(t, []simRow{
		{"same instance", simPlay{copies: true}},
		{"other instances", simPlay{copies: true, copiesElsewhere: true}},
	})
}

// Guards against packets that go to the server of an earlier flow from the same port.
func TestSimulationOfPorts(t *testing.T) {
	simulateRows(t, []simRow{{"ports", simPlay{ports: true}}})
}

// Guards against open flows that are reset because of entries of another writer.
func TestSimulationOfWriters(t *testing.T) {
	simulateRows(t, []simRow{
		{"store", simPlay{writes: true}},
		{"peers", simPlay{writes: true, peers: true}},
	}, 331, 633) // took a directory for current because peers' statuses had waited on their way
}
