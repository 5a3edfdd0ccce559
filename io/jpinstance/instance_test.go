package jpinstance

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jpoperator"
	"jacinthpass/io/jppeer"
	"jacinthpass/io/jptimeline"
	"jacinthpass/lab/jpauthority"
	"jacinthpass/lab/jpstorestand"
)

// Guards against a planned stop that ends while the fabric still sends packets, that
// never ends, or that the status does not show.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	te := newTestEnv(t)
	rn, other := te.startInstance(te.config(1)), te.startInstance(te.config(2))
	rn.offerSettings(te.record(1, ""), "store")
	waitFor(t, 10*time.Second, "both alive", func() bool { return countAlive(t, rn) == 2 && countAlive(t, other) == 2 })
	if status, _ := rn.Status(t.Context()); len(status.Owned) == 0 {
		rn = other // the owner of the server stops
	}
	te.openFlow(rn, caller)
	if err := rn.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := te.dataPackets.Load()
	for began := time.Now(); time.Since(began) < minDrainTime+drainQuietPeriod; time.Sleep(50 * time.Millisecond) {
		rn.receiveFromFabric(segment(caller, jppacket.ACK, callerNextSequence, serverNextSequence))
	}
	if got := te.dataPackets.Load(); got < before+50 {
		t.Errorf("%d packets were relayed while leaving", got-before)
	}
	if status, err := rn.Status(t.Context()); err != nil || !status.Leaving {
		t.Errorf("status %+v, %v", status, err)
	}
	select {
	case err := <-rn.done:
		t.Fatalf("stopped while the fabric was sending packets: %v", err)
	default:
	}
	select {
	case err := <-rn.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(drainQuietPeriod + 3*time.Second):
		t.Error("the instance did not stop")
	}
}

// Guards against an instance that starts with a configuration that cannot work, and
// against sockets that stay open after a failed start.
func TestStartRefused(t *testing.T) {
	te := newTestEnv(t)
	other := jpauthority.MustFiles(t)(jpauthority.NewForTest(t).IssueInstance("hob-9", net.IPv4(127, 0, 0, 1)))
	taken, err := net.Listen("tcp", te.addressPrefix+"1:7009")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	inUse := netip.MustParseAddrPort(taken.Addr().String())
	rows := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"operator address in use", func(cfg *Config) { cfg.Listen.Operator = inUse }, "address already in use"},
		{"peer address in use", func(cfg *Config) { cfg.Listen.Peer = inUse }, "address already in use"},
		{"certificate of another instance", func(cfg *Config) { cfg.TLS = other }, `it names "hob-9"`},
		{"missing certificate", func(cfg *Config) { cfg.TLS = other; cfg.TLS.Certificate = "none.pem" }, "none.pem"},
		{"unknown baseline", func(cfg *Config) { cfg.Baseline = "x" }, `unknown baseline "x"`},
	}
	for range 2 { // the second round fails on sockets that the first left open
		for _, row := range rows {
			cfg := te.config(1)
			row.change(&cfg)
			if err := Run(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), row.want) {
				t.Errorf("%s: %v, want %q", row.name, err, row.want)
			}
		}
	}
}

// Guards against a watcher of the instance list that reads an unchanged list, that
// reads a changing one more than once a second, or that misses changes after an outage.
func TestWatchesInstanceList(t *testing.T) {
	t.Parallel()
	te := newTestEnv(t)
	rn := te.startInstance(te.config(1))
	member := func(id string) func() bool {
		return func() bool {
			status, _ := rn.Status(t.Context())
			return slices.ContainsFunc(status.Members, func(mb jpmember.Member) bool { return mb.ID == id })
		}
	}
	te.store.Register(jpmember.Listed{ID: "hob-7", DataCentre: "hobart"})
	waitFor(t, 3*time.Second, "member listed", member("hob-7"))
	time.Sleep(1500 * time.Millisecond)
	before := te.store.Calls().Catalogue
	time.Sleep(2 * time.Second)
	if calls := te.store.Calls().Catalogue - before; calls > 0 {
		t.Errorf("%d reads of an unchanged list in 2 s", calls)
	}
	for no := range 40 {
		te.store.Register(jpmember.Listed{ID: "hob-7", DataCentre: "hobart", Leaving: no%2 == 0})
		time.Sleep(50 * time.Millisecond)
	}
	if calls := te.store.Calls().Catalogue - before; calls > 4 {
		t.Errorf("%d reads of a list that changed continuously for 2 s", calls)
	}
	te.store.SetFaults(jpstorestand.Faults{Outage: true})
	time.Sleep(1500 * time.Millisecond)
	te.store.Register(jpmember.Listed{ID: "hob-8", DataCentre: "hobart"})
	te.store.SetFaults(jpstorestand.Faults{})
	waitFor(t, 3*time.Second, "member listed after an outage", member("hob-8"))
}

