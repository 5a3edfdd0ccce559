package jpentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jprollout"
)

const (
	// watchPause is the delay between a watch that returned changes and the next
	// one, so that a burst of changes is read in one call. Changes have to take
	// effect within 3 s, of which their distribution to peers takes up to 1 s.
	watchPause = 800 * time.Millisecond

	// watcherCheckInterval is how often an instance that does not watch the store
	// checks at least whether it has to.
	watcherCheckInterval = 250 * time.Millisecond

	// minWatchWait is the shortest wait of a watch, which the store takes in whole
	// milliseconds.
	minWatchWait = time.Millisecond

	// staleAfter is the age above which what is known of the store's availability
	// does not count: the wait of a watch plus the time for which a peer's status is
	// used.
	staleAfter = jpdirectory.WatchWait + statusMaxAge

	// startGracePeriod is the time after the start in which an instance does not
	// select itself as a watcher, because it may not have heard from its peers
	// yet. It does not need to watch so soon after its full read of the store. A
	// random part of startGraceJitter is added: if all instances start together,
	// the first ones that watch tell the others who is registered.
	startGracePeriod = 1500 * time.Millisecond
	startGraceJitter = time.Second

	// startPhase is the time after the start in which instances that have not been
	// heard of count as possible watchers. If one of them is dead, the directory
	// becomes stale, and this instance watches.
	startPhase = 4 * time.Second

	// callTimeout bounds a call to the store, which responds in 4 ms, or in
	// 240 ms when it is slow.
	callTimeout = time.Second

	// maxPageTimeout is the upper limit of the timeout for reading a page, which
	// doubles after each failure. If 300 instances start at the same time and
	// read 3,300 entries each, they occupy the store's 1 Gbit/s link for 3 s.
	maxPageTimeout = 4 * time.Second

	// Limits of the delay before a failed read is repeated. Outages of the store
	// last seconds.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// syncDirectory fills the directory from the store and keeps it up to date while
// this instance has to watch the store.
func (en *Entry) syncDirectory(ctx context.Context) {
	retryDelay := minRetryDelay
	synced := false
	read := newFullRead(time.Now(), scopesAtStart(en.settings.FirstStart)...)
	for ctx.Err() == nil {
		if wait := en.timeToWatch(time.Now()); synced && wait > 0 {
			sleep(ctx, min(wait, watcherCheckInterval))
			continue
		}
		began := time.Now()
		up, err := en.fetch(ctx, synced, read)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			klog.InfoS("store: reading everything", "err", err)
			synced, read = false, newFullRead(time.Now(), AllRecords)
		case err != nil:
			en.handleStoreError(err)
			sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			// A peer may have filled the directory in the meantime.
			synced = en.directoryKnown()
		default:
			synced, retryDelay = true, minRetryDelay
			en.handleStoreUpdate(began, up)
			if len(up.Records) > 0 {
				sleep(ctx, watchPause)
			}
		}
	}
}

// fetch reads the whole store if synced is false, and otherwise watches for
// changes after the directory's revision.
func (en *Entry) fetch(ctx context.Context, synced bool, fr *fullRead) (jpdirectory.Update, error) {
	store := en.store.Load()
	if !synced {
		return fr.readRemaining(ctx, store, en.handleEarly)
	}
	en.mu.Lock()
	revision := en.directory.Revision()
	wait := max(time.Until(en.watchDuty.WaitUntil()), minWatchWait)
	en.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	return store.Watch(ctx, revision, wait)
}

// fullRead is the state of a complete read of the store. After a failure it
// resumes at the missing page: if many instances started over, they would delay
// one another by keeping the store busy.
type fullRead struct {
	update      jpdirectory.Update
	scopes      []Scope       // that are not complete
	after       string        // key after which the next page of the first of them begins
	pageTimeout time.Duration // of the next page
}

// scopesAtStart returns the scopes that a starting instance reads, in their order. Servers
// come first if flows may be open: packets of these need nothing else, and the manifest can
// take as long on a slow link as callers wait.
func scopesAtStart(first bool) []Scope {
	if first {
		return []Scope{AllRecords}
	}
	return []Scope{ServerRecords, OperatorRecords, InstanceRecords}
}

