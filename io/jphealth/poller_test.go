package jphealth

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpsteering"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

const validResponse = `{"in_flight": 1, "connections": 512, "state": "cold"}`

func ownedServer(num int, url string) jpsteering.OwnedServer {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(num >> 8), byte(num)}), 5555)
	return jpsteering.OwnedServer{Service: "order_desk", Server: addr, LoadURL: url}
}

// roundTripper replaces the HTTP transport in tests with a synthetic clock.
type roundTripper func(*http.Request) (*http.Response, error)

func (rt roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return rt(req) }

func okResponse(body string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}
}

// collector counts equal reports.
type collector struct {
	mu    sync.Mutex
	count map[jpsteering.Report]int
}

func (co *collector) add(rep jpsteering.Report) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.count == nil {
		co.count = map[jpsteering.Report]int{}
	}
	co.count[rep]++
}

// newHangingTransport returns a transport on which every request hangs until it is
// cancelled, and a function that returns the largest number of requests at once.
func newHangingTransport() (roundTripper, func() int) {
	var mu sync.Mutex
	var running, maxRunning int
	return func(req *http.Request) (*http.Response, error) {
			mu.Lock()
			running++
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			<-req.Context().Done()
			mu.Lock()
			running--
			mu.Unlock()
			return nil, req.Context().Err()
		}, func() int {
			mu.Lock()
			defer mu.Unlock()
			return maxRunning
		}
}

// runPoller polls servers while during runs and returns the number of each report.
func runPoller(servers []jpsteering.OwnedServer, rt roundTripper, during func()) map[jpsteering.Report]int {
	var co collector
	po := New(co.add)
	po.client.Transport = rt
	po.SetServers(servers)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { po.Run(ctx) })
	during()
	cancel()
	group.Wait()
	return co.count
}

// Guards against polls that accumulate at a hanging endpoint, and against a hanging
// endpoint that delays the polls of other servers or is not reported.
func TestHangingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang, maxRunning := newHangingTransport()
		servers := []jpsteering.OwnedServer{ownedServer(1, "http://hang/load"), ownedServer(2, "http://good/load")}
		got := runPoller(servers, func(req *http.Request) (*http.Response, error) {
			if req.URL.Host == "good" {
				return okResponse(validResponse), nil
			}
			return hang(req)
		}, func() { time.Sleep(20 * time.Second) })
		failed := got[jpsteering.Report{Service: "order_desk", Server: servers[0].Server.Addr()}]
		good := got[jpsteering.Report{Service: "order_desk", Server: servers[1].Server.Addr(), InFlight: 1, Connections: 512, State: jpsteering.ReportCold}]
		if failed < 17 || failed > 22 || good < 17 || good > 23 || len(got) != 2 {
			t.Errorf("%d failed and %d good reports in 20 s: %v", failed, good, got)
		}
		if maxRunning() != 1 {
			t.Errorf("%d polls of the hanging endpoint at once, want 1", maxRunning())
		}
	})
}

// Guards against more than MaxConcurrentPolls at once, and against servers that are
// never polled because the endpoints of others hang.
func TestConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers []jpsteering.OwnedServer
		for num := range 4 * MaxConcurrentPolls {
			servers = append(servers, ownedServer(num, "http://hang/load"))
		}
		hang, maxRunning := newHangingTransport()
		got := runPoller(servers, hang, func() { time.Sleep(20 * time.Second) })
		if maxRunning() != MaxConcurrentPolls || len(got) != len(servers) {
			t.Errorf("%d polls at once and %d servers reported, want %d and %d", maxRunning(), len(got), MaxConcurrentPolls, len(servers))
		}
	})
}

// Guards against servers that are still polled after they have been removed, and
// against reports of cancelled polls.
func TestSetServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var polls [3]atomic.Int32
		var co collector
		po := New(co.add)
		po.client.Transport = roundTripper(func(req *http.Request) (*http.Response, error) {
			polls[req.URL.Host[0]-'0'].Add(1)
			<-req.Context().Done()
			return nil, req.Context().Err()
		})
		ctx, cancel := context.WithCancel(context.Background())
		go po.Run(ctx)
		po.SetServers([]jpsteering.OwnedServer{ownedServer(0, "http://0/"), ownedServer(1, "http://1/"), ownedServer(2, "")})
		time.Sleep(maxFirstDelay + time.Millisecond)
		po.SetServers([]jpsteering.OwnedServer{ownedServer(1, "http://1/")})
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait() // no report follows
		if polls[0].Load() != 1 || polls[1].Load() < 4 || len(co.count) != 1 {
			t.Errorf("polls %d and %d, reports %v", polls[0].Load(), polls[1].Load(), co.count)
		}
	})
}

