package jpcaller

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"jacinthpass/lab/jpnetwork"
	"jacinthpass/lab/jprelay"
	"jacinthpass/lab/jpserver"
)

var service = netip.MustParseAddrPort("10.80.0.1:443")

// startForwarder simulates an instance: it forwards packets for the service to one
// server, and all others to the fabric.
func startForwarder(t *testing.T, at, fabric, server netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			to := fabric
			if err == nil && header.IPv4(buf[:n]).DestinationAddress().As4() == service.Addr().As4() {
				to = server
			}
			conn.WriteToUDPAddrPort(buf[:n], to)
		}
	}()
}

// site is a simulated network with one forwarder and one server.
type site struct {
	network    *jpnetwork.Network
	server     *jpserver.Server
	fabric     netip.AddrPort
	serverConf jpserver.Config
}

func startSite(t *testing.T, conf jpserver.Config) *site {
	t.Helper()
	fabric, instance := jprelay.FreePort(t, "127.4.0.1"), jprelay.FreePort(t, "127.1.1.1")
	proxied, endpoint := jprelay.FreePort(t, "127.2.1.1"), jprelay.FreePort(t, "127.2.1.1")
	startForwarder(t, instance, fabric, proxied)
	nw, err := jpnetwork.Start(jpnetwork.Config{
		Fabrics:   []jpnetwork.Fabric{{Listen: fabric}},
		Instances: []jpnetwork.Instance{{ID: "one", Address: instance, DataCentre: "hobart"}},
		Servers:   netip.MustParsePrefix("127.2.0.0/16"),
		Rules:     []jpnetwork.Rule{{Name: "od-1", Protocol: "udp", Listen: proxied, Target: endpoint, Tunnel: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nw.Close)
	conf.Name, conf.Listen, conf.Fabric = "od-1", endpoint, fabric
	conf.Services = []netip.AddrPort{service}
	sv, err := jpserver.Start(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Close)
	return &site{network: nw, server: sv, fabric: fabric, serverConf: conf}
}

func startCallers(t *testing.T, st *site, conf Config) *Callers {
	t.Helper()
	conf.Listen = netip.MustParseAddrPort("127.3.0.1:0")
	conf.Fabric, conf.Service = st.fabric, service
	conf.Addresses = []netip.Addr{netip.MustParseAddr("10.90.0.1"), netip.MustParseAddr("10.90.0.2")}
	conf.MaxOpen = 1000
	conf.ConnectTimeout, conf.AnswerTimeout = 2*time.Second, 2*time.Second
	cl, err := Start(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.Close)
	return cl
}

// awaitResults waits until the results meet a condition.
func awaitResults(t *testing.T, cl *Callers, condition string, ok func(Results) bool) Results {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if res := cl.Results(); ok(res) {
			return res
		}
		time.Sleep(10 * time.Millisecond)
	}
	res := cl.Results()
	t.Fatalf("condition not met: %s; standing %+v, requests %+v, udp %+v", condition, res.Standing, res.Requests, res.UDP)
	return res
}

var warmServer = jpserver.Config{Slots: 8, Queue: 100, Connections: 200, StartWarm: true}

// Guards against errors of the simulated callers, network and server, which
// experiments would attribute to the load balancer.
func TestServesEndToEnd(t *testing.T) {
	st := startSite(t, warmServer)
	cl := startCallers(t, st, Config{
		Standing: 20, AlertEvery: 50 * time.Millisecond, AskEvery: 50 * time.Millisecond, SilentAfter: 2 * time.Second,
		Rate: 100, UDPRate: 20, Size: 5000, Work: time.Millisecond, Copies: 3,
	})
	awaitResults(t, cl, "alerts, answers, requests and echoes", func(res Results) bool {
		return res.Standing.Alerts > 300 && res.Standing.Answered > 100 && res.Requests.Served > 100 && res.UDP.Echoed > 10
	})
	cl.Stop()
	res := cl.Results()
	rq, sd := res.Requests, res.Standing
	if rq.Served != rq.Attempted || sd.Open != 20 || sd.Broken != 0 || res.UDP.Lost+res.UDP.Wrong != 0 {
		t.Errorf("standing %+v, requests %+v, udp %+v", sd, rq, res.UDP)
	}
	stats := st.server.Stats()
	if stats.Repeated != 0 || stats.Stray+uint64(stats.Unconfirmed) != 0 || len(st.server.Flows()) < rq.Served || len(st.server.Executions()) < rq.Served {
		t.Errorf("server %+v", stats)
	}
	if rq.Latency.Count != int64(rq.Served) || rq.ByServer["od-1"] != rq.Served || len(res.Seconds) == 0 {
		t.Errorf("latency count %d, by server %v", rq.Latency.Count, rq.ByServer)
	}
}

// Guards against a server that does not count segments with payload of flows that
// it never accepted. Tests of the load balancer rely on this count to detect
// payload that it sends to a server other than the one that accepted the SYN.
func TestSYNPayload(t *testing.T) {
	st := startSite(t, warmServer)
	startCallers(t, st, Config{Rate: 50, SYNPayload: 64})
	for deadline := time.Now().Add(10 * time.Second); st.server.Stats().Unconfirmed == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no SYN with payload was counted")
		}
	}
}

