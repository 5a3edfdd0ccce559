package test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpcluster"
	"jacinthpass/lab/jpnetwork"
)

// Bounds that docs/design.md states in sections 1.1 and 1.2.
const (
	removalBound  = 3 * time.Second                 // guarantees G4 and G8, from acceptance of the change
	settingsBound = 4 * time.Second                 // guarantee G10
	probeDuration = 3*2*time.Second + 2*time.Second // three rounds of idle probes of 2 s each, and a margin
)

const (
	seed = 1
	// secondOctet is the lowest second octet of a cluster's addresses. The demo and the
	// experiments use others, so that they can run at the same time.
	secondOctet = 20
	// silentConnectionTimeout is how long a standing connection can stay open after its
	// packets are dropped: the callers' --silent-after, and the probes.
	silentConnectionTimeout = 12*time.Second + probeDuration
	// awaitTimeout applies to conditions for which no other bound is stated.
	awaitTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// deployment is the example settings of one user, with the instances that run in each
// data centre and the services that the tests use.
type deployment struct {
	name        string
	settings    string // path
	dataCentres []jpcluster.DataCentre
	stream      string // service with standing connections
	reads       string // service whose requests may be repeated
	orders      string // service whose requests must not be repeated
}

var derwent = deployment{
	name: "derwent", settings: "../examples/derwent.ini",
	dataCentres: []jpcluster.DataCentre{{Name: "hobart", Instances: 3}, {Name: "launceston", Instances: 2}, {Name: "devonport", Instances: 2}},
	stream:      "order_desk", reads: "catalogue", orders: "order_requests",
}

var popravek = deployment{
	name: "popravek", settings: "../examples/popravek.ini",
	dataCentres: []jpcluster.DataCentre{{Name: "lj-a", Instances: 2}, {Name: "lj-b", Instances: 2}, {Name: "lj-c", Instances: 2}, {Name: "lj-d", Instances: 2}},
	stream:      "notice", reads: "archive", orders: "filings",
}

// testbed is the running cluster of one test.
type testbed struct {
	*jpcluster.Cluster
	t          *testing.T
	ctx        context.Context
	deployment deployment
	dir        string
}

// options configure a testbed.
type options struct {
	coldDuration    string   // cold_duration, 2s by default
	idleProbe       string   // idle_probe, 60s by default
	coldConnections string   // cold_connections, 100 by default
	serverFlags     []string // additional flags of the backend servers
	warm            bool     // wait until all servers are warm
}

// startTestbed starts a cluster and stops it at the end of the test. The directory
// with its logs is kept if the test fails.
func startTestbed(t *testing.T, dep deployment, opt options) *testbed {
	t.Helper()
	text, err := os.ReadFile(dep.settings)
	if err != nil {
		t.Fatal(err)
	}
	settings := setDefault(string(text), "cold_duration", opt.coldDuration, "2s")
	settings = setDefault(settings, "idle_probe", opt.idleProbe, "60s")
	settings = setDefault(settings, "cold_connections", opt.coldConnections, "100")
	dir, err := os.MkdirTemp("", "jacinthpass-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cl, err := jpcluster.Start(ctx, jpcluster.Spec{
		Dir: dir, InstanceProgram: filepath.Join(programDir, "jacinthpass"), LabProgram: filepath.Join(programDir, "jacinthpass-lab"),
		Settings: []byte(settings), DataCentres: dep.dataCentres, SecondOctet: secondOctet, Seed: seed, DelayMS: 1,
		ServerFlags: opt.serverFlags, AcceptAllServices: true,
	})
	bd := &testbed{Cluster: cl, t: t, ctx: ctx, deployment: dep, dir: dir}
	t.Cleanup(func() {
		bd.saveTimeline()
		cancel()
		cl.Stop()
		if !t.Failed() {
			os.RemoveAll(dir)
		}
	})
	bd.must(err)
	if opt.warm {
		bd.awaitWarm()
	}
	return bd
}

// setDefault replaces the value of a key of the [defaults] section, by fallback if
// value is empty.
func setDefault(text, key, value, fallback string) string {
	if value == "" {
		value = fallback
	}
	return regexp.MustCompile(`(?m)^`+key+` = .*$`).ReplaceAllString(text, key+" = "+value)
}

