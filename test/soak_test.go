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

// regressionSeeds are the seeds that CI runs: fixed ones, and each that ever failed,
// with its cause.
var regressionSeeds = []uint64{
	1, // once: a hangup ended a process that had not come to its own code yet
	2, // fails if checks of living servers fail
	// Once a request got no answer for 1 s at the end, with packets still lost at
	// random; whether all its copies were is not known.
	16586821586216408624,
}

const (
	soakFaultDuration = 9 * time.Second // faults
	soakRecoveryTime  = 8 * time.Second // from the end of faults to full service
	soakCallers       = 12
	soakPacketLoss    = 0.02 // of the callers' packets, which makes instances check servers
	// soakStableTime is how long a server and the instances have to be without a
	// fault for a bound to hold, as the platform states it.
	soakStableTime = 4 * time.Second
)

// TestPlatformSoak runs real processes under random faults that overlap, and
// checks what callers and servers see. By hand, for fresh seeds:
//
//	go test -count=1 -timeout 60m -run 'TestPlatformSoak$' ./test -args -soak.seeds 50
func TestPlatformSoak(t *testing.T) {
	seeds := regressionSeeds
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for range *soakSeeds {
		seeds = append(seeds, rand.Uint64())
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soakRun is one run.
type soakRun struct {
	t    *testing.T
	si   *jpplatform.Site
	rng  *rand.Rand
	stop chan struct{}

	mu               sync.Mutex
	healthySince     map[*jpplatform.Server]time.Time // without a fault since
	activeServers    []*jpplatform.Server
	stableSince      time.Time // instances and store are without a fault since
	activeFaults     int       // faults of instances and store that have not ended
	faulty           map[*jpplatform.Instance]bool
	serviceByRequest map[string]string // service by request
	lastServerNumber uint32
	faults           sync.WaitGroup
}

func runSoak(t *testing.T, seed uint64) {
	si := startPlatform(t)
	si.Callers.Lose(soakPacketLoss, seed)
	now := time.Now()
	so := &soakRun{
		t: t, si: si, rng: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{}), stableSince: now,
		healthySince: map[*jpplatform.Server]time.Time{}, activeServers: slices.Clone(si.Servers), lastServerNumber: 0xb0000000,
		faulty: map[*jpplatform.Instance]bool{}, serviceByRequest: map[string]string{},
	}
	for _, sr := range si.Servers {
		so.healthySince[sr] = now
	}
	var workers sync.WaitGroup
	for number := range soakCallers {
		workers.Go(func() { so.runCaller(number) })
	}
	rotation := make(chan struct{})
	go func() {
		defer close(rotation)
		so.updateRotation()
	}()
	for end := now.Add(soakFaultDuration); time.Now().Before(end); {
		so.injectFault()
		time.Sleep(time.Duration(200+so.rng.IntN(700)) * time.Millisecond)
	}
	so.faults.Wait()
	so.checkRecovery()
	so.checkDrain()
	close(so.stop)
	workers.Wait()
	<-rotation
	so.checkExecutions()
}

// updateRotation leaves instances that are not ready out of the rotation, like the
// platform's routers.
func (so *soakRun) updateRotation() {
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
	address    netip.AddrPort
	service    string
	repeatable bool // may be repeated
}{
	{jpplatform.AlertRoute, "desk", true}, {jpplatform.OrderRoute, "desk", false}, {jpplatform.BrochureRoute, "catalogue", true},
}

// runCaller keeps a flow and sends requests on it.
func (so *soakRun) runCaller(number int) {
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
		so.serviceByRequest[request] = route.service
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
func (so *soakRun) checkReset(fl *jpplatform.Flow, server string, err error) {
	if !errors.Is(err, jpplatform.ErrReset) || !fl.Foreign || server == "" {
		return
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	for sr, since := range so.healthySince {
		if sr.ID == server && time.Since(since) >= soakStableTime && slices.Contains(so.activeServers, sr) {
			so.t.Errorf("a flow of %s was reset, which has been healthy for %v", server, time.Since(since))
		}
	}
}

// injectFault starts one fault, which ends by itself.
func (so *soakRun) injectFault() {
	kinds := []func(in *jpplatform.Instance, length time.Duration){
		so.killInstance, so.terminateInstance, so.pauseInstance, so.makeStoreUnavailable, so.breakStoreConnection, so.breakStoreConnection, so.dropStoreHistory, so.removeEntryTemporarily,
		so.crashServer, so.silenceServer, so.drainServer, so.replaceServer, so.removeDataCentre, so.changeRoutes, so.reloadSettings,
	}
	in := so.si.Instances[so.rng.IntN(len(so.si.Instances))]
	length := time.Duration(100+so.rng.IntN(2400)) * time.Millisecond
	kinds[so.rng.IntN(len(kinds))](in, length)
}

// endFaultAfter notes a fault of instances or of the store, for its length.
func (so *soakRun) endFaultAfter(length time.Duration, end func()) {
	so.mu.Lock()
	so.activeFaults++
	so.mu.Unlock()
	so.faults.Go(func() {
		time.Sleep(length)
		end()
		so.mu.Lock()
		so.activeFaults--
		so.stableSince = time.Now()
		so.mu.Unlock()
	})
}

func (so *soakRun) signalInstance(in *jpplatform.Instance, signal syscall.Signal) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	if so.faulty[in] || !in.Running() {
		return false
	}
	so.faulty[in] = true
	if err := in.Signal(signal); err != nil {
		so.t.Errorf("signal %v to %s: %v", signal, in.Address, err)
	}
	return true
}

// restartInstance starts an instance whose process has to end by itself in time.
func (so *soakRun) restartInstance(in *jpplatform.Instance, limit time.Duration) {
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
	so.faulty[in] = false
	so.mu.Unlock()
}

func (so *soakRun) killInstance(in *jpplatform.Instance, length time.Duration) {
	if so.signalInstance(in, syscall.SIGKILL) {
		so.endFaultAfter(length, func() { so.restartInstance(in, time.Second) })
	}
}

func (so *soakRun) terminateInstance(in *jpplatform.Instance, length time.Duration) {
	if so.signalInstance(in, syscall.SIGTERM) {
		so.endFaultAfter(0, func() { so.restartInstance(in, 6*time.Second) })
	}
}

func (so *soakRun) pauseInstance(in *jpplatform.Instance, length time.Duration) {
	if so.signalInstance(in, syscall.SIGSTOP) {
		so.endFaultAfter(length, func() {
			if err := in.Signal(syscall.SIGCONT); err != nil {
				so.t.Errorf("continue %s: %v", in.Address, err)
			}
			so.mu.Lock()
			so.faulty[in] = false
			so.mu.Unlock()
		})
	}
}

// reloadSettings asks for the settings to be read again. A process that is not ready may
// not have come to its own code yet; the signal then ends it, whatever it does.
func (so *soakRun) reloadSettings(in *jpplatform.Instance, _ time.Duration) {
	if in.Ready() && so.signalInstance(in, syscall.SIGHUP) {
		so.mu.Lock()
		so.faulty[in] = false
		so.mu.Unlock()
	}
}

func (so *soakRun) makeStoreUnavailable(_ *jpplatform.Instance, length time.Duration) {
	so.si.Store.SetAway(true)
	so.endFaultAfter(length, func() { so.si.Store.SetAway(false) })
}

func (so *soakRun) breakStoreConnection(in *jpplatform.Instance, length time.Duration) {
	faults := []jpplatform.Fault{jpplatform.Delay, jpplatform.Refuse, jpplatform.Silence, jpplatform.MuteReply}
	in.Store.Set(faults[so.rng.IntN(len(faults))])
	so.endFaultAfter(length, func() { in.Store.Set(jpplatform.Pass) })
}

func (so *soakRun) dropStoreHistory(_ *jpplatform.Instance, _ time.Duration) { so.si.Store.Forget() }

// removeEntryTemporarily removes an entry while the store is away; it is back soon afterwards.
func (so *soakRun) removeEntryTemporarily(_ *jpplatform.Instance, length time.Duration) {
	sr := so.randomServer()
	so.si.Store.SetAway(true)
	so.endFaultAfter(length, func() {
		so.si.RemoveEntry(sr)
		so.si.Store.SetAway(false)
		time.Sleep(time.Second)
		so.mu.Lock()
		defer so.mu.Unlock()
		if slices.Contains(so.activeServers, sr) {
			so.si.PutEntry(sr)
		}
	})
}

func (so *soakRun) randomServer() *jpplatform.Server {
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.activeServers[so.rng.IntN(len(so.activeServers))]
}

// deactivateServer takes a server out of those that serve, unless it is the last but one
// of its service.
func (so *soakRun) deactivateServer(sr *jpplatform.Server) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	same := 0
	for _, other := range so.activeServers {
		if other.Entry.Backend == sr.Entry.Backend {
			same++
		}
	}
	at := slices.Index(so.activeServers, sr)
	if at < 0 || same <= 2 {
		return false
	}
	so.activeServers = slices.Delete(so.activeServers, at, at+1)
	return true
}

// addServer starts a server at an address that nobody has.
func (so *soakRun) addServer(backend, zone string, address netip.AddrPort) {
	so.mu.Lock()
	so.lastServerNumber++
	number := so.lastServerNumber
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
	so.activeServers = append(so.activeServers, sr)
	so.healthySince[sr] = time.Now()
}

// crashServer ends a server without a word; after the platform's time, one of the
// other service has its address.
func (so *soakRun) crashServer(_ *jpplatform.Instance, length time.Duration) {
	sr := so.randomServer()
	if !so.deactivateServer(sr) {
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
		so.addServer(backend, sr.Entry.Zone, netip.MustParseAddrPort(sr.Entry.Address))
	})
}

