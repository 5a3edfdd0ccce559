package jpdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthpass/core/jpadmission"
)

const (
	// maxWait bounds the wait of a new flow. A caller gives up 1.4 s after its first SYN;
	// what remains is for the handshake.
	maxWait = 1200 * time.Millisecond

	// minWait is how long a new flow may wait whose latency target is shorter. A caller
	// that is refused sooner has no attempts left when a short burst is over.
	minWait = 200 * time.Millisecond

	// maxWaiting bounds the flows that wait for one service. With the packets that
	// the instance keeps they take 0.5 MB.
	maxWaiting = 1024

	// releaseInterval is the minimum time between two estimates of a service's room
	// for the flows that wait for it, reviewInterval that between two searches for
	// those that can't be served any more.
	releaseInterval = time.Millisecond
	reviewInterval  = 10 * time.Millisecond

	// A copy of a SYN may arrive copyMargin earlier than it is due, because the one
	// before was delayed, and is missing copyTimeout after it was due.
	copyMargin  = 20 * time.Millisecond
	copyTimeout = 100 * time.Millisecond
)

// copyTimes are the times from the first transmission of a SYN to the next ones.
var copyTimes = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// waiter is a new flow that waits.
type waiter struct {
	packet    Packet // latest transmission of the SYN
	service   string
	item      jpadmission.Item[FlowKey]
	arrivedAt time.Time // of the first transmission
}

// newWaiter returns the waiter of a flow whose SYN is handled now. The SYN may have waited
// in the socket, so that its copies are due earlier.
func newWaiter(now time.Time, pk Packet, it jpadmission.Item[FlowKey]) *waiter {
	wt := &waiter{packet: pk, item: it, arrivedAt: now}
	if !pk.ArrivedAfter.IsZero() && pk.ArrivedAfter.Before(now) {
		wt.arrivedAt = pk.ArrivedAfter
	}
	return wt
}

// confirmed reports whether all transmissions of the SYN so far have come to this
// instance. If not, the routers may have moved the flow to another instance, which may
// place it.
func (wt *waiter) confirmed(now time.Time) bool { return wt.copiesSeen(now, -copyMargin) }

// missing reports whether a transmission of the SYN has not come to this instance.
func (wt *waiter) missing(now time.Time) bool { return !wt.copiesSeen(now, copyTimeout) }

// copiesSeen reports whether the copies have arrived that are due by now, each a time
// after its nominal one.
func (wt *waiter) copiesSeen(now time.Time, after time.Duration) bool {
	for ix, due := range copyTimes {
		if int(wt.packet.Ack) <= ix && now.Sub(wt.arrivedAt) >= due+after {
			return false
		}
	}
	return true
}

// Released is the end of the wait of a new flow. The instance must forget the SYN that it
// keeps for the key; Decision says what to do with it.
type Released struct {
	Key      FlowKey
	Packet   Packet // latest transmission of the SYN
	Decision Decision
}

// Waiting returns the number of new flows that wait.
func (ds *Dispatcher) Waiting() int { return len(ds.admission.waiters) }

// KeyOf returns the key of a packet's flow.
func KeyOf(pk Packet) FlowKey { return keyOf(pk) }

// wait lets a new flow wait.
func (ds *Dispatcher) wait(now time.Time, sc *service, gt *gate, pk Packet, it jpadmission.Item[FlowKey]) Decision {
	wt := newWaiter(now, pk, it)
	wt.service = sc.cfg.Name
	refused, full := gt.queue.Add(now, it)
	if full && refused.Key == it.Key {
		return ds.refuseArrival(now, wt)
	}
	if full {
		ds.endRefused(now, refused.Key)
	}
	ds.admission.waiters[it.Key] = wt
	gt.checkedAt = time.Time{}
	return Decision{Outcome: Wait, Reason: Waiting, Priority: it.Priority}
}

// handleWaiting handles a packet of a flow that waits. It returns false if the packet is
// to be handled as if the flow had not waited.
func (ds *Dispatcher) handleWaiting(now time.Time, pk Packet) (Decision, bool) {
	key := keyOf(pk)
	wt := ds.admission.waiters[key]
	if wt == nil {
		return Decision{}, false
	}
	if pk.Flags&SYN == 0 || pk.Sequence != wt.packet.Sequence || !wt.arrivedAt.After(ds.evidenceSince) || ds.routes[pk.Route] == nil {
		// The flow has opened through another instance, its caller has given it up or
		// reused the port, or the wait is not valid any more.
		ds.endDropped(now, key)
		return Decision{}, false
	}
	if pk.Ack > wt.packet.Ack {
		wt.packet = pk
	}
	return Decision{Outcome: Wait, Reason: Waiting, Priority: wt.item.Priority, Waited: now.Sub(wt.arrivedAt)}, true
}

// StopWaiting ends all waits and lets no more flows wait. The next call of Release
// returns them.
func (ds *Dispatcher) StopWaiting() { ds.admission.stopped = true }