// Guards against accepting responses that do not have the format of a load endpoint.
func TestResponses(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		good   bool
	}{
		{"good", 200, validResponse, true},
		{"body at the limit", 200, validResponse + strings.Repeat(" ", bodyLimit-len(validResponse)), true},
		{"body above the limit", 200, validResponse + strings.Repeat(" ", bodyLimit-len(validResponse)+1), false},
		{"status", 503, validResponse, false},
		{"redirect", 302, validResponse, false},
		{"empty", 200, ``, false},
		{"array", 200, `[]`, false},
		{"missing field", 200, `{"in_flight": 1, "state": "warm"}`, false},
		{"null", 200, `{"in_flight": null, "connections": 1, "state": "warm"}`, false},
		{"negative", 200, `{"in_flight": -1, "connections": 1, "state": "warm"}`, false},
		{"fraction", 200, `{"in_flight": 1.5, "connections": 1, "state": "warm"}`, false},
		{"text for number", 200, `{"in_flight": "1", "connections": 1, "state": "warm"}`, false},
		{"too large", 200, `{"in_flight": 4294967296, "connections": 1, "state": "warm"}`, false},
		{"unknown state", 200, `{"in_flight": 1, "connections": 1, "state": "hot"}`, false},
		{"other case", 200, `{"In_Flight": 1, "connections": 1, "state": "warm"}`, false},
		{"unknown field", 200, `{"in_flight": 1, "connections": 1, "state": "warm", "a": 1}`, false},
		{"repeated field", 200, `{"in_flight": 1, "in_flight": 1, "connections": 1, "state": "warm"}`, false},
		{"trailing data", 200, validResponse + `{}`, false},
		{"unclosed", 200, `{"in_flight": 1, "connections": 1, "state": "warm"`, false},
	}
	po := New(nil)
	defer po.client.CloseIdleConnections()
	for _, tt := range tests {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(tt.status)
			_, _ = io.WriteString(w, tt.body)
		}))
		rep, err := po.poll(context.Background(), ownedServer(1, srv.URL))
		srv.Close()
		want := jpsteering.Report{Service: "order_desk", Server: ownedServer(1, "").Server.Addr()}
		if tt.good {
			want.InFlight, want.Connections, want.State = 1, 512, jpsteering.ReportCold
		}
		if rep != want || (err == nil) != tt.good {
			t.Errorf("%s: got %+v, %v", tt.name, rep, err)
		}
	}
}

// Guards against an endpoint that occupies a slot by sending its body slowly.
func TestSlowBody(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(w, validResponse[:5])
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	defer srv.Close()
	po := New(nil)
	began := time.Now()
	rep, err := po.poll(context.Background(), ownedServer(1, srv.URL))
	if took := time.Since(began); err == nil || rep.State != jpsteering.ReportFailed || took > Timeout+2*time.Second {
		t.Errorf("got %+v, %v after %v", rep, err, took)
	}
}

// FuzzDecode guards against panics and against values that differ from those
// that encoding/json reads.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validResponse))
	f.Add([]byte(`{"in_flight":1e2,"connections":0,"state":"warm"} `))
	f.Fuzz(func(t *testing.T, body []byte) {
		lr, err := decode(body)
		if err != nil {
			return
		}
		var want struct {
			InFlight    uint32 `json:"in_flight"`
			Connections uint32 `json:"connections"`
			State       string `json:"state"`
		}
		if err := json.Unmarshal(body, &want); err != nil {
			t.Fatal(err)
		}
		if *lr.inFlight != want.InFlight || *lr.connections != want.Connections || *lr.state != want.State {
			t.Fatalf("got %d, %d, %q, want %+v", *lr.inFlight, *lr.connections, *lr.state, want)
		}
	})
}

func ExamplePoller() {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, validResponse)
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	po := New(func(rep jpsteering.Report) {
		fmt.Println(rep.Connections, rep.State == jpsteering.ReportCold)
		cancel()
	})
	po.SetServers([]jpsteering.OwnedServer{ownedServer(1, srv.URL)})
	po.Run(ctx)
	// Output: 512 true
}