func (so *soakRun) silenceServer(_ *jpplatform.Instance, length time.Duration) {
	sr := so.randomServer()
	sr.SetSilent(true)
	so.faults.Go(func() {
		time.Sleep(length)
		sr.SetSilent(false)
		so.mu.Lock()
		defer so.mu.Unlock()
		so.healthySince[sr] = time.Now()
	})
	so.mu.Lock()
	defer so.mu.Unlock()
	so.healthySince[sr] = time.Now().Add(length)
}

// drainServer takes a server away as planned; new flows must not reach it after the
// bound.
func (so *soakRun) drainServer(_ *jpplatform.Instance, _ time.Duration) {
	sr := so.randomServer()
	if !so.deactivateServer(sr) {
		return
	}
	so.si.PutDraining(sr)
	so.faults.Go(func() {
		time.Sleep(platformChangeBound)
		opened, from := sr.Opened(), time.Now()
		time.Sleep(2 * time.Second)
		so.mu.Lock()
		stable := so.activeFaults == 0 && from.Sub(so.stableSince) >= soakStableTime
		so.mu.Unlock()
		if more := sr.Opened() - opened; more > 0 && stable {
			so.t.Errorf("%d new flows at %s, which has drained for %v", more, sr.ID, platformChangeBound)
		}
		sr.Stop()
		so.si.RemoveEntry(sr)
		so.addServer(sr.Entry.Backend, sr.Entry.Zone, netip.MustParseAddrPort(sr.Entry.Address))
	})
}

