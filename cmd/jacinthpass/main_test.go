package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/io/jpinstance"
	"jacinthpass/io/jpoperator"
	"jacinthpass/io/jptls"
	"jacinthpass/lab/jpauthority"
)

// fakeBackend returns fixed values and records changes.
type fakeBackend struct {
	jpoperator.Backend
	calls []string
	err   error
}

func (fb *fakeBackend) Apply(_ context.Context, chg jpoperator.Change) (uint64, error) {
	fb.calls = append(fb.calls, fmt.Sprintf("apply %q base %d by %s", chg.Text, chg.Base, chg.Author))
	return 8, fb.err
}

func (fb *fakeBackend) SetDataCentre(_ context.Context, name string, out bool, author string) (uint64, error) {
	fb.calls = append(fb.calls, fmt.Sprintf("data centre %s out %t by %s", name, out, author))
	return 8, fb.err
}

func (fb *fakeBackend) SetServer(_ context.Context, service, server string, draining bool, author string) (uint64, error) {
	fb.calls = append(fb.calls, fmt.Sprintf("server %s/%s draining %t by %s", service, server, draining, author))
	return 8, fb.err
}

func (fb *fakeBackend) Stop(context.Context) error {
	fb.calls = append(fb.calls, "stop")
	return fb.err
}

func (fb *fakeBackend) Settings(context.Context) (jpoperator.Settings, error) {
	return jpoperator.Settings{Version: 7, Author: "ann", Text: []byte("[defaults]\n")}, nil
}

func (fb *fakeBackend) Explain(context.Context, string) ([]jpoperator.Value, error) {
	return []jpoperator.Value{
		{Section: "region.r.d.s.a", Key: "slots", Value: "3", Level: "region.r", Line: 4},
		{Section: "region.r.d.s.a", Key: "cold_slots", Value: "1", Level: "built in"},
	}, nil
}

func (fb *fakeBackend) Status(context.Context) (jpoperator.Status, error) {
	return jpoperator.Status{
		ID: "hob-1", DataCentre: "hobart", SettingsVersion: 7, FlowEntries: 3, FlowCapacity: 1000,
		Members: []jpmember.Member{
			{ID: "hob-1", DataCentre: "hobart", State: jpmember.Alive, Listed: true,
				Addresses: jpmember.Addresses{Operator: netip.MustParseAddrPort("10.0.1.1:7400")}},
			{ID: "hob-2", DataCentre: "hobart", State: jpmember.Dead},
		},
		Owned: []jpoperator.OwnedServer{{Service: "desk", Server: "od-1", Flows: 5, Requests: 1, State: jpoperator.Cold,
			Draining: true, ConnectionLimit: 100, Connections: 2000, RequestLimit: 2, Slots: 2}},
		Drops: map[string]uint64{"no_service": 2, "hops": 1},
	}, nil
}

func (fb *fakeBackend) Timeline(context.Context, time.Time) (jpoperator.Timeline, error) {
	at := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	return jpoperator.Timeline{
		Events:  []jpevent.Event{{At: at, Instance: "hob-1", Part: "steering", Name: "turned_cold", Subject: "od-1"}},
		Missing: []string{"hob-2"},
	}, nil
}

func (fb *fakeBackend) Metrics() http.Handler { return http.NotFoundHandler() }

