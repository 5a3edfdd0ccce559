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

	// watchGap separates two watches, so that a series of changes takes one
	// call. Changes have to be in force within 3 s, and peers need up to 1 s.
	watchGap = 800 * time.Millisecond

	// watchersPerDataCentre is one: those of other data centres stand in for
	// it through the peers, and in a data centre that is cut off the next one
	// starts to watch 1.5 s after the last sign of life.
	watchersPerDataCentre = 1

	// idleCheck is how often an instance looks whether it has to watch.
	idleCheck = 250 * time.Millisecond

	// staleTime makes any instance watch if nobody tells it that its directory
	// is up to date: a watch's wait and two statuses.
	staleTime = watchWait + statusTime

	// settleTime is how long a starting instance, which has just read
	// everything, waits to hear from its peers before it counts itself among
	// those that watch.
	settleTime = 1500 * time.Millisecond

	// callTimeout bounds a call: the store answers in 4 ms, and in 240 ms when
	// it is slow.
	callTimeout = time.Second

	// maxPageTimeout bounds a page after failures. If 300 instances start at the
	// same time, what they read keeps the store's link of 1 Gbit/s busy for 3 s,
	// by the size of 3,300 entries.
	maxPageTimeout = 4 * time.Second

	minRetry = 100 * time.Millisecond
	maxRetry = time.Second // the store's outages last seconds
)

// followStore keeps the directory up to date, as far as that is this
// instance's part.
func (en *Entry) followStore(ctx context.Context) {
	retry := minRetry
	synced := false
	reading := newReading(time.Now())
	for ctx.Err() == nil {
		if synced && !en.watches(time.Now()) {
			sleep(ctx, idleCheck)
			continue
		}
		up, err := en.fetch(ctx, synced, reading)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			klog.InfoS("store: history is gone, reading everything")
			synced, reading = false, newReading(time.Now())
		case err != nil:
			en.storeLost(err)
			sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
			// Peers may have filled the directory meanwhile.
			synced = en.knows()
		default:
			synced, retry = true, minRetry
			en.storeAnswered(up)
			if len(up.Records) > 0 {
				sleep(ctx, watchGap)
			}
		}
	}
}

// fetch reads everything, or waits for the next changes.
func (en *Entry) fetch(ctx context.Context, synced bool, rd *reading) (jpdirectory.Update, error) {
	store := en.store.Load()
	if !synced {
		return rd.finish(ctx, store)
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
type reading struct {
	update jpdirectory.Update
	after  string
	limit  time.Duration // of the next page
}

func newReading(now time.Time) *reading {
	return &reading{update: jpdirectory.Update{Full: true, CurrentAt: now}, limit: callTimeout}
}

// finish reads the missing pages. The update's revision is that of the first
// page; later changes follow in watches.
func (rd *reading) finish(ctx context.Context, store Store) (jpdirectory.Update, error) {
	for {
		page, err := rd.readPage(ctx, store)
		if err != nil {
			rd.limit = min(2*rd.limit, maxPageTimeout)
			return jpdirectory.Update{}, err
		}
		if rd.update.Revision == 0 {
			rd.update.Revision = page.Revision
		}
		rd.update.Records = append(rd.update.Records, page.Records...)
		rd.after = page.Next
		if rd.after == "" {
			return rd.update, nil
		}
	}
}

func (rd *reading) readPage(ctx context.Context, store Store) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rd.limit)
	defer cancel()
	return store.ReadPage(ctx, rd.after)
}

func (en *Entry) knows() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.directory.Populated()
}

// watches tells whether this instance has to watch the store: it is one of
// those of its data centre that do, or nobody tells it what is new.
func (en *Entry) watches(now time.Time) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if now.Sub(en.directory.CurrentAt()) > staleTime {
		return true
	}
	if now.Sub(en.started) < settleTime {
		return false
	}
	return slices.Contains(jprollout.Watchers(en.view.Members, en.settings.DataCentre, watchersPerDataCentre), en.settings.ID)
}

func (en *Entry) storeAnswered(up jpdirectory.Update) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.contact.steady.IsZero() {
		en.contact.steady = now
		klog.InfoS("store: reachable", "revision", up.Revision, "full", up.Full)
		en.timeline.Add("store", "store_reachable", "", "")
	}
	en.contact.last = now
	en.apply(now, up, "store")
}

func (en *Entry) storeLost(err error) {
	en.metrics.storeErrors.Add(1)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.requests.StoreReadFailed()
	if en.contact.steady.IsZero() {
		return
	}
	en.contact.steady = time.Time{}
	klog.InfoS("store: lost", "err", err, "revision", en.directory.Revision(),
		"age_ms", time.Since(en.directory.CurrentAt()).Milliseconds())
	en.timeline.Add("store", "store_lost", "", err.Error())
}

const (
	// leaseTime ends the registration of an instance that is gone. Whether it
	// lives, its peers find out by themselves.
	leaseTime = 30 * time.Second

	// renewInterval leaves one further attempt before the lease ends, and
	// outages of the store of several seconds.
	renewInterval = 10 * time.Second
)

// register keeps this instance's entry in the store until ctx ends. An entry of
// an earlier process is taken over with its lease, and a planned stop leaves it
// to the next one: calls to the store are paid for.
func (en *Entry) register(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-en.known:
	}
	lease := en.ownLease()
	for ctx.Err() == nil {
		err := en.renew(ctx, &lease)
		switch {
		case errors.Is(err, ErrLeaseEnded):
			klog.InfoS("store: registration has ended, registering again")
			lease = 0
		case err != nil:
			klog.V(1).InfoS("store: registration failed", "err", err)
			sleep(ctx, maxRetry/2+rand.N(maxRetry))
		default:
			sleep(ctx, renewInterval)
		}
	}
}

// ownLease returns the lease of the entry that an earlier process of this
// instance has left, or 0.
func (en *Entry) ownLease() uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, in := range en.directory.Instances() {
		if in.ID == en.settings.ID && in.DataCentre == en.settings.DataCentre && in.Peer == en.settings.Peer {
			return in.Lease
		}
	}
	return 0
}

// renew registers this instance, or renews its registration.
func (en *Entry) renew(ctx context.Context, lease *uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := en.store.Load()
	if *lease != 0 {
		return store.Renew(ctx, *lease)
	}
	id, err := store.Lease(ctx, max(leaseTime, en.settings.LeaseMinimum))
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
