package jpdispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// fleet is a number of dispatchers, in data centres of the same size, that report to
// their ring neighbours. Servers answer checks unless they are down or their
// data centre is cut off from the instance.
type fleet struct {
	instances []*fleetInstance // in order of the ring; those of a data centre are next to each other
	down      map[string]bool  // servers that do not answer, by id
	cutOff    string           // data centre that is cut off
	checks    map[string]int   // number of checks by id of the server
}

type fleetInstance struct {
	*harness
	pending []pendingCheck
}

type pendingCheck struct {
	check Check
	began time.Time
}

const fleetDataCentres = 5

func dataCentreName(no int) string { return fmt.Sprintf("dc-%d", no) }

// newFleet returns a fleet with as many servers as instances. Its size must be a
// multiple of fleetDataCentres.
func newFleet(t *testing.T, size int) *fleet {
	fl := &fleet{down: map[string]bool{}, checks: map[string]int{}}
	for no := range size {
		hn := &harness{Dispatcher: New(dataCentreName(no * fleetDataCentres / size)), tb: t, nextPort: 1024}
		hn.Tick(at(-100))
		hn.manifest(1, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
		for server := range size {
			sr := deskServer(server+1, dataCentreName(server%fleetDataCentres))
			sr.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(server >> 8), byte(server)}), 80)
			hn.server(at(-100), sr)
		}
		hn.SetPosition(Position{
			Rank: no, Count: size,
			LocalRank: no % (size / fleetDataCentres), LocalCount: size / fleetDataCentres,
		})
		fl.instances = append(fl.instances, &fleetInstance{harness: hn})
	}
	return fl
}

func (fl *fleet) answers(in *fleetInstance, sr *server) bool {
	cut := fl.cutOff != "" && (in.dataCentre == fl.cutOff) != (sr.cfg.DataCentre == fl.cutOff)
	return !fl.down[sr.cfg.ID] && !cut
}

// step advances the fleet by one tick: checks of the last one end, due ones begin,
// and twice a second each instance reports its silent servers to its neighbours.
func (fl *fleet) step(now time.Time) {
	for no, in := range fl.instances {
		for _, pc := range in.pending {
			result := CheckTimedOut
			if fl.answers(in, in.servers[pc.check.Server.ID]) {
				result = CheckAnswered
			}
			in.HandleCheckResult(now, pc.began, pc.check.Server, result)
		}
		in.pending = nil
		in.setFresh(now)
		in.Tick(now)
		fl.begin(now, in, in.DueChecks(now))
		if now.Sub(start)/(100*time.Millisecond)%5 == time.Duration(no%5) {
			fl.report(now, no)
		}
	}
}

// report sends the silent servers of an instance to its ring neighbours, of which
// those in its data centre use it.
func (fl *fleet) report(now time.Time, no int) {
	size := len(fl.instances)
	from := fl.instances[no]
	for distance := 1; distance <= size/2; distance *= 2 {
		for _, to := range []int{(no + distance) % size, (no - distance + size) % size} {
			in := fl.instances[to]
			if to != no && in.dataCentre == from.dataCentre {
				fl.begin(now, in, in.HandleSilentServers(now, fmt.Sprint(no), from.SilentServers()))
			}
		}
	}
}

func (fl *fleet) begin(now time.Time, in *fleetInstance, checks []Check) {
	for _, check := range checks {
		fl.checks[check.Server.ID]++
		in.pending = append(in.pending, pendingCheck{check, now})
	}
}

// use lets each instance send a SYN to each server, which answers if it can.
func (fl *fleet) use(now time.Time) {
	for _, in := range fl.instances {
		for _, sr := range in.servers {
			if fl.answers(in, sr) {
				sr.noteAlive(now)
			} else {
				sr.noteSYN(now)
			}
		}
	}
}

// mostChecks returns the number of checks of the server that had most, and resets
// the counts.
func (fl *fleet) mostChecks() (most int) {
	for _, count := range fl.checks {
		most = max(most, count)
	}
	clear(fl.checks)
	return most
}

// silent returns how many instances regard some server as silent.
func (fl *fleet) silent() (count int) {
	for _, in := range fl.instances {
		if in.Stats().Silent > 0 {
			count++
		}
	}
	return count
}

// runSteps runs the fleet for some seconds from a time, in seconds.
func (fl *fleet) runSteps(from, seconds int) {
	for ms := 0; ms < 1000*seconds; ms += 100 {
		fl.step(at(1000*from + ms))
	}
}

// Guards against checks that grow with the number of instances times that of
// servers while servers are silent or a data centre is cut off, and against
// recoveries that are noticed later for it. On a day with 195 instances and 293
// servers, 104,668 connections to servers were checks for the most part.
func TestChecksOfFleet(t *testing.T) {
	const maxPerSecond = 5 // checks of a server, by all instances together
	for _, size := range []int{10, 50, 200} {
		fl := newFleet(t, size)
		fl.runSteps(0, 1)
		fl.down["i-1"] = true
		fl.use(at(1000))
		fl.runSteps(1, 2)
		if fl.instances[0].Stats().Silent != 1 {
			t.Errorf("%d instances: a server that is down is not silent after 2 s", size)
		}
		if first := fl.mostChecks(); first > 3*size {
			t.Errorf("%d instances: %d checks of a server that went down", size, first)
		}
		fl.runSteps(3, 12)
		if most := fl.mostChecks(); most > 12*maxPerSecond {
			t.Errorf("%d instances: %d checks of a silent server in 12 s, want at most %d", size, most, 12*maxPerSecond)
		}
		fl.down["i-1"] = false
		fl.runSteps(15, 8)
		if fl.silent() > 0 {
			t.Errorf("%d instances: a server still counts as silent 8 s after it is back at %d of them", size, fl.silent())
		}
		if most := fl.mostChecks(); most > 2*size+8*maxPerSecond {
			t.Errorf("%d instances: %d checks of a server that is back", size, most)
		}

		fl.cutOff = dataCentreName(0)
		fl.use(at(23_000))
		fl.runSteps(23, 2)
		fl.mostChecks()
		fl.runSteps(25, 20)
		if most := fl.mostChecks(); most > 20*maxPerSecond {
			t.Errorf("%d instances: %d checks of a server across a cut in 20 s, want at most %d", size, most, 20*maxPerSecond)
		}
		fl.cutOff = ""
		fl.runSteps(45, 10)
		if fl.silent() > 0 {
			t.Errorf("%d instances: %d of them count servers as silent 10 s after a cut has healed", size, fl.silent())
		}
		if most := fl.mostChecks(); most > 2*size+10*maxPerSecond {
			t.Errorf("%d instances: %d checks of a server after a cut has healed", size, most)
		}
	}
}
