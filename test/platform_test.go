package test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"jacinthpass/lab/jpplatform"
)

// Bounds that the platform requires, from the time at which the store accepts a
// change.
const (
	platformChangeBound  = 3 * time.Second // changes of routes, and draining servers
	platformRemovalBound = 5 * time.Second // a data centre that is taken out
)

// requestTimeout is the limit of a request of these tests. It allows for two
// retransmissions of a lost packet.
const requestTimeout = time.Second

// startPlatform starts a simulated platform and waits until all instances are ready.
func startPlatform(t *testing.T) *jpplatform.Site {
	t.Helper()
	dir := t.TempDir()
	si, err := jpplatform.StartSite(filepath.Join(programDir, "jacinthpass-entry"), dir)
	if si != nil {
		t.Cleanup(func() {
			si.Close()
			checkPackets(t, si)
			if t.Failed() {
				printLogs(t, si)
			}
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, in := range si.Instances {
		eventually(t, "instance ready", in.Ready)
	}
	return si
}

// checkPackets checks that callers and servers got no packet that differs from what its
// sender wrote, by its length and checksum.
func checkPackets(t *testing.T, si *jpplatform.Site) {
	if bad := si.Callers.CorruptPackets(); bad > 0 {
		t.Errorf("callers got %d packets with an invalid length or checksum", bad)
	}
	for _, sr := range si.Servers {
		if bad := sr.CorruptPackets(); bad > 0 {
			t.Errorf("server %s got %d packets with an invalid length or checksum", sr.ID, bad)
		}
	}
}

func printLogs(t *testing.T, si *jpplatform.Site) {
	for _, in := range si.Instances {
		text, err := os.ReadFile(in.LogPath)
		t.Logf("%s (%v):\n%s", in.Address, err, text)
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, awaitTimeout)
}

// openFlows opens count flows to a route and sends a request on each.
func openFlows(t *testing.T, si *jpplatform.Site, route netip.AddrPort, count int) []*jpplatform.Flow {
	t.Helper()
	flows := make([]*jpplatform.Flow, 0, count)
	for ix := range count {
		fl, err := si.Callers.Open(route)
		if err != nil {
			t.Fatalf("open flow %d: %v", ix, err)
		}
		if _, err := fl.Request(fmt.Sprintf("open %d", ix), requestTimeout); err != nil {
			t.Fatalf("request on flow %d: %v", ix, err)
		}
		flows = append(flows, fl)
	}
	return flows
}

// requestAll sends a request on each flow and returns the server that answered each.
func requestAll(t *testing.T, flows []*jpplatform.Flow, step string) []string {
	t.Helper()
	var servers []string
	for ix, fl := range flows {
		server, err := fl.Request(fmt.Sprintf("%s %d", step, ix), requestTimeout)
		if err != nil {
			t.Errorf("%s: flow %d: %v", step, ix, err)
		}
		servers = append(servers, server)
	}
	return servers
}

// Guards guarantee G1 on the platform: flows stay open while instances are killed,
// stopped, and restarted during an outage of the store.
func TestPlatformFlowsOutliveInstances(t *testing.T) {
	si := startPlatform(t)
	flows := openFlows(t, si, jpplatform.AlertRoute, 30)
	before := requestAll(t, flows, "before")

	killed := si.Instances[0]
	if err := killed.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-killed.Done()
	si.SetRotation(si.Instances[1:]...)
	for ix, server := range requestAll(t, flows, "killed") {
		if server != before[ix] {
			t.Errorf("flow %d went from %s to %s", ix, before[ix], server)
		}
	}

	stopped := si.Instances[1]
	if err := stopped.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	requestAll(t, flows, "stopping")
	si.SetRotation(si.Instances[2])
	select {
	case <-stopped.Done():
	case <-time.After(6 * time.Second):
		t.Error("an instance that was asked to stop still runs after 6 s")
	}
	requestAll(t, flows, "stopped")

	// Both restart during an outage of the store and get all state from the third.
	si.Store.SetUnavailable(true)
	for _, in := range si.Instances[:2] {
		if err := si.Start(in); err != nil {
			t.Fatal(err)
		}
		eventually(t, "instance ready during an outage of the store", in.Ready)
	}
	si.SetRotation(si.Instances[0], si.Instances[1])
	for ix, server := range requestAll(t, flows, "restarted") {
		if server != before[ix] {
			t.Errorf("flow %d went from %s to %s", ix, before[ix], server)
		}
	}
}

// Guards guarantees G8 and G4 on the platform: a draining server, and the servers of a
// data centre that is taken out, get no new flows after the bound and keep the open
// ones.
func TestPlatformDrainAndOut(t *testing.T) {
	rows := []struct {
		name   string
		bound  time.Duration
		change func(si *jpplatform.Site, server *jpplatform.Server)
	}{
		{"draining", platformChangeBound, func(si *jpplatform.Site, server *jpplatform.Server) {
			si.PutDraining(server)
		}},
		{"out", platformRemovalBound, func(si *jpplatform.Site, server *jpplatform.Server) {
			si.SetEvacuated(server.Entry.Zone, true)
		}},
		{"store refuses connections", platformChangeBound, func(si *jpplatform.Site, server *jpplatform.Server) {
			// Only one instance can connect to the store; the others get the change
			// from it.
			for _, in := range si.Instances[:2] {
				in.StoreProxy.SetFault(jpplatform.Reset)
			}
			si.PutDraining(server)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			si := startPlatform(t)
			flows := openFlows(t, si, jpplatform.AlertRoute, 12)
			before := requestAll(t, flows, "before")
			server := si.Servers[0]
			row.change(si, server)
			time.Sleep(row.bound)
			opened := server.FlowCount()
			openFlows(t, si, jpplatform.AlertRoute, 30)
			if more := server.FlowCount() - opened; more > 0 {
				t.Errorf("%d new flows reached %s after %v", more, server.ID, row.bound)
			}
			for ix, after := range requestAll(t, flows, "after") {
				if after != before[ix] {
					t.Errorf("flow %d went from %s to %s", ix, before[ix], after)
				}
			}
		})
	}
}

// Guards guarantee G10 on the platform: within the bound every instance serves a route
// that was added and refuses flows to one that was removed, also if the store has
// dropped the history of changes.
func TestPlatformRoutes(t *testing.T) {
	si := startPlatform(t)
	added := netip.MustParseAddrPort("198.18.0.9:8443")
	if _, err := si.Callers.Open(added); !errors.Is(err, jpplatform.ErrReset) {
		t.Errorf("flow to an address without a route: %v, want a reset", err)
	}
	routes := jpplatform.StandardRoutes()
	si.SetRoutes(append(routes, jpplatform.Route{Address: added, Kind: "safe", Backend: "catalogue"})...)
	time.Sleep(platformChangeBound)
	openFlows(t, si, added, 9)
	si.Store.DropHistory()
	si.SetRoutes(routes...)
	time.Sleep(platformChangeBound)
	for range 9 {
		if _, err := si.Callers.Open(added); !errors.Is(err, jpplatform.ErrReset) {
			t.Errorf("flow to a removed route: %v, want a reset", err)
		}
	}
	openFlows(t, si, jpplatform.BrochureRoute, 9)
}

// Guards against instances that learn of no change any more, because a burst of changes
// of a large manifest makes the store's response to a watch too large.
func TestPlatformBurstOfLargeChanges(t *testing.T) {
	si := startPlatform(t)
	dropped := netip.MustParseAddrPort("198.18.0.9:8443")
	routes := jpplatform.StandardRoutes()
	for ix := range 5000 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(ix >> 8), byte(ix)}), 443)
		routes = append(routes, jpplatform.Route{Address: address, Kind: "safe", Backend: "catalogue"})
	}
	with := append(slices.Clone(routes), jpplatform.Route{Address: dropped, Kind: "safe", Backend: "catalogue"})
	si.SetRoutes(with...)
	time.Sleep(platformChangeBound)
	openFlows(t, si, dropped, 3)
	for range 24 {
		si.SetRoutes(with...)
		time.Sleep(80 * time.Millisecond)
	}
	si.SetRoutes(routes...)
	time.Sleep(platformChangeBound)
	for range 9 {
		if _, err := si.Callers.Open(dropped); !errors.Is(err, jpplatform.ErrReset) {
			t.Errorf("flow to a removed route: %v, want a reset", err)
		}
	}
}

