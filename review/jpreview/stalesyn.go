package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	freezeTime  = 3500 * time.Millisecond // of the site's node_freeze
	openingTime = 2500 * time.Millisecond // from the start of the freeze
	openPause   = 8 * time.Millisecond    // between two new flows

	// laterTimeout is how long the later requests wait: reorderMs and a reserve.
	laterTimeout = 3 * time.Second

	// strayThreshold is the number of packets of a flow that have to reach other servers
	// in reorderMs, and none its own, to break FLOW.
	strayThreshold = 3
)

// runStaleSYN checks that flows that opened while an instance was frozen go on after it
// has woken. It breaks FLOW if such a flow gets a reset that its server, which lives, did
// not send, or if its packets reach other servers only. All instances are in touch then.
// With HALF_OPEN=ignore, servers ignore packets of flows that are half open there.
func runStaleSYN(cr *caseRun) (bool, error) {
	for _, bk := range cr.backends {
		bk.ignoreHalfOpen = os.Getenv("HALF_OPEN") == "ignore"
	}
	frozen := cr.instances[0]
	if cr.trouble {
		cr.record.add("instance %s freezes", frozen.name)
		if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.AfterFunc(freezeTime, func() {
			_ = frozen.cmd.Process.Signal(syscall.SIGCONT) // its end is recorded
			cr.record.add("instance %s wakes", frozen.name)
		})
	}
	began := time.Now()
	flows := cr.openFlows(began.Add(openingTime))
	time.Sleep(time.Until(began.Add(freezeTime + connectedTime + 2*time.Second)))
	cr.record.add("%d flows are open, each sends another request", len(flows))
	if len(flows) == 0 {
		return false, errors.New("no flow opened")
	}
	var broken atomic.Int64
	var workers sync.WaitGroup
	for id, fl := range flows {
		workers.Go(func() {
			answer, err := fl.request(id+"-later", laterTimeout)
			cr.record.add("request %s-later: answer %q, error %v", id, answer, err)
			strays := cr.strayPackets(fl)
			if errors.Is(err, errServerReset) || errors.Is(err, errBalancerReset) || err != nil && strays >= strayThreshold {
				broken.Add(1)
				cr.record.add("flow %s of server %s, which lives: %v, %d packets reached other servers", fl.self, cr.backendOf(id).id, err, strays)
			}
		})
	}
	workers.Wait()
	cr.record.add("%d of %d flows got a reset that their server did not send, or reached other servers only", broken.Load(), len(flows))
	return broken.Load() == 0, nil
}

// strayPackets returns how many packets of a flow servers have ignored that do not hold
// it.
func (cr *caseRun) strayPackets(fl *callerFlow) int {
	count := 0
	for _, bk := range cr.backends {
		count += bk.ignoredPackets(flowID{fl.self, fl.route})
	}
	return count
}

// openFlows opens flows of the first zone's callers, one after the other, and returns
// those on which a request was answered, by the id of that request.
func (cr *caseRun) openFlows(end time.Time) map[string]*callerFlow {
	var mu sync.Mutex
	flows := map[string]*callerFlow{}
	var workers sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		workers.Go(func() {
			fl, err := cr.callers[0].openFlow(orderRoute)
			id := fmt.Sprintf("stale-%d", number)
			if err == nil {
				_, err = fl.request(id, requestTimeout)
			}
			if err != nil {
				cr.record.add("request %s: %v", id, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows[id] = fl
		})
		time.Sleep(openPause)
	}
	workers.Wait()
	return flows
}
