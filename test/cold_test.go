package test

import (
	"testing"
	"time"

	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpcluster"
	"jacinthpass/lab/jpnetwork"
)

// coldDetectionBound is the time within which the owner detects that a server turned
// cold without notice: two polls of its load endpoint.
const coldDetectionBound = 2 * time.Second

// postToServer sends a POST request to the control interface of a server.
func (bd *testbed) postToServer(name, path string, body any) {
	bd.t.Helper()
	bd.must(jpcluster.PostJSON(bd.ctx, bd.Server(name).Control+path, body, nil))
}

// falseWarmLoad makes a server's load endpoint report a warm server without load.
var falseWarmLoad = map[string]any{"lie": map[string]any{"in_flight": 0, "connections": 0, "state": "warm"}}

// TestColdOwners guards guarantee G3: a cold server is not overloaded because two
// instances consider themselves its owner at the same time. Owners are paused, cut
// off from their peers and killed, and load endpoints report old or false values.
func TestColdOwners(t *testing.T) {
	bd := startTestbed(t, derwent, options{coldDuration: "12s", coldConnections: "8", serverFlags: []string{"--constant-cold"}})
	// The false report starts only when the server counts as cold: the owner cannot
	// detect a cold start that the load endpoint never reports.
	bd.await(awaitTimeout, func() string {
		rows, _ := bd.ownedServers()
		if row := rows["od-2"]; row.State != jpoperator.Cold {
			return "od-2 does not count as cold"
		}
		return ""
	})
	bd.postToServer("od-2", "/lab/load", falseWarmLoad)
	bd.postToServer("od-3", "/lab/load", map[string]any{"lag_ms": 5000})
	ld := bd.startCallers("standing", derwent.stream, "--standing", "3000", "--ramp", "150", "--alert-every", "250ms", "--reopen")
	orders := bd.startRequests("orders", derwent.orders, 60)
	bd.sleep(time.Second)
	_, owners := bd.ownedServers()
	owner := owners["od-1"]
	bd.must(owner.Pause())
	isolated := bd.InstancesIn("launceston")[0]
	ad := isolated.Listed.Addresses.Peer.Addr().String()
	// Only the connections between this instance and its peers are cut; traffic still
	// passes.
	for _, in := range bd.Instances {
		if in != isolated {
			bd.addFault(jpnetwork.Fault{ID: "to-" + in.ID, From: "ip=" + ad, To: "name=" + in.ID + "-peer", Cut: true})
		}
	}
	bd.addFault(jpnetwork.Fault{ID: "to-isolated", To: "name=" + isolated.ID + "-peer", Cut: true})
	bd.sleep(3 * time.Second)
	bd.must(owner.Resume())
	bd.sleep(time.Second)
	for _, in := range bd.Instances {
		bd.removeFault("to-" + in.ID)
	}
	bd.removeFault("to-isolated")
	bd.killInstance(bd.InstancesIn("devonport")[0])
	bd.sleep(4 * time.Second)
	bd.wantNoOverload(bd.Servers)
	if ld.results().Standing.Established == 0 {
		t.Error("no connection was established")
	}
	rs := orders.finish()
	orders.checkExecutions(rs, bd.executions())
}

// TestColdWithoutWarning guards guarantee G3: a server that turns cold without notice
// stops getting full load within the bound, also if its load endpoint still reports
// a warm server.
func TestColdWithoutWarning(t *testing.T) {
	bd := startTestbed(t, derwent, options{coldDuration: "3s", coldConnections: "8", warm: true, serverFlags: []string{"--warm", "--constant-cold"}})
	bd.startCallers("new-connections", derwent.stream, "--standing", "3000", "--ramp", "100", "--alert-every", "250ms", "--reopen")
	bd.startRequests("orders", derwent.orders, 60)
	bd.await(awaitTimeout, func() string {
		for _, name := range []string{"od-1", "od-4", "od-7"} {
			if stats, err := bd.Server(name).Stats(bd.ctx); err != nil || stats.Connections < 10 {
				return name + " has fewer than 10 connections"
			}
		}
		return ""
	})
	bd.postToServer("od-4", "/lab/load", falseWarmLoad)
	turnedCold := time.Now()
	bd.postToServer("od-1", "/lab/cold", map[string]any{})
	bd.postToServer("od-4", "/lab/cold", map[string]any{"drop_connections": true})
	bd.postToServer("or-1", "/lab/cold", map[string]any{})
	bd.must(bd.Server("od-7").Kill())
	bd.must(bd.RestartServer(bd.ctx, bd.Server("od-7")))
	bd.sleep(6 * time.Second)
	for _, name := range []string{"od-1", "od-4", "or-1"} {
		stats := bd.stats(bd.Server(name))
		if late := stats.LastOverload.Sub(turnedCold); stats.Overloads > 1 || late > coldDetectionBound {
			t.Errorf("%s was overloaded %d times after it turned cold, last after %v", name, stats.Overloads, late)
		}
	}
}
