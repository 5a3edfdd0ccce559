package jpnetwork

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"jacinthpass/lab/jprelay"
)

const (
	callerIP  = "10.90.0.1"
	serviceIP = "10.80.0.1"
)

// packet returns an IPv4 packet with a UDP header and a number as payload.
func packet(from, to string, number uint32) []byte {
	src, dst := netip.MustParseAddrPort(from), netip.MustParseAddrPort(to)
	pkt := make([]byte, header.IPv4MinimumSize+header.UDPMinimumSize+4)
	header.IPv4(pkt).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(pkt)), TTL: 64, Protocol: uint8(header.UDPProtocolNumber),
		SrcAddr: tcpip.AddrFrom4(src.Addr().As4()), DstAddr: tcpip.AddrFrom4(dst.Addr().As4()),
	})
	header.UDP(pkt[header.IPv4MinimumSize:]).Encode(&header.UDPFields{
		SrcPort: src.Port(), DstPort: dst.Port(), Length: header.UDPMinimumSize + 4,
	})
	binary.BigEndian.PutUint32(pkt[len(pkt)-4:], number)
	return pkt
}

// socket is the UDP socket of a simulated process.
type socket struct {
	*net.UDPConn
	addr netip.AddrPort
}

func open(t *testing.T, ip string) socket {
	t.Helper()
	conn, at := jprelay.ListenAt(t, ip)
	conn.SetReadBuffer(socketBuffer) // holds all packets of a test until it reads them
	return socket{conn, at}
}

func (so socket) send(t *testing.T, to netip.AddrPort, pkt []byte) {
	t.Helper()
	if _, err := so.WriteToUDPAddrPort(pkt, to); err != nil {
		t.Fatal(err)
	}
}

// received is the number in a packet that arrived, with its sender and time.
type received struct {
	number uint32
	from   netip.AddrPort
	time   time.Time
}

// drain returns the packets that arrive until none came for 150 ms.
func (so socket) drain() []received {
	var res []received
	buf := make([]byte, 1<<16)
	for {
		so.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		n, from, err := so.ReadFromUDPAddrPort(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return res
		}
		if err == nil && n >= 4 {
			res = append(res, received{binary.BigEndian.Uint32(buf[n-4 : n]), from, time.Now()})
		}
	}
}

// processes are a network and the simulated processes around it.
type processes struct {
	nw                   *Network
	fabric, hobartFabric netip.AddrPort
	caller               socket
	server               socket // in hobart
	toServer             netip.AddrPort
	hobart, devonport    socket // instances
}