// Guards against changes that are ignored, or never read, because a store restored from a
// copy has given out their revisions before.
func TestPlatformChangeAfterRestore(t *testing.T) {
	added := netip.MustParseAddrPort("198.18.0.9:8443")
	withAdded := append(jpplatform.StandardRoutes(), jpplatform.Route{Address: added, Kind: "safe", Backend: "catalogue"})
	serveAdded := func(t *testing.T, si *jpplatform.Site) { openFlows(t, si, added, 9) }
	avoidServer := func(t *testing.T, si *jpplatform.Site) {
		server := si.Servers[0]
		opened := server.FlowCount()
		openFlows(t, si, jpplatform.AlertRoute, 30)
		if more := server.FlowCount() - opened; more > 0 {
			t.Errorf("%d new flows reached %s", more, server.ID)
		}
	}
	rows := []struct {
		name   string
		unread bool // the change comes before an instance has read the restored store
		bound  time.Duration
		change func(si *jpplatform.Site)
		check  func(t *testing.T, si *jpplatform.Site)
	}{
		{"route", false, platformChangeBound, func(si *jpplatform.Site) { si.SetRoutes(withAdded...) }, serveAdded},
		{"route before the first read", true, platformChangeBound, func(si *jpplatform.Site) { si.SetRoutes(withAdded...) }, serveAdded},
		{"draining", true, platformChangeBound, func(si *jpplatform.Site) { si.PutDraining(si.Servers[0]) }, avoidServer},
		{"out", false, platformRemovalBound, func(si *jpplatform.Site) { si.SetEvacuated(si.Servers[0].Entry.Zone, true) }, avoidServer},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			si := startPlatform(t)
			eventually(t, "all instances registered", func() bool {
				return len(si.Store.Keys("jacinthpass/instances/")) == len(si.Instances)
			})
			earlier := si.Store.Copy()
			for range 2 {
				si.SetRoutes(jpplatform.StandardRoutes()...)
				si.PutEntry(si.Servers[0])
			}
			time.Sleep(platformChangeBound)
			si.Store.SetUnavailable(true)
			time.Sleep(300 * time.Millisecond)
			si.Store.Restore(earlier)
			for _, key := range si.Store.LostKeys() {
				si.Store.Rewrite(key)
			}
			if !row.unread {
				si.Store.SetUnavailable(false)
				time.Sleep(platformChangeBound)
			}
			row.change(si)
			si.PutEntry(si.Servers[1]) // reaches the last revision before the restore
			si.PutEntry(si.Servers[1])
			si.Store.SetUnavailable(false)
			time.Sleep(row.bound)
			row.check(t, si)
		})
	}
}

