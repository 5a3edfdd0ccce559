package jpmember

import (
	"slices"
	"time"
)

const (
	// maxChanges bounds the changes on one heartbeat, except for a member table: with
	// 18 neighbours and 25 bytes a change, 16 changes four times a second take 29 KB/s.
	maxChanges = 16

	// A change has a retransmission budget, from which each transmission to all
	// neighbours takes sendCost and each copy received from a neighbour takes 1.
	// The initial budget allows two transmissions: connections lose messages
	// only when they break, so one repetition is enough, and appendRefresh
	// repairs the rest. When each received copy took half of the budget, some
	// members of a fleet of 580 received no copy at all.
	sendCost      = 3
	initialBudget = 2 * sendCost

	// maxIncarnation is the lowest incarnation that is rejected. It leaves room
	// for the higher incarnation of a refutation.
	maxIncarnation = 1 << 63
)

// gossipQueue holds the instances whose latest change still has to be sent to
// neighbours. The change itself is looked up when it is sent.
type gossipQueue struct {
	budget   map[string]int // left to retransmit the change of an instance
	priority []string       // ids of instances that are dead or leaving
	normal   []string
}

// add queues the change of an instance. Dead and leaving instances go first:
// until a peer knows, it relays packets to an instance that does not handle them.
func (gq *gossipQueue) add(ch Change) {
	gq.budget[ch.ID] = initialBudget
	if ch.State == Dead || ch.State == Leaving {
		gq.priority = append(gq.priority, ch.ID)
		return
	}
	gq.normal = append(gq.normal, ch.ID)
}

// countDuplicate counts a queued change that a neighbour has sent as well. It
// bounds the traffic when there are many changes, as at the start of a fleet.
func (gq *gossipQueue) countDuplicate(id string) {
	gq.spend(id, 1)
}

func (gq *gossipQueue) spend(id string, cost int) {
	gq.budget[id] -= cost
	if gq.budget[id] <= 0 {
		delete(gq.budget, id)
	}
}

// next returns up to count ids for this round. Those with budget left move to
// the end of their queue.
func (gq *gossipQueue) next(count int) []string {
	var ids []string
	for _, queue := range []*[]string{&gq.priority, &gq.normal} {
		for range *queue {
			if len(ids) == count {
				break
			}
			id := (*queue)[0]
			*queue = (*queue)[1:]
			if gq.budget[id] == 0 || slices.Contains(ids, id) {
				continue
			}
			ids = append(ids, id)
			gq.spend(id, sendCost)
			if gq.budget[id] > 0 {
				*queue = append(*queue, id)
			}
		}
	}
	return ids
}

// supersedes reports whether ch replaces the known change. Within one
// incarnation, a state replaces those with a lower value.
func (ch Change) supersedes(known Change) bool {
	if ch.Incarnation != known.Incarnation {
		return ch.Incarnation > known.Incarnation
	}
	return ch.State > known.State
}

// handleChange processes a change received by gossip.
func (gr *Group) handleChange(now time.Time, ch Change) {
	if ch.ID == "" || ch.State == Unknown || ch.State > Dead || ch.Incarnation >= maxIncarnation {
		return
	}
	if ch.ID == gr.self.ID {
		gr.refute(ch)
		return
	}
	rec := gr.records[ch.ID]
	if rec == nil {
		if ch.State == Dead || len(gr.records)-len(gr.viewRecords) >= maxGossipOnly {
			return
		}
		rec = gr.record(now, ch.ID)
	}
	if ch == rec.change() {
		gr.gossip.countDuplicate(ch.ID)
		return
	}
	if !ch.supersedes(rec.change()) {
		return
	}
	if ch.State == Dead && now.Before(rec.heartbeatDeadline) {
		// This instance has confirmed the member, so it must not consider it dead yet.
		rec.toRefute = ch
		return
	}
	if ch.State == Dead && rec.overdue(now) {
		// It has missed its deadline here too. If it were not marked as timed
		// out, a refutation relayed by a third member would make it alive again.
		rec.timedOut = true
		rec.timedOutAt = now
	}
	if rec.member.State != Alive && ch.State == Alive {
		rec.setConnectDeadline(now)
	}
	gr.applyChange(now, rec, ch)
}

