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

// world is a simulated platform: instances, backend servers, callers and a
// network between them, on a fake clock.
type world struct {
	rt       *rapid.T
	rng      *rand.Rand // of the network and the ends; seeded by the test's input
	now      time.Time
	events   map[jpsteering.Reason]int
	drops    map[jpsteering.Reason]int
	ended    map[string]int
	queue    eventQueue
	count    int       // events so far, orders those of one moment
	second   time.Time // start of the second in which busyness counts events
	busyness int
	dcs      int
	cuts     map[[2]int]bool // partitions between data centres
	loss     int             // lost packets in 1,000
	calm     time.Time       // when the last fault began or ended
	insts    []*simInst
	servers  []*simServer
	callers  []*simCaller
	byFlow   map[jppacket.Flow]*simCaller
	model    []jpsettings.Service
	version  uint64
	tree     *jpsettings.Tree // latest settings
	oracle   *oracle
	verbose  func(format string, args ...any)
}

// place is where something is attached to the network.
type place struct {
	dc  int
	cut bool
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
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

func (w *world) trace(format string, args ...any) {
	if w.verbose != nil {
		w.verbose("%8.3f "+format, append([]any{w.now.Sub(start).Seconds()}, args...)...)
	}
}

func (w *world) after(delay time.Duration, run func()) {
	w.count++
	heap.Push(&w.queue, simEvent{w.now.Add(delay), w.count, run})
}

func (w *world) run(dur time.Duration) {
	end := w.now.Add(dur)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		ev := heap.Pop(&w.queue).(simEvent)
		w.now = ev.at
		w.storm(ev.at)
		ev.run()
	}
	w.now = end
}

// storm fails if packets multiply or go in circles.
func (w *world) storm(now time.Time) {
	if now.Sub(w.second) >= time.Second {
		w.second, w.busyness = now, 0
	}
	if w.busyness++; w.busyness > 30_000 {
		w.oracle.fail("%d events in a second", w.busyness)
	}
}

func (w *world) reach(from, to place) bool {
	return !from.cut && !to.cut && !w.cuts[[2]int{min(from.dc, to.dc), max(from.dc, to.dc)}]
}

// send delivers a packet late, twice or not at all.
func (w *world) send(from, to place, deliver func()) {
	if !w.reach(from, to) || w.rng.IntN(1000) < w.loss {
		return
	}
	copies := 1
	if w.rng.IntN(200) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(500+w.rng.IntN(1000)) * time.Microsecond
		if w.rng.IntN(50) == 0 {
			delay *= 40
		}
		w.after(delay, deliver)
	}
}

// fabric sprays a packet over the instances that it knows. It notices the death
// of an instance after 2 s.
func (w *world) fabric(from place, pkt []byte, outer netip.Addr) {
	var known []*simInst
	for _, in := range w.insts {
		gone := (!in.up || in.cut) && w.now.Sub(in.stopped) > 2*time.Second
		if in.listed && !in.withdraw && !gone && w.reach(from, place{dc: in.dc}) {
			known = append(known, in)
		}
	}
	if len(known) == 0 {
		return
	}
	in := known[w.rng.IntN(len(known))]
	w.send(from, in.place(), func() { in.packet(jpsteering.Packet{Inner: pkt, Outer: outer}) })
}

// list is the platform's instance list.
func (w *world) list() (rows []jpmember.Listed) {
	for _, in := range w.insts {
		if in.listed {
			rows = append(rows, jpmember.Listed{ID: in.id, DataCentre: dcName(in.dc)})
		}
	}
	return rows
}

// disturbed notes that the platform changed, for the checks of progress.
func (w *world) disturbed() { w.calm = w.now }

func (ms *simServer) address() netip.Addr {
	return netip.AddrFrom4([4]byte{127, 2, 1, byte(ms.num + 1)})
}

func (w *world) serverAt(ad netip.Addr) *simServer { return w.servers[ad.As4()[3]-1] }

func (w *world) callerOf(fl jppacket.Flow) *simCaller { return w.byFlow[fl] }

// isRequest tells whether a flow carries a request: those of services 0 and 2.
func (w *world) isRequest(fl jppacket.Flow) bool { return fl.ServicePort%2 == 0 }

var simLimits = jpsettings.Limits{
	Slots: 3, Connections: 12, ColdSlots: 1, ColdConnections: 2, ColdDuration: 4 * time.Second,
	IdleProbe: 6 * time.Second, RetryPercent: 10,
}