// Guards against an instance that refuses flows to a route because it has started on an
// older copy of the store than its peers have read.
func TestPlatformStartAfterRestore(t *testing.T) {
	si := startPlatform(t)
	added := netip.MustParseAddrPort("198.18.0.9:8443")
	earlier := si.Store.Copy()
	si.SetRoutes(append(jpplatform.StandardRoutes(), jpplatform.Route{Address: added, Kind: "safe", Backend: "catalogue"})...)
	time.Sleep(platformChangeBound)
	started := si.Instances[0]
	if err := started.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-started.Done()
	si.Store.Restore(earlier)
	if err := si.Start(started); err != nil {
		t.Fatal(err)
	}
	eventually(t, "instance ready", started.Ready)
	time.Sleep(platformChangeBound)
	si.SetRotation(started)
	openFlows(t, si, added, 9)
}

// Guards against flows that are refused, or go to a server that drains, because the copy
// from which the store was restored is older than the entries of servers.
func TestPlatformServersAfterRestore(t *testing.T) {
	si := startPlatform(t)
	draining := si.Servers[0]
	for _, sr := range si.Servers[1:] {
		si.RemoveEntry(sr)
	}
	earlier := si.Store.Copy()
	for _, sr := range si.Servers[1:] {
		si.PutEntry(sr)
	}
	si.PutDraining(draining)
	time.Sleep(platformChangeBound)
	si.Store.Restore(earlier)
	opened := draining.FlowCount()
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		openFlows(t, si, jpplatform.AlertRoute, 1)
	}
	for _, key := range si.Store.LostKeys() {
		si.Store.Rewrite(key)
	}
	time.Sleep(platformChangeBound)
	openFlows(t, si, jpplatform.AlertRoute, 9)
	if more := draining.FlowCount() - opened; more > 0 {
		t.Errorf("%d new flows at %s, which was draining before the store was restored", more, draining.ID)
	}
}

