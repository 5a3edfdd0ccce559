package jpmember

// maxMeshSize is the largest number of members that form a full mesh, in which
// all exchange heartbeats with each other. Larger groups use a ring.
const maxMeshSize = 16

// finalHeartbeatCount is the number of heartbeats that tell a former neighbour
// that it is no longer monitored, so that it does not take the end of the
// heartbeats for a failure.
const finalHeartbeatCount = 3

// Neighbours returns the instances to connect to: those that this instance
// monitors and those that monitor it. A member that is not listed may have no
// addresses.
func (gr *Group) Neighbours() []Member {
	var members []Member
	for _, rec := range gr.viewRecords {
		if !rec.isNeighbour() {
			continue
		}
		mb := rec.member
		mb.State = rec.state()
		members = append(members, mb)
	}
	return members
}

// updateMonitored computes which instances this one monitors. Dead members keep
// their places in the ring, so that both sides of a partition still try to
// connect to each other once it has healed.
func (gr *Group) updateMonitored() {
	neighbours := gr.ringNeighbours()
	for at, rec := range gr.viewRecords {
		gr.setMonitored(rec, neighbours == nil || neighbours[at] || gr.extraMonitored[rec.member.ID])
	}
}

// ringNeighbours returns the indices in viewRecords of the instances at the
// distances 1, 2, 4, 8, ... in both directions from this instance, or nil if the
// group is a mesh. The relation is symmetric: ring neighbours choose each other.
func (gr *Group) ringNeighbours() map[int]bool {
	size := len(gr.viewRecords) + 1
	if size <= maxMeshSize {
		return nil
	}
	self, _ := gr.find(gr.self.ID)
	chosen := make(map[int]bool)
	for dist := 1; dist <= size/2; dist *= 2 {
		chosen[recordIndex(self, self+dist, size)] = true
		chosen[recordIndex(self, self-dist, size)] = true
	}
	return chosen
}

// recordIndex converts a place in the ring to an index in Group.viewRecords,
// which omits this instance.
func recordIndex(self, place, size int) int {
	place = (place + size) % size
	if place > self {
		return place - 1
	}
	return place
}

func (gr *Group) setMonitored(rec *record, monitored bool) {
	if rec.monitored == monitored {
		return
	}
	rec.monitored = monitored
	if monitored {
		rec.finalHeartbeats = 0
		if !rec.monitorsUs || !gr.now.Before(rec.heartbeatDeadline) {
			rec.setConnectDeadline(gr.now)
		}
		return
	}
	rec.finalHeartbeats = finalHeartbeatCount
}