// newWorld starts instances and servers in some data centres. Service 0 takes
// requests that must not be repeated, 2 others, 1 and 3 standing connections.
func newWorld(rt *rapid.T, dcs, insts, servers int, seed uint64) *world {
	w := &world{
		rt: rt, rng: rand.New(rand.NewPCG(seed, 0)), now: start, dcs: dcs, cuts: map[[2]int]bool{},
		events: map[jpsteering.Reason]int{}, drops: map[jpsteering.Reason]int{}, ended: map[string]int{},
		byFlow: map[jppacket.Flow]*simCaller{},
	}
	w.oracle = newOracle(w)
	for num := range 4 {
		w.model = append(w.model, jpsettings.Service{
			Name: fmt.Sprint("service", num), Protocol: jpsettings.TCP, Kind: jpsettings.Request, Repeatable: num == 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, 0, byte(num + 1)}), uint16(num)),
		})
	}
	w.model[1].Kind, w.model[3].Kind = jpsettings.Stream, jpsettings.Stream
	for num := range servers {
		w.addServer(num%4, num/4%dcs)
	}
	w.tree = w.build()
	for num := range insts {
		w.insts = append(w.insts, &simInst{w: w, id: fmt.Sprint("i", num), dc: num % dcs, listed: true})
	}
	for _, in := range w.insts {
		in.start()
	}
	w.endTicks()
	return w
}

func (w *world) addServer(service, dc int) {
	ms := &simServer{w: w, num: len(w.servers), dc: dc, conns: map[jppacket.Flow]*simConn{}}
	w.servers = append(w.servers, ms)
	sv := &w.model[service]
	sv.Servers = append(sv.Servers, jpsettings.Server{
		Name: fmt.Sprint("s", ms.num), DataCentre: dcName(dc), Address: netip.AddrPortFrom(ms.address(), 5555), Limits: simLimits,
	})
}

// endTicks runs the timers of servers and callers.
func (w *world) endTicks() {
	for _, ms := range w.servers {
		ms.tick()
	}
	for _, cl := range w.callers {
		cl.tick()
	}
	w.oracle.progress()
	w.after(50*time.Millisecond, w.endTicks)
}

// build returns the model as a settings tree of the next version.
func (w *world) build() *jpsettings.Tree {
	w.version++
	tree := &jpsettings.Tree{Version: w.version}
	for _, sv := range w.model {
		sv.Servers = append([]jpsettings.Server(nil), sv.Servers...)
		tree.Services = append(tree.Services, sv)
	}
	was := w.tree
	if was == nil {
		was = &jpsettings.Tree{}
	}
	tree.Former = jprollout.FormerServers(w.now, was, tree)
	w.oracle.published(tree)
	return tree
}

// publish sends the model to each instance in its own time.
func (w *world) publish() {
	w.disturbed()
	tree := w.build()
	w.tree = tree
	for _, in := range w.insts {
		process := in.process
		var deliver func()
		deliver = func() {
			if in.process != process || !in.up {
				return
			}
			if w.now.Before(in.paused) || !w.reach(place{}, in.place()) {
				w.after(300*time.Millisecond, deliver)
				return
			}
			in.apply(tree)
			w.disturbed()
		}
		w.after(time.Duration(w.rng.IntN(2500))*time.Millisecond, deliver)
	}
}

// call starts a caller of a service.
func (w *world) call(service, dc int) *simCaller {
	num := len(w.callers)
	fl := jppacket.Flow{
		Caller: [4]byte{192, 0, 2, byte(dc + 1)}, CallerPort: uint16(1024 + num), Protocol: 6,
		Service: [4]byte{10, 80, 0, byte(service + 1)}, ServicePort: uint16(service),
	}
	isn := w.rng.Uint32()
	cl := &simCaller{
		w: w, dc: dc, started: w.now, ends: w.now.Add(time.Duration(2+w.rng.IntN(40)) * time.Second), passive: service%2 == 1 && w.rng.IntN(3) == 0,
		conn: &simConn{flow: fl, una: isn, nxt: isn + 1, rto: simSYNWait, retry: w.now.Add(simSYNWait)},
	}
	w.callers = append(w.callers, cl)
	w.byFlow[fl] = cl
	cl.send(cl.conn.current())
	return cl
}
