package jpdispatch

import "time"

const (
	// pauseTime between two ticks means that the process stood still, so that
	// packets and answers may have waited in its sockets.
	pauseThreshold = 300 * time.Millisecond

	// sweepCount flows are looked at in each tick: all of 4,000 flows within a
	// second of ten ticks.
	sweepCount = 400

	// keepTime is how long a quiet flow is remembered. Callers may be quiet for
	// the idle timeout, after which either end may discard the flow.
	minIdleRetention = 20 * time.Second
)

// Tick expires what is old and returns the resets of flows whose servers are
// gone. It is called ten times a second.
func (ds *Dispatcher) Tick(now time.Time) []ResetPacket {
	if !ds.lastTick.IsZero() && now.Sub(ds.lastTick) > pauseThreshold {
		ds.NotePause(now)
	}
	ds.lastTick = now
	ds.expire(now)
	var resets []ResetPacket
	ds.flows.Sweep(sweepCount, func(key FlowKey, fl *flow) bool {
		if rs, ended := ds.resetIfLost(now, key, fl); ended {
			resets = append(resets, rs)
		}
		ds.noteStuck(now, fl)
		keep := ds.keep(now, fl)
		if !keep {
			fl.release()
		}
		return keep
	})
	return resets
}

// Pause notes that packets may have waited until now, so that what was sent
// before does not count against servers.
func (ds *Dispatcher) NotePause(now time.Time) {
	ds.evidenceSince = now
}

// ended returns the reset of a quiet flow whose server is gone, so that the
// caller's next request opens a new one instead of waiting in vain.
func (ds *Dispatcher) resetIfLost(now time.Time, key FlowKey, fl *flow) (ResetPacket, bool) {
	fl.followRestart()
	sr := fl.server
	if fl.state != open || sr == nil {
		return ResetPacket{}, false
	}
	reason, unable := ds.serverLost(now, fl)
	if !unable {
		return ResetPacket{}, false
	}
	rs := ResetPacket{
		Caller: key.caller(), Route: key.route(), Sequence: fl.lastAck,
		Reason: reason, Server: sr.cfg.ID, Idle: now.Sub(fl.lastSeenAt),
	}
	fl.deactivate()
	fl.state = resetSent
	fl.lastSeenAt = now
	return rs, true
}

// keep tells whether a flow is still worth its entry.
func (ds *Dispatcher) keep(now time.Time, fl *flow) bool {
	quiet := now.Sub(fl.lastSeenAt)
	limit := max(minIdleRetention, ds.idleTimeout)
	switch fl.state {
	case opening, closing:
		limit = openTimeout
	case resetSent:
		limit = resetRetention
	}
	if quiet >= activeTimeout || quiet >= limit {
		ds.noteGivenUp(now, fl) // the server may have reset it
		fl.deactivate()
	}
	return quiet < limit
}

// forget drops servers that left long ago and tags that nobody uses any more.
func (ds *Dispatcher) expire(now time.Time) {
	for id, sr := range ds.servers {
		if !sr.present && now.Sub(sr.leftAt) >= tagRetention {
			delete(ds.servers, id)
		}
	}
	for tag, sr := range ds.serversByTag {
		if !sr.present && now.Sub(sr.leftAt) >= tagRetention {
			delete(ds.serversByTag, tag)
		}
	}
	for tag, judgeAt := range ds.unknownTags {
		if now.Sub(judgeAt) >= tagRetention {
			delete(ds.unknownTags, tag)
		}
	}
}