// startBackend serves a backend and returns its address.
func startBackend(t *testing.T, fb *fakeBackend) string {
	t.Helper()
	srv := httptest.NewServer(jpoperator.NewHandler(fb))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// droppingAddress returns the address of a server that closes each connection without a
// response.
func droppingAddress(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// writeFile writes a text to a file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runCommand runs a command and returns its exit code, standard output and standard
// error.
func runCommand(args ...string) (code int, out, errOut string) {
	var ob, eb bytes.Buffer
	code = run(args, &ob, &eb)
	return code, ob.String(), eb.String()
}

// Guards against a change that is sent to two instances, and against a read that fails
// although another instance can respond.
func TestTriesNextInstance(t *testing.T) {
	setDC := []string{"data-centre", "out", "hobart", "--author", "ann"}
	tests := []struct {
		name  string
		first func(*testing.T) string
		args  []string
		code  int
		calls int // at the second instance
		text  string
	}{
		{"change, refused", refusingAddress, setDC, 0, 1, "accepted, settings version 8"},
		{"change, response lost", droppingAddress, setDC, exitOutcomeUnknown, 0, "it is unknown whether the change was applied"},
		{"read, refused", refusingAddress, []string{"show"}, 0, 0, "[defaults]"},
		{"read, response lost", droppingAddress, []string{"show"}, 0, 0, "[defaults]"},
		{"stop", refusingAddress, []string{"stop"}, exitFailed, 0, "exactly one --operator"},
	}
	for _, tt := range tests {
		fb := &fakeBackend{}
		code, out, errOut := runCommand(append(tt.args, "--operator", tt.first(t), "--operator", startBackend(t, fb))...)
		if code != tt.code || len(fb.calls) != tt.calls || !strings.Contains(out+errOut, tt.text) {
			t.Errorf("%s: code %d, calls %q, output %q %q", tt.name, code, fb.calls, out, errOut)
		}
	}
}

// Guards against arguments that are lost between the command line and the instance.
func TestChanges(t *testing.T) {
	file := writeFile(t, "[a]")
	tests := []struct{ args, call string }{
		{"apply " + file + " --base 7", `apply "[a]" base 7 by ann`},
		{"data-centre out hobart", "data centre hobart out true by ann"},
		{"data-centre in hobart", "data centre hobart out false by ann"},
		{"server drain desk od-1", "server desk/od-1 draining true by ann"},
		{"server activate desk od-1", "server desk/od-1 draining false by ann"},
	}
	for _, tt := range tests {
		fb := &fakeBackend{}
		args := append(strings.Fields(tt.args), "--author", "ann", "--operator", startBackend(t, fb))
		if code, _, errOut := runCommand(args...); code != 0 || len(fb.calls) != 1 || fb.calls[0] != tt.call {
			t.Errorf("%s: code %d, calls %q, %s", tt.args, code, fb.calls, errOut)
		}
	}
}

// Guards against the exit code of success for a refused change, and against that of a
// refused change for an unknown outcome.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		err  error
		code int
		text string
	}{
		{&jpoperator.ConflictError{Base: 3, Current: 5}, exitFailed, "based on version 3, the settings have version 5"},
		{&jpoperator.StoreError{Outcome: jpoperator.NotApplied}, exitFailed, "the change was not applied"},
		{&jpoperator.StoreError{Outcome: jpoperator.OutcomeUnknown}, exitOutcomeUnknown, "unknown whether the change was applied"},
		{&jpoperator.UnknownNameError{Kind: jpoperator.KindDataCentre, Name: "x"}, exitFailed, `unknown data centre "x"`},
		{errors.New("fault"), exitOutcomeUnknown, "fault"},
	}
	for _, tt := range tests {
		code, _, errOut := runCommand("data-centre", "out", "x", "--operator", startBackend(t, &fakeBackend{err: tt.err}))
		if code != tt.code || !strings.Contains(errOut, tt.text) {
			t.Errorf("%v: code %d, %q", tt.err, code, errOut)
		}
	}
	for _, args := range []string{"data-centre oout x", "server", "status", "frobnicate", "timeline --since -1s --operator x"} {
		if code, _, _ := runCommand(strings.Fields(args)...); code != exitFailed {
			t.Errorf("%q: code %d, want %d", args, code, exitFailed)
		}
	}
}

