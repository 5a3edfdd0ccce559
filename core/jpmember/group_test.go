package jpmember

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against wrong states after the common changes of one instance, and
// against members that are never removed or removed too early.
func TestStates(t *testing.T) {
	const id = "i-002"
	rows := []struct {
		name   string
		change func(sim *simulation, proc *process)
		wait   time.Duration
		want   State
	}{
		{"healthy", func(sim *simulation, proc *process) {}, 5 * time.Second, Alive},
		{"killed, before the limit", func(sim *simulation, proc *process) { proc.stopped = true }, 1200 * time.Millisecond, Alive},
		{"killed", func(sim *simulation, proc *process) { proc.stopped = true }, 1800 * time.Millisecond, Dead},
		{"leaving", func(sim *simulation, proc *process) { proc.group.Leave(sim.now) }, 100 * time.Millisecond, Leaving},
		{"paused and back", func(sim *simulation, proc *process) { proc.resume = sim.now.Add(3 * time.Second) }, 4 * time.Second, Alive},
		{"restarted", func(sim *simulation, proc *process) { sim.start(proc) }, time.Second, Alive},
		{"not listed but sends heartbeats", func(sim *simulation, proc *process) {
			for _, other := range sim.procs {
				other.group.HandleList(sim.now, sim.listed[:2])
			}
		}, 40 * time.Second, Alive},
		{"listed as leaving but sends heartbeats", func(sim *simulation, proc *process) {
			rows := append([]Listed{{ID: id, Leaving: true}}, sim.listed[:2]...)
			sim.procs[0].group.HandleList(sim.now, rows)
		}, time.Second, Alive},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(3)
			sim.runFor(time.Second)
			row.change(sim, sim.byID[id])
			sim.runFor(row.wait)
			if got := sim.procs[0].state(id); got != row.want {
				t.Errorf("state %d, want %d", got, row.want)
			}
		})
	}
}

// Guards against a member table that grows with every instance that ever ran.
func TestRemovesDeadUnlisted(t *testing.T) {
	sim := newSimulation(3)
	sim.runFor(time.Second)
	sim.procs[2].stopped = true
	sim.runFor(2 * time.Second)
	if members := len(sim.procs[0].view.Members); members != 3 {
		t.Fatalf("%d members while the list names the dead one, want 3", members)
	}
	sim.procs[0].group.HandleList(sim.now, sim.listed[:2])
	sim.runFor(deadRetention + time.Second)
	if members := len(sim.procs[0].view.Members); members != 2 {
		t.Errorf("%d members, want 2", members)
	}
}

// Guards against an instance that is alive, and so owns servers, although it has
// never sent a heartbeat, and against an unchanged view reported as changed.
func TestUnknownAndUnchanged(t *testing.T) {
	sim := newSimulation(2)
	sim.procs[1].stopped = true
	sim.runFor(5 * time.Second)
	if got := sim.procs[0].state("i-001"); got != Unknown {
		t.Errorf("state %d of a member that never sent a heartbeat", got)
	}
	sim.procs[0].group.HandleList(sim.now, sim.listed)
	if _, changed := sim.procs[0].group.View(); changed {
		t.Error("the same list changed the view")
	}
}

// Guards against a process that declares its peers dead after it was paused
// itself.
func TestPauseIsNotFailure(t *testing.T) {
	sim := newSimulation(2)
	sim.runFor(time.Second)
	proc := sim.procs[0]
	now := sim.now.Add(time.Minute)
	proc.group.Tick(now)
	if vw, _ := proc.group.View(); len(vw.Alive()) != 2 {
		t.Errorf("after the pause: %+v", vw.Members)
	}
	for at := time.Duration(0); at <= HeartbeatTimeout; at += HeartbeatInterval {
		proc.group.Tick(now.Add(at))
	}
	if vw, _ := proc.group.View(); len(vw.Alive()) != 1 {
		t.Errorf("silent peer is not dead after the pause: %+v", vw.Members)
	}
}