// replaceServer starts a server under the id and address of one that crashed.
func (so *soakRun) replaceServer(_ *jpplatform.Instance, length time.Duration) {
	sr := so.randomServer()
	if !so.deactivateServer(sr) {
		return
	}
	sr.Stop()
	so.faults.Go(func() {
		time.Sleep(length)
		so.addServer(sr.Entry.Backend, sr.Entry.Zone, netip.MustParseAddrPort(sr.Entry.Address))
		so.si.RemoveEntry(sr)
	})
}

func (so *soakRun) removeDataCentre(in *jpplatform.Instance, length time.Duration) {
	so.si.SetOut(in.Zone, true)
	so.faults.Go(func() {
		time.Sleep(length)
		so.si.SetOut(in.Zone, false)
	})
}

// changeRoutes adds a route, or removes it again.
func (so *soakRun) changeRoutes(_ *jpplatform.Instance, _ time.Duration) {
	routes := jpplatform.StandardRoutes()
	if so.rng.IntN(2) == 0 {
		routes = append(routes, jpplatform.Route{Address: netip.MustParseAddrPort("198.18.0.9:80"), Kind: "safe", Backend: "desk"})
	}
	so.si.Lock()
	defer so.si.Unlock()
	so.si.SetRoutes(routes...)
}

// checkRecovery waits until everything serves, and checks that it does.
func (so *soakRun) checkRecovery() {
	end := time.Now().Add(soakRecoveryTime)
	for time.Now().Before(end) {
		time.Sleep(pollEvery)
	}
	for _, in := range so.si.Instances {
		if !in.Running() || !in.Ready() {
			so.t.Errorf("%s is not ready %v after the last fault: %s", in.Address, soakRecoveryTime, in.State())
		}
	}
	// Lost packets are the last fault: a request of which all copies are lost
	// gets no answer, whatever the instances do.
	so.si.Callers.Lose(0, 0)
	for _, route := range soakRoutes {
		for n := range 20 {
			fl, err := so.si.Callers.Open(route.address)
			if err == nil {
				_, err = fl.Request(fmt.Sprintf("healed %s %d", route.address, n), requestTimeout)
			}
			if err != nil {
				so.t.Errorf("%v after the last fault: flow %d to %s: %v", soakRecoveryTime, n, route.address, err)
			}
		}
	}
}

// checkDrain guards G8 when nothing else happens: while faults go on, its bound
// seldom holds for all instances.
func (so *soakRun) checkDrain() {
	sr := so.randomServer()
	so.si.PutDraining(sr)
	time.Sleep(platformChangeBound)
	opened := sr.Opened()
	for n := range 30 {
		if _, err := so.si.Callers.Open(soakRoutes[n%len(soakRoutes)].address); err != nil {
			so.t.Errorf("flow %d while %s drains: %v", n, sr.ID, err)
		}
	}
	if more := sr.Opened() - opened; more > 0 {
		so.t.Errorf("%d new flows at %s, which has drained for %v", more, sr.ID, platformChangeBound)
	}
}

// checkExecutions guards G2 and G7: each request ran at most once, at a server of its
// service.
func (so *soakRun) checkExecutions() {
	so.mu.Lock()
	defer so.mu.Unlock()
	served := 0
	for request, service := range so.serviceByRequest {
		ran := 0
		for _, sr := range slices.Collect(maps.Keys(so.healthySince)) {
			count := sr.Ran(request)
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
	so.t.Logf("%d of %d requests ran", served, len(so.serviceByRequest))
	if served*4 < len(so.serviceByRequest)*3 {
		so.t.Errorf("%d of %d requests ran, want three quarters", served, len(so.serviceByRequest))
	}
}
