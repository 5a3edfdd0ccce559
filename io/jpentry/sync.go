package jpentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jprollout"
)

const (
	// watchWait is how long a watch waits for a change. Each call is paid for;
	// without its end, nothing tells that the store is still there.
	watchWait = 2 * time.Second

	// watchPause separates two watches, so that a series of changes takes one
	// call. Changes have to be in force within 3 s, and peers need up to 1 s.
	watchPause = 800 * time.Millisecond

	// watchersPerDataCentre is one: those of other data centres stand in for
	// it through the peers, and in a data centre that is cut off the next one
	// starts to watch 1.5 s after the last sign of life.
	watchersPerDataCentre = 1

	// idleCheckInterval is how often an instance looks whether it has to watch.
	idleCheckInterval = 250 * time.Millisecond

	// staleAfter makes any instance watch if nobody tells it that its directory
	// is up to date: a watch's wait and two statuses.
	staleAfter = watchWait + statusMaxAge

	// startGracePeriod is how long a starting instance, which has just read
	// everything, waits to hear from its peers before it counts itself among
	// those that watch.
	startGracePeriod = 1500 * time.Millisecond

	// callTimeout bounds a call: the store answers in 4 ms, and in 240 ms when
	// it is slow.
	callTimeout = time.Second

	// maxPageTimeout bounds a page after failures. If 300 instances start at the
	// same time, what they read keeps the store's link of 1 Gbit/s busy for 3 s,
	// by the size of 3,300 entries.
	maxPageTimeout = 4 * time.Second

	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second // the store's outages last seconds
)

// syncDirectory keeps the directory up to date, as far as that is this
// instance's part.
func (en *Entry) syncDirectory(ctx context.Context) {
	retryDelay := minRetryDelay
	synced := false
	read := newFullRead(time.Now())
	for ctx.Err() == nil {
		if synced && !en.mustWatch(time.Now()) {
			sleep(ctx, idleCheckInterval)
			continue
		}
		up, err := en.fetch(ctx, synced, read)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			klog.InfoS("store: history is gone, reading everything")
			synced, read = false, newFullRead(time.Now())
		case err != nil:
			en.handleStoreError(err)
			sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			// Peers may have filled the directory meanwhile.
			synced = en.directoryKnown()
		default:
			synced, retryDelay = true, minRetryDelay
			en.handleStoreUpdate(up)
			if len(up.Records) > 0 {
				sleep(ctx, watchPause)
			}
		}
	}
}

// fetch reads everything, or waits for the next changes.
func (en *Entry) fetch(ctx context.Context, synced bool, fr *fullRead) (jpdirectory.Update, error) {
	store := en.store.Load()
	if !synced {
		return fr.readRemaining(ctx, store)
	}
	en.mu.Lock()
	revision := en.directory.Revision()
	en.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout+watchWait)
	defer cancel()
	return store.Watch(ctx, revision, watchWait)
}

// reading is a complete read of the store. One that fails goes on with the page
// that is missing, because many instances that read everything again would keep
// the store busy for each other.
type fullRead struct {
	update      jpdirectory.Update
	after       string
	pageTimeout time.Duration // of the next page
}

func newFullRead(now time.Time) *fullRead {
	return &fullRead{update: jpdirectory.Update{Full: true, CurrentAt: now}, pageTimeout: callTimeout}
}

// readRemaining reads the missing pages. The update's revision is that of the first
// page; later changes follow in watches.
func (fr *fullRead) readRemaining(ctx context.Context, store Store) (jpdirectory.Update, error) {
	for {
		page, err := fr.readPage(ctx, store)
		if err != nil {
			fr.pageTimeout = min(2*fr.pageTimeout, maxPageTimeout)
			return jpdirectory.Update{}, err
		}
		if fr.update.Revision == 0 {
			fr.update.Revision = page.Revision
		}
		fr.update.Records = append(fr.update.Records, page.Records...)
		fr.after = page.Next
		if fr.after == "" {
			return fr.update, nil
		}
	}
}

func (fr *fullRead) readPage(ctx context.Context, store Store) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, fr.pageTimeout)
	defer cancel()
	return store.ReadPage(ctx, fr.after)
}

func (en *Entry) directoryKnown() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.directory.Populated()
}

// mustWatch tells whether this instance has to watch the store: it is one of
// those of its data centre that do, or nobody tells it what is new.
func (en *Entry) mustWatch(now time.Time) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if now.Sub(en.directory.CurrentAt()) > staleAfter {
		return true
	}
	if now.Sub(en.started) < startGracePeriod {
		return false
	}
	return slices.Contains(jprollout.Watchers(en.view.Members, en.settings.DataCentre, watchersPerDataCentre), en.settings.ID)
}

func (en *Entry) handleStoreUpdate(up jpdirectory.Update) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.storeHealth.upSince.IsZero() {
		en.storeHealth.upSince = now
		klog.InfoS("store: reachable", "revision", up.Revision, "full", up.Full)
		en.timeline.Add("store", "store_reachable", "", "")
	}
	en.storeHealth.lastAnswer = now
	en.applyUpdate(now, up, "store")
}

func (en *Entry) handleStoreError(err error) {
	en.metrics.storeErrors.Add(1)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.requests.StoreReadFailed()
	if en.storeHealth.upSince.IsZero() {
		return
	}
	en.storeHealth.upSince = time.Time{}
	klog.InfoS("store: lost", "err", err, "revision", en.directory.Revision(),
		"age_ms", time.Since(en.directory.CurrentAt()).Milliseconds())
	en.timeline.Add("store", "store_lost", "", err.Error())
}

const (
	// leaseTTL ends the registration of an instance that is gone. Whether it
	// lives, its peers find out by themselves.
	leaseTTL = 30 * time.Second

	// leaseRenewInterval leaves one further attempt before the lease ends, and
	// outages of the store of several seconds.
	leaseRenewInterval = 10 * time.Second
)

// maintainRegistration keeps this instance's entry in the store until ctx ends. An entry of
// an earlier process is taken over with its lease, and a planned stop leaves it
// to the next one: calls to the store are paid for.
func (en *Entry) maintainRegistration(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-en.manifestKnown:
	}
	lease := en.previousLease()
	for ctx.Err() == nil {
		err := en.registerOrRenew(ctx, &lease)
		switch {
		case errors.Is(err, ErrLeaseExpired):
			klog.InfoS("store: registration has ended, registering again")
			lease = 0
		case err != nil:
			klog.V(1).InfoS("store: registration failed", "err", err)
			sleep(ctx, maxRetryDelay/2+rand.N(maxRetryDelay))
		default:
			sleep(ctx, leaseRenewInterval)
		}
	}
}

// previousLease returns the lease of the entry that an earlier process of this
// instance has left, or 0.
func (en *Entry) previousLease() uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, in := range en.directory.Instances() {
		if in.ID == en.settings.ID && in.DataCentre == en.settings.DataCentre && in.Peer == en.settings.Peer {
			return in.Lease
		}
	}
	return 0
}

// registerOrRenew registers this instance, or renews its registration.
func (en *Entry) registerOrRenew(ctx context.Context, lease *uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := en.store.Load()
	if *lease != 0 {
		return store.RenewLease(ctx, *lease)
	}
	id, err := store.GrantLease(ctx, max(leaseTTL, en.settings.MinLeaseTTL))
	if err != nil {
		return err
	}
	in := jpdirectory.Instance{ID: en.settings.ID, DataCentre: en.settings.DataCentre, Peer: en.settings.Peer}
	if err := store.Register(ctx, in, id); err != nil {
		return err
	}
	*lease = id
	return nil
}