// Guards against tables without some columns or limits, and against a timeline that does
// not name the instances that did not respond.
func TestTables(t *testing.T) {
	addr := startBackend(t, &fakeBackend{})
	tests := []struct{ command, want string }{
		{"explain", `
SECTION         KEY         VALUE  SET BY    LINE
region.r.d.s.a  slots       3      region.r  4
region.r.d.s.a  cold_slots  1      built in  -
`}, {"timeline", `
TIME                      INSTANCE  PART      EVENT        SUBJECT  DETAIL
2026-03-01T10:00:00.000Z  hob-1     steering  turned_cold  od-1     -
no events from instances that did not respond: hob-2
`}, {"status", `
INSTANCE  DATA CENTRE  STATE    SETTINGS  FLOWS  CAPACITY
hob-1     hobart       running  7         3      1000

MEMBER  DATA CENTRE  STATE  LISTED  OPERATOR
hob-1   hobart       alive  yes     10.0.1.1:7400
hob-2   hobart       dead   no      -

OWNED SERVER  SERVICE  FLOWS  LIMIT        REQUESTS  LIMIT  STATE
od-1          desk     5      100 of 2000  1         2      cold, draining, not responding

DROPPED PACKETS  COUNT
hops             1
no_service       2
`}}
	for _, tt := range tests {
		code, out, errOut := runCommand(tt.command, "--operator", addr)
		if got := "\n" + out + errOut; code != 0 || got != tt.want {
			t.Errorf("%s: code %d, got%swant%s", tt.command, code, got, tt.want)
		}
	}
}

// Guards against TLS flags that are ignored or accepted although others are missing.
func TestTLSFlags(t *testing.T) {
	au := jpauthority.NewForTest(t)
	hob, ann := au.InstanceTLS(t, "hob-1"), jpauthority.MustFiles(t)(au.IssueOperator("ann"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := jpoperator.NewServer(&fakeBackend{})
	go srv.Serve(jptls.NewListener(listener, hob, jptls.NewRefusals("operator")))
	t.Cleanup(func() { srv.Close() })
	flags := []string{"--operator", listener.Addr().String(), "--ca", ann.CA, "--certificate", ann.Certificate, "--key", ann.Key}
	for _, tt := range []struct {
		args []string
		code int
		text string
	}{
		{append([]string{"status"}, flags...), 0, "hob-1"},
		{append([]string{"stop"}, flags...), 0, "is stopping"},
		{append([]string{"status"}, flags[:4]...), exitFailed, "certificate key"},
		{append([]string{"data-centre", "out", "hobart"}, flags[:2]...), exitFailed, "takes TLS connections only"},
	} {
		if code, out, errOut := runCommand(tt.args...); code != tt.code || !strings.Contains(out+errOut, tt.text) {
			t.Errorf("%q: code %d, %q %q", tt.args, code, out, errOut)
		}
	}
}

// Guards against a check that accepts invalid settings or omits problems.
func TestCheck(t *testing.T) {
	file := writeFile(t, "[a]")
	defer func(old func(string, []byte) error) { parseSettings = old }(parseSettings)
	parseSettings = func(name string, text []byte) error {
		return errors.Join(fmt.Errorf("%s:1: one", name), fmt.Errorf("%s:2: two", name))
	}
	code, _, errOut := runCommand("check", file)
	if code != exitFailed || !strings.Contains(errOut, file+":1: one\n"+file+":2: two") {
		t.Errorf("code %d, %q", code, errOut)
	}
	parseSettings = func(string, []byte) error { return nil }
	if code, out, _ := runCommand("check", file); code != 0 || out != file+" is valid\n" {
		t.Errorf("code %d, %q", code, out)
	}
}

// Guards against an instance that starts with an invalid configuration.
func TestInstanceConfig(t *testing.T) {
	file := writeFile(t, "[instance]\nid = a b\n")
	defer func(old func(context.Context, jpinstance.Config) error) { runInstance = old }(runInstance)
	runInstance = func(context.Context, jpinstance.Config) error {
		t.Error("instance was started")
		return nil
	}
	if code, _, errOut := runCommand("instance", "--config", file); code != exitFailed || !strings.Contains(errOut, file+":2: [instance] id") {
		t.Errorf("code %d, %q", code, errOut)
	}
}
