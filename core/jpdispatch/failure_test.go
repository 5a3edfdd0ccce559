package jpdispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// placementPolicy selects the servers of new flows in a simulated load.
type placementPolicy interface {
	// open selects the server of a flow and completes its handshake.
	open(now time.Time, number int) (server uint32)
	request(now time.Time, number int)
	answer(now time.Time, number int)
	giveUp(now time.Time, number int)
	tick(now time.Time)
}

// dispatcherPolicy is the policy of the Dispatcher.
type dispatcherPolicy struct {
	*harness
	flows map[int]Packet // last packet of each flow
}

func (dp *dispatcherPolicy) open(now time.Time, number int) uint32 {
	syn := dp.newSYN()
	server := dp.Handle(now, syn).Server.Tag
	dp.flows[number] = nextPacket(syn, server, 0)
	dp.Handle(now, dp.flows[number])
	return server
}

func (dp *dispatcherPolicy) request(now time.Time, number int) {
	pk := dp.flows[number]
	pk.Length = 100
	dp.Handle(now, pk)
	pk.Sequence += 100
	pk.Length = 0
	dp.flows[number] = pk
}

func (dp *dispatcherPolicy) answer(now time.Time, number int) {
	pk := dp.flows[number]
	pk.Ack += 2000
	dp.flows[number] = pk
	dp.Handle(now, pk)
}

func (dp *dispatcherPolicy) giveUp(now time.Time, number int) {
	pk := dp.flows[number]
	pk.Flags = RST
	dp.Handle(now, pk)
}

func (dp *dispatcherPolicy) tick(now time.Time) {
	dp.setFresh(now)
	dp.Tick(now)
}

// countingPolicy is a policy that knows only the number of flows of each server.
type countingPolicy struct {
	loads  map[uint32]int
	placed map[int]uint32
	choose func(loads map[uint32]int) uint32
}

func (cp *countingPolicy) open(_ time.Time, number int) uint32 {
	server := cp.choose(cp.loads)
	cp.loads[server]++
	cp.placed[number] = server
	return server
}

func (cp *countingPolicy) giveUp(_ time.Time, number int) { cp.loads[cp.placed[number]]-- }
func (cp *countingPolicy) request(time.Time, int)         {}
func (cp *countingPolicy) answer(time.Time, int)          {}
func (cp *countingPolicy) tick(time.Time)                 {}

const (
	failingTestServers = 6
	failingTestCallers = 60
)

func newCounting(choose func(loads map[uint32]int) uint32) *countingPolicy {
	cp := &countingPolicy{loads: map[uint32]int{}, placed: map[int]uint32{}, choose: choose}
	for number := range uint32(failingTestServers) {
		cp.loads[number+1] = 0
	}
	return cp
}

// leastLoadedOf returns the server with the fewest flows, of equal ones the one
// with the lowest number.
func leastLoadedOf(loads map[uint32]int, servers []uint32) uint32 {
	return slices.MinFunc(servers, func(a, b uint32) int { return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(a, b)) })
}

// simulateFailingServer simulates 20 s of callers with long flows. From 2 s to
// 12 s, server 1 answers only every second request of each flow. Callers give up
// a request after 2 s and open a new flow. It returns the share of requests
// without an answer in these 10 s, and whether server 1 gets new flows again
// after 17 s.
func simulateFailingServer(pp placementPolicy) (lost float64, recovered bool) {
	const step = 10 * time.Millisecond
	type caller struct {
		server         uint32
		count          int
		due            time.Time // time of the next request, its answer or its timeout
		awaitingAnswer bool
		hangs          bool
	}
	callers := make([]caller, failingTestCallers)
	for number := range callers {
		now := at(0)
		callers[number] = caller{server: pp.open(now, number), due: now.Add(time.Duration(number) * step)}
	}
	requests, failed := 0, 0
	fails := func(now time.Time) bool { return now.After(at(2000)) && now.Before(at(12000)) }
	for now := at(0); now.Before(at(20000)); now = now.Add(step) {
		if now.Sub(at(0))%(100*time.Millisecond) == 0 {
			pp.tick(now)
		}
		for number := range callers {
			cl := &callers[number]
			switch {
			case now.Before(cl.due):
			case !cl.awaitingAnswer:
				pp.request(now, number)
				cl.awaitingAnswer = true
				cl.count++
				cl.hangs = cl.server == 1 && cl.count%2 == 0 && fails(now)
				cl.due = now.Add(3 * step)
				if cl.hangs {
					cl.due = now.Add(2 * time.Second)
				}
				if fails(now) {
					requests++
				}
			case cl.hangs:
				failed++
				pp.giveUp(now, number)
				cl.server = pp.open(now, number)
				recovered = recovered || cl.server == 1 && now.After(at(17000))
				cl.awaitingAnswer, cl.due = false, now.Add(3*step)
			default:
				pp.answer(now, number)
				cl.awaitingAnswer, cl.due = false, now.Add(300*time.Millisecond)
				// Callers open a new flow after 8 requests, so that there are new
				// flows at any time.
				if cl.count%8 == 0 {
					pp.giveUp(now, number)
					cl.server = pp.open(now, number)
					recovered = recovered || cl.server == 1 && now.After(at(17000))
				}
			}
		}
	}
	return float64(failed) / float64(requests), recovered
}