// applyChange records a change and queues it for the neighbours.
func (gr *Group) applyChange(now time.Time, rec *record, ch Change) {
	rec.member.Incarnation = ch.Incarnation
	rec.member.State = ch.State
	rec.changedAt = now
	if ch.State == Dead {
		rec.monitorsUs = false
	}
	gr.viewStale = true
	gr.queueGossip(ch.ID)
}

// refute raises the incarnation of this instance above that of a change which
// declares it dead or which belongs to an earlier process of it.
func (gr *Group) refute(ch Change) {
	if !ch.supersedes(Change{Incarnation: gr.self.Incarnation, State: gr.self.State}) {
		return
	}
	gr.self.Incarnation = ch.Incarnation + 1
	gr.viewStale = true
	gr.queueGossip(gr.self.ID)
	gr.RequestRound()
}

// queueGossip queues the latest change of an instance for the neighbours.
func (gr *Group) queueGossip(id string) {
	if ch, known := gr.latestChange(id); known {
		gr.gossip.add(ch)
	}
}

// nextChanges returns the changes that go to all neighbours in this round.
func (gr *Group) nextChanges() []Change {
	var changes []Change
	for _, id := range gr.gossip.next(maxChanges) {
		if ch, known := gr.latestChange(id); known {
			changes = append(changes, ch)
		}
	}
	return gr.appendRefresh(changes)
}

func (gr *Group) latestChange(id string) (Change, bool) {
	if id == gr.self.ID {
		return Change{ID: id, Incarnation: gr.self.Incarnation, State: gr.self.State}, true
	}
	rec := gr.records[id]
	if rec == nil {
		return Change{}, false
	}
	return rec.change(), true
}

// appendRefresh adds one entry of the member table, the next in each round. It
// repairs changes that were lost. In a mesh all members exchange heartbeats, so
// nothing needs repair.
func (gr *Group) appendRefresh(changes []Change) []Change {
	if len(gr.viewRecords) < maxMeshSize || len(changes) >= maxChanges {
		return changes
	}
	return gr.appendTable(changes, &gr.refreshCursor, 1)
}

// appendTable adds up to count known entries of the member table, starting at cursor.
func (gr *Group) appendTable(changes []Change, cursor *int, count int) []Change {
	for range gr.viewRecords {
		if count == 0 {
			break
		}
		rec := gr.viewRecords[*cursor%len(gr.viewRecords)]
		*cursor++
		if rec.member.State == Unknown {
			continue
		}
		changes = append(changes, rec.change())
		count--
	}
	return changes
}

// changesFor returns the changes of a round for one neighbour. One that only
// monitors this instance gets none that are shared: it is an instance that knows few
// others yet, and the seeds of a fleet that starts have all the others as such
// neighbours. It gets the changes from its own neighbours in the ring. The first
// heartbeat to a new process of a neighbour to which this instance is the nearest one
// carries the member table, which is not needed in a mesh.
func (gr *Group) changesFor(rec *record, shared []Change) []Change {
	var changes []Change
	if rec.monitored {
		changes = shared[:len(shared):len(shared)]
	}
	if rec.toRefute.ID != "" {
		changes = append(changes, rec.toRefute)
		rec.toRefute = Change{}
	}
	sendTable := rec.newProcess && len(gr.viewRecords) >= maxMeshSize && gr.nearest(rec)
	rec.newProcess = false
	if !sendTable {
		return changes
	}
	cursor := gr.refreshCursor
	return gr.appendTable(changes, &cursor, len(gr.viewRecords))
}

// nearest reports whether this instance is the nearest live neighbour of another one
// in the ring, on its side of it.
func (gr *Group) nearest(rec *record) bool {
	size := len(gr.viewRecords) + 1
	self, _ := gr.find(gr.self.ID)
	at, _ := gr.find(rec.member.ID)
	if at >= self {
		at++ // viewRecords omits this instance
	}
	for _, direction := range []int{1, -1} {
		for distance := 1; distance <= size/2; distance *= 2 {
			place := (at + direction*distance + size) % size
			if place == self {
				return true
			}
			if gr.viewRecords[recordIndex(self, place, size)].state() == Alive {
				break
			}
		}
	}
	return false
}
