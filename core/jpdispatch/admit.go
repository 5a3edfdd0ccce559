package jpdispatch

import (
	"net/netip"
	"slices"
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jpcapacity"
	"jacinthpass/core/jpdirectory"
)

// retryPercent bounds the repeated attempts that wait for a service, in percent of its
// new flows.
const retryPercent = 10

// gate is the admission state of one service.
type gate struct {
	queue     *jpadmission.Queue[FlowKey]
	retries   jpadmission.RetryBudget
	usual     jpadmission.UsualTime
	limits    jpadmission.Limits
	checkedAt time.Time // latest time at which releases were considered
}

// admission holds the new flows that wait, and what decides about them.
type admission struct {
	gates    map[string]*gate // by name of the service
	waiters  map[FlowKey]*waiter
	ended    []Released // waits that have ended since the last call of Release
	refusals jpadmission.Refusals[callerRoute]
	reviewAt time.Time // next search for waits that have become hopeless
	stopped  bool
}

// callerRoute is what an attempt and its repetition have in common.
type callerRoute struct {
	caller netip.Addr
	route  netip.AddrPort
}

func (ds *Dispatcher) gateOf(name string) *gate {
	gt := ds.admission.gates[name]
	if gt == nil {
		gt = &gate{
			queue:   jpadmission.NewQueue[FlowKey](maxWaiting),
			retries: jpadmission.RetryBudget{Percent: retryPercent},
		}
		ds.admission.gates[name] = gt
	}
	return gt
}

// admit decides whether a new flow may be placed now. If not, it returns the decision
// on the SYN and true. A copy whose first transmission this instance has not seen is
// placed: another instance may have placed the flow, so a refusal might not be true.
func (ds *Dispatcher) admit(now time.Time, rt *jpdirectory.Route, sc *service, sr *server, pk Packet, fl *flow) (Decision, bool) {
	am := &ds.admission
	if rt.TargetLatency <= 0 || fl != nil || pk.released || pk.Ack > 0 || am.stopped {
		return Decision{}, false
	}
	gt := ds.gateOf(sc.cfg.Name)
	deadline, expires, repeated := am.refusals.Take(now, callerRoute{pk.Caller.Addr(), pk.Route})
	if !repeated {
		gt.retries.Deposit()
	}
	es := ds.fullness(now, sc)
	gt.observe(now, sc, es)
	if es.Guess || gt.queue.Len() == 0 && es.Room(gt.perSlot(sc, rt, false)) > 0 || ds.hasFreeSlot(now, sc, sr) {
		return Decision{}, false
	}
	it := gt.itemOf(now, rt, pk)
	if repeated {
		it.Deadline, it.Expires = earlier(it.Deadline, deadline), earlier(it.Expires, expires)
	}
	if gt.queue.Hopeless(now, it) || repeated && !gt.retries.TryWithdraw(now) {
		return ds.refuseArrival(now, newWaiter(now, pk, it)), true
	}
	return ds.wait(now, sc, gt, pk, it), true
}

// hasFreeSlot reports whether a server has fewer requests than it works on, as far as this
// instance and its peers know.
func (ds *Dispatcher) hasFreeSlot(now time.Time, sc *service, sr *server) bool {
	return float64(sr.requests)+sr.peers(now).requests*max(sc.unheard, 1) < ds.concurrency(sr)
}

// perSlot returns how many requests for each slot a service may have when a flow of a
// route is added.
func (gt *gate) perSlot(sc *service, rt *jpdirectory.Route, late bool) float64 {
	rank, _ := slices.BinarySearch(sc.ranks, rt.Priority)
	return gt.limits.PerSlot(jpadmission.Class{
		Target: rt.TargetLatency, Usual: gt.usual.Get(), Rank: rank, Ranks: len(sc.ranks), Late: late,
	})
}

// assuredPerSlot returns the limit for a flow of a route that is released in the place of
// one of the highest priority.
func (gt *gate) assuredPerSlot(sc *service, rt *jpdirectory.Route) float64 {
	return gt.limits.PerSlot(jpadmission.Class{Target: rt.TargetLatency, Usual: gt.usual.Get(), Ranks: len(sc.ranks)})
}

// observe tells the limits how full the service is, if routes of several priorities use it.
func (gt *gate) observe(now time.Time, sc *service, es jpcapacity.Estimate) {
	fill := es.Fill()
	if es.Guess || len(sc.ranks) < 2 || !gt.queue.InUse(now, sc.ranks[0]) {
		fill = 0
	}
	gt.limits.Observe(now, fill)
}

// leadsTo reports whether a route sends flows to a service.
func leadsTo(rt *jpdirectory.Route, service string) bool {
	return slices.ContainsFunc(rt.Targets, func(tg jpdirectory.Target) bool { return tg.Service == service && tg.Weight > 0 })
}

// rankPriorities sets the priorities of the routes that state a latency target, for each
// service.
func (ds *Dispatcher) rankPriorities() {
	for _, rt := range ds.routes {
		for _, tg := range rt.Targets {
			sc := ds.services[tg.Service]
			if sc == nil || rt.TargetLatency <= 0 || tg.Weight <= 0 {
				continue
			}
			if ix, found := slices.BinarySearch(sc.ranks, rt.Priority); !found {
				sc.ranks = slices.Insert(sc.ranks, ix, rt.Priority)
			}
		}
	}
}

// itemOf returns the item of a flow that would have to wait. It may spend half of the time
// that its response leaves here, because it queues at the server too; after that, it only
// takes what others leave. What would be late is refused.
func (gt *gate) itemOf(now time.Time, rt *jpdirectory.Route, pk Packet) jpadmission.Item[FlowKey] {
	spare := rt.TargetLatency - gt.usual.Get()
	return jpadmission.Item[FlowKey]{
		Key: keyOf(pk), Priority: rt.Priority, Deadline: now.Add(spare / 2), Expires: now.Add(min(max(spare, minWait), maxWait)),
	}
}

func earlier(at, other time.Time) time.Time {
	if other.Before(at) {
		return other
	}
	return at
}

// noteRequest counts a request that a caller sends.
func (ds *Dispatcher) noteRequest(now time.Time, pk Packet, sr *server) {
	gt, rt := ds.admission.gates[sr.cfg.Service], ds.routes[pk.Route]
	if gt != nil && rt != nil {
		gt.queue.NoteRequest(now, rt.Priority)
	}
}

// noteResponse records the response time of a request.
func (ds *Dispatcher) noteResponse(now time.Time, fl *flow) {
	gt := ds.admission.gates[fl.server.cfg.Service]
	if gt != nil && fl.awaitingAnswer && fl.sentAt.After(ds.evidenceSince) {
		gt.usual.Add(now.Sub(fl.sentAt))
	}
}
