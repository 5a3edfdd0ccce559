package jpslope

import (
	"fmt"
	"runtime"
	"time"

	"jacinthpass/core/jpmember"
)

// Ticks of the membership per second, and heartbeats from each neighbour per second.
const (
	ticksPerSecond      = 20
	heartbeatsPerSecond = 4
)

// membershipHarness runs the membership of one instance whose neighbours are all
// alive.
type membershipHarness struct {
	group          *jpmember.Group
	neighbours     []jpmember.Member
	now            time.Time
	sequence       uint64
	lastHeartbeats []jpmember.AddressedHeartbeat // sent by the last tick that sent any
	tickTime       time.Duration                 // CPU time spent in Tick
	seconds        int
}

// newMembershipHarness returns a harness for one instance of the fleet that has
// received announcedMembers changes. Its neighbours include the instances that its
// Steerer requires as peers.
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

// announcedMembers is the number of members that the neighbours report alive to a
// new harness, one member in each round of heartbeats.
const announcedMembers = 580

// aliveChange returns the gossip change that declares a member alive.
func (ft Fleet) aliveChange(no int) jpmember.Change {
	rows := ft.InstanceList()
	return jpmember.Change{ID: rows[no%len(rows)].ID, Incarnation: 1, State: jpmember.Alive}
}

// runSecond simulates one second. Each received heartbeat carries the changes.
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

// handleHeartbeats delivers a heartbeat from each neighbour, which echoes the last
// heartbeat that the instance sent.
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

// measureMembership measures the CPU time and memory of the membership, that is of
// ticks, received heartbeats, views and confirmations, without encoding and sending
// messages.
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