// Guards against a server that fails part of its requests and therefore gets more
// new flows, because the callers of the failed requests close their flows. The
// share of lost requests must be below that of two policies that only count flows.
func TestFailingServer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	simple := []struct {
		name   string
		choose func(loads map[uint32]int) uint32
	}{
		{"fewest flows", func(loads map[uint32]int) uint32 {
			var all []uint32
			for server := range loads {
				all = append(all, server)
			}
			return leastLoadedOf(loads, all)
		}},
		{"two choices", func(loads map[uint32]int) uint32 {
			return leastLoadedOf(loads, []uint32{1 + rng.Uint32N(failingTestServers), 1 + rng.Uint32N(failingTestServers)})
		}},
	}
	hn := newHarness(t)
	for number := range failingTestServers {
		hn.server(at(-60000), deskServer(number+1, localDC))
	}
	hn.runTicks(at(-1000), at(0))
	dispatcherLost, recovered := simulateFailingServer(&dispatcherPolicy{harness: hn, flows: map[int]Packet{}})
	t.Logf("lost with the dispatcher: %.2f%%", 100*dispatcherLost)
	if !recovered {
		t.Error("the failing server got no new flow after its recovery")
	}
	for _, sp := range simple {
		lost, _ := simulateFailingServer(newCounting(sp.choose))
		t.Logf("lost with %s: %.2f%%", sp.name, 100*lost)
		if dispatcherLost >= lost {
			t.Errorf("the dispatcher lost %.2f%%, %s alone %.2f%%", 100*dispatcherLost, sp.name, 100*lost)
		}
	}
}

// Guards against servers that count as failing although they answered: after a
// delay below stuckThreshold, or before the caller closed the flow.
func TestAnsweredRequestsAreNotFailures(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	dp := &dispatcherPolicy{harness: hn, flows: map[int]Packet{}}
	for number := range 10 {
		dp.open(at(0), number)
		dp.request(at(10), number)
		hn.runTicks(at(20), at(400))
		dp.answer(at(410), number)
		dp.giveUp(at(2000), number)
	}
	sr := hn.servers["i-1"]
	if sr.stuckFlows != 0 || len(sr.failureExpiries) != 0 || sr.localLoad(at(2000)) != 0 {
		t.Errorf("%d stuck flows, %d failures, load %d, want 0 of each", sr.stuckFlows, len(sr.failureExpiries), sr.localLoad(at(2000)))
	}
}

// Guards against peers that are not told about a failing server.
func TestFailuresReachPeers(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	dp := &dispatcherPolicy{harness: hn, flows: map[int]Packet{}}
	dp.open(at(0), 0)
	dp.request(at(10), 0)
	hn.runTicks(at(100), at(900))
	if got, want := hn.FailingChanges(at(900)), (FailingChange{Server: "i-1", Failing: true, Stuck: 1}); len(got) != 1 || got[0] != want {
		t.Errorf("changes %+v, want %+v", got, want)
	}
	if got := hn.Loads()[0].Flows; got != 1+failureWeight {
		t.Errorf("load %d with a stuck request, want %d", got, 1+failureWeight)
	}
	dp.giveUp(at(1000), 0)
	hn.runTicks(at(1000), at(1100))
	if got := hn.Loads()[0].Flows; got != failureWeight {
		t.Errorf("load %d after the caller left, want %d", got, failureWeight)
	}
	hn.runTicks(at(1200), at(6100))
	if got := hn.FailingChanges(at(6100)); len(got) != 1 || got[0].Failing {
		t.Errorf("changes %+v after %v, want one that ends the failure", got, failureWindow)
	}
	if got := hn.Loads(); len(got) != 0 {
		t.Errorf("loads %v after %v, want none", got, failureWindow)
	}
}
