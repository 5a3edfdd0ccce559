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
	minStoreBackoff      = 200 * time.Millisecond // after the first failed call, or while the store has no settings
	maxStoreBackoff      = 5 * time.Second
	watcherCheckInterval = 500 * time.Millisecond // between checks whether this instance is a watcher
	listWatchInterval    = time.Second            // between reads by watchers; minimum between reads by others
	listPollInterval     = 30 * time.Second       // between polls by others

	// watchersPerDataCentre is the number of instances in each data centre that watch
	// the store and the instance list. With two, the failure of one causes no delay.
	watchersPerDataCentre = 2
)

// offerSettings puts a record in force if it is newer than the one in force. from is
// "store" or names the peer that sent it.
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
		klog.Errorf("rollout: settings version %d from %s refused: %v", ad.Version, from, ad.Err)
		in.recordEvent("rollout", "settings_refused", fmt.Sprint(ad.Version), from)
		return
	case jprollout.Stale:
		return
	}
	in.metrics.SetSettingsVersion(ad.Version)
	klog.Infof("rollout: settings version %d from %s in force", ad.Version, from)
	in.recordEvent("rollout", "settings_in_force", fmt.Sprint(ad.Version), "from "+from)
	st := &in.steering
	st.mu.Lock()
	tables := st.steerer.Tables()
	st.mu.Unlock()
	tables = jptable.BuildTables(tree, tables) // not under the lock, which would delay packets
	st.mu.Lock()
	// Concurrent calls can get here in any order; the steerer ignores a tree that is
	// not newer than its own.
	out := st.steerer.ApplyTables(time.Now(), tree, tables, nil)
	if bl, ok := st.handler.(baseline); ok {
		bl.ApplySettings(tree)
	}
	st.mu.Unlock()
	in.executeOutcomes(out)
	in.updatePeersAndServers()
}

// handleSettingsRequest sends the settings in force to a peer that has older ones.
func (in *Instance) handleSettingsRequest(from string, rq jppeer.SettingsRequest) {
	in.control.mu.Lock()
	rec := in.control.rollout.Record()
	in.control.mu.Unlock()
	if rec.Version <= rq.Version {
		return
	}
	if err := in.peers.Send(from, jppeer.Settings{Record: rec}); err != nil {
		klog.Warningf("rollout: settings for %s not sent: %v", from, err)
	}
}

// watchSettings watches the settings in the store while this instance is a watcher or
// has no settings at all.
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
			klog.Warningf("rollout: settings not read: %v", err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
}

// shouldWatchSettings reports whether this instance watches the settings in the store.
func (in *Instance) shouldWatchSettings() bool {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	if in.control.rollout.Record().Version == 0 {
		return true
	}
	return in.isWatcher()
}

// isWatcher reports whether this instance is one of the watchers of its data centre.
// The caller holds control.mu.
func (in *Instance) isWatcher() bool {
	return slices.Contains(jprollout.Watchers(in.control.view.Members, in.cfg.DataCentre, watchersPerDataCentre), in.cfg.ID)
}

// watchInstanceList reads the platform's instance list. A watcher waits for changes of
// the list; other instances poll it. After an error, a watcher polls until a read
// succeeds.
func (in *Instance) watchInstanceList(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		rows, next, err := in.store.WatchInstances(ctx, index)
		lastRead := time.Now()
		index = next
		if err != nil {
			klog.V(1).Infof("member: instance list not read: %v", err)
		} else {
			in.control.mu.Lock()
			in.control.group.HandleList(lastRead, rows)
			in.control.mu.Unlock()
			in.updatePeersAndServers()
		}
		if in.shouldWatchList() {
			// Limits the rate of reads if the list changes continuously, and spreads
			// the reads of watchers that a change wakes at the same time.
			sleep(ctx, jitter(listWatchInterval))
			continue
		}
		index = 0
		in.waitForListRefresh(ctx, lastRead.Add(jitter(listPollInterval)))
		sleep(ctx, time.Until(lastRead.Add(listWatchInterval)))
	}
}

// shouldWatchList reports whether this instance watches the instance list: it is a
// watcher or knows no other instance.
func (in *Instance) shouldWatchList() bool {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	return in.isWatcher() || len(in.control.view.Members) <= 1
}

// waitForListRefresh waits until the given time, until a read of the list is
// requested or until this instance has to watch the list.
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

// requestListRefresh requests a read of the instance list before the next poll.
func (in *Instance) requestListRefresh() {
	select {
	case in.listRefresh <- struct{}{}:
	default:
	}
}

// sleep waits for the given time or until ctx ends.
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

// jitter returns a random time between 3/4 and 5/4 of wait, so that the calls of many
// instances do not coincide.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + rand.N(wait/2)
}
