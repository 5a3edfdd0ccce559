package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// shortPause is the length of the freezes of a machine.
	shortPause = 280 * time.Millisecond
	// pauseLead is how long before a change of the rotation a freeze begins.
	pauseLead = 170 * time.Millisecond
)

// nextProbe returns the time of the next readiness check of an instance.
func (in *instance) nextProbe() time.Time {
	at := time.Unix(0, in.probed.Load()).Add(probePeriod)
	for at.Before(time.Now()) {
		at = at.Add(probePeriod)
	}
	return at
}

// freeze stops an instance around a time at which the rotation changes.
func (rg *rig) freeze(in *instance, change time.Time) {
	time.Sleep(time.Until(change.Add(-pauseLead)))
	rg.logf("fault: %s freezes for %s", in.name, shortPause)
	in.signal(syscall.SIGSTOP)
	time.Sleep(shortPause)
	in.signal(syscall.SIGCONT)
}

// playPause plays short freezes of machines while others are restarted as planned.
func playPause(ctx context.Context, root, record string, trouble bool) (*rig, error) {
	rg, err := startSmallSite(ctx, root, record)
	if err != nil {
		return rg, err
	}
	ct, stop := rg.startUsers(ctx, 260, 80, 80)
	defer stop()
	time.Sleep(6 * time.Second)
	hobart := rg.instances[:3]
	for step := range 18 {
		leaving, frozen := hobart[step%3], hobart[(step+1)%3]
		rg.logf("operator: %s is stopped and started again", leaving.name)
		var restart sync.WaitGroup
		restart.Go(func() {
			if err := leaving.restart(); err != nil {
				rg.logf("operator: %s: %v", leaving.name, err)
			}
		})
		if trouble {
			// The second check that fails takes the instance out of the rotation.
			rg.freeze(frozen, leaving.nextProbe().Add(probePeriod))
		}
		restart.Wait()
		time.Sleep(100 * time.Millisecond)
		if trouble {
			rg.freeze(frozen, leaving.nextProbe())
		}
		time.Sleep(time.Second)
	}
	time.Sleep(8 * time.Second)
	stop()
	rg.logCounts(ct)
	return rg, nil
}