func newFullRead(now time.Time, scopes ...Scope) *fullRead {
	return &fullRead{update: jpdirectory.Update{Full: true, CurrentAt: now}, scopes: scopes, pageTimeout: callTimeout}
}

// readRemaining reads the missing pages and passes the records so far to early after each
// scope but the last. The update's revision is that of the first page, so that a watch from
// it returns all changes made during the read.
func (fr *fullRead) readRemaining(ctx context.Context, store Store, early func([]jpdirectory.Record)) (jpdirectory.Update, error) {
	for {
		page, err := fr.readPage(ctx, store)
		if err != nil {
			fr.pageTimeout = min(2*fr.pageTimeout, maxPageTimeout)
			return jpdirectory.Update{}, err
		}
		switch {
		case fr.update.Revision.IsZero():
			fr.update.Revision = page.Revision
		case page.Revision.Era != fr.update.Revision.Era:
			return jpdirectory.Update{}, fmt.Errorf("%w: the store was restored during a full read", ErrHistoryGone)
		}
		fr.update.Records = append(fr.update.Records, page.Records...)
		fr.after = page.Next
		if fr.after != "" {
			continue
		}
		if fr.scopes = fr.scopes[1:]; len(fr.scopes) == 0 {
			return fr.update, nil
		}
		early(fr.update.Records)
	}
}

func (fr *fullRead) readPage(ctx context.Context, store Store) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, fr.pageTimeout)
	defer cancel()
	return store.ReadPage(ctx, fr.scopes[0], fr.after)
}

// handleEarly handles records that were read before the others of a full read, and the
// packets that were held for them.
func (en *Entry) handleEarly(records []jpdirectory.Record) {
	en.mu.Lock()
	early := en.dispatcher.ApplyEarly(records)
	en.mu.Unlock()
	if early {
		en.handleHeld()
	}
}

func (en *Entry) directoryKnown() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.directory.Populated()
}

// directoryEra returns the era of the store that the directory is of.
func (en *Entry) directoryEra() uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.directory.Revision().Era
}

// timeToWatch returns the time until this instance has to watch the store, at most 0 if
// it has to now.
func (en *Entry) timeToWatch(now time.Time) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	states := []jpmember.State{jpmember.Alive}
	if now.Sub(en.started) < startPhase {
		// While many instances start together, each has heard of few others.
		states = append(states, jpmember.Unknown)
	}
	rank := jprollout.WatcherRank(en.view.Members, en.settings.DataCentre, en.settings.ID, states...)
	if now.Before(en.watchFrom) {
		rank = max(rank, 1)
	}
	return en.watchDuty.DueAt(en.directory.CurrentAt(), rank).Sub(now)
}

// handleStoreUpdate handles a response to a call that began at a time. If this process
// was paused during the call, the response may have waited, and is as old as the call.
func (en *Entry) handleStoreUpdate(began time.Time, up jpdirectory.Update) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	en.observe(now)
	respondedAt := now
	if en.dispatcher.PausedAt().After(began) {
		respondedAt = began
	}
	if up.CurrentAt.After(respondedAt) {
		up.CurrentAt = respondedAt
	}
	if en.storeHealth.upSince.IsZero() {
		klog.InfoS("store: reachable", "revision", up.Revision, "full", up.Full)
		en.timeline.Add("store", "store_reachable", "", "")
	}
	if sh := &en.storeHealth; sh.upSince.IsZero() || respondedAt.Sub(sh.lastResponse) >= staleAfter || sh.era != up.Revision.Era {
		sh.upSince = respondedAt // nothing is known of the time since lastResponse, or the store was restored in it
	}
	en.storeHealth.era = up.Revision.Era
	en.logIgnored(up)
	en.storeHealth.lastResponse = respondedAt
	en.watchDuty.Responded(respondedAt)
	en.requestLimiter.StoreResponded()
	en.nextStatus = now // the peers' directories are current again as soon as they hear of it
	en.applyUpdate(now, up, "store")
}

func (en *Entry) handleStoreError(err error) {
	en.metrics.storeErrors.Add(1)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.requestLimiter.StoreReadFailed()
	if en.storeHealth.upSince.IsZero() {
		return
	}
	en.storeHealth.upSince = time.Time{}
	klog.InfoS("store: lost", "err", err, "revision", en.directory.Revision(),
		"age_ms", time.Since(en.directory.CurrentAt()).Milliseconds())
	en.timeline.Add("store", "store_lost", "", err.Error())
}

