package jpsteering_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// simulation is a simulated platform: instances, backend servers, callers and the
// network between them, on a simulated clock.
type simulation struct {
	rt              *rapid.T
	rng             *rand.Rand // for the network, servers and callers; seeded by the test's input
	now             time.Time
	eventCounts     map[jpsteering.Reason]int
	dropCounts      map[jpsteering.Reason]int
	endCounts       map[string]int
	queue           eventQueue
	eventsScheduled int       // number of events so far, orders events that are due at the same time
	secondStart     time.Time // start of the second in which eventsInSecond is counted
	eventsInSecond  int
	dataCentres     int
	partitions      map[[2]int]bool // pairs of data centres that cannot reach each other, the lower number first
	lossPerMille    int             // lost packets per 1,000
	lastChange      time.Time       // when a fault last began or ended, or the settings last changed
	instances       []*simInstance
	servers         []*simServer
	callers         []*simCaller
	callerByFlow    map[jppacket.Flow]*simCaller
	services        []jpsettings.Service
	version         uint64
	latestSettings  *jpsettings.Tree
	oracle          *oracle
	traceLog        func(format string, args ...any)
}

// netLocation is the place in the network of an instance, server or caller.
type netLocation struct {
	dc       int
	isolated bool
}

type simEvent struct {
	at     time.Time
	order  int
	action func()
}

type eventQueue []simEvent

func (eq eventQueue) Len() int      { return len(eq) }
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq eventQueue) Less(i, j int) bool {
	return eq[i].at.Before(eq[j].at) || eq[i].at.Equal(eq[j].at) && eq[i].order < eq[j].order
}
func (eq *eventQueue) Push(ev any) { *eq = append(*eq, ev.(simEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

func (sim *simulation) trace(format string, args ...any) {
	if sim.traceLog != nil {
		sim.traceLog("%8.3f "+format, append([]any{sim.now.Sub(testStart).Seconds()}, args...)...)
	}
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.eventsScheduled++
	heap.Push(&sim.queue, simEvent{sim.now.Add(delay), sim.eventsScheduled, run})
}

func (sim *simulation) advance(dur time.Duration) {
	end := sim.now.Add(dur)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		ev := heap.Pop(&sim.queue).(simEvent)
		sim.now = ev.at
		sim.checkEventRate(ev.at)
		ev.action()
	}
	sim.now = end
}

// checkEventRate fails if there are too many events in a second, because packets
// multiply or are relayed in a loop.
func (sim *simulation) checkEventRate(now time.Time) {
	if now.Sub(sim.secondStart) >= time.Second {
		sim.secondStart, sim.eventsInSecond = now, 0
	}
	if sim.eventsInSecond++; sim.eventsInSecond > 30_000 {
		sim.oracle.fail("%d events in a second", sim.eventsInSecond)
	}
}

func (sim *simulation) reachable(from, to netLocation) bool {
	return !from.isolated && !to.isolated && !sim.partitions[[2]int{min(from.dc, to.dc), max(from.dc, to.dc)}]
}

// send delivers a packet after a random delay. Packets may be lost or duplicated.
func (sim *simulation) send(from, to netLocation, deliver func()) {
	if !sim.reachable(from, to) || sim.rng.IntN(1000) < sim.lossPerMille {
		return
	}
	copies := 1
	if sim.rng.IntN(200) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(500+sim.rng.IntN(1000)) * time.Microsecond
		if sim.rng.IntN(50) == 0 {
			delay *= 40
		}
		sim.schedule(delay, deliver)
	}
}

// sendViaFabric sends a packet to a random instance that the fabric regards as
// available. The fabric detects the failure of an instance after 2 s.
func (sim *simulation) sendViaFabric(from netLocation, pkt []byte, outer netip.Addr) {
	var known []*simInstance
	for _, in := range sim.instances {
		gone := (!in.running || in.isolated) && sim.now.Sub(in.unreachableSince) > 2*time.Second
		if in.listed && !in.withdrawn && !gone && sim.reachable(from, netLocation{dc: in.dc}) {
			known = append(known, in)
		}
	}
	if len(known) == 0 {
		return
	}
	in := known[sim.rng.IntN(len(known))]
	sim.send(from, in.location(), func() { in.receivePacket(jpsteering.Packet{Inner: pkt, Outer: outer}) })
}

// instanceList returns the platform's instance list.
func (sim *simulation) instanceList() (rows []jpmember.Listed) {
	for _, in := range sim.instances {
		if in.listed {
			rows = append(rows, jpmember.Listed{ID: in.id, DataCentre: dcName(in.dc)})
		}
	}
	return rows
}

// noteChange records that the platform changed. Until 15 s later, flows need not
// make progress.
func (sim *simulation) noteChange() { sim.lastChange = sim.now }

func (ms *simServer) address() netip.Addr {
	return netip.AddrFrom4([4]byte{127, 2, 1, byte(ms.num + 1)})
}

func (sim *simulation) serverAt(ad netip.Addr) *simServer { return sim.servers[ad.As4()[3]-1] }

func (sim *simulation) callerOf(fl jppacket.Flow) *simCaller { return sim.callerByFlow[fl] }

// isRequest reports whether a flow is one of a request service, 0 or 2.
func (sim *simulation) isRequest(fl jppacket.Flow) bool { return fl.ServicePort%2 == 0 }

var simLimits = jpsettings.Limits{
	Slots: 3, Connections: 12, ColdSlots: 1, ColdConnections: 2, ColdDuration: 4 * time.Second,
	IdleProbe: 6 * time.Second, RetryPercent: 10,
}

// newSimulation starts instances and servers in some data centres. Service 0 takes
// requests that must not be repeated and service 2 repeatable ones. Services 1 and 3
// are stream services.
func newSimulation(rt *rapid.T, dcs, insts, servers int, seed uint64) *simulation {
	sim := &simulation{
		rt: rt, rng: rand.New(rand.NewPCG(seed, 0)), now: testStart, dataCentres: dcs, partitions: map[[2]int]bool{},
		eventCounts: map[jpsteering.Reason]int{}, dropCounts: map[jpsteering.Reason]int{}, endCounts: map[string]int{},
		callerByFlow: map[jppacket.Flow]*simCaller{},
	}
	sim.oracle = newOracle(sim)
	for num := range 4 {
		sim.services = append(sim.services, jpsettings.Service{
			Name: fmt.Sprint("service", num), Protocol: jpsettings.TCP, Kind: jpsettings.Request, Repeatable: num == 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, 0, byte(num + 1)}), uint16(num)),
		})
	}
	sim.services[1].Kind, sim.services[3].Kind = jpsettings.Stream, jpsettings.Stream
	for num := range servers {
		sim.addServer(num%4, num/4%dcs)
	}
	sim.latestSettings = sim.buildSettings()
	for num := range insts {
		sim.instances = append(sim.instances, &simInstance{sim: sim, id: fmt.Sprint("i", num), dc: num % dcs, listed: true})
	}
	for _, in := range sim.instances {
		in.start()
	}
	sim.tickEndpoints()
	return sim
}