func start(t *testing.T) *processes {
	t.Helper()
	ps := &processes{
		fabric: jprelay.FreePort(t, "127.4.0.1"), hobartFabric: jprelay.FreePort(t, "127.4.0.1"),
		caller: open(t, "127.3.0.1"), server: open(t, "127.2.1.1"), toServer: jprelay.FreePort(t, "127.2.1.1"),
		hobart: open(t, "127.1.1.1"), devonport: open(t, "127.1.2.1"),
	}
	var err error
	ps.nw, err = Start(Config{
		Control: "127.0.0.1:0", Seed: 7,
		Fabrics: []Fabric{{Listen: ps.fabric}, {Listen: ps.hobartFabric, DataCentre: "hobart"}},
		Instances: []Instance{
			{ID: "h1", Address: ps.hobart.addr, DataCentre: "hobart"},
			{ID: "d1", Address: ps.devonport.addr, DataCentre: "devonport", Weight: 3},
		},
		Servers: netip.MustParsePrefix("127.2.0.0/16"),
		DataCentres: []DataCentrePrefix{
			{netip.MustParsePrefix("127.1.1.0/24"), "hobart"}, {netip.MustParsePrefix("127.2.1.0/24"), "hobart"},
			{netip.MustParsePrefix("127.1.2.0/24"), "devonport"}, {netip.MustParsePrefix("127.3.0.0/16"), "callers"},
		},
		Rules: []Rule{{Name: "od-1", Protocol: "udp", Listen: ps.toServer, Target: ps.server.addr, Tunnel: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ps.nw.Close)
	return ps
}

// Guards against a fabric that loses packets, ignores weights or data
// centres, or rewrites the source address of servers.
func TestFabric(t *testing.T) {
	ps := start(t)
	up := packet(callerIP+":1000", serviceIP+":443", 1)
	for range 400 {
		ps.caller.send(t, ps.fabric, up)
	}
	hobart, devonport := len(ps.hobart.drain()), len(ps.devonport.drain())
	if hobart+devonport != 400 || hobart < 60 || hobart > 140 {
		t.Errorf("hobart %d, devonport %d, want about 100 and 300", hobart, devonport)
	}
	for range 20 {
		ps.caller.send(t, ps.hobartFabric, up)
		ps.server.send(t, ps.hobartFabric, packet(serviceIP+":443", callerIP+":1000", 2))
	}
	fromServer := 0
	for _, rc := range ps.hobart.drain() {
		if rc.from.Addr() == ps.server.addr.Addr() {
			fromServer++
		}
	}
	if fromServer != 20 || len(ps.devonport.drain()) != 0 {
		t.Errorf("%d packets with the server's address in hobart, want 20 and none in devonport", fromServer)
	}
	ps.devonport.send(t, ps.fabric, packet(serviceIP+":443", callerIP+":1000", 3))
	if got := ps.caller.drain(); len(got) != 1 || got[0].number != 3 {
		t.Errorf("caller got %v", got)
	}
	ps.nw.SetInstances([]Instance{{ID: "h1", Address: ps.hobart.addr, DataCentre: "hobart"}})
	for range 20 {
		ps.caller.send(t, ps.fabric, up)
	}
	if got := len(ps.hobart.drain()); got != 20 || len(ps.devonport.drain()) != 0 {
		t.Errorf("%d packets after the other instance left, want 20", got)
	}
}

// Guards against faults that have no effect or affect links they don't select:
// experiments would then pass without the fault.
func TestFaults(t *testing.T) {
	const sent = 200
	all := func(got []received) bool { return len(got) == sent }
	none := func(got []received) bool { return len(got) == 0 }
	tests := []struct {
		name          string
		fault         Fault
		wantHobart    func([]received) bool // checks the packets that the server gets from an instance
		wantDevonport func([]received) bool
	}{
		{"none", Fault{}, all, all},
		{"cut between data centres", Fault{From: "dc=hobart", To: "dc!=hobart", Both: true, Cut: true}, all, none},
		{"cut of the other direction", Fault{From: "dc=hobart", To: "dc=devonport", Cut: true}, all, all},
		{"cut between all data centres", Fault{BetweenDataCentres: true, Cut: true}, all, none},
		{"cut of one process", Fault{From: "ip=127.1.1.1", Cut: true}, none, all},
		{"cut of one target", Fault{To: "name=od-1", Cut: true}, none, none},
		{"drop", Fault{From: "dc=devonport", To: "dc=hobart", DropPercent: 30}, all, func(got []received) bool {
			return len(got) > sent/2 && len(got) < sent*9/10
		}},
		{"duplicate", Fault{From: "dc=devonport", DuplicatePercent: 50}, all, func(got []received) bool {
			return len(got) > sent*5/4 && len(got) < 2*sent
		}},
		{"reorder", Fault{From: "dc=devonport", DelayMS: 1, ReorderPercent: 10}, ordered, func(got []received) bool {
			return len(got) == sent && !ordered(got)
		}},
		{"delay and jitter keep the order", Fault{From: "dc=devonport", DelayMS: 40, JitterMS: 5}, ordered, ordered},
	}
	ps := start(t)
	for _, tt := range tests {
		ps.nw.RemoveFault("")
		if tt.name != "none" {
			if _, err := ps.nw.AddFault(tt.fault); err != nil {
				t.Fatal(err)
			}
		}
		for i := range uint32(sent) {
			ps.hobart.send(t, ps.toServer, packet(callerIP+":1000", serviceIP+":443", i))
			ps.devonport.send(t, ps.toServer, packet(callerIP+":1000", serviceIP+":443", i))
		}
		var hobart, devonport []received
		for _, rc := range ps.server.drain() {
			if rc.from.Addr() == ps.hobart.addr.Addr() {
				hobart = append(hobart, rc)
			} else {
				devonport = append(devonport, rc)
			}
		}
		if !tt.wantHobart(hobart) || !tt.wantDevonport(devonport) {
			t.Errorf("%s: %d packets from hobart, %d from devonport", tt.name, len(hobart), len(devonport))
		}
	}
}

func ordered(got []received) bool {
	for i, rc := range got {
		if rc.number != uint32(i) {
			return false
		}
	}
	return len(got) > 0
}

// Guards against a delay that is not applied.
func TestDelay(t *testing.T) {
	ps := start(t)
	ps.nw.AddFault(Fault{From: "dc=hobart", To: "dc=hobart", DelayMS: 60})
	begin := time.Now()
	ps.hobart.send(t, ps.toServer, packet(callerIP+":1000", serviceIP+":443", 0))
	got := ps.server.drain()
	if len(got) != 1 || got[0].time.Sub(begin) < 60*time.Millisecond {
		t.Errorf("received %v, sent at %v, want a delay of at least 60 ms", got, begin)
	}
}

// Guards against a fabric that sends packets to instances beyond a partition,
// although routing would have withdrawn their routes.
func TestPartitionLeavesReachableInstances(t *testing.T) {
	ps := start(t)
	ps.nw.AddFault(Fault{From: "dc=hobart", To: "dc!=hobart", Both: true, Cut: true})
	for range 20 {
		ps.server.send(t, ps.fabric, packet(serviceIP+":443", callerIP+":1000", 2))
	}
	if got := len(ps.hobart.drain()); got != 20 {
		t.Errorf("%d packets in hobart, want all 20", got)
	}
}

// Guards against a lost flow whose packets still pass, and against dropped
// packets of other flows.
func TestLostFlow(t *testing.T) {
	tests := []struct {
		name               string
		flow               LostFlow
		toServer, toCaller int // packets of the flow that arrive at the server, at the caller
	}{
		{"both directions", LostFlow{ToServer: true, ToCaller: true}, 0, 0},
		{"to the server", LostFlow{ToServer: true}, 0, 1},
		{"to the caller", LostFlow{ToCaller: true}, 1, 0},
		{"at the servers", LostFlow{ToServer: true, ToCaller: true, Side: serverSide}, 0, 1},
		{"at the callers", LostFlow{ToServer: true, ToCaller: true, Side: callerSide}, 1, 0},
	}
	for _, tt := range tests {
		ps := start(t)
		tt.flow.Caller = netip.MustParseAddrPort(callerIP + ":1000")
		tt.flow.Service = netip.MustParseAddrPort(serviceIP + ":443")
		ps.caller.send(t, ps.fabric, packet(callerIP+":1001", serviceIP+":443", 0))
		ps.hobart.drain()
		if _, err := ps.nw.AddLostFlow(tt.flow); err != nil {
			t.Fatal(err)
		}
		for i, port := range []string{":1000", ":1001"} {
			ps.hobart.send(t, ps.toServer, packet(callerIP+port, serviceIP+":443", uint32(i)))
			ps.hobart.send(t, ps.fabric, packet(serviceIP+":443", callerIP+port, uint32(i)))
		}
		server, caller := ps.server.drain(), ps.caller.drain()
		if len(server) != tt.toServer+1 || len(caller) != tt.toCaller+1 {
			t.Errorf("%s: server got %v, caller got %v", tt.name, server, caller)
		}
	}
}

// Guards against a control interface that accepts invalid requests, and against
// counters that miss traffic to a server.
func TestControl(t *testing.T) {
	ps := start(t)
	base := "http://" + ps.nw.control.Addr()
	tests := []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/lab/faults", `{"id":"a","from":"dc=hobart","to":"name=od-1","drop_percent":0}`, 200},
		{"POST", "/lab/faults", `{"from":"city=hobart"}`, 400},
		{"POST", "/lab/faults", `{"slow":true}`, 400},
		{"POST", "/lab/flows", `{"caller":"10.90.0.1:5","service":"10.80.0.1:443"}`, 400},
		{"PUT", "/lab/instances", `[{"id":"h1","address":"127.1.1.1:5555","data_centre":"hobart"}]`, 200},
		{"POST", "/lab/rules", `{"name":"od-1","protocol":"udp"}`, 400},
		{"DELETE", "/lab/faults/a", "", 204},
	}
	for _, tt := range tests {
		req, _ := http.NewRequest(tt.method, base+tt.path, strings.NewReader(tt.body))
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != tt.status {
			t.Errorf("%s %s %s: status %d, want %d", tt.method, tt.path, tt.body, res.StatusCode, tt.status)
		}
	}
	if left := ps.nw.faults.all(); len(left) != 0 {
		t.Errorf("faults left: %v", left)
	}
	begin := time.Now()
	ps.hobart.send(t, ps.toServer, packet(callerIP+":1000", serviceIP+":443", 0))
	ps.server.drain()
	res, err := http.Get(base + "/lab/counters")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var counters Counters
	if err := json.NewDecoder(res.Body).Decode(&counters); err != nil {
		t.Fatal(err)
	}
	ct := counters.Links[0]
	if ct.To != "od-1" || ct.ToDC != "hobart" || ct.FromDC != "hobart" || ct.Packets != 1 || ct.Bytes != 32 || ct.Last.Before(begin) {
		t.Errorf("counter %+v", ct)
	}
}

// Guards against a TCP proxy that loses bytes, or that forwards them during a cut.
func TestTCPRule(t *testing.T) {
	ps := start(t)
	lis, err := net.Listen("tcp4", "127.5.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(conn, conn); conn.Close() }()
		}
	}()
	proxyAddr := jprelay.FreePort(t, "127.5.0.1")
	rule := Rule{Name: "store", Protocol: "tcp", Listen: proxyAddr, Target: lis.Addr().(*net.TCPAddr).AddrPort(), DataCentre: "platform"}
	if _, err := ps.nw.addRule(rule); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", proxyAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	echo := func(want []byte, wait time.Duration) error {
		conn.Write(want)
		conn.SetReadDeadline(time.Now().Add(wait))
		got := make([]byte, len(want))
		if _, err := io.ReadFull(conn, got); err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			return errors.New("bytes differ")
		}
		return nil
	}
	if err := echo(bytes.Repeat([]byte("jacinth"), 20000), 5*time.Second); err != nil {
		t.Fatal(err)
	}
	ps.nw.AddFault(Fault{ID: "cut", To: "name=store", Cut: true})
	if err := echo([]byte("x"), 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during the cut: %v, want a timeout", err)
	}
	ps.nw.RemoveFault("cut")
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Errorf("after the cut: %v", err)
	}
	ps.nw.AddFault(Fault{To: "name=store", Cut: true, ResetTCP: true})
	if err := echo([]byte("y"), 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during a cut with resets: %v, want a reset", err)
	}
}