// saveTimeline writes the timeline of all instances to the directory of the logs if
// the test has failed.
func (bd *testbed) saveTimeline() {
	if !bd.t.Failed() {
		return
	}
	bd.t.Logf("logs and timeline: %s", bd.dir)
	for _, in := range bd.RunningInstances() {
		ctx, cancel := context.WithTimeout(bd.ctx, 5*time.Second)
		tl, err := bd.Operator(in).Timeline(ctx, time.Time{}, 0)
		cancel()
		if err != nil {
			continue
		}
		var sb strings.Builder
		for _, ev := range tl.Events {
			fmt.Fprintf(&sb, "%s %s %s %s %s %s\n", ev.At.Format("15:04:05.000"), ev.Instance, ev.Part, ev.Name, ev.Subject, ev.Detail)
		}
		_ = os.WriteFile(filepath.Join(bd.dir, "timeline.txt"), []byte(sb.String()), 0o644)
		return
	}
}

// must fails the test at once if err is not nil.
func (bd *testbed) must(err error) {
	bd.t.Helper()
	if err != nil {
		bd.t.Fatal(err)
	}
}

// await polls check until it returns an empty string. Otherwise check returns which
// condition does not hold, which the test fails with after limit.
func (bd *testbed) await(limit time.Duration, check func() string) {
	bd.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		missing := check()
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			bd.t.Fatalf("after %v: %s", limit, missing)
		}
		time.Sleep(pollInterval)
	}
}

// sleep waits while the test's load and faults continue.
func (bd *testbed) sleep(span time.Duration) { time.Sleep(span) }

// status returns the status of an instance.
func (bd *testbed) status(in *jpcluster.Instance) (jpoperator.Status, error) {
	ctx, cancel := context.WithTimeout(bd.ctx, 5*time.Second)
	defer cancel()
	return bd.Operator(in).Status(ctx)
}

// ownedServers returns the servers that the running instances own, and the owner of
// each, both by server name.
func (bd *testbed) ownedServers() (map[string]jpoperator.OwnedServer, map[string]*jpcluster.Instance) {
	rows, owners := map[string]jpoperator.OwnedServer{}, map[string]*jpcluster.Instance{}
	for _, in := range bd.RunningInstances() {
		st, err := bd.status(in)
		if err != nil {
			continue
		}
		for _, row := range st.Owned {
			rows[row.Server], owners[row.Server] = row, in
		}
	}
	return rows, owners
}

// awaitWarm waits until every running server is warm in the status of its owner.
func (bd *testbed) awaitWarm() {
	bd.t.Helper()
	bd.await(awaitTimeout, func() string {
		rows, _ := bd.ownedServers()
		for _, sr := range bd.Servers {
			if row, ok := rows[sr.Config.Name]; sr.Running() && (!ok || row.State != jpoperator.Warm) {
				return fmt.Sprintf("%s is not warm: %+v", sr.Config.Name, row)
			}
		}
		return ""
	})
}

// addFault adds a fault of the network, which lasts until removeFault or the end of
// the test.
func (bd *testbed) addFault(ft jpnetwork.Fault) {
	bd.t.Helper()
	bd.must(bd.AddFault(bd.ctx, ft))
}

// removeFault removes a fault of the network.
func (bd *testbed) removeFault(id string) {
	bd.t.Helper()
	bd.must(bd.RemoveFault(bd.ctx, id))
}

// packetsTo returns how many packets the network forwarded to a target (the name of
// a rule or the id of an instance), and when it forwarded the last one.
func (bd *testbed) packetsTo(target string) (uint64, time.Time) {
	bd.t.Helper()
	var ct jpnetwork.Counters
	bd.must(jpcluster.GetJSON(bd.ctx, bd.NetworkControl()+"/lab/counters", &ct))
	var packets uint64
	var last time.Time
	for _, lk := range ct.Links {
		if lk.To == target {
			packets += lk.Packets
			if lk.Last.After(last) {
				last = lk.Last
			}
		}
	}
	return packets, last
}

// setStoreFaults sets the faults of the store.
func (bd *testbed) setStoreFaults(body map[string]any) {
	bd.t.Helper()
	bd.must(jpcluster.PostJSON(bd.ctx, bd.StoreControl()+"/lab/faults", body, nil))
}

// isolationFault returns a fault that cuts an instance off from everything but the
// test, whose connections to it do not pass through the network's proxy.
func isolationFault(id string, in *jpcluster.Instance) jpnetwork.Fault {
	return jpnetwork.Fault{ID: id, From: "ip=" + in.Listed.Addresses.Traffic.Addr().String(), Both: true, Cut: true}
}
