package jpdispatch

import (
	"maps"
	"slices"
	"time"

	"jacinthpass/core/jpdirectory"
)

// Times of io/jpentry and io/jppeer.
const (
	simStatusInterval = 500 * time.Millisecond
	simStatusMaxAge   = 3 * simStatusInterval
	simWatchPause     = 800 * time.Millisecond
	simStaleAfter     = jpdirectory.WatchWait + simStatusMaxAge
	simChangeLimit    = 3 * time.Second
	simConnectionLoss = 3 * time.Second // a connection that carries nothing ends by then
)

// simPeerState is what an instance knows of its peers and of the store's availability.
type simPeerState struct {
	limiter        *jpdirectory.RequestLimiter
	duty           *jpdirectory.WatchDuty
	startedAt      time.Time
	transits       jpdirectory.Transits[*simInstance]
	statuses       map[*simInstance]simStatus
	watching       bool
	watchUntil     time.Time // end of the running watch
	nextWatch      time.Time
	upSince        time.Time // zero while the store does not answer
	lastResponse   time.Time
	nextStatus     time.Time
	statusRevision jpdirectory.Revision
}

type simStatus struct {
	revision                            jpdirectory.Revision
	currentAt, storeUpSince, receivedAt time.Time
}

func newSimPeerState(now time.Time) simPeerState {
	return simPeerState{
		startedAt: now,
		limiter:   jpdirectory.NewRequestLimiter(now), duty: jpdirectory.NewWatchDuty(simChangeLimit),
		statuses: map[*simInstance]simStatus{}, nextWatch: now.Add(simWatchPause),
	}
}

// syncPeers does what io/jpentry does to keep a directory up to date: one instance of
// each data centre watches the store, the others ask their peers.
func (sm *simulation) syncPeers(in *simInstance) {
	ps := &in.peers
	maps.DeleteFunc(ps.statuses, func(_ *simInstance, st simStatus) bool { return sm.now.Sub(st.receivedAt) >= simStatusMaxAge })
	in.SetFreshness(in.directory.CurrentAt(), sm.storeUpSinceAt(in))
	if !sm.now.Before(ps.nextStatus) || in.directory.Revision() != ps.statusRevision {
		ps.nextStatus, ps.statusRevision = sm.now.Add(simStatusInterval), in.directory.Revision()
		sm.sendStatus(in)
	}
	if !ps.watching && !sm.now.Before(ps.nextWatch) && sm.watches(in) {
		ps.watching, ps.watchUntil = true, ps.duty.WaitUntil()
	}
	if ps.watching {
		sm.watchStore(in)
	}
}

func (sm *simulation) storeUpSinceAt(in *simInstance) time.Time {
	ps := &in.peers
	currentAt := in.directory.CurrentAt()
	if sm.now.Sub(currentAt) >= simStaleAfter {
		return sm.now
	}
	var observations []jpdirectory.Availability
	if !ps.upSince.IsZero() {
		observations = append(observations, jpdirectory.Availability{UpSince: ps.upSince, ConfirmedAt: ps.lastResponse})
	}
	for _, st := range ps.statuses {
		observations = append(observations, jpdirectory.Availability{UpSince: st.storeUpSince, ConfirmedAt: st.currentAt})
	}
	return jpdirectory.StoreUpSince(currentAt, observations)
}

// watches reports whether an instance has to watch the store.
func (sm *simulation) watches(in *simInstance) bool {
	rank := 0
	for _, other := range sm.instances[:slices.Index(sm.instances, in)] {
		if other.centre == in.centre && sm.isUp(other) {
			rank++
		}
	}
	return !sm.now.Before(in.peers.duty.DueAt(in.directory.CurrentAt(), rank))
}

// watchStore ends an instance's watch if the store answers, or fails.
func (sm *simulation) watchStore(in *simInstance) {
	ps := &in.peers
	if !sm.storeUp() || sm.now.Before(in.storeCutUntil) {
		ps.watching, ps.upSince, ps.nextWatch = false, time.Time{}, sm.now.Add(sm.randomTime(50, 1000))
		ps.limiter.StoreReadFailed()
		return
	}
	if in.directory.Revision() == sm.revision && sm.now.Before(ps.watchUntil) {
		return
	}
	up := sm.store.Since(in.directory.Progress())
	up.CurrentAt = sm.now
	if ps.upSince.IsZero() || sm.now.Sub(ps.lastResponse) >= simStaleAfter {
		ps.upSince = sm.now
	}
	ps.watching, ps.nextWatch, ps.lastResponse, ps.nextStatus = false, sm.now, sm.now, sm.now
	ps.duty.Responded(sm.now)
	if len(up.Records) > 0 {
		ps.nextWatch = sm.now.Add(simWatchPause)
	}
	sm.applyUpdate(in, up)
}

func (sm *simulation) applyUpdate(in *simInstance, up jpdirectory.Update) {
	sm.note("instance %d gets revision %v", slices.Index(sm.instances, in), up.Revision)
	in.Apply(sm.now, in.directory.Apply(sm.now, up))
	in.SetFreshness(in.directory.CurrentAt(), sm.storeUpSinceAt(in))
}

// sendStatus sends an instance's status to the others.
func (sm *simulation) sendStatus(in *simInstance) {
	progress := in.directory.Progress()
	age, uptime := sm.now.Sub(in.directory.CurrentAt()), sm.now.Sub(sm.storeUpSinceAt(in))
	sent := sm.now.Sub(in.peers.startedAt)
	for _, to := range sm.instances {
		if to != in {
			sm.deliver(in, to, func() { sm.handleStatus(in, to, progress, sent, age, uptime) })
		}
	}
}

func (sm *simulation) handleStatus(from, in *simInstance, progress jpdirectory.Progress, sent, age, uptime time.Duration) {
	sentAt := sm.now.Add(-in.peers.transits.Delay(sm.now, from, sent))
	in.peers.statuses[from] = simStatus{progress.Revision, sentAt.Add(-age), sentAt.Add(-uptime), sm.now}
	in.directory.Confirm(progress.Revision, sentAt.Add(-age))
	known := in.directory.Progress()
	if !in.peers.limiter.Allow(sm.now, known, progress, in.centre == from.centre) {
		return
	}
	sm.deliver(in, from, func() {
		up := from.directory.Since(known)
		age, sent := sm.now.Sub(up.CurrentAt), sm.now.Sub(from.peers.startedAt)
		sm.deliver(from, in, func() {
			if !up.Full && known.Revision.After(in.directory.Revision()) {
				return
			}
			up.CurrentAt = sm.now.Add(-in.peers.transits.Delay(sm.now, from, sent)).Add(-age)
			sm.applyUpdate(in, up)
		})
	})
}

// deliver delivers a message between two instances. While a cut separates them or the
// receiver is paused, it waits in the connection, which ends after a while.
func (sm *simulation) deliver(from, to *simInstance, receive func()) {
	sender, receiver, sentAt := from.Dispatcher, to.Dispatcher, sm.now
	var attempt func()
	attempt = func() {
		if from.Dispatcher != sender || to.Dispatcher != receiver || sm.now.Sub(sentAt) > simConnectionLoss {
			return
		}
		if !sm.reaches(from, to.centre) || !sm.isUp(to) {
			sm.schedule(sm.randomTime(50, 300), attempt)
			return
		}
		receive()
	}
	if sm.playRng.IntN(20) == 0 {
		sm.schedule(sm.randomTime(1, 150), attempt)
		return
	}
	attempt()
}
