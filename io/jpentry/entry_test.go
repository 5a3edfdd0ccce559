package jpentry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/core/jpmember"
	"jacinthpass/io/jppeer"
)

// registryStore records the calls for registrations. Each call fails with the
// next of the errors.
type registryStore struct {
	Store
	errs  []error
	calls []string
	era   uint64
}

func (rs *registryStore) next(call string) error {
	rs.calls = append(rs.calls, call)
	if len(rs.errs) == 0 {
		return nil
	}
	err := rs.errs[0]
	rs.errs = rs.errs[1:]
	return err
}

func (rs *registryStore) GrantLease(context.Context, time.Duration) (Lease, error) {
	return Lease{ID: uint64(len(rs.calls) + 1), Era: rs.era}, rs.next("grant")
}

func (rs *registryStore) RenewLease(context.Context, Lease) error { return rs.next("renew") }

func (rs *registryStore) Register(context.Context, jpdirectory.Instance, Lease) error {
	return rs.next("register")
}

func (rs *registryStore) CallCount() uint64 { return uint64(len(rs.calls)) }

func (rs *registryStore) Close() {}

// newTestEntry returns an instance on the loopback interface whose store is st.
func newTestEntry(t *testing.T, st Store) *Entry {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	settings := Settings{ID: "127.0.0.1", DataCentre: "hobart", Traffic: loopback, Peer: loopback, Store: loopback}
	pf := Platform{
		LoadSettings: func() (Settings, error) { return settings, nil },
		OpenStore:    func(netip.AddrPort) Store { return st },
	}
	en, err := newEntry(pf, settings, Options{}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = en.conn.Close() })
	return en
}

// Guards against a second lease for an instance whose first registration failed,
// and against calls without a pause while leases end at once.
func TestRegistrationFailures(t *testing.T) {
	rows := []struct {
		name string
		errs []error
		want []string // calls in the first 5 s
	}{
		{"no failure", nil, []string{"grant", "register"}},
		{"no lease", []error{errBusy}, []string{"grant", "grant", "register"}},
		{"entry not written", []error{nil, errBusy}, []string{"grant", "register", "register"}},
		{"lease ended before the entry was written", []error{nil, ErrLeaseExpired}, []string{"grant", "register", "grant", "register"}},
		{"lease ended twice", []error{nil, ErrLeaseExpired, nil, ErrLeaseExpired},
			[]string{"grant", "register", "grant", "register", "grant", "register"}},
	}
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			rs := &registryStore{errs: row.errs}
			rg := registration{instance: jpdirectory.Instance{ID: "127.0.0.1", DataCentre: "hobart"}}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for ctx.Err() == nil {
				wait := rg.maintain(ctx, rs, leaseTTL)
				if wait < minRetryDelay {
					t.Errorf("%s: pause of %v after the calls %q", row.name, wait, rs.calls)
				}
				sleep(ctx, wait)
			}
			if !slices.Equal(rs.calls, row.want) {
				t.Errorf("%s: calls %q, want %q", row.name, rs.calls, row.want)
			}
		})
	}
}

// Guards against an instance that is missing from the store for ever: after the store was
// restored, its lease belongs to another instance, and renewing it succeeds.
func TestRegistrationAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rs := &registryStore{}
		en := newTestEntry(t, rs)
		own := jpdirectory.Key{Kind: jpdirectory.InstanceRecord, Name: en.settings.ID}
		update := func(era, number uint64, full bool, records ...jpdirectory.Record) {
			en.mu.Lock()
			defer en.mu.Unlock()
			revision := jpdirectory.Revision{Era: era, Number: number}
			en.applyUpdate(time.Now(), jpdirectory.Update{Full: full, Revision: revision, Records: records}, "test")
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		update(1, 5, true)
		close(en.manifestKnown)
		go en.maintainRegistration(ctx)
		for _, step := range []struct {
			name   string
			change func()
			want   []string // calls since the start
		}{
			{"start", func() {}, []string{"grant", "register"}},
			{"own entry seen", func() {
				update(1, 6, false, jpdirectory.Record{Key: own, Revision: jpdirectory.Revision{Era: 1, Number: 6}, Instance: &jpdirectory.Instance{ID: own.Name}})
			}, []string{"grant", "register"}},
			{"restored", func() { update(2, 5, true) }, []string{"grant", "register", "grant", "register"}},
			{"removed", func() {
				update(2, 6, false, jpdirectory.Record{Key: own, Revision: jpdirectory.Revision{Era: 2, Number: 6}, Instance: &jpdirectory.Instance{ID: own.Name}})
				update(2, 7, false, jpdirectory.Record{Key: own, Revision: jpdirectory.Revision{Era: 2, Number: 7}})
			}, []string{"grant", "register", "grant", "register", "register"}},
		} {
			step.change()
			rs.era = en.directory.Revision().Era
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if !slices.Equal(rs.calls, step.want) {
				t.Errorf("%s: calls %q, want %q", step.name, rs.calls, step.want)
			}
		}
	})
}

// Guards against a counter that decreases, which the metrics library answers with a
// panic, when the store has moved and its new client has made fewer calls.
func TestStoreCallsAfterMove(t *testing.T) {
	first := &registryStore{calls: make([]string, 10)}
	en := newTestEntry(t, first)
	en.platform.OpenStore = func(netip.AddrPort) Store { return &registryStore{calls: make([]string, 2)} }
	moved := en.settings
	moved.Store = netip.MustParseAddrPort("127.0.0.1:9")
	en.platform.LoadSettings = func() (Settings, error) { return moved, nil }
	scope := tally.NewTestScope("", nil)
	reported := map[string]uint64{}
	for _, want := range []int64{10, 12} {
		en.nextStats = time.Time{}
		en.tick(time.Now())
		en.metrics.flush(scope, droppedLines{}, en.peers.Stats(), reported)
		if calls := scope.Snapshot().Counters()["store_calls_total+"].Value(); calls != want {
			t.Errorf("store_calls_total is %d, want %d", calls, want)
		}
		en.reloadSettings(true)
	}
}