// Release returns the new flows whose waits have ended, because there is room for them or
// because they can't be served any more. It must be called after packets while any flow
// waits, and every 10 ms.
func (ds *Dispatcher) Release(now time.Time) []Released {
	am := &ds.admission
	if len(am.waiters) > 0 {
		if !now.Before(am.reviewAt) {
			am.reviewAt = now.Add(reviewInterval)
			ds.review(now)
		}
		for _, name := range slices.Sorted(maps.Keys(am.gates)) {
			if gt := am.gates[name]; gt.queue.Len() > 0 {
				ds.releaseFrom(now, name, gt)
			}
		}
	}
	// A caller may have reused the port of a wait that was dropped for a new flow that
	// waits too.
	list := slices.DeleteFunc(am.ended, func(rl Released) bool {
		return rl.Decision.Outcome == Drop && am.waiters[rl.Key] != nil
	})
	am.ended = nil
	return list
}

// releaseFrom ends waits for one service.
func (ds *Dispatcher) releaseFrom(now time.Time, name string, gt *gate) {
	if now.Sub(gt.checkedAt) < releaseInterval && !ds.admission.stopped {
		return
	}
	gt.checkedAt = now
	sc := ds.services[name]
	limited := sc != nil && !ds.admission.stopped
	if limited {
		es := ds.fullness(now, sc)
		gt.observe(now, sc, es)
		limited = !es.Guess
		for limited && ds.releaseOne(now, gt, func(wt *waiter, assured bool) bool {
			rt := ds.routes[wt.packet.Route]
			if rt == nil || rt.TargetLatency <= 0 || !leadsTo(rt, name) {
				return true // a manifest has changed its route
			}
			limit := gt.perSlot(sc, rt, now.After(wt.item.Deadline))
			if assured {
				limit = gt.assuredPerSlot(sc, rt)
			}
			return es.Room(limit) > 0
		}) {
			es.Own++
			es.Requests++
		}
	}
	for !limited && ds.releaseOne(now, gt, func(*waiter, bool) bool { return true }) {
	}
}

// releaseOne places the first of the flows that wait, if it has room. It returns false if
// none was placed.
func (ds *Dispatcher) releaseOne(now time.Time, gt *gate, hasRoom func(wt *waiter, assured bool) bool) bool {
	waiters := ds.admission.waiters
	it, assured, ok := gt.queue.Next(now, func(key FlowKey) bool { return waiters[key].confirmed(now) })
	if !ok || !hasRoom(waiters[it.Key], assured) {
		return false
	}
	wt := waiters[it.Key]
	gt.queue.Release(now, it.Key)
	delete(waiters, it.Key)
	pk := wt.packet
	pk.released = true
	dc := ds.handleSYN(now, pk)
	dc.SpilledFrom = ds.spilledFrom(pk, dc)
	ds.end(now, wt, dc)
	return true
}

// review ends the waits of flows that can't be served any more, or whose SYNs another
// instance may have got.
func (ds *Dispatcher) review(now time.Time) {
	var dropped []*waiter
	for _, wt := range ds.admission.waiters {
		if wt.missing(now) || !wt.arrivedAt.After(ds.evidenceSince) {
			dropped = append(dropped, wt)
		}
	}
	slices.SortFunc(dropped, func(a, b *waiter) int {
		return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), a.packet.Caller.Compare(b.packet.Caller))
	})
	for _, wt := range dropped {
		ds.endDropped(now, wt.item.Key)
	}
	for _, name := range slices.Sorted(maps.Keys(ds.admission.gates)) {
		for _, it := range ds.admission.gates[name].queue.TakeHopeless(now) {
			ds.endRefused(now, it.Key)
		}
	}
}

// endDropped ends a wait without an answer to the caller.
func (ds *Dispatcher) endDropped(now time.Time, key FlowKey) {
	wt := ds.admission.waiters[key]
	ds.gateOf(wt.service).queue.Remove(now, key)
	delete(ds.admission.waiters, key)
	ds.end(now, wt, Decision{Reason: Stale})
}

// endRefused ends a wait that the queue has given up.
func (ds *Dispatcher) endRefused(now time.Time, key FlowKey) {
	wt := ds.admission.waiters[key]
	delete(ds.admission.waiters, key)
	if !wt.confirmed(now) {
		ds.end(now, wt, Decision{Reason: Overloaded})
		return
	}
	ds.end(now, wt, ds.refuseWaiter(now, wt))
}

// refuseArrival refuses a flow that may not wait, or drops its SYN if a copy may have
// reached another instance meanwhile.
func (ds *Dispatcher) refuseArrival(now time.Time, wt *waiter) Decision {
	if !wt.confirmed(now) {
		return Decision{Reason: Overloaded}
	}
	return ds.refuseWaiter(now, wt)
}

// refuseWaiter refuses a flow that no instance has sent to a server.
func (ds *Dispatcher) refuseWaiter(now time.Time, wt *waiter) Decision {
	ds.admission.refusals.Note(now, callerRoute{wt.packet.Caller.Addr(), wt.packet.Route}, wt.item.Deadline, wt.item.Expires)
	return Decision{
		Outcome: Refuse, Reason: Overloaded, Reset: resetOf(wt.packet, Overloaded),
		Priority: wt.item.Priority, Waited: now.Sub(wt.arrivedAt),
	}
}

func (ds *Dispatcher) end(now time.Time, wt *waiter, dc Decision) {
	dc.Priority, dc.Waited = wt.item.Priority, now.Sub(wt.arrivedAt)
	ds.admission.ended = append(ds.admission.ended, Released{Key: wt.item.Key, Packet: wt.packet, Decision: dc})
}
