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
	outBound      = 3 * time.Second // G4 and G8, from acceptance of the change
	settingsBound = 4 * time.Second // G10
	probeSpan     = 3*2*time.Second + 2*time.Second
)

const (
	seed = 1
	// base keeps the addresses apart from those of the demo and experiments.
	base = 20
	// silentSpan is how long a standing connection without packets can stay
	// open: the callers' --silent-after, and the probes.
	silentSpan = 12*time.Second + probeSpan
	// awaitTimeout bounds waiting for conditions that have no bound of their own.
	awaitTimeout = 30 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// layout is one user's deployment: example settings, data centres and instances.
type layout struct {
	name     string
	settings string
	sites    []jpcluster.DataCentre
	stream   string // service of standing connections
	reads    string // repeatable requests
	orders   string // requests that must not be repeated
}

var derwent = layout{
	name: "derwent", settings: "../examples/derwent.ini",
	sites:  []jpcluster.DataCentre{{Name: "hobart", Instances: 3}, {Name: "launceston", Instances: 2}, {Name: "devonport", Instances: 2}},
	stream: "order_desk", reads: "catalogue", orders: "order_requests",
}

var popravek = layout{
	name: "popravek", settings: "../examples/popravek.ini",
	sites:  []jpcluster.DataCentre{{Name: "lj-a", Instances: 2}, {Name: "lj-b", Instances: 2}, {Name: "lj-c", Instances: 2}, {Name: "lj-d", Instances: 2}},
	stream: "notice", reads: "archive", orders: "filings",
}

// bed is a running cluster with the test that uses it.
type bed struct {
	*jpcluster.Cluster
	t      *testing.T
	ctx    context.Context
	layout layout
	dir    string
}

// options change what startBed starts.
type options struct {
	cold            string   // cold_duration, 2s by default
	idle            string   // idle_probe, 60s by default
	coldConnections string   // cold_connections, 100 by default
	server          []string // more flags of the backend servers
	warm            bool     // wait until all servers are warm
}

// startBed starts a cluster and ends it with the test. The files of a failed
// test stay for reading.
func startBed(t *testing.T, lo layout, opt options) *bed {
	t.Helper()
	text, err := os.ReadFile(lo.settings)
	if err != nil {
		t.Fatal(err)
	}
	settings := setDefault(string(text), "cold_duration", opt.cold, "2s")
	settings = setDefault(settings, "idle_probe", opt.idle, "60s")
	settings = setDefault(settings, "cold_connections", opt.coldConnections, "100")
	dir, err := os.MkdirTemp("", "jacinthpass-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cl, err := jpcluster.Start(ctx, jpcluster.Spec{
		Dir: dir, InstanceProgram: filepath.Join(programs, "jacinthpass"), LabProgram: filepath.Join(programs, "jacinthpass-lab"),
		Settings: []byte(settings), DataCentres: lo.sites, SecondOctet: base, Seed: seed, DelayMS: 1,
		ServerFlags: opt.server, AcceptAllServices: true,
	})
	bd := &bed{Cluster: cl, t: t, ctx: ctx, layout: lo, dir: dir}
	t.Cleanup(func() {
		bd.report()
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
func setDefault(text, key, value, otherwise string) string {
	if value == "" {
		value = otherwise
	}
	return regexp.MustCompile(`(?m)^`+key+` = .*$`).ReplaceAllString(text, key+" = "+value)
}

// report writes the merged time line of a failed test beside its logs.
func (bd *bed) report() {
	if !bd.t.Failed() {
		return
	}
	bd.t.Logf("logs and time line: %s", bd.dir)
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

// must ends the test on an error.
func (bd *bed) must(err error) {
	bd.t.Helper()
	if err != nil {
		bd.t.Fatal(err)
	}
}

// await waits for a condition; check returns what is still missing.
func (bd *bed) await(limit time.Duration, check func() string) {
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

// pass lets time pass in which something must not happen.
func (bd *bed) pass(span time.Duration) { time.Sleep(span) }

// status returns the status of an instance.
func (bd *bed) status(in *jpcluster.Instance) (jpoperator.Status, error) {
	ctx, cancel := context.WithTimeout(bd.ctx, 5*time.Second)
	defer cancel()
	return bd.Operator(in).Status(ctx)
}

// owned returns the owned servers of all running instances by name, with the
// instance that owns each.
func (bd *bed) owned() (map[string]jpoperator.OwnedServer, map[string]*jpcluster.Instance) {
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

// awaitWarm waits until the owners regard all servers as warm.
func (bd *bed) awaitWarm() {
	bd.t.Helper()
	bd.await(awaitTimeout, func() string {
		rows, _ := bd.owned()
		for _, sr := range bd.Servers {
			if row, ok := rows[sr.Config.Name]; sr.Running() && (!ok || row.State != jpoperator.Warm) {
				return fmt.Sprintf("%s is not warm: %+v", sr.Config.Name, row)
			}
		}
		return ""
	})
}

// fault adds a fault that ends with the test at the latest.
func (bd *bed) fault(ft jpnetwork.Fault) {
	bd.t.Helper()
	bd.must(bd.AddFault(bd.ctx, ft))
}

// heal ends a fault.
func (bd *bed) heal(id string) {
	bd.t.Helper()
	bd.must(bd.RemoveFault(bd.ctx, id))
}

// traffic returns the packets that the network passed to a target (the name of
// a server's rule or of an instance) and the time of the last.
func (bd *bed) traffic(target string) (uint64, time.Time) {
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

// storeFaults sets the faults of the store.
func (bd *bed) storeFaults(body map[string]any) {
	bd.t.Helper()
	bd.must(jpcluster.PostJSON(bd.ctx, bd.StoreControl()+"/lab/faults", body, nil))
}

// cutOff cuts an instance off from everything but the test.
func cutOff(id string, in *jpcluster.Instance) jpnetwork.Fault {
	return jpnetwork.Fault{ID: id, From: "ip=" + in.Listed.Addresses.Traffic.Addr().String(), Both: true, Cut: true}
}
