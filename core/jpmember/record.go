package jpmember

import (
	"cmp"
	"slices"
	"time"
)

const (
	// deadRetention is how long a dead member that left the list is kept, so
	// that instances that missed its death still learn of it by gossip.
	deadRetention = 30 * time.Second

	// unheardRetention is how long a member is kept that left the list and is
	// alive or leaving according to gossip only. It removes members whose death
	// was missed.
	unheardRetention = 10 * time.Minute

	// gossipOnlyRetention and maxGossipOnly bound the records of instances that
	// are known from gossip but not yet from the list or a heartbeat.
	gossipOnlyRetention = time.Minute
	maxGossipOnly       = 1024

	// timeoutHold is how long after its timeout an instance that is no longer
	// monitored counts as dead, whatever gossip says. It keeps the view of an
	// instance behind a broken path from changing rapidly.
	timeoutHold = 30 * time.Second
)

// record is what the group knows about one other instance. State and
// Incarnation of member are its latest change, which gossip spreads.
type record struct {
	member        Member
	inView        bool // was listed or sent a heartbeat, so that its data centre is known
	listedLeaving bool
	changedAt     time.Time // last change of its state or of Listed

	timedOut          bool // missed its deadline here and has sent nothing since
	timedOutAt        time.Time
	lastIncarnation   uint64
	lastSequence      uint64
	heartbeatDeadline time.Time // HeartbeatTimeout after the last heartbeat
	connectDeadline   time.Time // for the first heartbeat of a new neighbour

	monitored       bool // by this instance
	monitorsUs      bool // as its last heartbeat says
	finalHeartbeats int  // still to be sent since it is no longer monitored

	toRefute   Change // change about it that is sent to it, so that it refutes it
	newProcess bool   // its process has started, or was heard again, since the last heartbeat to it
}

// state returns the state that the view shows. A timeout takes precedence over
// gossip: a neighbour that sends no heartbeats here is dead in this view.
func (rec *record) state() State {
	switch {
	case rec.timedOut:
		return Dead
	case rec.member.State == Unknown && rec.listedLeaving:
		return Leaving
	}
	return rec.member.State
}

// change returns the latest change of the instance.
func (rec *record) change() Change {
	return Change{ID: rec.member.ID, Incarnation: rec.member.Incarnation, State: rec.member.State}
}

// isNeighbour reports whether the two instances exchange heartbeats.
func (rec *record) isNeighbour() bool {
	return rec.monitored || rec.monitorsUs || rec.finalHeartbeats > 0
}

// overdue reports whether the instance has missed its deadline. Instances that
// need not send heartbeats here have none.
func (rec *record) overdue(now time.Time) bool {
	if rec.timedOut || !(rec.monitored || rec.monitorsUs) {
		return false
	}
	if rec.member.State != Alive && rec.member.State != Leaving {
		return false
	}
	return !now.Before(rec.heartbeatDeadline) && !now.Before(rec.connectDeadline)
}

// setConnectDeadline gives a neighbour without recent heartbeats time to connect.
func (rec *record) setConnectDeadline(now time.Time) {
	rec.connectDeadline = now.Add(connectTimeout)
}

// renewDeadlines renews the deadlines that were running when this process was paused.
func (rec *record) renewDeadlines(pausedAt, now time.Time) {
	if rec.heartbeatDeadline.After(pausedAt) {
		rec.heartbeatDeadline = later(rec.heartbeatDeadline, now.Add(HeartbeatTimeout))
	}
	if rec.connectDeadline.After(pausedAt) {
		rec.connectDeadline = later(rec.connectDeadline, now.Add(connectTimeout))
	}
}

// expired reports whether the record is no longer needed.
func (rec *record) expired(now time.Time) bool {
	age := now.Sub(rec.changedAt)
	switch {
	case !rec.inView:
		return age >= gossipOnlyRetention
	case rec.member.Listed || now.Before(rec.heartbeatDeadline):
		return false
	case rec.state() == Dead || rec.member.State == Unknown:
		return age >= deadRetention
	case rec.monitored || rec.monitorsUs:
		return false
	}
	return age >= unheardRetention && now.Sub(rec.heartbeatDeadline) >= unheardRetention
}

// record returns the record of an instance and creates it if needed.
func (gr *Group) record(now time.Time, id string) *record {
	rec := gr.records[id]
	if rec == nil {
		rec = &record{member: Member{ID: id}, changedAt: now}
		gr.records[id] = rec
	}
	return rec
}

// addToView adds a record to the members of the view.
func (gr *Group) addToView(rec *record) {
	if rec.inView {
		return
	}
	rec.inView = true
	at, _ := gr.find(rec.member.ID)
	gr.viewRecords = slices.Insert(gr.viewRecords, at, rec)
	gr.viewStale = true
}

// find returns the index in viewRecords at which an instance is or would be
// inserted, and whether it is there.
func (gr *Group) find(id string) (int, bool) {
	return slices.BinarySearchFunc(gr.viewRecords, id, func(rec *record, id string) int {
		return cmp.Compare(rec.member.ID, id)
	})
}

// removeExpired removes the expired records, once a second.
func (gr *Group) removeExpired(now time.Time) {
	if now.Before(gr.nextExpiry) {
		return
	}
	gr.nextExpiry = now.Add(time.Second)
	removed := false
	for id, rec := range gr.records {
		if !rec.expired(now) {
			continue
		}
		delete(gr.records, id)
		delete(gr.confirmations, id)
		removed = removed || rec.inView
	}
	if !removed {
		return
	}
	gr.viewRecords = slices.DeleteFunc(gr.viewRecords, func(rec *record) bool {
		return gr.records[rec.member.ID] != rec
	})
	gr.viewStale = true
	gr.updateMonitored()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
