package jpserver

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

var testConfig = Config{
	Name: "od-1", Listen: netip.MustParseAddrPort("127.2.9.1:0"), Fabric: netip.MustParseAddrPort("127.4.0.1:9"),
	Services: []netip.AddrPort{netip.MustParseAddrPort("10.80.0.1:443")}, HTTP: "127.0.0.1:0",
	Slots: 4, Queue: 2, Connections: 800, ColdSlots: 1, ColdConnections: 100,
	ColdDuration: 40 * time.Second, OverloadOutage: time.Second,
}

func startServer(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	conf := testConfig
	change(&conf)
	sv, err := Start(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Close)
	return sv
}

// Guards against a cold server whose limits differ from the configured ones.
func TestColdLimits(t *testing.T) {
	tests := []struct {
		name               string
		constant           bool
		after              time.Duration
		slots, connections int
		cold               bool
	}{
		{"start", false, 0, 1, 100, true},
		{"second quarter", false, 10 * time.Second, 2, 200, true},
		{"last quarter", false, 39 * time.Second, 4, 800, true},
		{"warm", false, 40 * time.Second, 4, 800, false},
		{"constant", true, 39 * time.Second, 1, 100, true},
		{"outage", false, -time.Second, 1, 100, true},
	}
	for _, tt := range tests {
		conf := testConfig
		conf.ConstantCold = tt.constant
		now := time.Now()
		sv := &Server{conf: conf, coldSince: now.Add(-tt.after)}
		slots, connections, cold := sv.limits(now)
		if slots != tt.slots || connections != tt.connections || cold != tt.cold {
			t.Errorf("%s: %d slots, %d connections, cold %t", tt.name, slots, connections, cold)
		}
	}
}

// Guards against an overload of a cold server that is not counted or has no effect.
func TestOverload(t *testing.T) {
	sv := startServer(t, func(*Config) {})
	now := time.Now()
	first, adm := sv.admitWork(now)
	if adm != admitted {
		t.Fatalf("first request: %v", adm)
	}
	if _, adm = sv.admitWork(now); adm != refused || sv.Stats().Overloads != 1 {
		t.Errorf("second request of a cold server: %v, overloads %d", adm, sv.Stats().Overloads)
	}
	if sv.admitSYN(now.Add(sv.conf.OverloadOutage / 2)) {
		t.Error("an overloaded server accepted a connection during its outage")
	}
	sv.finishWork(first)
	later := now.Add(sv.conf.OverloadOutage)
	for i := range 101 {
		if got := sv.admitSYN(later); got != (i < 100) {
			t.Errorf("connection %d of a cold server: %t", i, got)
		}
	}
	if got := sv.Stats(); got.Overloads != 2 || got.PeakColdConnections != 100 || got.PeakColdRunning != 1 {
		t.Errorf("%+v", got)
	}
}

// Guards against a warm server that exceeds its slots or its queue length.
func TestQueue(t *testing.T) {
	sv := startServer(t, func(conf *Config) { conf.StartWarm = true })
	now := time.Now()
	want := []admission{admitted, admitted, admitted, admitted, queued, queued, refused}
	var jobs []*job
	for i, adm := range want {
		jb, got := sv.admitWork(now)
		if got != adm {
			t.Errorf("request %d: %v, want %v", i, got, adm)
		}
		jobs = append(jobs, jb)
	}
	sv.finishWork(jobs[5]) // cancelled in the queue
	sv.finishWork(jobs[0])
	<-jobs[4].ready
	if got := sv.Stats(); got.Running != 4 || got.Queued != 0 || got.QueueOverflows != 1 || got.Overloads != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against control requests without effect, and against a load endpoint that
// ignores lag and override.
func TestControl(t *testing.T) {
	sv := startServer(t, func(conf *Config) { conf.StartWarm = true })
	post := func(path, body string) {
		t.Helper()
		res, err := http.Post("http://"+sv.HTTPAddr()+path, "application/json", strings.NewReader(body))
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v %v", path, err, res)
		}
		res.Body.Close()
	}
	check := func(step string, status int, want Load) {
		t.Helper()
		res, err := http.Get("http://" + sv.HTTPAddr() + "/load")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var got Load
		if status == http.StatusOK {
			json.NewDecoder(res.Body).Decode(&got)
		}
		if res.StatusCode != status || got != want {
			t.Errorf("%s: status %d, %+v, want %d, %+v", step, res.StatusCode, got, status, want)
		}
	}
	check("start", 200, Load{State: "warm"})
	sv.admitSYN(time.Now())
	check("one connection", 200, Load{Connections: 1, State: "warm"})
	time.Sleep(5 * samplePeriod)
	post("/lab/load", `{"lag_ms":20000}`)
	check("lag", 200, Load{State: "warm"})
	post("/lab/load", `{"lie":{"in_flight":9,"connections":9,"state":"cold"}}`)
	check("lie", 200, Load{InFlight: 9, Connections: 9, State: "cold"})
	post("/lab/load", `{"down":true}`)
	check("down", 503, Load{})
	post("/lab/load", `{}`)
	post("/lab/cold", `{}`)
	check("cold", 200, Load{Connections: 1, State: "cold"})
	post("/lab/warm", ``)
	post("/lab/drain", `{"on":true}`)
	check("drain", 200, Load{Connections: 1, State: "draining"})
	post("/lab/shed", `{"count":2}`)
	now := time.Now()
	for i := range 3 {
		if got := sv.admitSYN(now); got != (i == 2) {
			t.Errorf("connection %d after a request to shed 2: %t", i, got)
		}
	}
	if got := sv.Stats(); got.Shed != 2 || got.AcceptedDraining != 1 || !got.LastAccepted.Equal(now) {
		t.Errorf("%+v", got)
	}
}
