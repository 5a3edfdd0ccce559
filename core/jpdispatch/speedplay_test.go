package jpdispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"net/netip"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

const (
	speedServers    = 24
	speedInstances  = 12
	speedNeighbours = 6
	speedSlots      = 2
	oracleSlots     = 24 * speedSlots // so that fractions of them are whole
	speedRequests   = 16              // of a flow
	speedTarget     = 200 * time.Millisecond
	speedChangeAt   = 3 * time.Second
)

// speedOf returns by which factor a server is slower than usual at a time, with a number
// of requests at work.
type speedOf func(server int, elapsed time.Duration, working int) float64

func always(byServer ...float64) speedOf {
	return func(server int, elapsed time.Duration, _ int) float64 {
		if elapsed < speedChangeAt {
			return 1
		}
		return byServer[server%len(byServer)]
	}
}

// weights says how the play places flows.
type weights int

const (
	bySlots   weights = iota // as the servers' entries say
	byLearned                // as learned
	byOracle                 // by the true speeds from the moment on at which they change
)

type speedCase struct {
	name     string
	speed    speedOf
	perSec   int           // new flows
	fraction []float64     // of the stated slots that the oracle gives each server, by turns
	change   time.Duration // second change of speeds, 0 if none
	apart    bool          // instances don't hear each other once the speeds have changed
}

type speedResult struct {
	inTime   float64
	p50, p99 time.Duration
}

// TestSpeedPlay guards against slow servers that get as many callers as the others, and
// against beliefs that harm callers where no server is slow.
func TestSpeedPlay(t *testing.T) {
	swap := func(server int, elapsed time.Duration, _ int) float64 {
		slow := server%4 == 0
		if elapsed >= 10*time.Second {
			slow = server%4 == 1
		}
		if slow && elapsed >= speedChangeAt {
			return 8
		}
		return 1
	}
	knee := func(server int, elapsed time.Duration, working int) float64 {
		if server%3 == 0 && elapsed >= speedChangeAt && working > speedSlots/2 {
			return 6
		}
		return 1
	}
	for _, tc := range []speedCase{
		{name: "equal", speed: always(1), perSec: 40},
		{name: "equal_busy", speed: always(1), perSec: 75},
		{name: "1_3_8", speed: always(1, 1, 3, 8), perSec: 40, fraction: []float64{1, 1, 1. / 3, 1. / 8}},
		{name: "1_3_8_apart", speed: always(1, 1, 3, 8), perSec: 40, fraction: []float64{1, 1, 1. / 3, 1. / 8}, apart: true},
		{name: "knee", speed: knee, perSec: 50, fraction: []float64{.5, 1, 1}},
		{name: "change_over", speed: swap, perSec: 40, fraction: []float64{1. / 8, 1, 1, 1}, change: 10 * time.Second},
		{name: "all_slow", speed: always(3), perSec: 22},
	} {
		today, learned, oracle := tc.play(bySlots), tc.play(byLearned), tc.play(byOracle)
		t.Logf("%-12s in time: today %.3f learned %.3f oracle %.3f; p50 %v %v %v; p99 %v %v %v", tc.name,
			today.inTime, learned.inTime, oracle.inTime, today.p50, learned.p50, oracle.p50, today.p99, learned.p99, oracle.p99)
		if !tc.apart && learned.inTime < 0.9*oracle.inTime {
			t.Errorf("%s: %.3f in time, want within a tenth of the oracle's %.3f", tc.name, learned.inTime, oracle.inTime)
		}
		if learned.inTime < today.inTime-0.005 {
			t.Errorf("%s: %.3f in time, want no less than today's %.3f", tc.name, learned.inTime, today.inTime)
		}
	}
}

// speedPlay runs callers, instances and servers in virtual time.
type speedPlay struct {
	speedCase
	weights   weights
	rnd       *rand.Rand
	elapsed   time.Duration
	events    playEvents
	order     int
	instances []*harness
	servers   [speedServers]speedServer
	port      uint16
	took      []time.Duration // of the requests sent while speeds are to be known
}

type speedServer struct {
	working int
	queue   []func()
}

func (sp *speedPlay) after(delay time.Duration, run func()) {
	sp.order++
	heap.Push(&sp.events, playEvent{sp.now().Add(delay), sp.order, run})
}

func (sp *speedPlay) now() time.Time { return at(0).Add(sp.elapsed) }

// play runs a case for 9 s, or 7 s after the second change, and returns what callers got
// from 2 s after each change on.
func (pc speedCase) play(ws weights) speedResult {
	sp := &speedPlay{speedCase: pc, weights: ws, rnd: rand.New(rand.NewSource(7))}
	for range speedInstances {
		hn := newHarness(nil)
		route := jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}, TargetLatency: speedTarget}
		hn.manifest(2, route)
		hn.SetPosition(Position{Count: speedInstances, LocalCount: speedInstances})
		sp.instances = append(sp.instances, hn)
	}
	sp.stateSlots()
	sp.tick()
	sp.after(0, sp.openFlow)
	end := 9 * time.Second
	if pc.change > 0 {
		end = pc.change + 7*time.Second
	}
	for len(sp.events) > 0 {
		ev := heap.Pop(&sp.events).(playEvent)
		sp.elapsed = ev.at.Sub(at(0))
		if sp.elapsed > end {
			break
		}
		ev.run()
	}
	slices.Sort(sp.took)
	late, _ := slices.BinarySearch(sp.took, speedTarget+1)
	count := len(sp.took)
	return speedResult{
		inTime: float64(late) / float64(count),
		p50:    sp.took[count/2].Round(time.Millisecond), p99: sp.took[count*99/100].Round(time.Millisecond),
	}
}

