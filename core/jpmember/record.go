package jpmember

import (
	"cmp"
	"slices"
	"time"
)

const (
	// deadRetention keeps a dead member that left the list, so that instances
	// that missed the news of its death still receive it.
	deadRetention = 30 * time.Second

	// unheardRetention ends a member that left the list and is known from gossip
	// only. It covers lost news of a death.
	unheardRetention = 10 * time.Minute

	// gossipOnlyRetention and maxUnplaced bound what is kept about instances that
	// gossip names before the list does.
	gossipOnlyRetention = time.Minute
	maxGossipOnly       = 1024

	// timeoutHold is how long a neighbour that went silent counts as dead
	// after it ceased to be a neighbour, whatever gossip says. It keeps an
	// instance that depends on a broken path from changing its view quickly.
	timeoutHold = 30 * time.Second
)

// record is what the group knows about one other instance. State and
// Incarnation of member are the latest news, which gossip passes on.
type record struct {
	member        Member
	inView        bool // was listed or heard, so that its data centre is known
	listedLeaving bool
	changedAt     time.Time // of the news or of Listed

	timedOut          bool // missed its deadline here and was not heard since
	timedOutAt        time.Time
	lastIncarnation   uint64
	lastSequence      uint64
	heartbeatDeadline time.Time // HeartbeatTimeout after the last heartbeat
	connectDeadline   time.Time // first heartbeat of a new neighbour

	monitored       bool // by this instance
	monitorsUs      bool // its last heartbeat asked for ours
	finalHeartbeats int  // heartbeats left that tell it that it is no longer wanted

	toRefute       Change // news about itself that it has to refute
	tableRemaining int    // entries of the member table that it still gets
	tableCursor    int
}

// state returns the state that the view shows. Direct evidence takes
// precedence: a neighbour that is silent here is dead here.
func (rec *record) state() State {
	switch {
	case rec.timedOut:
		return Dead
	case rec.member.State == Unknown && rec.listedLeaving:
		return Leaving
	}
	return rec.member.State
}

// change returns the latest news about the instance.
func (rec *record) change() Change {
	return Change{ID: rec.member.ID, Incarnation: rec.member.Incarnation, State: rec.member.State}
}

// isNeighbour reports whether the two instances exchange heartbeats.
func (rec *record) isNeighbour() bool {
	return rec.monitored || rec.monitorsUs || rec.finalHeartbeats > 0
}

// overdue reports whether the instance has missed its deadline. Only an
// instance that should send heartbeats here can.
func (rec *record) overdue(now time.Time) bool {
	if rec.timedOut || !(rec.monitored || rec.monitorsUs) {
		return false
	}
	if rec.member.State != Alive && rec.member.State != Leaving {
		return false
	}
	return !now.Before(rec.heartbeatDeadline) && !now.Before(rec.connectDeadline)
}

// setConnectDeadline gives a neighbour that was not heard lately the time to connect.
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

// expired reports whether nothing depends on the record any more.
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

// find returns where in the order of ids an instance is or would be.
func (gr *Group) find(id string) (int, bool) {
	return slices.BinarySearchFunc(gr.viewRecords, id, func(rec *record, id string) int {
		return cmp.Compare(rec.member.ID, id)
	})
}

// removeExpired removes the records that nothing depends on any more, once a second.
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
