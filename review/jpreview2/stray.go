package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// lossShare is the share of the servers' datagrams that the network loses.
const lossShare = 0.02

var threeZones = []string{"hobart", "launceston", "devonport"}

// startSmallSite starts the deployment of the cases: seven machines and eighteen servers
// in three zones.
func startSmallSite(ctx context.Context, root, record string) (*rig, error) {
	rg, err := newRig(root, record, map[string]int{"hobart": 3, "launceston": 2, "devonport": 2}, threeZones)
	if err != nil {
		return rg, err
	}
	rg.warmup = 20
	rg.putConfig()
	for _, zone := range threeZones {
		for range 5 {
			if _, err := rg.addServer(deskService, zone, 0); err != nil {
				return rg, err
			}
		}
		if _, err := rg.addServer(catalogueService, zone, 0); err != nil {
			return rg, err
		}
	}
	if err := rg.startInstances(ctx); err != nil {
		return rg, err
	}
	if err := rg.awaitReady(20 * time.Second); err != nil {
		return rg, err
	}
	host := 0
	for _, zone := range threeZones {
		for range 2 {
			host++
			cs, err := rg.startConsumer(zone, rg.addr(3, host))
			if err != nil {
				return rg, err
			}
			rg.consumers = append(rg.consumers, cs)
		}
	}
	return rg, nil
}

// counts are the results of the requests of a case.
type counts struct{ answered, refused, reset, unanswered atomic.Int64 }

// startUsers starts users of the consumers of each zone, in the order of the zones. The
// function that it returns ends them.
func (rg *rig) startUsers(ctx context.Context, counted ...int) (*counts, func()) {
	ctx, cancel := context.WithCancel(ctx)
	ct := new(counts)
	var users sync.WaitGroup
	for zone, count := range counted {
		for ix := range count {
			users.Go(func() { rg.use(ctx, rg.consumers[2*zone+ix%2], 1000*zone+ix, ct) })
		}
	}
	return ct, func() {
		cancel()
		users.Wait()
	}
}

func (rg *rig) logCounts(ct *counts) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.logLocked("requests: %d answered, %d flows refused, %d reset, %d without an answer; %d datagrams lost",
		ct.answered.Load(), ct.refused.Load(), ct.reset.Load(), ct.unanswered.Load(), rg.lost)
}

// use keeps flows open and sends requests on them, with pauses, until ctx ends.
func (rg *rig) use(ctx context.Context, cs *consumer, number int, ct *counts) {
	for ctx.Err() == nil {
		route, method := alertRoute, "GET"
		if rand.N(3) == 0 {
			route, method = orderRoute, "POST"
		}
		fl, err := cs.open(route)
		if err != nil {
			ct.refused.Add(1)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		rg.useFlow(ctx, fl, method, number, ct)
	}
}

func (rg *rig) useFlow(ctx context.Context, fl *flow, method string, number int, ct *counts) {
	requests := 4 + rand.N(5)
	for ix := range requests {
		id := fmt.Sprintf("q%d-%d-%d", number, fl.port, ix)
		answer, err := fl.request(id, method, 3*time.Second)
		switch {
		case err == errReset:
			ct.reset.Add(1)
			rg.logf("request %s %s on %s: sent, run by %v, flow reset before an answer", id, method, fl.name(), rg.runsOf(id))
			fl.forget()
			return
		case err != nil:
			ct.unanswered.Add(1)
			rg.logf("request %s %s on %s: sent, run by %v, no answer in time", id, method, fl.name(), rg.runsOf(id))
			rg.judgeAstray(fl)
			fl.forget()
			return
		case headerText(answer, "X-Jacinthpass-Request-Id") != id:
			rg.broken("MIXED: request %s got the answer of another one", id)
		}
		ct.answered.Add(1)
		rg.logf("request %s %s on %s: sent, run by %v, answered", id, method, fl.name(), rg.runsOf(id))
		if method == "POST" && len(rg.runsOf(id)) != 1 {
			rg.broken("request %s may run once at most, run by %v", id, rg.runsOf(id))
		}
		if ctx.Err() != nil {
			break
		}
		if fl.pause(200*time.Millisecond+rand.N(1500*time.Millisecond)) != nil {
			fl.forget()
			return
		}
	}
	fl.close()
}

// playStray plays a planned restart of all machines in turn, in a network that loses single
// datagrams now and then, with and without the restart.
func playStray(ctx context.Context, root, record string, trouble bool) (*rig, error) {
	rg, err := startSmallSite(ctx, root, record)
	if err != nil {
		return rg, err
	}
	ct, stop := rg.startUsers(ctx, 80, 80, 80)
	defer stop()
	time.Sleep(5 * time.Second)
	rg.setLoss(lossShare)
	time.Sleep(8 * time.Second)
	var restarts sync.WaitGroup
	for _, in := range rg.instances {
		if trouble {
			rg.logf("operator: %s is stopped and started again", in.name)
			restarts.Go(func() {
				if err := in.restart(); err != nil {
					rg.logf("operator: %s: %v", in.name, err)
				}
			})
		}
		time.Sleep(2 * time.Second)
	}
	restarts.Wait()
	time.Sleep(8 * time.Second)
	stop()
	rg.logCounts(ct)
	return rg, nil
}