// Guards against new flows that fail because a server has crashed, against open flows
// of a crashed server that are not reset, and against requests that are executed twice.
func TestPlatformServerFails(t *testing.T) {
	rows := []struct {
		name string
		fail func(sr *jpplatform.Server)
	}{
		{"crashed", func(sr *jpplatform.Server) { sr.Stop() }},
		{"crashed and removed from the store", func(sr *jpplatform.Server) { sr.Stop() }},
	}
	for ix, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			si := startPlatform(t)
			flows := openFlows(t, si, jpplatform.AlertRoute, 12)
			before := requestAll(t, flows, "before")
			failed := si.Servers[0]
			row.fail(failed)
			if ix == 1 {
				si.RemoveEntry(failed)
			}
			for at := range 20 {
				fl, err := si.Callers.Open(jpplatform.AlertRoute)
				if err != nil {
					t.Errorf("open %d: %v", at, err)
					continue
				}
				if _, err := fl.Request(fmt.Sprint("again ", at), requestTimeout); err != nil {
					t.Errorf("request %d: %v", at, err)
				}
			}
			for at, fl := range flows {
				if before[at] != failed.ID {
					continue
				}
				if err := fl.AwaitReset(requestTimeout); !errors.Is(err, jpplatform.ErrReset) {
					t.Errorf("flow %d of the failed server: %v, want a reset", at, err)
				}
			}
			for _, sr := range si.Servers {
				for at := range flows {
					if ran := sr.Executions(fmt.Sprint("before ", at)); ran > 1 {
						t.Errorf("request %d was executed %d times at %s", at, ran, sr.ID)
					}
				}
			}
		})
	}
}

// Guards against leases in the store that accumulate with restarts: a restarted
// instance takes over the registration of the previous process.
func TestPlatformRegistration(t *testing.T) {
	si := startPlatform(t)
	registered := func() bool { return len(si.Store.Keys("jacinthpass/instances/")) == len(si.Instances) }
	eventually(t, "all instances registered", registered)
	leases := si.Store.Leases()
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		in := si.Instances[0]
		if err := in.Signal(signal); err != nil {
			t.Fatal(err)
		}
		<-in.Done()
		if err := si.Start(in); err != nil {
			t.Fatal(err)
		}
		eventually(t, "instance ready", in.Ready)
		time.Sleep(time.Second)
		if !registered() || si.Store.Leases() != leases {
			t.Errorf("after %v: %d leases, %d before", signal, si.Store.Leases(), leases)
		}
	}
}

// Guards against a failure that cannot be diagnosed afterwards: the log names the
// server of a request by the request's id, and every instance serves its metrics and
// the timeline of all instances.
func TestPlatformExplains(t *testing.T) {
	si := startPlatform(t)
	fl := openFlows(t, si, jpplatform.AlertRoute, 1)[0]
	request := "GET / HTTP/1.1\r\nX-Jacinthpass-Request-Id: f00d\r\n\r\n"
	server, err := fl.Request(request, requestTimeout)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "log line of the request", func() bool {
		for _, in := range si.Instances {
			text, err := os.ReadFile(in.LogPath)
			if err != nil {
				t.Fatal(err)
			}
			for line := range strings.Lines(string(text)) {
				if strings.Contains(line, `request="f00d"`) && strings.Contains(line, server) {
					return true
				}
			}
		}
		return false
	})
	for _, in := range si.Instances {
		eventually(t, "counted packets", func() bool {
			return strings.Contains(in.Get("/metrics"), `jacinthpass_packets_total{data_centre="`+in.Zone)
		})
		eventually(t, "timeline of all instances at "+in.Address.String(), func() bool {
			events := in.Get("/timeline?seconds=60")
			for _, other := range si.Instances {
				if !strings.Contains(events, other.Address.String()+" entry instance_ready") {
					return false // the instances are not connected yet
				}
			}
			return true
		})
		if text := in.Get("/timeline?seconds=x"); !strings.Contains(text, "not a whole number") {
			t.Errorf("response to an invalid number of seconds: %q", text)
		}
	}
}

// Guards against invalid entries of the store that keep the valid ones from being used.
func TestPlatformMalformedEntries(t *testing.T) {
	si := startPlatform(t)
	si.PutMalformed("i-00000001", "{")
	si.PutMalformed("nobody", `{"backend":"desk"}`)
	si.PutMalformed("i-00000002", `{"backend":7,"address":[],"zone":"hobart","state":"ready"}`)
	si.PutMalformed("i-00000003", `{"backend":"desk","address":"127.0.0.1:1","zone":"hobart","state":"odd"}`)
	time.Sleep(platformChangeBound)
	openFlows(t, si, jpplatform.AlertRoute, 12)
}