// Guards against gossip of a death that overrides received heartbeats, and
// against a false death that stays in the views of others. The path from one
// member to another is cut in one direction.
func TestOneWayPartition(t *testing.T) {
	sim := newSimulation(3)
	sim.runFor(time.Second)
	before := sim.procs[2].group.self.Incarnation
	sim.delay = func(from, to int) (time.Duration, bool) { return 0, from != 2 || to != 0 }
	for end := sim.now.Add(10 * time.Second); sim.now.Before(end); {
		sim.run()
		if got := sim.procs[1].state("i-002"); got != Alive {
			t.Fatalf("gossip overrode received heartbeats: state %d", got)
		}
	}
	if got := sim.procs[0].state("i-002"); got != Dead {
		t.Errorf("state %d on the cut side, want dead", got)
	}
	if raised := sim.procs[2].group.self.Incarnation - before; raised != 1 {
		t.Errorf("incarnation raised by %d, want 1", raised)
	}
	sim.delay = func(from, to int) (time.Duration, bool) { return 0, true }
	sim.runFor(time.Second)
	if got := sim.procs[0].state("i-002"); got != Alive {
		t.Errorf("state %d after the cut healed", got)
	}
}

// Guards against a member that repeatedly becomes alive for a while although it
// cannot be reached: another member on this side of a partition has declared it
// dead first, and a member that reaches both sides relays its refutation.
func TestPartitionWithRefutation(t *testing.T) {
	for late := range 10 {
		sim := newSimulation(4)
		cut := false
		sim.delay = func(from, to int) (time.Duration, bool) {
			if cut && min(from, to) < 2 && max(from, to) == 3 {
				return 0, false
			}
			if from == 3 && to == 1 {
				return time.Duration(late) * sim.step, true
			}
			return 0, true
		}
		sim.runFor(time.Second)
		cut = true
		sim.runFor(2 * time.Second)
		for end := sim.now.Add(10 * time.Second); sim.now.Before(end); {
			sim.run()
			if sim.procs[0].state("i-003") != Dead || sim.procs[1].state("i-003") != Dead || sim.procs[2].state("i-003") != Alive {
				t.Fatalf("%d steps: states %d, %d and %d beyond the cut, want two dead and one alive", late,
					sim.procs[0].state("i-003"), sim.procs[1].state("i-003"), sim.procs[2].state("i-003"))
			}
		}
	}
}

// Guards against connections that only one side keeps, and against connections
// that both sides keep forever because each sends heartbeats in response to the
// other's.
func TestMonitoredNeighbours(t *testing.T) {
	sim := newSimulation(40)
	sim.runFor(5 * time.Second)
	from, to := sim.procs[0].group, sim.procs[11].group
	linked := func(grp *Group, id string) bool {
		for _, mb := range grp.Neighbours() {
			if mb.ID == id {
				return true
			}
		}
		return false
	}
	from.Monitor([]string{"i-011"})
	sim.runFor(time.Second)
	if !linked(from, "i-011") || !linked(to, "i-000") {
		t.Fatal("no link in both directions after Monitor")
	}
	if got := len(from.Confirmations(sim.now)); got != 11 {
		t.Errorf("%d confirmations, want 10 of the ring and 1", got)
	}
	from.Monitor(nil)
	sim.runFor(5 * time.Second)
	if linked(from, "i-011") || linked(to, "i-000") {
		t.Error("link kept although neither side monitors the other")
	}
	if bad := sim.disagreeing("i-011", Alive) + sim.disagreeing("i-000", Alive); bad != 0 {
		t.Errorf("%d members take the end of the link for a failure", bad)
	}
}