// stateSlots writes the entries of the servers; the oracle's are by the speeds.
func (sp *speedPlay) stateSlots() {
	for ix := range speedServers {
		sr := deskServer(ix+1, localDC)
		if sp.weights == byOracle {
			sr.Slots = int(math.Round(oracleSlots * sp.trueFraction(ix)))
		}
		for _, hn := range sp.instances {
			hn.server(sp.now(), sr)
		}
	}
}

// trueFraction returns which part of its slots a server can use at the usual speed.
func (sp *speedPlay) trueFraction(server int) float64 {
	if len(sp.fraction) == 0 || sp.elapsed < speedChangeAt {
		return 1
	}
	if sp.change > 0 && sp.elapsed >= sp.change {
		server += len(sp.fraction) - 1
	}
	return sp.fraction[server%len(sp.fraction)]
}

// tick does the periodic work of all instances every 100 ms. Each sends its loads every
// 500 ms.
func (sp *speedPlay) tick() {
	now := sp.now()
	if sp.elapsed == speedChangeAt || sp.elapsed == sp.change {
		sp.stateSlots()
	}
	for _, hn := range sp.instances {
		hn.Observe(now, now)
		hn.setFresh(now)
		hn.Tick(now)
		if sp.weights == byLearned {
			hn.SpeedChanges(now)
		}
	}
	for ix := range sp.instances {
		if (sp.elapsed/(100*time.Millisecond))%5 == time.Duration(ix%5) && !(sp.apart && sp.elapsed >= speedChangeAt) {
			sp.report(ix)
		}
	}
	sp.after(100*time.Millisecond, sp.tick)
}

// report sends the loads of one instance to its neighbours.
func (sp *speedPlay) report(from int) {
	loads := sp.instances[from].Loads()
	for ix := range speedNeighbours {
		sp.instances[(from+1+ix)%speedInstances].HandleLoads(sp.now(), fmt.Sprint(from), loads)
	}
}

// openFlow opens a flow of speedRequests requests.
func (sp *speedPlay) openFlow() {
	sp.after(time.Duration(sp.rnd.ExpFloat64()*float64(time.Second)/float64(sp.perSec)), sp.openFlow)
	sp.port++
	hn := sp.instances[sp.rnd.Intn(speedInstances)]
	syn := Packet{
		Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), sp.port), Route: route,
		Flags: SYN, Sequence: uint32(sp.port) << 16,
	}
	dc := hn.Handle(sp.now(), syn)
	if dc.Outcome != Forward {
		sp.took = append(sp.took, time.Minute) // the play has room for all
		return
	}
	pk := nextPacket(syn, dc.Server.Tag, 100)
	sp.after(2*time.Millisecond, func() { sp.sendRequest(hn, pk, int(dc.Server.Tag)-1, speedRequests) })
}

// sendRequest sends a request, repeats it after 200 ms, and sends the next one of the
// flow 100 ms after the response.
func (sp *speedPlay) sendRequest(hn *harness, pk Packet, server, left int) {
	sentAt, answered := sp.elapsed, false
	hn.Handle(sp.now(), pk)
	sp.after(200*time.Millisecond, func() {
		if !answered {
			hn.Handle(sp.now(), pk)
		}
	})
	sp.arrive(server, func() {
		answered = true
		if sp.measured(sentAt) {
			sp.took = append(sp.took, sp.elapsed-sentAt)
		}
		ack := pk
		ack.Sequence, ack.Ack, ack.Length = pk.Sequence+uint32(pk.Length), pk.Ack+500, 0
		hn.Handle(sp.now(), ack)
		if left > 1 {
			ack.Length = 100
			sp.after(100*time.Millisecond, func() { sp.sendRequest(hn, ack, server, left-1) })
			return
		}
		ack.Flags |= FIN
		hn.Handle(sp.now(), ack)
	})
}

// measured reports whether a request counts: the latest change is 2 s ago.
func (sp *speedPlay) measured(sentAt time.Duration) bool {
	const settled = 2 * time.Second
	return sentAt >= speedChangeAt+settled && !(sentAt >= sp.change && sentAt < sp.change+settled)
}

// arrive gives a request to a server, which works on speedSlots at a time.
func (sp *speedPlay) arrive(server int, done func()) {
	sr := &sp.servers[server]
	sr.queue = append(sr.queue, done)
	sp.work(server)
}

func (sp *speedPlay) work(server int) {
	sr := &sp.servers[server]
	for sr.working < speedSlots && len(sr.queue) > 0 {
		done := sr.queue[0]
		sr.queue = sr.queue[1:]
		sr.working++
		millis := 26 * math.Exp(0.5*sp.rnd.NormFloat64()) * sp.speed(server, sp.elapsed, sr.working)
		sp.after(time.Duration(millis*float64(time.Millisecond)), func() {
			sr.working--
			done()
			sp.work(server)
		})
	}
}
