// Package jpmember implements the membership of an instance: failure detection
// by heartbeats, gossip of state changes and the resulting view of all instances.
//
// A Group is a pure state machine: its inputs are the time, rows of the
// platform's instance list and heartbeats; its outputs are heartbeats to send,
// views and confirmations. It reads no clock, opens no socket, starts no
// goroutine and uses no random numbers. It is not safe for concurrent use.
package jpmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of heartbeats. ConfirmationLifetime is half of HeartbeatTimeout, so that
// a confirmation expires well before the peer that gave it may take over, even
// when the clocks of the two instances run at different rates.
const (
	HeartbeatInterval    = 250 * time.Millisecond
	HeartbeatTimeout     = 1500 * time.Millisecond // a neighbour is dead after this time without a heartbeat
	ConfirmationLifetime = 750 * time.Millisecond  // from the moment the echoed heartbeat was sent
	PauseThreshold       = 750 * time.Millisecond  // between ticks; above it the process was paused
)

const (
	// connectTimeout is how long the first heartbeat of a new neighbour may
	// take: both sides have to connect first.
	connectTimeout = 3 * time.Second

	// minRoundGap is the minimum time between a round that RequestRound asks
	// for and the previous one. It has to exceed one unit of the first sequence
	// number, see firstSequence.
	minRoundGap = 25 * time.Millisecond
)

// Group is the membership state of one instance: what it knows of all instances
// and the heartbeats that it exchanges with them.
type Group struct {
	self           Member
	records        map[string]*record
	viewRecords    []*record       // records of the view, sorted by id
	extraMonitored map[string]bool // see Monitor
	now            time.Time       // latest time seen

	lastTick       time.Time
	lastRound      time.Time
	nextRound      time.Time
	roundRequested bool
	sequence       uint64
	sentRounds     []round

	nextExpiry time.Time

	confirmations map[string]time.Time // deadlines by peer
	gossip        gossipQueue
	refreshCursor int // next index in viewRecords for appendRefresh

	view         View
	viewStale    bool
	viewBuilt    bool
	viewDigest   uint64
	viewReturned bool // View has returned the current view
}

// round is the sequence number of one round of heartbeats and when it was sent.
type round struct {
	sequence uint64
	at       time.Time
}

// NewGroup returns the group of an instance that starts now. The incarnation
// of self is the start time of its process in nanoseconds since 1970, so that
// its changes supersede those of earlier processes of the same instance.
func NewGroup(self Member, now time.Time) *Group {
	self.State = Alive
	return &Group{
		self:           self,
		records:        make(map[string]*record),
		extraMonitored: make(map[string]bool),
		now:            now,
		lastTick:       now,
		nextRound:      now,
		sequence:       firstSequence(self.Incarnation),
		confirmations:  make(map[string]time.Time),
		gossip:         gossipQueue{budget: make(map[string]int)},
		refreshCursor:  int(xxhash.Sum64String(self.ID) >> 33),
		viewStale:      true,
	}
}

// firstSequence makes the sequence numbers of two processes of one instance
// differ: an echo meant for an earlier process must not confirm anything to a
// later one. The unit of 2^24 ns (17 ms) is less than the time between two
// heartbeats; 31 bits repeat after a year and take 5 bytes on the wire.
func firstSequence(incarnation uint64) uint64 {
	return incarnation >> 24 & (1<<31 - 1)
}

// HandleList applies the platform's instance list. It adds members, their data
// centres and their addresses. A member that the list omits stays until it is
// dead, because the list lags; an empty list is ignored. The list does not
// change the state of an instance that has sent a heartbeat or is known from
// gossip.
func (gr *Group) HandleList(now time.Time, rows []Listed) {
	gr.advanceClock(now)
	if len(rows) == 0 {
		return
	}
	named := make(map[string]bool, len(rows))
	for _, row := range rows {
		named[row.ID] = true
		if row.ID != gr.self.ID && row.ID != "" {
			gr.handleRow(now, row)
		}
	}
	gr.self.Listed = named[gr.self.ID]
	for _, rec := range gr.viewRecords {
		if rec.member.Listed && !named[rec.member.ID] {
			rec.member.Listed = false
			rec.changedAt = now
		}
	}
	gr.viewStale = true
	gr.updateMonitored()
}

func (gr *Group) handleRow(now time.Time, row Listed) {
	rec := gr.record(now, row.ID)
	rec.member.Listed = true
	rec.member.Addresses = row.Addresses
	rec.listedLeaving = row.Leaving
	if rec.lastIncarnation == 0 {
		rec.member.DataCentre = row.DataCentre
	}
	gr.addToView(rec)
}

// Monitor sets the instances that this instance monitors in addition to its
// neighbours in the ring: the successors of its servers and the owners of
// servers of the same services. It replaces the ids of the previous call.
func (gr *Group) Monitor(ids []string) {
	monitored := make(map[string]bool, len(ids))
	for _, id := range ids {
		monitored[id] = true
	}
	gr.extraMonitored = monitored
	gr.updateMonitored()
}

// Leave announces a planned stop. From now on this instance owns no server and
// has no confirmations.
func (gr *Group) Leave(now time.Time) {
	gr.advanceClock(now)
	if gr.self.State == Leaving {
		return
	}
	gr.self.State = Leaving
	clear(gr.confirmations)
	gr.viewStale = true
	gr.queueGossip(gr.self.ID)
	gr.RequestRound()
}

// View returns the current view and whether it differs from that of the
// previous call.
func (gr *Group) View() (View, bool) {
	view, rebuilt := gr.updateView()
	changed := rebuilt || !gr.viewReturned
	gr.viewReturned = true
	return view, changed
}

// updateView rebuilds the view if needed and reports whether it changed.
func (gr *Group) updateView() (View, bool) {
	if !gr.viewStale {
		return gr.view, false
	}
	gr.viewStale = false
	members := make([]Member, 0, len(gr.viewRecords)+1)
	members = append(members, gr.self)
	for _, rec := range gr.viewRecords {
		mb := rec.member
		mb.State = rec.state()
		members = append(members, mb)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if gr.viewBuilt && slices.Equal(members, gr.view.Members) {
		return gr.view, false
	}
	gr.viewBuilt = true
	gr.view = View{Self: gr.self.ID, Members: members}
	gr.viewReturned = false
	gr.viewDigest = digestOf(members, gr.self.DataCentre)
	return gr.view, true
}

// advanceClock sets the latest time seen. More than PauseThreshold since the last
// tick means that this process was paused. Heartbeats sent to it meanwhile may
// still be in its socket buffers, so the deadlines of its peers are renewed.
func (gr *Group) advanceClock(now time.Time) {
	if now.After(gr.now) {
		gr.now = now
	}
	if now.Sub(gr.lastTick) <= PauseThreshold {
		return
	}
	for _, rec := range gr.viewRecords {
		rec.renewDeadlines(gr.lastTick, now)
	}
	gr.lastTick = now
}
