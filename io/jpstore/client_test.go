package jpstore_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
	"jacinthpass/io/jpstore"
	"jacinthpass/lab/jpstorestand"
)

// openStandIn starts a stand-in for the store and opens a client for it.
func openStandIn(t *testing.T) (*jpstorestand.Store, *jpstore.Client) {
	t.Helper()
	standIn := jpstorestand.New()
	server := httptest.NewServer(standIn)
	client := jpstore.Open(server.Listener.Addr().String())
	t.Cleanup(func() {
		server.CloseClientConnections()
		client.Close()
		server.Close()
	})
	return standIn, client
}

func record(version uint64, text string) jprollout.Record {
	return jprollout.Record{Version: version, ChangeID: "c1", Changes: []string{"c0", "c1"}, Author: "ana", Text: []byte(text)}
}

// former returns an entry for Record.Former.
func former(until time.Time) jpsettings.FormerServer {
	return jpsettings.FormerServer{
		Service: "catalogue", Server: "ca-1", DataCentre: "hobart",
		ServerAddress: netip.MustParseAddrPort("127.2.1.1:5555"), IdleProbe: time.Minute,
		ServiceAddress: netip.MustParseAddrPort("10.80.0.2:443"), Protocol: jpsettings.TCP, ServerCount: 4, Until: until,
	}
}

// TestSwapAndRead guards against a swap that overwrites a record changed since it
// was read, and against a record that is read back differently.
func TestSwapAndRead(t *testing.T) {
	_, client := openStandIn(t)
	ctx := context.Background()
	if _, index, err := client.ReadSettings(ctx); !errors.Is(err, jpstore.ErrNoSettings) || index != 0 {
		t.Fatalf("empty store: index %d, error %v", index, err)
	}
	first := record(1, "[defaults]\n# š <&> \"\\\n")
	first.Former = []jpsettings.FormerServer{former(time.Unix(1_790_000_000, 0))}
	if ok, err := client.SwapSettings(ctx, 0, first); !ok || err != nil {
		t.Fatalf("create: %v, %v", ok, err)
	}
	if ok, err := client.SwapSettings(ctx, 0, first); ok || err != nil {
		t.Fatalf("create twice: %v, %v", ok, err)
	}
	got, index, err := client.ReadSettings(ctx)
	if err != nil || !reflect.DeepEqual(got, first) {
		t.Fatalf("read %+v, %v", got, err)
	}
	if ok, err := client.SwapSettings(ctx, index, record(2, "")); !ok || err != nil {
		t.Fatalf("swap: %v, %v", ok, err)
	}
	if ok, err := client.SwapSettings(ctx, index, record(3, "")); ok || err != nil {
		t.Fatalf("swap at an old index: %v, %v", ok, err)
	}
	if client.CallCount() != 6 {
		t.Errorf("%d calls counted, want 6", client.CallCount())
	}
}

