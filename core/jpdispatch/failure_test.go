package jpdispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// placing is a policy for new flows in a played load.
type placementPolicy interface {
	// open places a flow; the caller's next packet follows the answer.
	open(now time.Time, number int) (server uint32)
	request(now time.Time, number int)
	answer(now time.Time, number int)
	giveUp(now time.Time, number int)
	tick(now time.Time)
}

// dispatching is the policy of the Dispatcher.
type dispatcherPolicy struct {
	*rig
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

// counting is a policy that only counts flows.
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

// fewestOf returns the least loaded of some servers.
func leastLoadedOf(loads map[uint32]int, servers []uint32) uint32 {
	return slices.MinFunc(servers, func(a, b uint32) int { return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(a, b)) })
}

// playFailing plays callers with long flows for 20 s, of which server 1 answers
// only every second request of each flow for 10 s. Callers give up after 2 s and
// open a new flow. It returns the share of requests without an answer in these
// 10 s, and whether server 1 has new flows again afterwards.
func simulateFailingServer(pp placementPolicy) (lost float64, back bool) {
	const step = 10 * time.Millisecond
	type caller struct {
		server uint32
		count  int
		due    time.Time // next request, its answer, or the end of the patience
		asked  bool
		hangs  bool
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
			case !cl.asked:
				pp.request(now, number)
				cl.asked = true
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
				back = back || cl.server == 1 && now.After(at(17000))
				cl.asked, cl.due = false, now.Add(3*step)
			default:
				pp.answer(now, number)
				cl.asked, cl.due = false, now.Add(300*time.Millisecond)
				// Some callers begin anew, so that there are new flows at any time.
				if cl.count%8 == 0 {
					pp.giveUp(now, number)
					cl.server = pp.open(now, number)
					back = back || cl.server == 1 && now.After(at(17000))
				}
			}
		}
	}
	return float64(failed) / float64(requests), back
}

// Guards against a server that fails a part of its requests and attracts new
// flows, because the callers whose requests it fails leave it. The two simpler
// policies only count flows.
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
	rg := newRig(t)
	for number := range failingTestServers {
		rg.server(at(-60000), deskServer(number+1, localDC))
	}
	rg.runTicks(at(-1000), at(0))
	own, back := simulateFailingServer(&dispatcherPolicy{rig: rg, flows: map[int]Packet{}})
	t.Logf("lost with the dispatcher: %.2f%%", 100*own)
	if !back {
		t.Error("the server got no new flow after it had recovered")
	}
	for _, sp := range simple {
		lost, _ := simulateFailingServer(newCounting(sp.choose))
		t.Logf("lost with %s: %.2f%%", sp.name, 100*lost)
		if own >= lost {
			t.Errorf("the dispatcher lost %.2f%%, %s alone %.2f%%", 100*own, sp.name, 100*lost)
		}
	}
}

// Guards against servers that count as failing although they answer: late, or
// when their caller only leaves.
func TestAnsweredRequestsAreNotFailures(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC))
	dp := &dispatcherPolicy{rig: rg, flows: map[int]Packet{}}
	for number := range 10 {
		dp.open(at(0), number)
		dp.request(at(10), number)
		rg.runTicks(at(20), at(400))
		dp.answer(at(410), number)
		dp.giveUp(at(2000), number)
	}
	sr := rg.servers["i-1"]
	if sr.stuckFlows != 0 || len(sr.failureExpiries) != 0 || sr.localLoad(at(2000)) != 0 {
		t.Errorf("%d stuck, %d failures, burden %d", sr.stuckFlows, len(sr.failureExpiries), sr.localLoad(at(2000)))
	}
}

// Guards against peers that do not hear of a failing server.
func TestFailuresReachPeers(t *testing.T) {
	rg := newRig(t, deskServer(1, localDC))
	dp := &dispatcherPolicy{rig: rg, flows: map[int]Packet{}}
	dp.open(at(0), 0)
	dp.request(at(10), 0)
	rg.runTicks(at(100), at(900))
	if got, want := rg.FailingChanges(at(900)), (FailingChange{Server: "i-1", Failing: true, Stuck: 1}); len(got) != 1 || got[0] != want {
		t.Errorf("judgements %+v, want %+v", got, want)
	}
	if got := rg.Loads()[0].Flows; got != 1+failureWeight {
		t.Errorf("load %d with a stuck request, want %d", got, 1+failureWeight)
	}
	dp.giveUp(at(1000), 0)
	rg.runTicks(at(1000), at(1100))
	if got := rg.Loads()[0].Flows; got != failureWeight {
		t.Errorf("load %d after the caller left, want %d", got, failureWeight)
	}
	rg.runTicks(at(1200), at(6100))
	if got := rg.FailingChanges(at(6100)); len(got) != 1 || got[0].Failing {
		t.Errorf("judgements %+v after %v", got, failureWindow)
	}
	if got := rg.Loads(); len(got) != 0 {
		t.Errorf("loads %v after %v", got, failureWindow)
	}
}