// Guards against a connection to the target for a client that left during a cut.
func TestClientLeavesDuringCut(t *testing.T) {
	ps := start(t)
	lis, err := net.Listen("tcp4", "127.5.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	accepted := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			conn.Close()
		}
	}()
	rule := Rule{
		Name: "store", Protocol: "tcp", Listen: jprelay.FreePort(t, "127.5.0.2"),
		Target: lis.Addr().(*net.TCPAddr).AddrPort(), DataCentre: "platform",
	}
	if _, err := ps.nw.addRule(rule); err != nil {
		t.Fatal(err)
	}
	ps.nw.AddFault(Fault{ID: "cut", To: "name=store", Cut: true})
	for _, leaves := range []bool{true, false} {
		conn, err := net.Dial("tcp4", rule.Listen.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if leaves {
			conn.Close()
		}
	}
	time.Sleep(3 * clientPollInterval)
	ps.nw.RemoveFault("cut")
	select {
	case <-accepted:
	case <-time.After(5 * time.Second):
		t.Fatal("the client that waited was not connected after the cut")
	}
	select {
	case <-accepted:
		t.Error("the client that had left was connected after the cut")
	case <-time.After(200 * time.Millisecond):
	}
}

// Guards against a parser that reads past the end of a packet.
func FuzzParseInner(f *testing.F) {
	f.Add(packet(callerIP+":1000", serviceIP+":443", 1))
	f.Add([]byte{0x45})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, pkt []byte) {
		if in, ok := parseInner(pkt); ok && (!in.source.IsValid() || !in.destination.IsValid()) {
			t.Errorf("%x: %v", pkt, in)
		}
	})
}
