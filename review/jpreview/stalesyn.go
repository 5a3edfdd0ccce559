package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	freezeTime  = 3500 * time.Millisecond // of the site's node_freeze
	openingTime = 2500 * time.Millisecond // from the start of the freeze
	openPause   = 8 * time.Millisecond    // between two new flows
)

// runStaleSYN checks that flows that opened while an instance was frozen go on after it
// has woken. It breaks FLOW if such a flow gets a reset that its server, which lives, did
// not send, from instances that are in touch.
func runStaleSYN(cr *caseRun) (bool, error) {
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
			answer, err := fl.request(id+"-later", requestTimeout)
			cr.record.add("request %s-later: answer %q, error %v", id, answer, err)
			if errors.Is(err, errServerReset) || errors.Is(err, errBalancerReset) {
				broken.Add(1)
				cr.record.add("flow %s of server %s, which lives, got a reset", fl.self, cr.backendOf(id).id)
			}
		})
	}
	workers.Wait()
	cr.record.add("%d of %d flows got a reset that their server did not send", broken.Load(), len(flows))
	return broken.Load() == 0, nil
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
