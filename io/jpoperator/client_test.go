package jpoperator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
)

// fakeBackend records the last call and returns the values set by a test.
type fakeBackend struct {
	call   string
	err    error
	status Status
	tl     Timeline
}

func (fb *fakeBackend) record(format string, args ...any) { fb.call = fmt.Sprintf(format, args...) }

func (fb *fakeBackend) Apply(_ context.Context, chg Change) (uint64, error) {
	fb.record("apply %s %q %d %s", chg.Text, chg.File, chg.Base, chg.Author)
	return 8, fb.err
}

func (fb *fakeBackend) Settings(context.Context) (Settings, error) {
	return Settings{Version: 7, Author: "ann", Text: []byte("[defaults]\n")}, fb.err
}

func (fb *fakeBackend) Explain(_ context.Context, server string) ([]Value, error) {
	fb.record("explain %s", server)
	return []Value{{Section: "region.tasmania.hobart.desk.od-1", Key: "slots", Value: "2", Level: "region.tasmania", Line: 9}}, fb.err
}

func (fb *fakeBackend) SetDataCentre(_ context.Context, name string, out bool, author string) (uint64, error) {
	fb.record("data_centre %s %t %s", name, out, author)
	return 8, fb.err
}

func (fb *fakeBackend) SetServer(_ context.Context, service, server string, draining bool, author string) (uint64, error) {
	fb.record("server %s %s %t %s", service, server, draining, author)
	return 8, fb.err
}

func (fb *fakeBackend) Status(context.Context) (Status, error) { return fb.status, fb.err }

func (fb *fakeBackend) Timeline(_ context.Context, since time.Time) (Timeline, error) {
	fb.record("timeline %d", since.UnixMilli())
	return fb.tl, fb.err
}

func (fb *fakeBackend) Stop(context.Context) error {
	fb.record("stop")
	return fb.err
}

func (fb *fakeBackend) Metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "jacinthpass_flows 3") })
}

// startServer serves a backend and returns a client and the base URL.
func startServer(t *testing.T, fb *fakeBackend) (*Client, string) {
	t.Helper()
	srv := httptest.NewServer(NewHandler(fb))
	t.Cleanup(srv.Close)
	return Dial(srv.URL), srv.URL
}

// Guards against arguments that are lost or swapped between client and backend.
func TestChangesReachBackend(t *testing.T) {
	fb := &fakeBackend{}
	cl, _ := startServer(t, fb)
	ctx := context.Background()
	tests := []struct {
		run  func() (uint64, error)
		want string
	}{
		{func() (uint64, error) {
			return cl.Apply(ctx, Change{Text: []byte("[a]"), File: "f.ini", Base: 7, Author: "ann"})
		}, `apply [a] "f.ini" 7 ann`},
		{func() (uint64, error) { return cl.Apply(ctx, Change{Text: []byte("[a]")}) }, `apply [a] "settings" 0 `},
		{func() (uint64, error) { return cl.SetDataCentre(ctx, "hobart", true, "ann") }, "data_centre hobart true ann"},
		{func() (uint64, error) { return cl.SetDataCentre(ctx, "lj a?", false, "") }, "data_centre lj a? false "},
		{func() (uint64, error) { return cl.SetServer(ctx, "desk", "od-1", true, "ann") }, "server desk od-1 true ann"},
		{func() (uint64, error) { return cl.SetServer(ctx, "desk", "od-1", false, "") }, "server desk od-1 false "},
		{func() (uint64, error) { return 8, cl.Stop(ctx) }, "stop"},
	}
	for _, tt := range tests {
		version, err := tt.run()
		if err != nil || version != 8 || fb.call != tt.want {
			t.Errorf("got call %q, version %d, error %v; want call %q", fb.call, version, err, tt.want)
		}
	}
}

