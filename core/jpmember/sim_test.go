package jpmember

import (
	"fmt"
	"time"
)

// simulation runs several groups on a network in memory.
type simulation struct {
	now    time.Time
	procs  []*process
	byID   map[string]*process
	queue  []message
	delay  func(from, to int) (time.Duration, bool) // false loses the message
	step   time.Duration
	listed []Listed
}

type process struct {
	index   int
	group   *Group
	started time.Time
	resume  time.Time // paused until then
	stopped bool
	inbox   []Heartbeat
	view    View
	clock   clock
}

// clock is the clock of one process. It runs at its own rate and may stop.
type clock struct {
	at      time.Time
	percent int       // of the true rate, 0 means 100
	stopped time.Time // shows the same time until then
}

func (cl *clock) advance(now time.Time, step time.Duration) {
	if now.Before(cl.stopped) {
		return
	}
	if cl.percent != 0 {
		step = step * time.Duration(cl.percent) / 100
	}
	cl.at = cl.at.Add(step)
}

type message struct {
	at time.Time
	to int
	hb Heartbeat
}

func newSimulation(size int) *simulation {
	sim := &simulation{
		now:   time.Unix(1_790_000_000, 0),
		step:  50 * time.Millisecond,
		byID:  make(map[string]*process),
		delay: func(from, to int) (time.Duration, bool) { return 0, true },
	}
	for at := range size {
		sim.listed = append(sim.listed, Listed{ID: fmt.Sprintf("i-%03d", at), DataCentre: "hobart"})
	}
	for at := range size {
		proc := &process{index: at}
		sim.procs = append(sim.procs, proc)
		sim.byID[sim.listed[at].ID] = proc
		sim.start(proc)
	}
	return sim
}

func (sim *simulation) start(proc *process) {
	if proc.clock.at.IsZero() {
		proc.clock.at = sim.now
	}
	now := proc.clock.at
	self := Member{ID: sim.listed[proc.index].ID, DataCentre: "hobart", Incarnation: uint64(now.UnixNano())}
	*proc = process{index: proc.index, started: now, group: NewGroup(self, now), clock: proc.clock}
	proc.group.HandleList(now, sim.listed)
	proc.view, _ = proc.group.View()
}

// run advances the time by one step and returns the heartbeats that were sent.
func (sim *simulation) run() []AddressedHeartbeat {
	sim.now = sim.now.Add(sim.step)
	var rest []message
	for _, msg := range sim.queue {
		if msg.at.After(sim.now) {
			rest = append(rest, msg)
			continue
		}
		proc := sim.procs[msg.to]
		proc.inbox = append(proc.inbox, msg.hb)
	}
	sim.queue = rest
	var sent []AddressedHeartbeat
	for _, proc := range sim.procs {
		proc.clock.advance(sim.now, sim.step)
		if !proc.stopped && !sim.now.Before(proc.resume) {
			sent = append(sent, sim.runProcess(proc)...)
		}
	}
	return sent
}

func (sim *simulation) runProcess(proc *process) []AddressedHeartbeat {
	for _, hb := range proc.inbox {
		proc.group.HandleHeartbeat(proc.clock.at, hb)
	}
	proc.inbox = nil
	due := proc.group.Tick(proc.clock.at)
	proc.view, _ = proc.group.View()
	for _, ad := range due {
		to := sim.byID[ad.To].index
		delay, ok := sim.delay(proc.index, to)
		if ok {
			sim.queue = append(sim.queue, message{at: sim.now.Add(delay), to: to, hb: ad.Heartbeat})
		}
	}
	return due
}

// runFor advances the time by at least dur.
func (sim *simulation) runFor(dur time.Duration) {
	for end := sim.now.Add(dur); sim.now.Before(end); {
		sim.run()
	}
}

// state returns the state of an instance in the view of proc.
func (proc *process) state(id string) State {
	for _, mb := range proc.view.Members {
		if mb.ID == id {
			return mb.State
		}
	}
	return Unknown
}

func (proc *process) id() string {
	return proc.view.Self
}

// disagreeing returns how many other running processes see the instance in a
// state other than want.
func (sim *simulation) disagreeing(id string, want State) int {
	count := 0
	for _, proc := range sim.procs {
		if !proc.stopped && proc.id() != id && proc.state(id) != want {
			count++
		}
	}
	return count
}
