package test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jacinthpass/lab/jpplatform"
)

var soakRoutes = []jpplatform.Route{
	{Address: jpplatform.AlertRoute, Kind: "safe", Backend: "desk", Priority: 2, TargetLatencyMs: 300},
	{Address: jpplatform.OrderRoute, Kind: "unsafe", Backend: "desk", Priority: 1, TargetLatencyMs: 500},
	{Address: jpplatform.BrochureRoute, Kind: "download", Backend: "catalogue", Priority: 1},
	{Address: netip.MustParseAddrPort("198.18.0.3:443"), Kind: "safe", Priority: 2, TargetLatencyMs: 300,
		Split: []jpplatform.Share{{Backend: "desk", Weight: 90}, {Backend: "catalogue", Weight: 10}}},
	{Address: netip.MustParseAddrPort("198.18.0.4:443"), Kind: "safe", Backend: "desk"},
}

// servicesOf returns the services that requests of a route may be sent to.
func servicesOf(route jpplatform.Route) []string {
	services := []string{}
	for _, share := range route.Split {
		services = append(services, share.Backend)
	}
	if len(services) == 0 {
		services = append(services, route.Backend)
	}
	return services
}

// runCaller sends requests on a flow, and opens another flow when a request fails.
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
			opened, err := so.si.Callers.Open(route.Address)
			if err != nil {
				continue
			}
			fl, server = opened, ""
		}
		request := fmt.Sprintf("%s %d %d", route.Address, number, count)
		so.mu.Lock()
		so.servicesByRequest[request] = servicesOf(route)
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

const (
	overloadCallers = 60 // several times the slots of the service that they use most
	overloadTime    = 2 * time.Second
	overloadDelay   = 150 * time.Millisecond // of a server's answers
)

// overload makes servers slow and sends more flows than they have slots, in the middle
// of the faults.
func (so *soakRun) overload() {
	time.Sleep(soakFaultDuration / 3)
	so.setDelay(overloadDelay)
	var callers sync.WaitGroup
	for number := range overloadCallers {
		callers.Go(func() {
			for end, count := time.Now().Add(overloadTime), 0; time.Now().Before(end); count++ {
				so.sendOnce(soakRoutes[number%len(soakRoutes)], fmt.Sprintf("overload %d %d", number, count))
			}
		})
	}
	callers.Wait()
	so.setDelay(0)
}

func (so *soakRun) setDelay(delay time.Duration) {
	so.mu.Lock()
	defer so.mu.Unlock()
	for sr := range so.healthySince {
		sr.SetDelay(delay)
	}
}

// sendOnce sends a request on a flow of its own, if that opens.
func (so *soakRun) sendOnce(route jpplatform.Route, request string) {
	fl, err := so.si.Callers.Open(route.Address)
	if err != nil {
		return
	}
	so.mu.Lock()
	so.servicesByRequest[request] = servicesOf(route)
	so.mu.Unlock()
	_, _ = fl.Request(request, 3*time.Second) // its executions are checked at the end
}

// checkRefusals checks that no server has received anything of a flow that an instance
// refused.
func (so *soakRun) checkRefusals() {
	refused := so.si.Callers.Refused()
	so.t.Logf("%d flows were refused", len(refused))
	for _, caller := range refused {
		for sr := range so.healthySince {
			if sr.Received(caller) {
				so.t.Errorf("the flow of %s was refused although its SYN reached %s", caller, sr.ID)
			}
		}
	}
}

// checkReset checks that no instance resets a flow whose server is active and has been
// without a fault for soakStableTime.
func (so *soakRun) checkReset(fl *jpplatform.Flow, server string, err error) {
	if !errors.Is(err, jpplatform.ErrReset) || !fl.ResetByBalancer || server == "" {
		return
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	for sr, since := range so.healthySince {
		if sr.ID == server && time.Since(since) >= soakStableTime && slices.Contains(so.activeServers, sr) {
			so.t.Errorf("a flow of %s was reset although the server had no fault for %v", server, time.Since(since))
		}
	}
}