// Guards against deaths and restarts that do not reach all members of a large
// fleet, and against control traffic beyond its budget.
func TestLargeFleet(t *testing.T) {
	const size, victim = 580, "i-123"
	sim := newSimulation(size)
	sim.step = 125 * time.Millisecond
	measure := func(what string, limit time.Duration, disagreeing func() int) {
		t.Helper()
		start, bytes := sim.now, 0
		for disagreeing() > 0 && sim.now.Sub(start) < limit {
			bytes += encodedSize(t, sim.run())
		}
		took := sim.now.Sub(start)
		t.Logf("%s: %v (%d rounds), %.1f KB/s written by each member", what, took,
			took/HeartbeatInterval, float64(bytes)/size/took.Seconds()/1000)
		if bad := disagreeing(); bad != 0 {
			t.Errorf("%s: %d members disagree after %v", what, bad, limit)
		}
	}
	seenAs := func(state State) func() int {
		return func() int { return sim.disagreeing(victim, state) }
	}
	measure("start of all", 20*time.Second, seenAs(Alive))
	sim.runFor(15 * time.Second) // until the changes of the start have been sent
	sim.byID[victim].stopped = true
	sim.runFor(HeartbeatTimeout)
	measure("death, after the silence", 8*HeartbeatInterval, seenAs(Dead))
	sim.start(sim.byID[victim])
	measure("restart", 8*HeartbeatInterval, seenAs(Alive))
	measure("table of the restarted member", 32*HeartbeatInterval, func() int {
		return size - len(sim.byID[victim].view.Alive())
	})
	bytes := 0
	for range int(time.Second / sim.step) {
		bytes += encodedSize(t, sim.run())
	}
	rate := float64(bytes) / size / 1000
	t.Logf("at rest: %.1f KB/s written by each member", rate)
	if rate > 8 {
		t.Errorf("%.1f KB/s at rest, want at most 8", rate)
	}
}

// encodedSize returns the size of heartbeats as arrays without field names,
// each with 10 bytes for the WebSocket frame and the envelope.
func encodedSize(t *testing.T, sent []AddressedHeartbeat) int {
	t.Helper()
	size := 0
	for _, ad := range sent {
		hb := ad.Heartbeat
		row := []any{hb.From, hb.DataCentre, hb.Incarnation, hb.State, hb.Sequence, hb.Echo}
		for _, ch := range hb.Changes {
			row = append(row, []any{ch.ID, ch.Incarnation, ch.State})
		}
		enc, err := cbor.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		size += len(enc) + 10
	}
	return size
}

// Guards against restarted members that learn of the others late because their
// neighbours in the ring have died at the same time.
func TestTableAfterDeaths(t *testing.T) {
	const size = 60
	sim := newSimulation(size)
	sim.runFor(20 * time.Second)
	restarted := sim.procs[30]
	for _, proc := range sim.procs[25:36] {
		proc.stopped = true
	}
	sim.runFor(4 * time.Second)
	sim.start(restarted)
	sim.runFor(4 * HeartbeatInterval)
	if alive, want := len(restarted.view.Alive()), size-10; alive != want {
		t.Errorf("it knows %d live members after a second, want %d", alive, want)
	}
}

// Guards against seeds that send everything to everyone while a fleet starts whose
// members know only the seeds at first: with 195 instances they sent 90 KB/s of
// heartbeats for 10 s, where 29 KB/s is the limit for all control traffic.
func TestStartWithSeeds(t *testing.T) {
	const size, seeds, limit = 200, 3, 29_000
	const listDelay = 2500 * time.Millisecond
	sim := newSimulation(size)
	all := sim.listed
	sim.listed = all[:seeds]
	for _, proc := range sim.procs {
		proc.group = NewGroup(Member{ID: all[proc.index].ID, DataCentre: "hobart", Incarnation: uint64(sim.now.UnixNano())}, sim.now)
		proc.group.HandleList(sim.now, sim.listed)
	}
	start := sim.now
	bySender := map[string]int{}
	for sim.now.Sub(start) < 10*time.Second {
		if sim.now.Sub(start) == listDelay {
			sim.listed = all
			for _, proc := range sim.procs {
				proc.group.HandleList(sim.now, sim.listed)
			}
		}
		for _, ad := range sim.run() {
			bySender[ad.Heartbeat.From] += encodedSize(t, []AddressedHeartbeat{ad})
		}
	}
	most, total := 0, 0
	for _, bytes := range bySender {
		most = max(most, bytes/10)
		total += bytes / 10
	}
	t.Logf("heartbeats in the first 10 s: %d bytes/s at the busiest member, %d on average", most, total/size)
	if most > limit {
		t.Errorf("the busiest member sent %d bytes/s, want at most %d", most, limit)
	}
	for _, proc := range sim.procs {
		if alive := len(proc.view.Alive()); alive != size {
			t.Fatalf("%s knows %d of %d members after 10 s", proc.id(), alive, size)
		}
	}
}