// TestWatch guards against a watch that misses a change, or polls instead of
// waiting.
func TestWatch(t *testing.T) {
	standIn, client := openStandIn(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, index, err := client.WatchSettings(ctx, 0)
	if !errors.Is(err, jpstore.ErrNoSettings) || index == 0 {
		t.Fatalf("empty store: index %d, error %v", index, err)
	}
	for version := uint64(1); version <= 3; version++ {
		time.AfterFunc(30*time.Millisecond, func() {
			_, at, _ := client.ReadSettings(ctx)
			_, _ = client.SwapSettings(ctx, at, record(version, ""))
		})
		rec, next, err := client.WatchSettings(ctx, index)
		if err != nil || rec.Version != version || next <= index {
			t.Fatalf("watch: version %d at %d, error %v, want version %d", rec.Version, next, err, version)
		}
		index = next
	}
	if calls := standIn.Calls(); calls.Watches != 3 {
		t.Errorf("%d watches counted, want 3", calls.Watches)
	}
	time.AfterFunc(30*time.Millisecond, func() { standIn.SetFaults(jpstorestand.Faults{Outage: true}) })
	var unreachable *jpstore.UnreachableError
	if _, _, err := client.WatchSettings(ctx, index); !errors.As(err, &unreachable) {
		t.Errorf("watch in an outage: %v", err)
	}
}

// TestFaults guards against an unknown outcome of a write that is reported as a
// known one.
func TestFaults(t *testing.T) {
	standIn, client := openStandIn(t)
	ctx := context.Background()
	var unreachable *jpstore.UnreachableError
	cases := []struct {
		name    string
		faults  jpstorestand.Faults
		applied bool
	}{
		{"outage", jpstorestand.Faults{Outage: true}, false},
		{"lost answer", jpstorestand.Faults{LoseAnswersEvery: 1}, true},
		{"slow", jpstorestand.Faults{Delay: 2200 * time.Millisecond}, true},
	}
	for i, tc := range cases {
		_, index, _ := client.ReadSettings(ctx)
		standIn.SetFaults(tc.faults)
		if _, err := client.SwapSettings(ctx, index, record(uint64(i+1), "")); !errors.As(err, &unreachable) {
			t.Errorf("%s: error %v", tc.name, err)
		}
		time.Sleep(tc.faults.Delay / 4) // the slow write takes effect after the call has timed out
		standIn.SetFaults(jpstorestand.Faults{})
		rec, _, _ := client.ReadSettings(ctx)
		if applied := rec.Version == uint64(i+1); applied != tc.applied {
			t.Errorf("%s: applied %v, want %v", tc.name, applied, tc.applied)
		}
	}
}

// TestRefused guards against retries of a call that cannot succeed: a record that
// is too large or not valid UTF-8 has to give a *RefusedError.
func TestRefused(t *testing.T) {
	_, client := openStandIn(t)
	ctx := context.Background()
	var refused *jpstore.RefusedError
	for _, text := range []string{strings.Repeat("x", jpstore.MaxRecordSize), "\xff"} {
		if _, err := client.SwapSettings(ctx, 0, record(1, text)); !errors.As(err, &refused) {
			t.Errorf("text of %d bytes: %v", len(text), err)
		}
	}
	if ok, err := client.SwapSettings(ctx, 0, record(1, strings.Repeat("x", jpstore.MaxRecordSize-200))); !ok || err != nil {
		t.Errorf("record at the limit: %v, %v", ok, err)
	}
	if rec, _, err := client.ReadSettings(ctx); err != nil || len(rec.Text) < jpstore.MaxRecordSize-200 {
		t.Errorf("record at the limit: %d bytes, %v", len(rec.Text), err)
	}
}

// TestUnexpectedResponses guards against responses that do not come from the store, such as a
// proxy's error page, being accepted as its responses.
func TestUnexpectedResponses(t *testing.T) {
	var unreachable *jpstore.UnreachableError
	var refused *jpstore.RefusedError
	var invalid *jpstore.RecordError
	cases := []struct {
		status int
		body   string
		want   any
	}{
		{200, "<html>", &unreachable},
		{200, "[]", &unreachable},
		{200, `[{"ModifyIndex":3,"Value":"e30="}]`, &invalid},
		{404, "", &unreachable}, // without index
		{403, "Permission denied", &refused},
		{302, "", &refused},
		{429, "", &unreachable},
		{500, "No cluster leader", &unreachable},
	}
	for _, tc := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		}))
		client := jpstore.Open(server.URL)
		if _, _, err := client.ReadSettings(context.Background()); !errors.As(err, tc.want) {
			t.Errorf("status %d, body %q: error %v", tc.status, tc.body, err)
		}
		client.Close()
		server.Close()
	}
}

// TestOversizedResponse guards against a write that is reported as without effect
// because its response is too large: the store may have applied it.
func TestOversizedResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte(" "), 5<<20))
	}))
	defer server.Close()
	client := jpstore.Open(server.URL)
	defer client.Close()
	var unreachable *jpstore.UnreachableError
	if _, err := client.SwapSettings(context.Background(), 1, record(1, "")); !errors.As(err, &unreachable) {
		t.Errorf("error %v, want one of an unknown outcome", err)
	}
}

