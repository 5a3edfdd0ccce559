package test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"jacinthpass/lab/jpplatform"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 0, "only this seed of TestPlatformSoak")
	soakSeeds = flag.Int("soak.seeds", 0, "fresh seeds of TestPlatformSoak, in addition to those of CI")
)

// regressions are the seeds that CI runs: fixed ones, and each that ever failed,
// with its cause.
var regressions = []uint64{
	1, // once: a hangup ended a process that had not come to its own code yet
	2, // fails if checks of living servers fail
	// Once a request got no answer for 1 s at the end, with packets still lost at
	// random; whether all its copies were is not known.
	16586821586216408624,
}

const (
	soakTime    = 9 * time.Second // faults
	soakHeal    = 8 * time.Second // from the end of faults to full service
	soakWorkers = 12
	soakLoss    = 0.02 // of the callers' packets, which makes instances check servers
	// soakCalm is how long a server and the instances have to be without a
	// fault for a bound to hold, as the platform states it.
	soakCalm = 4 * time.Second
)

// TestPlatformSoak runs real processes under random faults that overlap, and
// checks what callers and servers see. By hand, for fresh seeds:
//
//	go test -count=1 -timeout 60m -run 'TestPlatformSoak$' ./test -args -soak.seeds 50
func TestPlatformSoak(t *testing.T) {
	seeds := regressions
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for range *soakSeeds {
		seeds = append(seeds, rand.Uint64())
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soaker is one run.
type soaker struct {
	t    *testing.T
	si   *jpplatform.Site
	rng  *rand.Rand
	stop chan struct{}

	mu       sync.Mutex
	healthy  map[*jpplatform.Server]time.Time // without a fault since
	live     []*jpplatform.Server
	calm     time.Time // instances and store are without a fault since
	held     int       // faults of instances and store that have not ended
	expected map[*jpplatform.Instance]bool
	requests map[string]string // service by request
	numbers  uint32
	faults   sync.WaitGroup
}

func soak(t *testing.T, seed uint64) {
	si := startPlatform(t)
	si.Callers.SetLoss(soakLoss, seed)
	now := time.Now()
	so := &soaker{
		t: t, si: si, rng: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{}), calm: now,
		healthy: map[*jpplatform.Server]time.Time{}, live: slices.Clone(si.Servers), numbers: 0xb0000000,
		expected: map[*jpplatform.Instance]bool{}, requests: map[string]string{},
	}
	for _, sr := range si.Servers {
		so.healthy[sr] = now
	}
	var workers sync.WaitGroup
	for number := range soakWorkers {
		workers.Go(func() { so.call(number) })
	}
	rotation := make(chan struct{})
	go func() {
		defer close(rotation)
		so.rotate()
	}()
	for end := now.Add(soakTime); time.Now().Before(end); {
		so.inject()
		time.Sleep(time.Duration(200+so.rng.IntN(700)) * time.Millisecond)
	}
	so.faults.Wait()
	so.heal()
	so.drainCalmly()
	close(so.stop)
	workers.Wait()
	<-rotation
	so.checkEnd()
}

// rotate leaves instances that are not ready out of the rotation, like the
// platform's routers.
func (so *soaker) rotate() {
	missed := map[*jpplatform.Instance]int{}
	for {
		var ready []*jpplatform.Instance
		for _, in := range so.si.Instances {
			missed[in]++
			if in.Ready() {
				missed[in] = 0
			}
			if missed[in] < 2 {
				ready = append(ready, in)
			}
		}
		if len(ready) == 0 {
			ready = so.si.Instances
		}
		so.si.SetRotation(ready...)
		select {
		case <-so.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

var soakRoutes = []struct {
	address netip.AddrPort
	service string
	again   bool // may be repeated
}{
	{jpplatform.AlertRoute, "desk", true}, {jpplatform.OrderRoute, "desk", false}, {jpplatform.BrochureRoute, "catalogue", true},
}

// call keeps a flow and sends requests on it.
func (so *soaker) call(number int) {
	route := soakRoutes[number%len(soakRoutes)]
	var fl *jpplatform.Flow
	server := ""
	for count := 0; ; count++ {
		select {
		case <-so.stop:
			return
		case <-time.After(time.Duration(40+number*7) * time.Millisecond):
		}
		if fl == nil {
			opened, err := so.si.Callers.Open(route.address)
			if err != nil {
				continue
			}
			fl, server = opened, ""
		}
		request := fmt.Sprintf("%s %d %d", route.address, number, count)
		so.mu.Lock()
		so.requests[request] = route.service
		so.mu.Unlock()
		answer, err := fl.Request(request, 3*time.Second)
		if err != nil {
			so.checkReset(fl, server, err)
			fl = nil
			continue
		}
		if server != "" && answer != server {
			so.t.Errorf("a flow of %s was answered by %s", server, answer)
		}
		server = answer
	}
}

// checkReset guards against resets of flows whose server serves on.
func (so *soaker) checkReset(fl *jpplatform.Flow, server string, err error) {
	if !errors.Is(err, jpplatform.ErrReset) || !fl.ResetByBalancer || server == "" {
		return
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	for sr, since := range so.healthy {
		if sr.ID == server && time.Since(since) >= soakCalm && slices.Contains(so.live, sr) {
			so.t.Errorf("a flow of %s was reset, which has been healthy for %v", server, time.Since(since))
		}
	}
}

// inject starts one fault, which ends by itself.
func (so *soaker) inject() {
	kinds := []func(in *jpplatform.Instance, length time.Duration){
		so.kill, so.terminate, so.pause, so.loseStore, so.breakStore, so.breakStore, so.forget, so.lapse,
		so.crash, so.silence, so.drain, so.replace, so.takeOut, so.change, so.hangUp,
	}
	in := so.si.Instances[so.rng.IntN(len(so.si.Instances))]
	length := time.Duration(100+so.rng.IntN(2400)) * time.Millisecond
	kinds[so.rng.IntN(len(kinds))](in, length)
}

// disturb notes a fault of instances or of the store, for its length.
func (so *soaker) disturb(length time.Duration, end func()) {
	so.mu.Lock()
	so.held++
	so.mu.Unlock()
	so.faults.Go(func() {
		time.Sleep(length)
		end()
		so.mu.Lock()
		so.held--
		so.calm = time.Now()
		so.mu.Unlock()
	})
}

func (so *soaker) signal(in *jpplatform.Instance, signal syscall.Signal) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	if so.expected[in] || !in.Running() {
		return false
	}
	so.expected[in] = true
	if err := in.Signal(signal); err != nil {
		so.t.Errorf("signal %v to %s: %v", signal, in.Address, err)
	}
	return true
}

// restart starts an instance whose process has to end by itself in time.
func (so *soaker) restart(in *jpplatform.Instance, limit time.Duration) {
	select {
	case <-in.Done():
	case <-time.After(limit):
		so.t.Errorf("%s still runs after %v", in.Address, limit)
		return
	}
	if err := so.si.Start(in); err != nil {
		so.t.Errorf("start %s: %v", in.Address, err)
	}
	so.mu.Lock()
	so.expected[in] = false
	so.mu.Unlock()
}

func (so *soaker) kill(in *jpplatform.Instance, length time.Duration) {
	if so.signal(in, syscall.SIGKILL) {
		so.disturb(length, func() { so.restart(in, time.Second) })
	}
}

func (so *soaker) terminate(in *jpplatform.Instance, length time.Duration) {
	if so.signal(in, syscall.SIGTERM) {
		so.disturb(0, func() { so.restart(in, 6*time.Second) })
	}
}

func (so *soaker) pause(in *jpplatform.Instance, length time.Duration) {
	if so.signal(in, syscall.SIGSTOP) {
		so.disturb(length, func() {
			if err := in.Signal(syscall.SIGCONT); err != nil {
				so.t.Errorf("continue %s: %v", in.Address, err)
			}
			so.mu.Lock()
			so.expected[in] = false
			so.mu.Unlock()
		})
	}
}

// hangUp asks for the settings to be read again. A process that is not ready may
// not have come to its own code yet; the signal then ends it, whatever it does.
func (so *soaker) hangUp(in *jpplatform.Instance, _ time.Duration) {
	if in.Ready() && so.signal(in, syscall.SIGHUP) {
		so.mu.Lock()
		so.expected[in] = false
		so.mu.Unlock()
	}
}

func (so *soaker) loseStore(_ *jpplatform.Instance, length time.Duration) {
	so.si.Store.SetUnavailable(true)
	so.disturb(length, func() { so.si.Store.SetUnavailable(false) })
}

func (so *soaker) breakStore(in *jpplatform.Instance, length time.Duration) {
	faults := []jpplatform.Fault{jpplatform.Delay, jpplatform.Reset, jpplatform.Blackhole, jpplatform.DropReplies}
	in.StoreProxy.SetFault(faults[so.rng.IntN(len(faults))])
	so.disturb(length, func() { in.StoreProxy.SetFault(jpplatform.Pass) })
}

func (so *soaker) forget(_ *jpplatform.Instance, _ time.Duration) { so.si.Store.DropHistory() }

// lapse removes an entry while the store is away; it is back soon afterwards.
func (so *soaker) lapse(_ *jpplatform.Instance, length time.Duration) {
	sr := so.pick()
	so.si.Store.SetUnavailable(true)
	so.disturb(length, func() {
		so.si.RemoveEntry(sr)
		so.si.Store.SetUnavailable(false)
		time.Sleep(time.Second)
		so.mu.Lock()
		defer so.mu.Unlock()
		if slices.Contains(so.live, sr) {
			so.si.PutEntry(sr)
		}
	})
}

func (so *soaker) pick() *jpplatform.Server {
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.live[so.rng.IntN(len(so.live))]
}

// lose takes a server out of those that serve, unless it is the last but one
// of its service.
func (so *soaker) lose(sr *jpplatform.Server) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	same := 0
	for _, other := range so.live {
		if other.Entry.Backend == sr.Entry.Backend {
			same++
		}
	}
	at := slices.Index(so.live, sr)
	if at < 0 || same <= 2 {
		return false
	}
	so.live = slices.Delete(so.live, at, at+1)
	return true
}

// add starts a server at an address that nobody has.
func (so *soaker) add(backend, zone string, address netip.AddrPort) {
	so.mu.Lock()
	so.numbers++
	number := so.numbers
	so.mu.Unlock()
	so.si.Lock()
	sr, err := so.si.AddServer(number, backend, zone, address)
	so.si.Unlock()
	if err != nil {
		so.t.Errorf("server at %s: %v", address, err)
		return
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	so.live = append(so.live, sr)
	so.healthy[sr] = time.Now()
}

// crash ends a server without a word; after the platform's time, one of the
// other service has its address.
func (so *soaker) crash(_ *jpplatform.Instance, length time.Duration) {
	sr := so.pick()
	if !so.lose(sr) {
		return
	}
	sr.Stop()
	so.faults.Go(func() {
		time.Sleep(length)
		so.si.RemoveEntry(sr)
		time.Sleep(2 * time.Second)
		backend := "desk"
		if sr.Entry.Backend == backend {
			backend = "catalogue"
		}
		so.add(backend, sr.Entry.Zone, netip.MustParseAddrPort(sr.Entry.Address))
	})
}

func (so *soaker) silence(_ *jpplatform.Instance, length time.Duration) {
	sr := so.pick()
	sr.SetSilent(true)
	so.faults.Go(func() {
		time.Sleep(length)
		sr.SetSilent(false)
		so.mu.Lock()
		defer so.mu.Unlock()
		so.healthy[sr] = time.Now()
	})
	so.mu.Lock()
	defer so.mu.Unlock()
	so.healthy[sr] = time.Now().Add(length)
}

// drain takes a server away as planned; new flows must not reach it after the
// bound.
func (so *soaker) drain(_ *jpplatform.Instance, _ time.Duration) {
	sr := so.pick()
	if !so.lose(sr) {
		return
	}
	so.si.PutDraining(sr)
	so.faults.Go(func() {
		time.Sleep(platformChange)
		opened, from := sr.FlowCount(), time.Now()
		time.Sleep(2 * time.Second)
		so.mu.Lock()
		calm := so.held == 0 && from.Sub(so.calm) >= soakCalm
		so.mu.Unlock()
		if more := sr.FlowCount() - opened; more > 0 && calm {
			so.t.Errorf("%d new flows at %s, which has drained for %v", more, sr.ID, platformChange)
		}
		sr.Stop()
		so.si.RemoveEntry(sr)
		so.add(sr.Entry.Backend, sr.Entry.Zone, netip.MustParseAddrPort(sr.Entry.Address))
	})
}

// replace starts a server under the id and address of one that crashed.
func (so *soaker) replace(_ *jpplatform.Instance, length time.Duration) {
	sr := so.pick()
	if !so.lose(sr) {
		return
	}
	sr.Stop()
	so.faults.Go(func() {
		time.Sleep(length)
		so.add(sr.Entry.Backend, sr.Entry.Zone, netip.MustParseAddrPort(sr.Entry.Address))
		so.si.RemoveEntry(sr)
	})
}

func (so *soaker) takeOut(in *jpplatform.Instance, length time.Duration) {
	so.si.SetEvacuated(in.Zone, true)
	so.faults.Go(func() {
		time.Sleep(length)
		so.si.SetEvacuated(in.Zone, false)
	})
}

// change adds a route, or removes it again.
func (so *soaker) change(_ *jpplatform.Instance, _ time.Duration) {
	routes := jpplatform.StandardRoutes()
	if so.rng.IntN(2) == 0 {
		routes = append(routes, jpplatform.Route{Address: netip.MustParseAddrPort("198.18.0.9:80"), Kind: "safe", Backend: "desk"})
	}
	so.si.Lock()
	defer so.si.Unlock()
	so.si.SetRoutes(routes...)
}

// heal waits until everything serves, and checks that it does.
func (so *soaker) heal() {
	end := time.Now().Add(soakHeal)
	for time.Now().Before(end) {
		time.Sleep(pollEvery)
	}
	for _, in := range so.si.Instances {
		if !in.Running() || !in.Ready() {
			so.t.Errorf("%s is not ready %v after the last fault: %s", in.Address, soakHeal, in.State())
		}
	}
	// Lost packets are the last fault: a request of which all copies are lost
	// gets no answer, whatever the instances do.
	so.si.Callers.SetLoss(0, 0)
	for _, route := range soakRoutes {
		for n := range 20 {
			fl, err := so.si.Callers.Open(route.address)
			if err == nil {
				_, err = fl.Request(fmt.Sprintf("healed %s %d", route.address, n), requestLimit)
			}
			if err != nil {
				so.t.Errorf("%v after the last fault: flow %d to %s: %v", soakHeal, n, route.address, err)
			}
		}
	}
}

// drainCalmly guards G8 when nothing else happens: while faults go on, its bound
// seldom holds for all instances.
func (so *soaker) drainCalmly() {
	sr := so.pick()
	so.si.PutDraining(sr)
	time.Sleep(platformChange)
	opened := sr.FlowCount()
	for n := range 30 {
		if _, err := so.si.Callers.Open(soakRoutes[n%len(soakRoutes)].address); err != nil {
			so.t.Errorf("flow %d while %s drains: %v", n, sr.ID, err)
		}
	}
	if more := sr.FlowCount() - opened; more > 0 {
		so.t.Errorf("%d new flows at %s, which has drained for %v", more, sr.ID, platformChange)
	}
}

// checkEnd guards G2 and G7: each request ran at most once, at a server of its
// service.
func (so *soaker) checkEnd() {
	so.mu.Lock()
	defer so.mu.Unlock()
	served := 0
	for request, service := range so.requests {
		ran := 0
		for _, sr := range slices.Collect(maps.Keys(so.healthy)) {
			count := sr.Executions(request)
			if count > 0 && sr.Entry.Backend != service {
				so.t.Errorf("%q for %s ran at %s of %s", request, service, sr.ID, sr.Entry.Backend)
			}
			ran += count
		}
		if ran > 1 {
			so.t.Errorf("%q ran %d times", request, ran)
		}
		served += min(ran, 1)
	}
	so.t.Logf("%d of %d requests ran", served, len(so.requests))
	if served*4 < len(so.requests)*3 {
		so.t.Errorf("%d of %d requests ran, want three quarters", served, len(so.requests))
	}
}
