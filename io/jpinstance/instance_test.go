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

// Guards against a planned stop that ends while the fabric still hands packets
// over, that never ends, or that does not show.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	rn, other := st.start(st.config(1)), st.start(st.config(2))
	rn.offer(st.record(1, ""), "store")
	until(t, 10*time.Second, "both alive", func() bool { return alive(t, rn) == 2 && alive(t, other) == 2 })
	if status, _ := rn.Status(t.Context()); len(status.Owned) == 0 {
		rn = other // the owner of the server stops
	}
	st.open(rn, caller)
	if err := rn.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	seen := st.data.Load()
	for began := time.Now(); time.Since(began) < drainMinimum+drainQuiet; time.Sleep(50 * time.Millisecond) {
		rn.fromFabric(segment(caller, jppacket.ACK, callerNext, serverNext))
	}
	if got := st.data.Load(); got < seen+50 {
		t.Errorf("%d packets passed while leaving", got-seen)
	}
	if status, err := rn.Status(t.Context()); err != nil || !status.Leaving {
		t.Errorf("status %+v, %v", status, err)
	}
	select {
	case err := <-rn.done:
		t.Fatalf("ended while the fabric handed packets over: %v", err)
	default:
	}
	select {
	case err := <-rn.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(drainQuiet + 3*time.Second):
		t.Error("did not end")
	}
}

// Guards against an instance that starts although it cannot work, or that
// leaves its sockets open.
func TestStartRefused(t *testing.T) {
	st := newSite(t)
	other := jpauthority.MustFiles(t)(jpauthority.NewForTest(t).IssueInstance("hob-9", net.IPv4(127, 0, 0, 1)))
	taken, err := net.Listen("tcp", st.prefix+"1:7009")
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
	for range 2 { // the second round finds sockets that were left open
		for _, row := range rows {
			cfg := st.config(1)
			row.change(&cfg)
			if err := Run(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), row.want) {
				t.Errorf("%s: %v, want %q", row.name, err, row.want)
			}
		}
	}
}

// Guards against a follower of the instance list that reads it although it has
// not changed, that reads faster than once a second, or that stays behind after
// an outage.
func TestListFollowed(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	rn := st.start(st.config(1))
	member := func(id string) func() bool {
		return func() bool {
			status, _ := rn.Status(t.Context())
			return slices.ContainsFunc(status.Members, func(mb jpmember.Member) bool { return mb.ID == id })
		}
	}
	st.store.Register(jpmember.Listed{ID: "hob-7", DataCentre: "hobart"})
	until(t, 3*time.Second, "member listed", member("hob-7"))
	time.Sleep(1500 * time.Millisecond)
	before := st.store.Calls().Catalogue
	time.Sleep(2 * time.Second)
	if calls := st.store.Calls().Catalogue - before; calls > 0 {
		t.Errorf("%d reads of an unchanged list in 2 s", calls)
	}
	for no := range 40 {
		st.store.Register(jpmember.Listed{ID: "hob-7", DataCentre: "hobart", Leaving: no%2 == 0})
		time.Sleep(50 * time.Millisecond)
	}
	if calls := st.store.Calls().Catalogue - before; calls > 4 {
		t.Errorf("%d reads of a list that changed all the time for 2 s", calls)
	}
	st.store.SetFaults(jpstorestand.Faults{Outage: true})
	time.Sleep(1500 * time.Millisecond)
	st.store.Register(jpmember.Listed{ID: "hob-8", DataCentre: "hobart"})
	st.store.SetFaults(jpstorestand.Faults{})
	until(t, 3*time.Second, "member listed after an outage", member("hob-8"))
}

