package jpdispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// pauseThreshold is the time between two calls of Observe above which this process
	// is taken to have been paused. Packets, responses and messages may then have waited
	// in its sockets. The routers send copies of a SYN to another instance only after
	// 0.5 s or more.
	pauseThreshold = 300 * time.Millisecond

	// expiryInterval is the time between two searches for expired servers, tags and
	// reports, which visit all of them.
	expiryInterval = time.Second

	// sweepCount is the number of flow table cells visited in each tick: 4,000
	// flows take ten ticks, which is one second.
	sweepCount = 400

	// minIdleRetention is the minimum time for which the entry of an idle open
	// flow is kept. A longer idle timeout of the manifest applies instead, because
	// callers may be idle for that long before either end discards the flow.
	minIdleRetention = 20 * time.Second
)

// Tick expires old state and returns the resets of flows whose servers are lost.
// It must be called ten times a second.
func (ds *Dispatcher) Tick(now time.Time) []ResetPacket {
	ds.lastTick = now
	ds.sampleRequests(now)
	ds.adjustSpills(now)
	if !now.Before(ds.nextExpiry) {
		ds.nextExpiry = now.Add(expiryInterval)
		ds.expire(now)
	}
	var resets []ResetPacket
	ds.flows.Sweep(sweepCount, func(key FlowKey, fl *flow) bool {
		if rs, ended := ds.resetIfLost(now, key, fl); ended {
			resets = append(resets, rs)
		}
		ds.noteStuck(now, fl)
		ds.endOverdueRequest(now, fl)
		keep := ds.keep(now, fl)
		if !keep {
			fl.release()
		}
		return keep
	})
	return resets
}

// Pause is a time in which this process did not run, both durations 0 if there was none.
type Pause struct {
	Length time.Duration
	Hidden time.Duration // the part that the steady clock has not counted
}

// Observe notes a pause of this process if the latest call was too long ago. It must be
// called before anything that came from outside is handled, because whichever goroutine
// runs first after a pause must not draw conclusions from what has waited, and ten times
// a second besides.
//
// A suspended machine's steady clock, by which now is compared, does not count the
// suspension; the time of day does. If that was set forward instead, it counts as a pause
// too.
func (ds *Dispatcher) Observe(now, timeOfDay time.Time) Pause {
	var pause Pause
	if !ds.observedAt.IsZero() {
		pause.Length = max(now.Sub(ds.observedAt), 0)
		if hidden := timeOfDay.Round(0).Sub(ds.observedDay) - pause.Length; hidden > pauseThreshold {
			pause.Hidden = hidden
			pause.Length += hidden
		}
	}
	if now.After(ds.observedAt) {
		ds.observedAt, ds.observedDay = now, timeOfDay.Round(0)
	}
	if pause.Length <= pauseThreshold {
		return Pause{}
	}
	ds.NotePause(now)
	return pause
}

// PausedAt returns when the latest pause of this process was noted, zero if none was.
func (ds *Dispatcher) PausedAt() time.Time { return ds.evidenceSince }

// NotePause records that packets may have waited in this process until now, so
// that packets sent before do not count against servers.
func (ds *Dispatcher) NotePause(now time.Time) {
	ds.evidenceSince = now
	ds.forgetRequests()
}

// resetIfLost returns the reset of an open flow whose server is lost, so that the
// caller opens a new flow for its next request instead of waiting for an answer.
func (ds *Dispatcher) resetIfLost(now time.Time, key FlowKey, fl *flow) (ResetPacket, bool) {
	fl.followRestart()
	sr := fl.server
	if fl.state != open || sr == nil {
		return ResetPacket{}, false
	}
	reason, lost := ds.serverLost(now, fl)
	if !lost {
		return ResetPacket{}, false
	}
	rs := ResetPacket{
		Caller: key.caller(), Route: key.route(), Sequence: fl.lastAck,
		Reason: reason, Server: sr.cfg.ID, Idle: now.Sub(fl.lastSeenAt), Evidence: ds.evidence(fl),
	}
	fl.deactivate()
	fl.state = resetSent
	fl.endHeld()
	fl.lastSeenAt = now
	return rs, true
}

// keep reports whether the entry of a flow is still needed. It also stops counting
// an idle flow as load.
func (ds *Dispatcher) keep(now time.Time, fl *flow) bool {
	idle := now.Sub(fl.lastSeenAt)
	limit := max(minIdleRetention, ds.idleTimeout)
	switch fl.state {
	case opening, closing:
		limit = openTimeout
	case resetSent:
		limit = resetRetention
	}
	if idle >= activeTimeout || idle >= limit {
		ds.noteGivenUp(now, fl) // the server may have reset it
		fl.deactivate()
	}
	return idle < limit
}

// expire removes servers that left the directory tagRetention ago, unknown tags,
// flows without a route and old reports of peers.
func (ds *Dispatcher) expire(now time.Time) {
	for id, sr := range ds.servers {
		if !sr.present && now.Sub(sr.leftAt) >= tagRetention {
			delete(ds.servers, id)
		}
	}
	for id, list := range ds.former {
		list = slices.DeleteFunc(list, func(sr *server) bool { return now.Sub(sr.leftAt) >= tagRetention })
		ds.former[id] = list
		if len(list) == 0 {
			delete(ds.former, id)
		}
	}
	for tag, sr := range ds.serversByTag {
		if !sr.present && now.Sub(sr.leftAt) >= tagRetention {
			delete(ds.serversByTag, tag)
		}
	}
	maps.DeleteFunc(ds.admission.gates, func(name string, gt *gate) bool { return ds.services[name] == nil && gt.queue.Len() == 0 })
	maps.DeleteFunc(ds.peerReports, func(_ string, rp silentReport) bool { return !now.Before(rp.expires) })
	maps.DeleteFunc(ds.routelessFlows, func(_ FlowKey, firstAt time.Time) bool { return now.Sub(firstAt) >= routelessRetention })
	maps.DeleteFunc(ds.unknownTags, func(_ uint32, firstAt time.Time) bool { return now.Sub(firstAt) >= tagRetention })
}
