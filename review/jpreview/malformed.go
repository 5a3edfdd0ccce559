package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	flowsPerZone   = 20
	requestTimeout = time.Second // the callers' time budget
	requestPause   = 100 * time.Millisecond

	// reportIntervals is the time after which the store removes an entry that nobody
	// renews: three liveness report intervals.
	reportIntervals = 3 * 770 * time.Millisecond
)

// runMalformedEntry checks that open flows go on while another writer's entry, which
// lacks fields, has the address of a server. It breaks FLOW if a flow gets a reset that
// its server, which lives, did not send.
func runMalformedEntry(cr *caseRun) (bool, error) {
	stop := make(chan struct{})
	var broken, lost, opened atomic.Int64
	var workers sync.WaitGroup
	for _, ch := range cr.callers {
		for number := range flowsPerZone {
			workers.Go(func() {
				cr.useFlow(ch, fmt.Sprintf("%s-%d", ch.zone, number), stop, &opened, &broken, &lost)
			})
		}
	}
	time.Sleep(connectedTime)
	if opened.Load() != int64(flowsPerZone*len(cr.callers)) {
		close(stop)
		workers.Wait()
		return false, fmt.Errorf("only %d flows opened", opened.Load())
	}
	if cr.trouble {
		cr.putMalformed()
	} else {
		time.Sleep(reportIntervals)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	workers.Wait()
	cr.record.add("%d flows opened, %d got a reset that their server did not send, %d requests that were sent got no answer",
		opened.Load(), broken.Load(), lost.Load())
	return broken.Load() == 0, nil
}

// putMalformed writes the entry, and removes it when the store would.
func (cr *caseRun) putMalformed() {
	victim := cr.backends[0]
	cr.record.add("another writer puts an entry without version, concurrency, warmupLeftMs and sequence, with the address of server %s", victim.id)
	cr.store.Put("servers/i-0badbad0", map[string]any{
		"backend": victim.service, "address": victim.address.String(), "zone": victim.zone, "state": "ready",
	})
	time.Sleep(reportIntervals)
	cr.store.Remove("servers/i-0badbad0")
	cr.record.add("the store removes the entry")
}

// useFlow opens a flow and sends requests on it until stop is closed or the flow ends.
func (cr *caseRun) useFlow(ch *callerHost, name string, stop <-chan struct{}, opened, broken, lost *atomic.Int64) {
	fl, err := ch.openFlow(orderRoute)
	if err != nil {
		cr.record.add("caller %s could not open a flow: %v", name, err)
		return
	}
	opened.Add(1)
	defer fl.close()
	for number := 0; ; number++ {
		if errors.Is(fl.failure(), errBalancerReset) {
			broken.Add(1)
			return
		}
		id := fmt.Sprintf("%s-%d", name, number)
		answer, err := fl.request(id, requestTimeout)
		cr.record.add("request %s: answer %q, error %v", id, answer, err)
		if err != nil {
			lost.Add(1)
		}
		if errors.Is(err, errBalancerReset) {
			broken.Add(1)
		}
		if err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(requestPause):
		}
	}
}
