package jpmember

import (
	"cmp"
	"slices"
	"time"
)

// HandleHeartbeat processes a heartbeat addressed to this instance. now must be
// read after the heartbeat was received.
func (gr *Group) HandleHeartbeat(now time.Time, hb Heartbeat) {
	gr.advanceClock(now)
	if hb.From == "" || hb.From == gr.self.ID || hb.Incarnation >= maxIncarnation {
		return
	}
	if hb.State != Alive && hb.State != Leaving {
		return
	}
	rec := gr.record(now, hb.From)
	if hb.Incarnation < rec.member.Incarnation {
		// Sent by an earlier process of the instance, or by one that started
		// with its clock set back and has to raise its incarnation.
		rec.toRefute = rec.change()
		return
	}
	if hb.Incarnation == rec.lastIncarnation && hb.Sequence <= rec.lastSequence {
		return
	}
	gr.recordHeartbeat(now, rec, hb)
	gr.recordConfirmation(hb)
	for _, ch := range hb.Changes {
		gr.handleChange(now, ch)
	}
}

// recordHeartbeat updates the record of the sender of a heartbeat. A heartbeat
// received directly takes precedence over gossip about the sender.
func (gr *Group) recordHeartbeat(now time.Time, rec *record, hb Heartbeat) {
	if rec.timedOut || hb.Incarnation > rec.lastIncarnation {
		rec.newProcess = true
		delete(gr.confirmations, hb.From)
	}
	if rec.timedOut || hb.DataCentre != rec.member.DataCentre {
		gr.viewStale = true
	}
	rec.timedOut = false
	rec.lastIncarnation = hb.Incarnation
	rec.lastSequence = hb.Sequence
	rec.heartbeatDeadline = now.Add(HeartbeatTimeout)
	rec.connectDeadline = time.Time{}
	rec.monitorsUs = hb.Monitoring
	rec.member.DataCentre = hb.DataCentre
	if !rec.inView {
		gr.addToView(rec)
		gr.updateMonitored()
	}
	gr.recordReportedState(now, rec, Change{ID: hb.From, Incarnation: hb.Incarnation, State: hb.State})
}

// recordReportedState records the state that an instance reports in its own
// heartbeats.
func (gr *Group) recordReportedState(now time.Time, rec *record, ch Change) {
	known := rec.change()
	switch {
	case ch.supersedes(known):
		gr.applyChange(now, rec, ch)
	case known.State == Dead:
		// Other instances may hold the same false report of its death, which
		// only a higher incarnation overrides there.
		rec.toRefute = known
		rec.member.State = ch.State
		rec.changedAt = now
		gr.viewStale = true
	}
}

// recordConfirmation extends the sender's confirmation, which starts when this
// instance sent the heartbeat that the sender echoes. If the sender's digest
// differs, it may compute another owner for this instance's servers, so its
// heartbeat confirms nothing.
func (gr *Group) recordConfirmation(hb Heartbeat) {
	if gr.self.State != Alive || hb.Digest != gr.digest() {
		return
	}
	at := slices.IndexFunc(gr.sentRounds, func(rd round) bool { return rd.sequence == hb.Echo })
	if at < 0 {
		return
	}
	until := gr.sentRounds[at].at.Add(ConfirmationLifetime)
	gr.confirmations[hb.From] = later(gr.confirmations[hb.From], until)
}

// Confirmations returns the confirmations that are valid at now, sorted by peer.
// A confirmation is valid until just before its deadline.
func (gr *Group) Confirmations(now time.Time) []Confirmation {
	var confirmed []Confirmation
	for peer, until := range gr.confirmations {
		if now.Before(until) {
			confirmed = append(confirmed, Confirmation{Peer: peer, Until: until})
		}
	}
	slices.SortFunc(confirmed, func(a, b Confirmation) int { return cmp.Compare(a.Peer, b.Peer) })
	return confirmed
}

// RequestRound makes the next tick send heartbeats, for instance because the
// version of the settings has changed. Requested rounds start at least 25 ms
// after the previous one.
func (gr *Group) RequestRound() {
	gr.roundRequested = true
}

// Tick declares neighbours dead that have missed their deadline and returns the
// heartbeats that are due. It has to be called several times in each
// HeartbeatInterval. The heartbeats have to be sent immediately and in order, or
// not at all.
func (gr *Group) Tick(now time.Time) []AddressedHeartbeat {
	gr.advanceClock(now)
	gr.lastTick = now
	gr.detectFailures(now)
	if !gr.roundDue(now) {
		return nil
	}
	gr.startRound(now)
	shared := gr.nextChanges()
	var due []AddressedHeartbeat
	for _, rec := range gr.viewRecords {
		if !rec.isNeighbour() {
			continue
		}
		due = append(due, AddressedHeartbeat{To: rec.member.ID, Heartbeat: gr.newHeartbeat(rec, shared)})
		rec.finalHeartbeats = max(rec.finalHeartbeats-1, 0)
	}
	return due
}

func (gr *Group) roundDue(now time.Time) bool {
	if !now.Before(gr.nextRound) {
		return true
	}
	return gr.roundRequested && now.Sub(gr.lastRound) >= minRoundGap
}

// startRound starts a round of heartbeats, which all have the same sequence number.
func (gr *Group) startRound(now time.Time) {
	gr.nextRound = gr.nextRound.Add(HeartbeatInterval)
	if gr.roundRequested || !gr.nextRound.After(now) {
		gr.nextRound = now.Add(HeartbeatInterval)
	}
	gr.roundRequested = false
	gr.lastRound = now
	gr.sequence++
	gr.sentRounds = slices.DeleteFunc(gr.sentRounds, func(rd round) bool {
		return !now.Before(rd.at.Add(ConfirmationLifetime))
	})
	gr.sentRounds = append(gr.sentRounds, round{sequence: gr.sequence, at: now})
}

func (gr *Group) newHeartbeat(rec *record, shared []Change) Heartbeat {
	return Heartbeat{
		From:        gr.self.ID,
		DataCentre:  gr.self.DataCentre,
		Incarnation: gr.self.Incarnation,
		State:       gr.self.State,
		Sequence:    gr.sequence,
		Echo:        rec.lastSequence,
		Monitoring:  rec.monitored,
		Digest:      gr.digest(),
		Changes:     gr.changesFor(rec, shared),
	}
}

// detectFailures declares neighbours dead that have missed their deadline and
// ends the timed-out state of former neighbours after timeoutHold.
func (gr *Group) detectFailures(now time.Time) {
	for _, rec := range gr.viewRecords {
		if rec.overdue(now) {
			gr.declareDead(now, rec)
		}
		if rec.timedOut && !rec.monitored && now.Sub(rec.timedOutAt) >= timeoutHold {
			rec.timedOut = false
			gr.viewStale = true
		}
	}
	gr.removeExpired(now)
}

func (gr *Group) declareDead(now time.Time, rec *record) {
	rec.timedOut = true
	rec.timedOutAt = now
	ch := rec.change()
	ch.State = Dead
	gr.applyChange(now, rec, ch)
}
