package jpmember

import (
	"slices"
	"time"
)

const (
	// maxChanges bounds the news on one heartbeat: at 18 neighbours and 25
	// bytes each, 16 of them four times a second take 29 KB/s.
	maxChanges = 16

	// News is sent twice to all neighbours. Connections lose messages only
	// when they break, so one repetition is enough; refresh repairs the rest.
	// Neighbours that send it as well count as a part of a repetition. With
	// one of two for each, some members of a fleet of 580 got no news at all.
	sendCost      = 3
	initialBudget = 2 * sendCost

	// maxIncarnation refuses numbers that leave no room for a refutation.
	maxIncarnation = 1 << 63
)

// gossipQueue is the news that still has to be passed on. The news itself is looked
// up when it is sent.
type gossipQueue struct {
	budget   map[string]int // weight left of the news about an instance
	priority []string       // ids of instances that are dead or leaving
	normal   []string
}

// add queues the news about an instance. News of losses goes first: until it
// arrives, packets are relayed to an instance that does not handle them.
func (gq *gossipQueue) add(ch Change) {
	gq.budget[ch.ID] = initialBudget
	if ch.State == Dead || ch.State == Leaving {
		gq.priority = append(gq.priority, ch.ID)
		return
	}
	gq.normal = append(gq.normal, ch.ID)
}

// countDuplicate counts news that a neighbour has passed on as well. It bounds the
// traffic when much is new, as at the start of a fleet.
func (gq *gossipQueue) countDuplicate(id string) {
	gq.spend(id, 1)
}

func (gq *gossipQueue) spend(id string, cost int) {
	gq.budget[id] -= cost
	if gq.budget[id] <= 0 {
		delete(gq.budget, id)
	}
}

// next removes up to count ids for this round. Those with weight left move to
// the end.
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

// supersedes reports whether ch outranks what is known. States are declared in the
// order in which they outrank each other within one incarnation.
func (ch Change) supersedes(known Change) bool {
	if ch.Incarnation != known.Incarnation {
		return ch.Incarnation > known.Incarnation
	}
	return ch.State > known.State
}

// handleChange takes in news from gossip.
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
		// This instance has promised the member not to consider it dead.
		rec.toRefute = ch
		return
	}
	if ch.State == Dead && rec.overdue(now) {
		// Nothing is heard of it here either. Without this mark, a refutation
		// that comes through a third member would count it as alive again.
		rec.timedOut = true
		rec.timedOutAt = now
	}
	if rec.member.State != Alive && ch.State == Alive {
		rec.setConnectDeadline(now)
	}
	gr.applyChange(now, rec, ch)
}

// applyChange records news and passes it on.
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

// refute raises the incarnation of this instance above news that declares it
// dead or that belongs to a process which cannot be running any more.
func (gr *Group) refute(ch Change) {
	if !ch.supersedes(Change{Incarnation: gr.self.Incarnation, State: gr.self.State}) {
		return
	}
	gr.self.Incarnation = ch.Incarnation + 1
	gr.viewStale = true
	gr.queueGossip(gr.self.ID)
	gr.RequestRound()
}

// queueGossip queues the news about an instance.
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

// appendRefresh adds one entry of the member table in turn. It repairs news that was
// lost. In a mesh all members hear each other, so nothing needs repair.
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

// changesFor returns the changes of a round for one neighbour. A neighbour that
// was heard for the first time gets the member table with its next heartbeats.
func (gr *Group) changesFor(rec *record, shared []Change) []Change {
	changes := shared[:len(shared):len(shared)]
	if rec.toRefute.ID != "" {
		changes = append(changes, rec.toRefute)
		rec.toRefute = Change{}
	}
	room := min(maxChanges-len(changes), rec.tableRemaining)
	if room <= 0 {
		return changes
	}
	rec.tableRemaining -= room
	return gr.appendTable(changes, &rec.tableCursor, room)
}

// startTableTransfer starts to send the member table to a neighbour.
func (gr *Group) startTableTransfer(rec *record) {
	if len(gr.viewRecords) < maxMeshSize {
		return
	}
	rec.tableRemaining = len(gr.viewRecords)
	rec.tableCursor = gr.refreshCursor
}
