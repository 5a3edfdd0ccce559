package jpslope

import (
	"fmt"
	"runtime"
	"time"

	"jacinthpass/core/jpmember"
)

// Ticks of the membership and heartbeats of each neighbour in a second.
const (
	memberTicks = 20
	memberBeats = 4
)

// hub is one instance's membership among neighbours that are all alive.
type hub struct {
	group      *jpmember.Group
	neighbours []jpmember.Member
	now        time.Time
	sequence   uint64
	due        []jpmember.AddressedHeartbeat // of the last round
	ticks      time.Duration                 // processor time in Tick
	seconds    int
}

// hub returns the membership of one instance of the fleet, with the neighbours
// that its servers call for.
func (ft Fleet) hub() (*hub, error) {
	tree, err := ft.tree(2)
	if err != nil {
		return nil, err
	}
	row := ft.List()[0]
	hb := &hub{now: epoch, group: jpmember.NewGroup(jpmember.Member{ID: row.ID, DataCentre: row.DataCentre, Incarnation: 1}, epoch)}
	hb.group.HandleList(epoch, ft.List())
	hb.group.Monitor(ft.steerer(row.ID, tree).Peers())
	hb.neighbours = hb.group.Neighbours()
	for no := range fleetNews {
		hb.hear([]jpmember.Change{ft.alive(no)})
	}
	return hb, nil
}

// fleetNews is the number of members that the neighbours tell of one by one.
const fleetNews = 580

// alive is the news that a member runs.
func (ft Fleet) alive(no int) jpmember.Change {
	rows := ft.List()
	return jpmember.Change{ID: rows[no%len(rows)].ID, Incarnation: 1, State: jpmember.Alive}
}

// second lets a second pass, with some changes on each heartbeat received.
func (hb *hub) second(changes []jpmember.Change) {
	for tick := range memberTicks {
		hb.now = hb.now.Add(time.Second / memberTicks)
		if tick%(memberTicks/memberBeats) == 0 {
			hb.hear(changes)
		}
		start := cpuTime()
		due := hb.group.Tick(hb.now)
		hb.ticks += cpuTime() - start
		hb.group.View()
		hb.group.Confirmations(hb.now)
		if len(due) > 0 {
			hb.due = due
		}
	}
	hb.seconds++
}

// hear hands over a heartbeat of each neighbour. It echoes the last one sent.
func (hb *hub) hear(changes []jpmember.Change) {
	hb.sequence++
	var last jpmember.Heartbeat
	if len(hb.due) > 0 {
		last = hb.due[0].Heartbeat
	}
	for _, mb := range hb.neighbours {
		hb.group.HandleHeartbeat(hb.now, jpmember.Heartbeat{
			From: mb.ID, DataCentre: mb.DataCentre, Incarnation: 1, State: jpmember.Alive, Monitoring: true,
			Sequence: hb.sequence, Echo: last.Sequence, Digest: last.Digest, Changes: changes,
		})
	}
}

// membershipSlopes measures what the membership takes without the messages
// themselves: ticks, heartbeats taken in, views and confirmations.
func membershipSlopes() ([]Figure, error) {
	var out []Figure
	for _, ft := range []Fleet{Today, {290, 550, 1650, 6, 0}, Design} {
		before := heap()
		hb, err := ft.hub()
		if err != nil {
			return nil, err
		}
		size := fmt.Sprintf("%v, %d neighbours", ft, len(hb.neighbours))
		out = append(out, Figure{"memory of the membership", size, (heap() - before) / 1e6, "MB"})
		for _, changes := range []int{0, 1, 16} {
			var list []jpmember.Change
			for no := range changes {
				list = append(list, ft.alive(no))
			}
			hb.ticks, hb.seconds = 0, 0
			co := costOf(func() { hb.second(list) })
			with := fmt.Sprintf("%s, %d changes", size, changes)
			out = append(out,
				Figure{"membership for a second", with, float64(co.cpu) / 1e6, "ms"},
				Figure{"Group.Tick for a second", with, float64(hb.ticks) / float64(hb.seconds) / 1e6, "ms"})
		}
		runtime.KeepAlive(hb)
	}
	return out, nil
}