// TestListInstances guards against rows that lose their addresses, and against a
// stand-in whose list ignores the configured lag.
func TestListInstances(t *testing.T) {
	standIn, client := openStandIn(t)
	ctx := context.Background()
	address := netip.MustParseAddrPort
	row := jpmember.Listed{ID: "a", DataCentre: "hobart", Addresses: jpmember.Addresses{
		Traffic: address("127.2.0.1:5555"), Relay: address("127.2.0.1:6081"),
		Peer: address("127.2.0.1:7000"), Operator: address("127.2.0.1:7001"),
	}}
	if list, err := client.ListInstances(ctx); err != nil || len(list) != 0 {
		t.Fatalf("empty list: %v, %v", list, err)
	}
	standIn.Register(row)
	standIn.Register(jpmember.Listed{ID: "b", Leaving: true})
	list, err := client.ListInstances(ctx)
	if err != nil || len(list) != 2 || list[0] != row || !list[1].Leaving {
		t.Fatalf("list %+v, %v", list, err)
	}
	standIn.SetFaults(jpstorestand.Faults{Lag: 200 * time.Millisecond})
	time.Sleep(250 * time.Millisecond)
	standIn.Unregister("a")
	if list, _ = client.ListInstances(ctx); len(list) != 2 {
		t.Errorf("list without lag: %+v", list)
	}
	time.Sleep(250 * time.Millisecond)
	if list, _ = client.ListInstances(ctx); len(list) != 1 {
		t.Errorf("list after the lag: %+v", list)
	}
}

// TestWatchInstances guards against a watch of the list that misses a change,
// polls, ignores the lag, or keeps its index after an error.
func TestWatchInstances(t *testing.T) {
	standIn, client := openStandIn(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, index, err := client.WatchInstances(ctx, 0)
	if err != nil || index == 0 {
		t.Fatalf("first read: index %d, %v", index, err)
	}
	for count, lag := range []time.Duration{0, 300 * time.Millisecond, 0} {
		standIn.SetFaults(jpstorestand.Faults{Lag: lag})
		var began time.Time
		time.AfterFunc(30*time.Millisecond, func() {
			began = time.Now()
			standIn.Register(jpmember.Listed{ID: string(rune('a' + count))})
		})
		list, next, err := client.WatchInstances(ctx, index)
		if took := time.Since(began); err != nil || len(list) != count+1 || next <= index || took < lag || took > lag+2*time.Second {
			t.Fatalf("watch %d: %d rows at %d after %v, %v", count, len(list), next, took, err)
		}
		index = next
	}
	if calls := standIn.Calls(); calls.Catalogue != 4 || client.CallCount() != 4 {
		t.Errorf("%d calls counted by the store, %d by the client, want 4", calls.Catalogue, client.CallCount())
	}
	time.AfterFunc(30*time.Millisecond, func() { standIn.SetFaults(jpstorestand.Faults{Outage: true}) })
	if _, next, err := client.WatchInstances(ctx, index); err == nil || next != 0 {
		t.Errorf("watch in an outage: index %d, %v", next, err)
	}
}

// TestIndexReset guards against a watch that misses changes because it waits for
// an index that a restored store will only reach much later.
func TestIndexReset(t *testing.T) {
	for _, tc := range []struct {
		header string
		want   uint64
	}{{"9", 9}, {"12", 12}, {"8", 0}, {"", 0}, {"x", 0}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Consul-Index", tc.header)
			_, _ = w.Write([]byte("[]"))
		}))
		client := jpstore.Open(server.URL)
		if _, next, err := client.WatchInstances(context.Background(), 9); err != nil || next != tc.want {
			t.Errorf("index %q: next %d, %v, want %d", tc.header, next, err, tc.want)
		}
		client.Close()
		server.Close()
	}
}
