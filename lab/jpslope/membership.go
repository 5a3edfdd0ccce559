package jpslope

import (
	"fmt"
	"runtime"
	"time"

	"jacinthpass/core/jpmember"
)

// Ticks of the membership and heartbeats of each neighbour in a second.
const (
	ticksPerSecond      = 20
	heartbeatsPerSecond = 4
)

// hub is one instance's membership among neighbours that are all alive.
type membershipHarness struct {
	group          *jpmember.Group
	neighbours     []jpmember.Member
	now            time.Time
	sequence       uint64
	lastHeartbeats []jpmember.AddressedHeartbeat // of the last round
	tickTime       time.Duration                 // processor time in Tick
	seconds        int
}

// hub returns the membership of one instance of the fleet, with the neighbours
// that its servers call for.
func (ft Fleet) newMembershipHarness() (*membershipHarness, error) {
	tree, err := ft.tree(2)
	if err != nil {
		return nil, err
	}
	row := ft.InstanceList()[0]
	mh := &membershipHarness{now: epoch, group: jpmember.NewGroup(jpmember.Member{ID: row.ID, DataCentre: row.DataCentre, Incarnation: 1}, epoch)}
	mh.group.HandleList(epoch, ft.InstanceList())
	mh.group.Monitor(ft.steerer(row.ID, tree).Peers())
	mh.neighbours = mh.group.Neighbours()
	for no := range announcedMembers {
		mh.handleHeartbeats([]jpmember.Change{ft.aliveChange(no)})
	}
	return mh, nil
}

// fleetNews is the number of members that the neighbours tell of one by one.
const announcedMembers = 580

// alive is the news that a member runs.
func (ft Fleet) aliveChange(no int) jpmember.Change {
	rows := ft.InstanceList()
	return jpmember.Change{ID: rows[no%len(rows)].ID, Incarnation: 1, State: jpmember.Alive}
}

// second lets a second pass, with some changes on each heartbeat received.
func (mh *membershipHarness) runSecond(changes []jpmember.Change) {
	for tick := range ticksPerSecond {
		mh.now = mh.now.Add(time.Second / ticksPerSecond)
		if tick%(ticksPerSecond/heartbeatsPerSecond) == 0 {
			mh.handleHeartbeats(changes)
		}
		start := cpuTime()
		due := mh.group.Tick(mh.now)
		mh.tickTime += cpuTime() - start
		mh.group.View()
		mh.group.Confirmations(mh.now)
		if len(due) > 0 {
			mh.lastHeartbeats = due
		}
	}
	mh.seconds++
}

// hear hands over a heartbeat of each neighbour. It echoes the last one sent.
func (mh *membershipHarness) handleHeartbeats(changes []jpmember.Change) {
	mh.sequence++
	var last jpmember.Heartbeat
	if len(mh.lastHeartbeats) > 0 {
		last = mh.lastHeartbeats[0].Heartbeat
	}
	for _, mb := range mh.neighbours {
		mh.group.HandleHeartbeat(mh.now, jpmember.Heartbeat{
			From: mb.ID, DataCentre: mb.DataCentre, Incarnation: 1, State: jpmember.Alive, Monitoring: true,
			Sequence: mh.sequence, Echo: last.Sequence, Digest: last.Digest, Changes: changes,
		})
	}
}

// membershipSlopes measures what the membership takes without the messages
// themselves: ticks, heartbeats taken in, views and confirmations.
func measureMembership() ([]Measurement, error) {
	var out []Measurement
	for _, ft := range []Fleet{CurrentFleet, {290, 550, 1650, 6, 0}, DesignFleet} {
		before := heapInUse()
		mh, err := ft.newMembershipHarness()
		if err != nil {
			return nil, err
		}
		size := fmt.Sprintf("%v, %d neighbours", ft, len(mh.neighbours))
		out = append(out, Measurement{"memory of the membership", size, (heapInUse() - before) / 1e6, "MB"})
		for _, changes := range []int{0, 1, 16} {
			var list []jpmember.Change
			for no := range changes {
				list = append(list, ft.aliveChange(no))
			}
			mh.tickTime, mh.seconds = 0, 0
			co := measureCost(func() { mh.runSecond(list) })
			conditions := fmt.Sprintf("%s, %d changes", size, changes)
			out = append(out,
				Measurement{"membership for a second", conditions, float64(co.cpu) / 1e6, "ms"},
				Measurement{"Group.Tick for a second", conditions, float64(mh.tickTime) / float64(mh.seconds) / 1e6, "ms"})
		}
		runtime.KeepAlive(mh)
	}
	return out, nil
}