// Guards against fields that are lost between backend and client.
func TestReadsReturnBackendValues(t *testing.T) {
	at := time.Date(2026, 3, 1, 10, 0, 0, 123456789, time.UTC)
	fb := &fakeBackend{
		status: Status{
			ID: "hob-1", DataCentre: "hobart", SettingsVersion: 7, Leaving: true,
			Members: []jpmember.Member{{
				ID: "hob-2", DataCentre: "hobart", Incarnation: 4, State: jpmember.Leaving, Listed: true,
				Addresses: jpmember.Addresses{Operator: netip.MustParseAddrPort("127.0.0.1:7400")},
			}},
			Owned: []OwnedServer{{
				Service: "desk", Server: "od-1", DataCentre: "hobart", Address: netip.MustParseAddrPort("127.2.1.1:5555"),
				Flows: 1, Requests: 2, State: SlowStart, Draining: true, Responding: true,
				ConnectionLimit: 3, RequestLimit: 4, Connections: 5, Slots: 6,
			}},
			FlowEntries: 3, FlowCapacity: 9, Drops: map[string]uint64{"no_service": 2},
		},
		tl: Timeline{
			Events: []jpevent.Event{
				{At: at, Instance: "hob-1", Part: "admission", Name: "old"},
				{At: at.Add(time.Second), Instance: "hob-2", Part: "admission", Name: "server_turned_cold", Subject: "od-1", Detail: "d"},
			},
			Missing: []string{"hob-3"},
		},
	}
	cl, _ := startServer(t, fb)
	ctx := context.Background()
	if st, err := cl.Status(ctx); err != nil || !reflect.DeepEqual(st, fb.status) {
		t.Errorf("Status = %+v, %v; want %+v", st, err, fb.status)
	}
	want := Timeline{Events: fb.tl.Events[1:], Missing: fb.tl.Missing, Omitted: 1}
	if tl, err := cl.Timeline(ctx, at, 1); err != nil || !reflect.DeepEqual(tl, want) {
		t.Errorf("Timeline = %+v, %v; want %+v", tl, err, want)
	}
	if call := fmt.Sprintf("timeline %d", at.UnixMilli()); fb.call != call {
		t.Errorf("backend call %q, want %q", fb.call, call)
	}
	if set, err := cl.Settings(ctx); err != nil || set.Version != 7 || set.Author != "ann" || string(set.Text) != "[defaults]\n" {
		t.Errorf("Settings = %+v, %v", set, err)
	}
	if vals, err := cl.Explain(ctx, "od-1"); err != nil || len(vals) != 1 || vals[0].Level != "region.tasmania" || fb.call != "explain od-1" {
		t.Errorf("Explain = %+v, %v after %q", vals, err, fb.call)
	}
}

// Guards against a typed error of the backend that the client returns as another type,
// in particular an unknown outcome that is reported as "not applied".
func TestErrorsReachClient(t *testing.T) {
	tests := []struct {
		err  error
		want error
	}{
		{&InvalidError{Problems: []Problem{{File: "f", Line: 3, Key: "slots", Message: "bad"}, {File: "f", Message: "b"}}}, nil},
		{&ConflictError{Base: 3, Current: 5}, nil},
		{&StoreError{Outcome: NotApplied, Cause: "refused"}, nil},
		{&StoreError{Outcome: OutcomeUnknown}, nil},
		{&StoreError{}, &StoreError{Outcome: OutcomeUnknown}},
		{&UnknownNameError{Kind: KindDataCentre, Name: "hobrat"}, nil},
		{fmt.Errorf("wrapped: %w", &ConflictError{Base: 1, Current: 2}), &ConflictError{Base: 1, Current: 2}},
		{context.DeadlineExceeded, &StoreError{Outcome: OutcomeUnknown, Cause: "context deadline exceeded"}},
	}
	for _, tt := range tests {
		if tt.want == nil {
			tt.want = tt.err
		}
		fb := &fakeBackend{err: tt.err}
		cl, _ := startServer(t, fb)
		_, err := cl.SetDataCentre(context.Background(), "x", true, "")
		if _, ok := tt.err.(*InvalidError); ok {
			_, err = cl.Apply(context.Background(), Change{})
		}
		if !reflect.DeepEqual(err, tt.want) {
			t.Errorf("backend error %v: got %#v, want %#v", tt.err, err, tt.want)
		}
	}
}

// Guards against an internal error of the instance that is reported as "not applied".
func TestInternalError(t *testing.T) {
	cl, _ := startServer(t, &fakeBackend{err: errors.New("nil settings")})
	_, err := cl.Apply(context.Background(), Change{})
	var lre *LostResponseError
	if !errors.As(err, &lre) || !lre.Change || !strings.Contains(err.Error(), "nil settings") {
		t.Errorf("got %v, want LostResponseError of a change with the cause", err)
	}
}

// Guards against a change that is sent twice or reported as not sent when its response
// is lost, and against a refused connection that is reported as sent.
func TestLostResponse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan string, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				requests <- req.URL.Path
			}
			conn.Close()
		}
	}()
	cl := Dial(ln.Addr().String())
	_, err = cl.SetDataCentre(context.Background(), "hobart", true, "")
	var lre *LostResponseError
	if !errors.As(err, &lre) || !lre.Change {
		t.Errorf("got %v, want LostResponseError of a change", err)
	}
	ln.Close()
	_, err = cl.SetDataCentre(context.Background(), "hobart", true, "")
	var ns *NotSentError
	if !errors.As(err, &ns) {
		t.Errorf("got %v, want NotSentError", err)
	}
	if got := len(requests); got != 1 {
		t.Errorf("%d requests were sent, want 1", got)
	}
}

// Guards against a client that waits forever for an instance that does not respond.
func TestClientTimeout(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	cl := Dial(srv.URL)
	cl.timeout = 50 * time.Millisecond
	err := cl.Stop(context.Background())
	var lre *LostResponseError
	if !errors.As(err, &lre) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want LostResponseError by a deadline", err)
	}
}
