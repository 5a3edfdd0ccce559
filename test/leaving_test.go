package test

import (
	"slices"
	"testing"
	"time"

	"jacinthpass/lab/jpcaller"
	"jacinthpass/lab/jpcluster"
)

// wantQuiet checks that no packet reached the servers of a data centre after a
// time (G4), polls of their load endpoints included, and that no instance
// relayed a packet there, as it would if the servers were still in a rank table.
func (bd *bed) wantQuiet(dc string, after time.Time) {
	bd.t.Helper()
	var targets []string
	for _, sr := range bd.ServersIn(dc) {
		targets = append(targets, sr.Config.Name, sr.Config.Name+"-load")
	}
	for _, in := range bd.InstancesIn(dc) {
		targets = append(targets, in.ID+"-relay")
	}
	for _, target := range targets {
		if packets, last := bd.traffic(target); last.After(after) {
			bd.t.Errorf("%s got a packet %v after the bound (%d in all)", target, last.Sub(after), packets)
		}
	}
}

// wantService checks how many of 1000 new flows were served between two times.
// Requests whose server lies in the data centre that was taken out are given up:
// they may be reset until the bound. No other request may be reset then.
func wantService(ld *load, rs jpcaller.Results, given map[string]string, want int, from, bound, to time.Time) {
	ld.bd.t.Helper()
	attempted, served := between(rs, from, to)
	for _, end := range rs.Requests.Endings {
		switch {
		case end.Kind != jpcaller.Reset || end.At.Before(from) || end.At.After(bound):
		case given[end.Caller] != "":
			served++
		default:
			ld.bd.t.Errorf("%s: request of %s was reset although its server is elsewhere", ld.name, end.Caller)
		}
	}
	if attempted == 0 || served*1000 < attempted*want {
		ld.bd.t.Errorf("%s: %d of %d new requests served, want %d of 1000: %s", ld.name, served, attempted, want, brief(rs.Requests.Endings))
	}
}

// wantNoOverload checks that no cold server got more than it bears (G3).
func (bd *bed) wantNoOverload(servers []*jpcluster.Server) {
	bd.t.Helper()
	for _, sr := range jpcluster.RunningServers(servers) {
		if stats := bd.stats(sr); stats.Overloads != 0 {
			bd.t.Errorf("%s was overloaded %d times while cold, last at %s; peaks while cold: %d connections, %d requests",
				sr.Config.Name, stats.Overloads, stats.LastOverload.Format("15:04:05.000"), stats.PeakColdConnections, stats.PeakColdRunning)
		}
	}
}

// departure is how a data centre leaves.
type departure struct {
	setup  func(*bed)
	resets time.Duration // bound of the resets, from acceptance
	all    bool          // every connection of its servers must have got a reset by then
	reads  float64       // requests per second
	orders float64
	served int // of 1000 new requests
}

// TestDataCentreOut guards against packets to a data centre that was taken out
// (G4), flows elsewhere that suffer from it, and cold servers that are
// overloaded by its return (G3).
func TestDataCentreOut(t *testing.T) {
	takeOutAndBack(t, departure{resets: outBound, reads: 60, orders: 40, served: 999, setup: func(bd *bed) {
		bd.storeFaults(map[string]any{"delay": "200ms", "lose_answers_every": 2})
	}})
}

// TestDataCentreOutPaused is the same while an instance elsewhere is paused.
func TestDataCentreOutPaused(t *testing.T) {
	takeOutAndBack(t, departure{resets: outBound, reads: 60, orders: 40, served: 999, setup: func(bd *bed) {
		in := bd.InstancesIn("lj-b")[0]
		bd.must(in.Pause())
		time.AfterFunc(2*time.Second, func() { _ = in.Resume() })
	}})
}

// TestDataCentreOutBadNetwork is the same while packets are duplicated,
// reordered, late and lost everywhere. Resets may be lost, and some handshakes
// lose so many packets that the callers give up after 5 s. Requests hold their
// slots several times longer than on a good network, so fewer are sent.
func TestDataCentreOutBadNetwork(t *testing.T) {
	takeOutAndBack(t, departure{resets: awaitTimeout, reads: 15, orders: 15, served: 980, setup: func(bd *bed) { bd.fault(badNetwork) }})
}

// TestDataCentreOutResets guards against callers that do not learn that their
// flow was given up, and wait for alerts in vain (design section 1.2).
func TestDataCentreOutResets(t *testing.T) {
	takeOutAndBack(t, departure{resets: outBound, all: true, reads: 60, orders: 40, served: 999, setup: func(*bed) {}})
}

// takeOutAndBack takes a data centre out and back while another fault acts.
func takeOutAndBack(t *testing.T, dp departure) {
	bd := startBed(t, popravek, options{warm: true})
	st := bd.standing("standing", popravek.stream, 300)
	bd.callers("newcomers", popravek.stream, "--standing", "2000", "--ramp", "40", "--alert-every", "250ms")
	reads := bd.requests("reads", popravek.reads, dp.reads)
	orders := bd.requests("orders", popravek.orders, dp.orders)
	// About ten requests are open at any time, far below what the servers can run.
	slow := bd.requests("slow", popravek.stream, 30, "--work", "300ms")
	slow.awaitServed(10)
	out := bd.ServersIn("lj-a")
	op := bd.Operator(bd.InstancesIn("lj-c")[0])
	begin := time.Now()
	dp.setup(bd)
	_, err := op.SetDataCentre(bd.ctx, "lj-a", true, "test")
	bd.must(err)
	accepted := time.Now()
	bound := accepted.Add(outBound)
	bd.pass(outBound + 2*time.Second)
	bd.wantQuiet("lj-a", bound)
	given := bd.accepted(out)
	for _, sr := range out {
		if open := st.results().Standing.ByServer[sr.Config.Name]; dp.all && open != 0 {
			t.Errorf("%d connections at %s got no reset", open, sr.Config.Name)
		}
	}
	wantService(slow, slow.finish(), given, dp.served, begin, bound, time.Now())
	for _, end := range st.results().Standing.Endings {
		if late := end.At.Sub(accepted); end.Kind != jpcaller.Reset || late > dp.resets || !slices.Contains(out, bd.Server(end.Server)) {
			t.Errorf("connection at %s ended as %s %v after acceptance", end.Server, end.Kind, late)
		}
	}
	if st.results().Standing.Broken == 0 {
		t.Error("no connection ended at the data centre that was taken out")
	}
	for _, sr := range out {
		bd.must(jpcluster.PostJSON(bd.ctx, sr.Control+"/lab/cold", map[string]bool{"drop_connections": true}, nil))
	}
	_, err = op.SetDataCentre(bd.ctx, "lj-a", false, "test")
	bd.must(err)
	bd.await(awaitTimeout, func() string {
		for _, sr := range out {
			if stats, err := sr.Stats(bd.ctx); err != nil || !stats.LastAccepted.After(bound) {
				return sr.Config.Name + " got no flow after its return"
			}
		}
		return ""
	})
	end := time.Now()
	bd.wantNoOverload(out)
	for _, ld := range []*load{reads, orders} {
		rs := ld.finish()
		wantService(ld, rs, given, dp.served, begin, bound, end)
		ld.checkRuns(rs, bd.executions())
	}
}
