package jpinstance

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsteering"
	"jacinthpass/lab/jprelay"
	"jacinthpass/lab/jpstorestand"
)

// site is a platform and one backend server for instances in this process.
type site struct {
	t      *testing.T
	prefix string // of the instances' addresses, as in "127.80.7."
	store  *jpstorestand.Store
	web    *httptest.Server
	load   *httptest.Server // load endpoint
	fabric *net.UDPConn
	server *net.UDPConn
	data   atomic.Int64 // packets other than SYNs and probes at the server
	opened sync.Map     // callers whose handshake was answered
}

var (
	caller  = netip.MustParseAddrPort("10.90.0.1:40000")
	service = netip.MustParseAddrPort("10.80.0.1:443")
)

// Sequence numbers of the flows that open establishes.
const (
	callerNext = 101
	serverNext = 2
)

// newSite starts a platform, a fabric and a server that accepts every handshake
// and answers keepalive probes.
func newSite(t *testing.T) *site {
	t.Helper()
	st := &site{t: t, prefix: reserve(t), store: jpstorestand.New()}
	st.web = httptest.NewServer(st.store)
	t.Cleanup(st.web.Close)
	st.load = httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		io.WriteString(wr, `{"in_flight": 0, "connections": 0, "state": "warm"}`)
	}))
	t.Cleanup(st.load.Close)
	st.fabric, _ = jprelay.ListenAt(t, "127.80.220.1")
	st.server, _ = jprelay.ListenAt(t, "127.80.221.1")
	go st.serve()
	go st.receive()
	return st
}

// reserve returns a prefix of addresses that no other run of these tests on the
// machine uses.
func reserve(t *testing.T) string {
	t.Helper()
	for third := range 200 {
		prefix := fmt.Sprintf("127.80.%d.", third+1)
		lock, err := net.Listen("tcp", prefix+"254:5999")
		if err == nil {
			t.Cleanup(func() { lock.Close() })
			return prefix
		}
	}
	t.Fatal("no free addresses")
	return ""
}

// serve answers SYNs and counts other packets.
func (st *site) serve() {
	buf := make([]byte, 9000)
	for {
		size, from, err := st.server.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var hd jppacket.Header
		if hd.Parse(buf[:size]) != nil {
			continue
		}
		answer := jppacket.Segment{
			Source: hd.Destination, SourcePort: hd.DestinationPort,
			Destination: hd.Source, DestinationPort: hd.SourcePort,
			Flags: jppacket.ACK, Sequence: serverNext, Acknowledgement: callerNext,
		}
		switch {
		case hd.Flags == jppacket.SYN:
			answer.Flags, answer.Sequence, answer.Acknowledgement = jppacket.SYN|jppacket.ACK, serverNext-1, hd.Sequence+1
		case hd.Sequence != callerNext-1:
			st.data.Add(1)
			continue
		}
		st.server.WriteToUDPAddrPort(jppacket.AppendSegment(nil, answer), from)
	}
}

// receive notes the handshakes that the fabric brings back to callers.
func (st *site) receive() {
	buf := make([]byte, 9000)
	for {
		size, _, err := st.fabric.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var hd jppacket.Header
		if hd.Parse(buf[:size]) == nil && hd.Flags == jppacket.SYN|jppacket.ACK {
			st.opened.Store(hd.FlowFromServer().CallerAddress(), true)
		}
	}
}

// settings is a text with the site's server.
func (st *site) settings(more string) []byte {
	return fmt.Appendf(nil, `[service.desk]
address = %s
port = %d
kind = stream
[region.r.hobart]
[region.r.hobart.desk.od-1]
address = %s
load = %s/load
%s
`, service.Addr(), service.Port(), st.server.LocalAddr(), st.load.URL, more)
}

// config returns the settings of instance number no.
func (st *site) config(no int) Config {
	at := func(port int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", st.prefix, no, port))
	}
	addresses := jpmember.Addresses{Traffic: at(5555), Relay: at(6081), Peer: at(7001), Operator: at(7002)}
	return Config{
		ID: fmt.Sprintf("hob-%d", no), DataCentre: "hobart", Advertise: addresses, Listen: addresses,
		Fabric: st.fabric.LocalAddr().(*net.UDPAddr).AddrPort(), Store: st.web.URL,
	}
}

// running is an instance of a test.
type running struct {
	*Instance
	stop context.CancelFunc
	done chan error // gets the result of run
}

// start registers an instance and runs it until the test ends.
func (st *site) start(cfg Config) *running {
	st.t.Helper()
	st.store.Register(jpmember.Listed{ID: cfg.ID, DataCentre: cfg.DataCentre, Addresses: cfg.Advertise})
	in, err := newInstance(cfg, time.Now())
	if err != nil {
		st.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", cfg.Listen.Operator.String())
	if err != nil {
		st.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	rn := &running{Instance: in, stop: cancel, done: make(chan error, 1)}
	go func() {
		err := in.run(ctx, listener)
		in.sockets.Close() // before the next test may reserve the addresses
		rn.done <- err
		close(rn.done)
	}()
	st.t.Cleanup(func() {
		cancel()
		<-rn.done
	})
	return rn
}

// record returns settings with a version.
func (st *site) record(version uint64, more string) jprollout.Record {
	return jprollout.Record{Version: version, ChangeID: fmt.Sprint(version), Text: st.settings(more)}
}

// until waits for a condition.
func until(t *testing.T, limit time.Duration, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// segment builds a packet of a caller.
func segment(from netip.AddrPort, flags uint8, sequence, acknowledgement uint32) []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: from.Addr().As4(), SourcePort: from.Port(),
		Destination: service.Addr().As4(), DestinationPort: service.Port(),
		Flags: flags, Sequence: sequence, Acknowledgement: acknowledgement,
	})
}

// fromFabric hands an instance a packet as the fabric does.
func (rn *running) fromFabric(pkt []byte) {
	rn.handlePacket(jpsteering.Packet{Inner: pkt, Outer: netip.MustParseAddr("127.80.220.1")})
}

// open establishes a flow and waits until the server has its first data.
func (st *site) open(rn *running, from netip.AddrPort) {
	st.t.Helper()
	st.t.Cleanup(func() {
		if st.t.Failed() {
			status, _ := rn.Status(context.Background())
			st.t.Logf("%s: %+v", rn.cfg.ID, status)
		}
	})
	until(st.t, 10*time.Second, "handshake answered", func() bool {
		rn.fromFabric(segment(from, jppacket.SYN, callerNext-1, 0))
		time.Sleep(50 * time.Millisecond)
		_, ok := st.opened.Load(from)
		return ok
	})
	seen := st.data.Load()
	rn.fromFabric(segment(from, jppacket.ACK, callerNext, serverNext))
	until(st.t, time.Second, "flow established", func() bool { return st.data.Load() > seen })
}

// numbered returns the caller with a number.
func numbered(no int) netip.AddrPort {
	var ad [4]byte
	binary.BigEndian.PutUint32(ad[:], 10<<24|100<<16+uint32(no))
	return netip.AddrPortFrom(netip.AddrFrom4(ad), 50000)
}