// Guards against settings that revert when versions arrive in any order, or
// that a faulty text replaces.
func TestSettingsNeverRevert(t *testing.T) {
	st := newSite(t)
	in, err := newInstance(st.config(1), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer in.sockets.Close()
	var group sync.WaitGroup
	for _, version := range []uint64{3, 1, 5, 2, 4} {
		group.Go(func() { in.offer(st.record(version, ""), "peer x") })
	}
	group.Wait()
	in.offer(st.record(4, "state = draining"), "store")
	faulty := st.record(6, "")
	faulty.Text = []byte("[")
	in.offer(faulty, "store")
	if set, err := in.Settings(t.Context()); err != nil || set.Version != 5 {
		t.Errorf("version %d, %v", set.Version, err)
	}
	tree := in.tree()
	tree.Version = 5
	if out := in.steering.steerer.ApplySettings(time.Now(), tree, nil); len(out) != 0 || tree.Services[0].Servers[0].Draining {
		t.Errorf("steering took older settings: %v", out)
	}
}

// Guards against packets that wait while the rank tables of new settings are
// built.
func TestPacketsDuringChange(t *testing.T) {
	st := newSite(t)
	in, err := newInstance(st.config(1), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer in.sockets.Close()
	var more strings.Builder
	for no := range 1000 {
		fmt.Fprintf(&more, "[region.r.hobart.desk.x-%d]\naddress = 127.2.%d.%d:5555\nload = %s/load\n", no, no/250, no%250+1, st.load.URL)
	}
	rec := st.record(1, more.String())
	began := time.Now()
	offered := make(chan time.Duration)
	go func() {
		in.offer(rec, "store")
		offered <- time.Since(began)
	}()
	var longest time.Duration
	for {
		asked := time.Now()
		in.handlePacket(jpsteering.Packet{Inner: segment(caller, jppacket.ACK, callerNext, serverNext)})
		longest = max(longest, time.Since(asked))
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

// Guards against problems of a change that lose their place or get an empty one.
func TestProblemPlaces(t *testing.T) {
	_, err := jpsettings.Parse("f.ini", []byte("[x]\ny=1\n"))
	want := "settings not applied: 2 problem(s)\nf.ini: no service is defined\nf.ini:1: [x]: unknown section"
	if got := operatorError(err).Error(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against an instance that starts in an outage of the store and the
// instance list and stays without settings, although a peer has them.
func TestStartInOutage(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	first := st.start(st.config(1))
	second := st.config(2)
	st.store.Register(jpmember.Listed{ID: second.ID, DataCentre: second.DataCentre, Addresses: second.Advertise})
	if _, err := first.Apply(t.Context(), jpoperator.Change{Text: st.settings(""), Author: "ann"}); err != nil {
		t.Fatal(err)
	}
	until(t, 10*time.Second, "the first instance knows the second", func() bool { return len(members(t, first)) == 2 })
	st.store.SetFaults(jpstorestand.Faults{Outage: true})
	rn := st.start(second)
	until(t, 10*time.Second, "settings from the peer", func() bool {
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

// alive is the number of instances that an instance considers alive.
func alive(t *testing.T, rn *running) int {
	count := 0
	for _, mb := range members(t, rn) {
		if mb.State == jpmember.Alive {
			count++
		}
	}
	return count
}

func members(t *testing.T, rn *running) []jpmember.Member {
	status, err := rn.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return status.Members
}

// Guards against a time line that waits without end for a paused instance,
// loses the events of others, or hides that some are missing.
func TestTimeline(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	first, second := st.start(st.config(1)), st.start(st.config(2))
	paused, dead := st.config(3), st.config(4)
	for _, cfg := range []Config{paused, dead} {
		st.store.Register(jpmember.Listed{ID: cfg.ID, DataCentre: cfg.DataCentre, Addresses: cfg.Advertise})
	}
	// A process that takes messages and answers none.
	node := jppeer.New(jppeer.Config{ID: paused.ID, Listen: paused.Listen.Peer}, func(string, any) {})
	go node.Serve(t.Context())
	until(t, 15*time.Second, "members known", func() bool { return alive(t, first) == 2 && len(members(t, first)) == 4 })
	second.event("test", "marker", "x", "")
	began := time.Now()
	tl, err := first.Timeline(t.Context(), time.Time{})
	if took := time.Since(began); err != nil || took > jptimeline.ResponseTimeout+time.Second {
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
	began = time.Now()
	if len(members(t, first)) != 4 || time.Since(began) > 500*time.Millisecond {
		t.Errorf("status took %v", time.Since(began))
	}
}

// Guards against relayed packets of strangers that reach a backend server, and
// against those of known instances that are lost.
func TestRelaySenders(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	rn := st.start(st.config(1))
	rn.offer(st.record(1, ""), "store")
	peer := st.config(2)
	st.store.Register(jpmember.Listed{ID: peer.ID, DataCentre: peer.DataCentre, Addresses: peer.Advertise})
	until(t, 10*time.Second, "instance listed", func() bool { return len(members(t, rn)) == 2 })
	st.open(rn, caller)
	seen := st.data.Load()
	relay := jppacket.Relay{Kind: jppacket.RelayForward, Hops: 1, Server: netip.MustParseAddr("127.80.221.1")}
	for _, row := range []struct {
		from string
		want int64
	}{{st.prefix + "2", 1}, {st.prefix + "99", 1}, {"127.80.220.1", 1}} {
		rn.handlePacket(jpsteering.Packet{
			Inner: segment(caller, jppacket.ACK, callerNext, serverNext), Outer: netip.MustParseAddr(row.from), Relay: relay,
		})
		time.Sleep(50 * time.Millisecond)
		if got := st.data.Load() - seen; got != row.want {
			t.Errorf("after a packet from %s: %d packets at the server, want %d", row.from, got, row.want)
		}
	}
	status, err := rn.Status(t.Context())
	if err != nil || status.Drops["unknown_sender"] != 2 {
		t.Errorf("drops %v, %v", status.Drops, err)
	}
}

// halfOpenLimit is the steering's bound on flows without a completed handshake.
const halfOpenLimit = 1 << 16

// Guards against a flood of SYNs that grows memory past the bound, breaks an
// established flow or keeps new callers out after its end.
func TestSYNFlood(t *testing.T) {
	st := newSite(t)
	rn := st.start(st.config(1))
	rn.offer(st.record(1, "connections = 1000000\ncold_connections = 1000000"), "store")
	st.open(rn, caller)
	before := heap()
	for no := range 3 * halfOpenLimit {
		rn.fromFabric(segment(numbered(no), jppacket.SYN, 7, 0))
		if no%halfOpenLimit == halfOpenLimit-1 {
			seen := st.data.Load()
			until(t, time.Second, "data of the established flow", func() bool {
				rn.fromFabric(segment(caller, jppacket.ACK, callerNext, serverNext))
				time.Sleep(10 * time.Millisecond)
				return st.data.Load() > seen
			})
		}
	}
	status, err := rn.Status(t.Context())
	if err != nil || status.FlowEntries > halfOpenLimit+1 || status.Drops["table_full"] == 0 {
		t.Errorf("%d flow entries, drops %v, %v", status.FlowEntries, status.Drops, err)
	}
	const bound = 64 << 20
	if grown := heap() - before; grown > bound {
		t.Errorf("heap grew by %d bytes", grown)
	}
	until(t, 20*time.Second, "entries of the flood removed", func() bool {
		status, _ := rn.Status(t.Context())
		return status.FlowEntries <= 1
	})
	st.open(rn, netip.MustParseAddrPort("10.90.0.2:40000"))
}

// heap returns the bytes in use.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
