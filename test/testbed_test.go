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

// Bounds of the design page, sections 1.1 and 1.2.
const (
	removalBound  = 3 * time.Second // G4 and G8, from acceptance of the change
	settingsBound = 4 * time.Second // G10
	probeDuration = 3*2*time.Second + 2*time.Second
)

const (
	seed = 1
	// addressBase keeps the addresses apart from those of the demo and experiments.
	addressBase = 20
	// silentConnectionTimeout is how long a standing connection without packets can stay
	// open: the callers' --silent-after, and the probes.
	silentConnectionTimeout = 12*time.Second + probeDuration
	// awaitTimeout bounds waiting for conditions that have no bound of their own.
	awaitTimeout = 30 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// deployment is one user's deployment: example settings, data centres and instances.
type deployment struct {
	name     string
	settings string
	sites    []jpcluster.Site
	stream   string // service of standing connections
	reads    string // repeatable requests
	orders   string // requests that must not be repeated
}

var derwent = deployment{
	name: "derwent", settings: "../examples/derwent.ini",
	sites:  []jpcluster.Site{{DataCentre: "hobart", Instances: 3}, {DataCentre: "launceston", Instances: 2}, {DataCentre: "devonport", Instances: 2}},
	stream: "order_desk", reads: "catalogue", orders: "order_requests",
}

var popravek = deployment{
	name: "popravek", settings: "../examples/popravek.ini",
	sites:  []jpcluster.Site{{DataCentre: "lj-a", Instances: 2}, {DataCentre: "lj-b", Instances: 2}, {DataCentre: "lj-c", Instances: 2}, {DataCentre: "lj-d", Instances: 2}},
	stream: "notice", reads: "archive", orders: "filings",
}

// testbed is a running cluster with the test that uses it.
type testbed struct {
	*jpcluster.Cluster
	t          *testing.T
	ctx        context.Context
	deployment deployment
	dir        string
}

// options change what startBed starts.
type options struct {
	coldDuration    string   // cold_duration, 2s by default
	idleProbe       string   // idle_probe, 60s by default
	coldConnections string   // cold_connections, 100 by default
	serverFlags     []string // more flags of the backend servers
	warm            bool     // wait until all servers are warm
}

// startTestbed starts a cluster and ends it with the test. The files of a failed
// test stay for reading.
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
		Dir: dir, Instance: filepath.Join(programDir, "jacinthpass"), Lab: filepath.Join(programDir, "jacinthpass-lab"),
		Settings: []byte(settings), Sites: dep.sites, Base: addressBase, Seed: seed, DelayMS: 1,
		Server: opt.serverFlags, Open: true,
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

// setDefault replaces a value of the [defaults] section.
func setDefault(text, key, value, fallback string) string {
	if value == "" {
		value = fallback
	}
	return regexp.MustCompile(`(?m)^`+key+` = .*$`).ReplaceAllString(text, key+" = "+value)
}

// saveTimeline writes the merged time line of a failed test beside its logs.
func (bd *testbed) saveTimeline() {
	if !bd.t.Failed() {
		return
	}
	bd.t.Logf("logs and time line: %s", bd.dir)
	for _, in := range bd.Running() {
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

// must ends the test on an error.
func (bd *testbed) must(err error) {
	bd.t.Helper()
	if err != nil {
		bd.t.Fatal(err)
	}
}

// await waits for a condition; check returns what is still missing.
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
		time.Sleep(pollEvery)
	}
}

// sleep lets time pass in which something must not happen.
func (bd *testbed) sleep(span time.Duration) { time.Sleep(span) }

// status returns the status of an instance.
func (bd *testbed) status(in *jpcluster.Instance) (jpoperator.Status, error) {
	ctx, cancel := context.WithTimeout(bd.ctx, 5*time.Second)
	defer cancel()
	return bd.Operator(in).Status(ctx)
}

// ownedServers returns the owned servers of all running instances by name, with the
// instance that owns each.
func (bd *testbed) ownedServers() (map[string]jpoperator.OwnedServer, map[string]*jpcluster.Instance) {
	rows, owners := map[string]jpoperator.OwnedServer{}, map[string]*jpcluster.Instance{}
	for _, in := range bd.Running() {
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

// awaitWarm waits until the owners regard all servers as warm.
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

// addFault adds a fault that ends with the test at the latest.
func (bd *testbed) addFault(ft jpnetwork.Fault) {
	bd.t.Helper()
	bd.must(bd.AddFault(bd.ctx, ft))
}

// removeFault ends a fault.
func (bd *testbed) removeFault(id string) {
	bd.t.Helper()
	bd.must(bd.RemoveFault(bd.ctx, id))
}

// packetsTo returns the packets that the network passed to a target (the name of
// a server's rule or of an instance) and the time of the last.
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

// isolationFault cuts an instance off from everything but the test.
func isolationFault(id string, in *jpcluster.Instance) jpnetwork.Fault {
	return jpnetwork.Fault{ID: id, From: "ip=" + in.Listed.Addresses.Traffic.Addr().String(), Both: true, Cut: true}
}