// Guards against resets of open flows, spilled flows and packets to another server than
// their tags say that no counter shows apart from other packets of the same reason.
func TestResetsAndOtherTagsAreCounted(t *testing.T) {
	mt := newMetrics("127.0.0.1", "hobart")
	mt.countDecision(jpdispatch.Decision{Outcome: jpdispatch.Reset, Reason: jpdispatch.UnknownTag})
	mt.countDecision(jpdispatch.Decision{Outcome: jpdispatch.Drop, Reason: jpdispatch.UnknownTag})
	mt.countDecision(jpdispatch.Decision{Outcome: jpdispatch.Forward, Reason: jpdispatch.Known, TagDiffers: true})
	mt.countDecision(jpdispatch.Decision{Outcome: jpdispatch.Forward, Reason: jpdispatch.Placed, SpilledFrom: "desk"})
	mt.countReset(jpdispatch.UnknownTag)
	mt.checksByResult[jpdispatch.CheckTimedOut].Add(1)
	scope := tally.NewTestScope("", nil)
	mt.flush(scope, droppedLines{}, jppeer.Stats{}, map[string]uint64{})
	counters := scope.Snapshot().Counters()
	for name, want := range map[string]int64{
		"packets_total+reason=unknown_tag": 3, "open_flow_resets_total+reason=unknown_tag": 2, "tag_differs_packets_total+": 1,
		"checks_total+result=timed_out": 1, "spilled_flows_total+service=desk": 1,
	} {
		if ct := counters[name]; ct == nil || ct.Value() != want {
			t.Errorf("%s: %v, want %d", name, ct, want)
		}
	}
}

// Guards against the status of a peer that has left and is kept for ever: its
// revision would go on selecting it for requests.
func TestStatusesExpire(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	en.statuses["10.0.0.1"] = peerStatus{progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Number: 7}}, receivedAt: now.Add(-statusMaxAge)}
	en.statuses["10.0.0.2"] = peerStatus{progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Number: 7}}, receivedAt: now}
	en.tick(now)
	if _, kept := en.statuses["10.0.0.1"]; kept || len(en.statuses) != 1 {
		t.Errorf("statuses %v, want only that of 10.0.0.2", en.statuses)
	}
}

// testCodec parses packets of one byte, the last byte of the caller's address.
type testCodec struct{ Codec }

func (testCodec) Headroom() int { return 0 }

func (testCodec) Parse(packet []byte) (jpdispatch.Packet, bool) {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, packet[0]}), 1024)
	return jpdispatch.Packet{Caller: caller, Route: testRoute, Flags: jpdispatch.SYN, Sequence: 7}, true
}

func (testCodec) ToServer([]byte, jpdispatch.Endpoint) {}

var testRoute = netip.MustParseAddrPort("198.18.0.1:443")

// Guards against callers that have to send their packets again because these
// arrived while a starting instance was reading the store.
func TestPacketsBeforeManifest(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	en.platform.Codec, en.platform.MaxDatagramSize = testCodec{}, 1
	server, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for no := range byte(3) {
		en.handlePacket([]byte{no}, 0, 1, time.Time{})
	}
	en.handleStoreUpdate(time.Now(), jpdirectory.Update{Revision: jpdirectory.Revision{Number: 2}, Full: true, CurrentAt: time.Now(), Records: []jpdirectory.Record{
		{
			Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Revision: jpdirectory.Revision{Number: 1},
			Manifest: &jpdirectory.Manifest{
				Version: 1, Services: []jpdirectory.Service{{Name: "desk", MaxFlows: 10}},
				Routes: []jpdirectory.Route{{Address: testRoute, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}}},
			},
		},
		{
			Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "i-1"}, Revision: jpdirectory.Revision{Number: 2},
			Server: &jpdirectory.Server{
				ID: "i-1", Number: 1, Service: "desk", DataCentre: "hobart", Slots: 2,
				Address: server.LocalAddr().(*net.UDPAddr).AddrPort(),
			},
		},
	}})
	if err := server.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	received := make([]byte, 10)
	for no := range byte(3) {
		if _, err := server.Read(received); err != nil || received[0] != no {
			t.Fatalf("packet %d: got %d, %v", no, received[0], err)
		}
	}
}

// Guards against connections to former neighbours: the seeds of a fleet of 195
// instances kept one to each of the others.
func TestPeersFollowNeighbours(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	const starter = "127.0.5.1" // five places from this instance in the ring
	connected := func() bool {
		return slices.ContainsFunc(en.connectedPeers, func(pr jppeer.Peer) bool { return pr.ID == starter })
	}
	for round := range 20 {
		now = now.Add(jpmember.HeartbeatInterval)
		for no := range 20 {
			hb := jpmember.Heartbeat{
				From: fmt.Sprintf("127.0.%d.1", no+1), DataCentre: "hobart", Incarnation: 1, State: jpmember.Alive, Sequence: uint64(round + 1),
			}
			hb.Monitoring = hb.From == starter && round < 4
			en.group.HandleHeartbeat(now, hb)
		}
		en.tick(now)
		if round == 3 && !connected() {
			t.Error("there is no connection to an instance that monitors this one")
		}
	}
	if connected() {
		t.Error("the connection to an instance is kept although neither monitors the other")
	}
}