const (
	// leaseTTL is how long the registration of a failed instance remains in the
	// store. Peers detect its failure by heartbeats, independently of the lease.
	leaseTTL = 30 * time.Second

	// leaseRenewInterval leaves time for one further attempt before the lease
	// expires, and for outages of the store of several seconds.
	leaseRenewInterval = 10 * time.Second
)

// registration is the entry of an instance in the store.
type registration struct {
	instance jpdirectory.Instance
	lease    Lease
	written  bool // the store has the entry, bound to the lease
}

// maintainRegistration keeps this instance's entry in the store until ctx ends.
// Each call to the store incurs a cost, so it reuses the entry and lease of an
// earlier process, and a planned stop leaves the entry for the next process.
func (en *Entry) maintainRegistration(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-en.manifestKnown:
	}
	en.mu.Lock()
	rg := registration{instance: jpdirectory.Instance{
		ID: en.settings.ID, DataCentre: en.settings.DataCentre, Peer: en.settings.Peer,
	}}
	ttl := max(leaseTTL, en.settings.MinLeaseTTL)
	en.mu.Unlock()
	rg.lease = en.previousLease()
	rg.written = rg.lease.ID != 0
	for ctx.Err() == nil {
		timer := time.NewTimer(rg.maintain(ctx, en.store.Load(), ttl))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-en.unregistered:
			rg.discard(en.directoryEra())
			sleep(ctx, rand.N(maxRetryDelay)) // all instances notice that the store was restored
		}
		timer.Stop()
	}
}

// checkRegistered requests another registration if the directory shows that the store
// has lost this instance's entry: changed records include its removal, or the store has
// been restored. The caller holds mu.
func (en *Entry) checkRegistered(restored bool, changed []jpdirectory.Record) {
	own := jpdirectory.Key{Kind: jpdirectory.InstanceRecord, Name: en.settings.ID}
	removed := slices.ContainsFunc(changed, func(rc jpdirectory.Record) bool { return rc.Key == own && rc.Removed() })
	if !restored && !removed {
		return
	}
	select {
	case en.unregistered <- struct{}{}:
	default:
	}
}

// discard notes that the store has lost the entry, and the lease if the store was restored
// since it was granted. era is that of the store.
func (rg *registration) discard(era uint64) {
	rg.written = false
	if rg.lease.Era < era {
		rg.lease = Lease{}
	}
}

// maintain renews the lease or, if there is none, writes the entry under a new one.
// It returns the time until the next call.
func (rg *registration) maintain(ctx context.Context, store Store, ttl time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := rg.renewOrWrite(ctx, store, ttl)
	switch {
	case err == nil:
		return leaseRenewInterval
	case errors.Is(err, ErrLeaseExpired):
		klog.InfoS("store: registration has ended, registering again", "lease", rg.lease.ID, "err", err)
		rg.lease, rg.written = Lease{}, false
	default:
		klog.V(1).InfoS("store: registration failed", "err", err)
	}
	return maxRetryDelay/2 + rand.N(maxRetryDelay)
}

func (rg *registration) renewOrWrite(ctx context.Context, store Store, ttl time.Duration) error {
	if rg.written {
		return store.RenewLease(ctx, rg.lease)
	}
	if rg.lease.ID == 0 {
		lease, err := store.GrantLease(ctx, ttl)
		if err != nil {
			return err
		}
		rg.lease = lease
	}
	if err := store.Register(ctx, rg.instance, rg.lease); err != nil {
		return err
	}
	rg.written = true
	return nil
}

// previousLease returns the lease of the entry that an earlier process of this
// instance left in the store.
func (en *Entry) previousLease() Lease {
	en.mu.Lock()
	defer en.mu.Unlock()
	rc := en.directory.Record(jpdirectory.Key{Kind: jpdirectory.InstanceRecord, Name: en.settings.ID})
	if in := rc.Instance; in != nil && in.DataCentre == en.settings.DataCentre && in.Peer == en.settings.Peer {
		return Lease{ID: in.Lease, Era: rc.Revision.Era}
	}
	return Lease{}
}