func (sim *simulation) addServer(service, dc int) {
	ms := &simServer{sim: sim, num: len(sim.servers), dc: dc, connByFlow: map[jppacket.Flow]*simConn{}}
	sim.servers = append(sim.servers, ms)
	sv := &sim.services[service]
	sv.Servers = append(sv.Servers, jpsettings.Server{
		Name: fmt.Sprint("s", ms.num), DataCentre: dcName(dc), Address: netip.AddrPortFrom(ms.address(), 5555), Limits: simLimits,
	})
}

// tickEndpoints runs the timers of servers and callers every 50 ms.
func (sim *simulation) tickEndpoints() {
	for _, ms := range sim.servers {
		ms.tick()
	}
	for _, cl := range sim.callers {
		cl.tick()
	}
	sim.oracle.checkProgress()
	sim.schedule(50*time.Millisecond, sim.tickEndpoints)
}

// buildSettings returns the services as a settings tree of the next version.
func (sim *simulation) buildSettings() *jpsettings.Tree {
	sim.version++
	tree := &jpsettings.Tree{Version: sim.version}
	for _, sv := range sim.services {
		sv.Servers = append([]jpsettings.Server(nil), sv.Servers...)
		tree.Services = append(tree.Services, sv)
	}
	previous := sim.latestSettings
	if previous == nil {
		previous = &jpsettings.Tree{}
	}
	tree.Former = jprollout.FormerServers(sim.now, previous, tree)
	sim.oracle.notePublished(tree)
	return tree
}

// publishSettings sends new settings to each instance after a random delay.
func (sim *simulation) publishSettings() {
	sim.noteChange()
	tree := sim.buildSettings()
	sim.latestSettings = tree
	for _, in := range sim.instances {
		process := in.process
		var deliver func()
		deliver = func() {
			if in.process != process || !in.running {
				return
			}
			if sim.now.Before(in.pausedUntil) || !sim.reachable(netLocation{}, in.location()) {
				sim.schedule(300*time.Millisecond, deliver)
				return
			}
			in.applySettings(tree)
			sim.noteChange()
		}
		sim.schedule(time.Duration(sim.rng.IntN(2500))*time.Millisecond, deliver)
	}
}

// startCall starts a caller of a service.
func (sim *simulation) startCall(service, dc int) *simCaller {
	num := len(sim.callers)
	fl := jppacket.Flow{
		Caller: [4]byte{192, 0, 2, byte(dc + 1)}, CallerPort: uint16(1024 + num), Protocol: 6,
		Service: [4]byte{10, 80, 0, byte(service + 1)}, ServicePort: uint16(service),
	}
	isn := sim.rng.Uint32()
	cl := &simCaller{
		sim: sim, dc: dc, started: sim.now, closeAt: sim.now.Add(time.Duration(2+sim.rng.IntN(40)) * time.Second), receiveOnly: service%2 == 1 && sim.rng.IntN(3) == 0,
		conn: &simConn{flow: fl, sndUna: isn, sndNxt: isn + 1, rto: simSYNTimeout, retransmitAt: sim.now.Add(simSYNTimeout)},
	}
	sim.callers = append(sim.callers, cl)
	sim.callerByFlow[fl] = cl
	cl.send(cl.conn.currentSegment())
	return cl
}