// Guards against broken flows that the callers don't detect, or report with the
// wrong kind: experiments rely on these counts.
func TestBrokenFlows(t *testing.T) {
	tests := []struct {
		name       string
		serverConf jpserver.Config
		conf       Config
		inject     func(*testing.T, *site)
		kind       string
		endings    func(Results) []Ending
	}{
		{
			name: "standing connection lost on the path", kind: Silent, serverConf: warmServer,
			conf:    Config{Standing: 1, AlertEvery: 20 * time.Millisecond, SilentAfter: 300 * time.Millisecond},
			inject:  func(t *testing.T, st *site) { loseAllFlows(t, st) },
			endings: func(res Results) []Ending { return res.Standing.Endings },
		},
		{
			name: "server resets standing connections", kind: Reset, serverConf: warmServer,
			conf:    Config{Standing: 1, AlertEvery: 20 * time.Millisecond, SilentAfter: 3 * time.Second},
			inject:  func(_ *testing.T, st *site) { st.server.ResetAll() },
			endings: func(res Results) []Ending { return res.Standing.Endings },
		},
		{
			name: "request lost while it runs", kind: Silent, serverConf: warmServer,
			conf:    Config{Rate: 20, Work: time.Second},
			inject:  func(t *testing.T, st *site) { loseAllFlows(t, st) },
			endings: func(res Results) []Ending { return res.Requests.Endings },
		},
		{
			name: "server without free connections", kind: Refused,
			serverConf: jpserver.Config{Slots: 1, Queue: 1, StartWarm: true},
			conf:       Config{Rate: 20},
			inject:     func(*testing.T, *site) {},
			endings:    func(res Results) []Ending { return res.Requests.Endings },
		},
		{
			name: "cut path", kind: Unanswered, serverConf: warmServer,
			conf:    Config{Rate: 20},
			inject:  func(t *testing.T, st *site) { addFault(t, st, jpnetwork.Fault{To: "name=od-1", Cut: true}) },
			endings: func(res Results) []Ending { return res.Requests.Endings },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			st := startSite(t, tt.serverConf)
			cl := startCallers(t, st, tt.conf)
			awaitResults(t, cl, "load", func(res Results) bool { return res.Standing.Open == 1 || res.Requests.Attempted > 2 })
			tt.inject(t, st)
			awaitResults(t, cl, tt.kind, func(res Results) bool {
				for _, end := range tt.endings(res) {
					if end.Kind == tt.kind && end.ID != 0 && end.Caller != "" && !end.At.IsZero() {
						return true
					}
				}
				return false
			})
		})
	}
}

func loseAllFlows(t *testing.T, st *site) {
	t.Helper()
	for _, ip := range []string{"10.90.0.1", "10.90.0.2"} {
		_, err := st.network.AddLostFlow(jpnetwork.LostFlow{
			Caller: netip.AddrPortFrom(netip.MustParseAddr(ip), 0), Service: service, ToServer: true, ToCaller: true,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func addFault(t *testing.T, st *site, ft jpnetwork.Fault) {
	t.Helper()
	if _, err := st.network.AddFault(ft); err != nil {
		t.Fatal(err)
	}
}
