package jpinstance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jprollout"
	"jacinthpass/core/jptable"
	"jacinthpass/io/jppeer"
	"jacinthpass/io/jpstore"
)

const (
	minStoreBackoff      = 200 * time.Millisecond // after a failed call
	maxStoreBackoff      = 5 * time.Second
	watcherCheckInterval = 500 * time.Millisecond // between looks whether this instance watches
	listWatchInterval    = time.Second            // for the instances that follow the list
	listPollInterval     = 30 * time.Second       // for the others

	// watchersPerDataCentre is two, so that one instance can die without a delay.
	watchersPerDataCentre = 2
)

// offer brings a record into force if it is newer than the one in force.
func (in *Instance) offerSettings(rec jprollout.Record, from string) {
	now := time.Now()
	source := jprollout.FromPeer
	if from == "store" {
		source = jprollout.FromStore
	}
	co := &in.control
	co.mu.Lock()
	ad := co.rollout.Offer(now, rec, source)
	tree := co.rollout.Tree()
	if ad.Kind == jprollout.Adopted {
		co.group.RequestRound()
	}
	co.mu.Unlock()
	switch ad.Kind {
	case jprollout.Refused:
		klog.Errorf("rollout: version %d from %s refused: %v", ad.Version, from, ad.Err)
		in.recordEvent("rollout", "settings_refused", fmt.Sprint(ad.Version), from)
		return
	case jprollout.Stale:
		return
	}
	in.metrics.SetSettingsVersion(ad.Version)
	klog.Infof("rollout: version %d in force, from %s", ad.Version, from)
	in.recordEvent("rollout", "settings_in_force", fmt.Sprint(ad.Version), "from "+from)
	st := &in.steering
	st.mu.Lock()
	tables := st.steerer.Tables()
	st.mu.Unlock()
	tables = jptable.BuildTables(tree, tables) // without the lock, packets would wait
	st.mu.Lock()
	// Two offers may overtake each other here; the steering keeps the newer one.
	out := st.steerer.ApplyTables(time.Now(), tree, tables, nil)
	if bl, ok := st.handler.(baseline); ok {
		bl.ApplySettings(tree)
	}
	st.mu.Unlock()
	in.executeOutcomes(out)
	in.updatePeersAndServers()
}

func (in *Instance) handleSettingsRequest(from string, rq jppeer.SettingsRequest) {
	in.control.mu.Lock()
	rec := in.control.rollout.Record()
	in.control.mu.Unlock()
	if rec.Version <= rq.Version {
		return
	}
	if err := in.peers.Send(from, jppeer.Settings{Record: rec}); err != nil {
		klog.Warningf("rollout: settings to %s: %v", from, err)
	}
}

// followSettings watches the store while it is this instance's turn, or while
// it has no settings at all.
func (in *Instance) watchSettings(ctx context.Context) {
	var index uint64
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		if !in.shouldWatchSettings() {
			index = 0
			sleep(ctx, watcherCheckInterval)
			continue
		}
		rec, next, err := in.store.WatchSettings(ctx, index)
		switch {
		case err == nil:
			index = next
			backoff = minStoreBackoff
			in.offerSettings(rec, "store")
		case errors.Is(err, jpstore.ErrNoSettings):
			index = next
			sleep(ctx, minStoreBackoff)
		case ctx.Err() == nil:
			klog.Warningf("rollout: %v", err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
}

// watches tells whether this instance watches the store.
func (in *Instance) shouldWatchSettings() bool {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	if in.control.rollout.Record().Version == 0 {
		return true
	}
	return in.isWatcher()
}

// follows tells whether this instance is one of the few of its data centre that
// follow the platform. The caller holds control.mu.
func (in *Instance) isWatcher() bool {
	return slices.Contains(jprollout.Watchers(in.control.view.Members, in.cfg.DataCentre, watchersPerDataCentre), in.cfg.ID)
}

// followList reads the platform's instance list. While it is this instance's
// turn to follow it, it waits for changes; after an error it polls until a read
// succeeds.
func (in *Instance) watchInstanceList(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		rows, next, err := in.store.WatchInstances(ctx, index)
		lastRead := time.Now()
		index = next
		if err != nil {
			klog.V(1).Infof("member: instance list: %v", err)
		} else {
			in.control.mu.Lock()
			in.control.group.HandleList(lastRead, rows)
			in.control.mu.Unlock()
			in.updatePeersAndServers()
		}
		if in.shouldWatchList() {
			// Also bounds the reads of a list that changes all the time, and
			// spreads those of the followers that a change wakes together.
			sleep(ctx, jitter(listWatchInterval))
			continue
		}
		index = 0
		in.waitForListRefresh(ctx, lastRead.Add(jitter(listPollInterval)))
		sleep(ctx, time.Until(lastRead.Add(listWatchInterval)))
	}
}

// followsList tells whether this instance follows the list.
func (in *Instance) shouldWatchList() bool {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	return in.isWatcher() || len(in.control.view.Members) <= 1
}

// awaitRefresh waits until a time, or until the list is asked for out of turn or
// this instance has to follow it.
func (in *Instance) waitForListRefresh(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && time.Now().Before(until) && !in.shouldWatchList() {
		timer := time.NewTimer(watcherCheckInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-in.listRefresh:
			until = time.Time{}
		}
		timer.Stop()
	}
}

// askForList asks for the instance list out of turn.
func (in *Instance) requestListRefresh() {
	select {
	case in.listRefresh <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter spreads the calls of many instances over time.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + rand.N(wait/2)
}