// Guards against settings that revert to an older version when versions arrive out of
// order, and against an invalid text that replaces valid settings.
func TestSettingsNeverRevert(t *testing.T) {
	te := newTestEnv(t)
	in, err := newInstance(te.config(1), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer in.sockets.Close()
	var group sync.WaitGroup
	for _, version := range []uint64{3, 1, 5, 2, 4} {
		group.Go(func() { in.offerSettings(te.record(version, ""), "peer x") })
	}
	group.Wait()
	in.offerSettings(te.record(4, "state = draining"), "store")
	invalid := te.record(6, "")
	invalid.Text = []byte("[")
	in.offerSettings(invalid, "store")
	if set, err := in.Settings(t.Context()); err != nil || set.Version != 5 {
		t.Errorf("version %d, %v", set.Version, err)
	}
	tree := in.settingsTree()
	tree.Version = 5
	if out := in.steering.steerer.ApplySettings(time.Now(), tree, nil); len(out) != 0 || tree.Services[0].Servers[0].Draining {
		t.Errorf("the steerer applied older settings: %v", out)
	}
}

// Guards against packets that are delayed while the rank tables of new settings are
// built.
func TestPacketLatencyDuringChange(t *testing.T) {
	te := newTestEnv(t)
	in, err := newInstance(te.config(1), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer in.sockets.Close()
	var servers strings.Builder
	for no := range 1000 {
		fmt.Fprintf(&servers, "[region.r.hobart.desk.x-%d]\naddress = 127.2.%d.%d:5555\nload = %s/load\n", no, no/250, no%250+1, te.loadServer.URL)
	}
	rec := te.record(1, servers.String())
	start := time.Now()
	offered := make(chan time.Duration)
	go func() {
		in.offerSettings(rec, "store")
		offered <- time.Since(start)
	}()
	var longest time.Duration
	for {
		sent := time.Now()
		in.handlePacket(jpsteering.Packet{Inner: segment(caller, jppacket.ACK, callerNextSequence, serverNextSequence)})
		longest = max(longest, time.Since(sent))
		select {
		case took := <-offered:
			if longest > took/2 {
				t.Errorf("a packet waited %v during a change of %v", longest, took)
			}
			t.Logf("a packet waited %v during a change of %v", longest, took)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against problems of a change that are reported without their position or with
// an empty section and key.
func TestProblemPositions(t *testing.T) {
	_, err := jpsettings.Parse("f.ini", []byte("[x]\ny=1\n"))
	want := "settings not applied: 2 problem(s)\nf.ini: no service is defined\nf.ini:1: [x]: unknown section"
	if got := operatorError(err).Error(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against an instance that starts during an outage of the store and the
// instance list and gets no settings, although a peer has them.
func TestStartInOutage(t *testing.T) {
	t.Parallel()
	te := newTestEnv(t)
	first := te.startInstance(te.config(1))
	second := te.config(2)
	te.store.Register(jpmember.Listed{ID: second.ID, DataCentre: second.DataCentre, Addresses: second.Advertise})
	if _, err := first.Apply(t.Context(), jpoperator.Change{Text: te.settingsText(""), Author: "ann"}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 10*time.Second, "the first instance knows the second", func() bool { return len(members(t, first)) == 2 })
	te.store.SetFaults(jpstorestand.Faults{Outage: true})
	rn := te.startInstance(second)
	waitFor(t, 10*time.Second, "settings from the peer", func() bool {
		set, _ := rn.Settings(t.Context())
		return set.Version == 1
	})
	_, err := rn.SetDataCentre(t.Context(), "hobart", true, "ann")
	var se *jpoperator.StoreError
	if !errors.As(err, &se) || se.Outcome != jpoperator.NotApplied {
		t.Errorf("change during the outage: %v", err)
	}
	if _, err := rn.Timeline(t.Context(), time.Time{}); err != nil {
		t.Error(err)
	}
}

// countAlive returns the number of members that an instance considers alive.
func countAlive(t *testing.T, rn *runningInstance) int {
	count := 0
	for _, mb := range members(t, rn) {
		if mb.State == jpmember.Alive {
			count++
		}
	}
	return count
}

func members(t *testing.T, rn *runningInstance) []jpmember.Member {
	status, err := rn.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return status.Members
}

// Guards against a timeline that waits forever for a paused instance, that loses events
// of others, or that does not list the instances whose events are missing.
func TestTimeline(t *testing.T) {
	t.Parallel()
	te := newTestEnv(t)
	first, second := te.startInstance(te.config(1)), te.startInstance(te.config(2))
	paused, dead := te.config(3), te.config(4)
	for _, cfg := range []Config{paused, dead} {
		te.store.Register(jpmember.Listed{ID: cfg.ID, DataCentre: cfg.DataCentre, Addresses: cfg.Advertise})
	}
	// The paused instance receives messages and answers none.
	node := jppeer.New(jppeer.Config{ID: paused.ID, Listen: paused.Listen.Peer}, func(string, any) {})
	go node.Serve(t.Context())
	waitFor(t, 15*time.Second, "members known", func() bool { return countAlive(t, first) == 2 && len(members(t, first)) == 4 })
	second.recordEvent("test", "marker", "x", "")
	start := time.Now()
	tl, err := first.Timeline(t.Context(), time.Time{})
	if took := time.Since(start); err != nil || took > jptimeline.ResponseTimeout+time.Second {
		t.Errorf("%v after %v", err, took)
	}
	if want := []string{paused.ID, dead.ID}; !reflect.DeepEqual(tl.Missing, want) {
		t.Errorf("missing %v, want %v", tl.Missing, want)
	}
	for _, id := range []string{first.cfg.ID, second.cfg.ID} {
		if !slices.ContainsFunc(tl.Events, func(ev jpevent.Event) bool { return ev.Instance == id }) {
			t.Errorf("no events of %s", id)
		}
	}
	if !slices.IsSortedFunc(tl.Events, func(a, b jpevent.Event) int { return a.At.Compare(b.At) }) {
		t.Error("events are out of order")
	}
	start = time.Now()
	if len(members(t, first)) != 4 || time.Since(start) > 500*time.Millisecond {
		t.Errorf("status took %v", time.Since(start))
	}
}

// Guards against relayed packets from unknown senders that reach a backend server, and
// against the loss of relayed packets from known instances.
func TestRelaySenders(t *testing.T) {
	t.Parallel()
	te := newTestEnv(t)
	rn := te.startInstance(te.config(1))
	rn.offerSettings(te.record(1, ""), "store")
	peer := te.config(2)
	te.store.Register(jpmember.Listed{ID: peer.ID, DataCentre: peer.DataCentre, Addresses: peer.Advertise})
	waitFor(t, 10*time.Second, "instance listed", func() bool { return len(members(t, rn)) == 2 })
	te.openFlow(rn, caller)
	before := te.dataPackets.Load()
	relay := jppacket.Relay{Kind: jppacket.RelayForward, Hops: 1, Server: netip.MustParseAddr("127.80.221.1")}
	for _, row := range []struct {
		from string
		want int64
	}{{te.addressPrefix + "2", 1}, {te.addressPrefix + "99", 1}, {"127.80.220.1", 1}} {
		rn.handlePacket(jpsteering.Packet{
			Inner: segment(caller, jppacket.ACK, callerNextSequence, serverNextSequence), Outer: netip.MustParseAddr(row.from), Relay: relay,
		})
		time.Sleep(50 * time.Millisecond)
		if got := te.dataPackets.Load() - before; got != row.want {
			t.Errorf("after a packet from %s: %d packets at the server, want %d", row.from, got, row.want)
		}
	}
	status, err := rn.Status(t.Context())
	if err != nil || status.Drops["unknown_sender"] != 2 {
		t.Errorf("drops %v, %v", status.Drops, err)
	}
}

// halfOpenLimit is the steerer's limit on flows without a completed handshake.
const halfOpenLimit = 1 << 16

// Guards against a SYN flood that makes memory grow past the bound, that breaks an
// established flow, or after whose end new callers are still refused.
func TestSYNFlood(t *testing.T) {
	te := newTestEnv(t)
	rn := te.startInstance(te.config(1))
	rn.offerSettings(te.record(1, "connections = 1000000\ncold_connections = 1000000"), "store")
	te.openFlow(rn, caller)
	before := heapInUse()
	for no := range 3 * halfOpenLimit {
		rn.receiveFromFabric(segment(callerAddress(no), jppacket.SYN, 7, 0))
		if no%halfOpenLimit == halfOpenLimit-1 {
			before := te.dataPackets.Load()
			waitFor(t, time.Second, "data of the established flow", func() bool {
				rn.receiveFromFabric(segment(caller, jppacket.ACK, callerNextSequence, serverNextSequence))
				time.Sleep(10 * time.Millisecond)
				return te.dataPackets.Load() > before
			})
		}
	}
	status, err := rn.Status(t.Context())
	if err != nil || status.FlowEntries > halfOpenLimit+1 || status.Drops["table_full"] == 0 {
		t.Errorf("%d flow entries, drops %v, %v", status.FlowEntries, status.Drops, err)
	}
	const bound = 64 << 20
	if grown := heapInUse() - before; grown > bound {
		t.Errorf("heap grew by %d bytes", grown)
	}
	waitFor(t, 20*time.Second, "entries of the flood removed", func() bool {
		status, _ := rn.Status(t.Context())
		return status.FlowEntries <= 1
	})
	te.openFlow(rn, netip.MustParseAddrPort("10.90.0.2:40000"))
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
