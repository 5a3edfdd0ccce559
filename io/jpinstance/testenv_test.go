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
type testEnv struct {
	t             *testing.T
	addressPrefix string // of the instances' addresses, as in "127.80.7."
	store         *jpstorestand.Store
	storeServer   *httptest.Server
	loadServer    *httptest.Server // load endpoint
	fabric        *net.UDPConn
	server        *net.UDPConn
	dataPackets   atomic.Int64 // packets other than SYNs and probes at the server
	handshakes    sync.Map     // callers whose handshake was answered
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
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	te := &testEnv{t: t, addressPrefix: reserveAddresses(t), store: jpstorestand.New()}
	te.storeServer = httptest.NewServer(te.store)
	t.Cleanup(te.storeServer.Close)
	te.loadServer = httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		io.WriteString(wr, `{"in_flight": 0, "connections": 0, "state": "warm"}`)
	}))
	t.Cleanup(te.loadServer.Close)
	te.fabric, _ = jprelay.ListenAt(t, "127.80.220.1")
	te.server, _ = jprelay.ListenAt(t, "127.80.221.1")
	go te.serveFlows()
	go te.recordHandshakes()
	return te
}

// reserve returns a prefix of addresses that no other run of these tests on the
// machine uses.
func reserveAddresses(t *testing.T) string {
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
func (te *testEnv) serveFlows() {
	buf := make([]byte, 9000)
	for {
		size, from, err := te.server.ReadFromUDPAddrPort(buf)
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
			te.dataPackets.Add(1)
			continue
		}
		te.server.WriteToUDPAddrPort(jppacket.AppendSegment(nil, answer), from)
	}
}

// receive notes the handshakes that the fabric brings back to callers.
func (te *testEnv) recordHandshakes() {
	buf := make([]byte, 9000)
	for {
		size, _, err := te.fabric.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var hd jppacket.Header
		if hd.Parse(buf[:size]) == nil && hd.Flags == jppacket.SYN|jppacket.ACK {
			te.handshakes.Store(hd.FlowFromServer().CallerAddress(), true)
		}
	}
}

// settings is a text with the site's server.
func (te *testEnv) settingsText(more string) []byte {
	return fmt.Appendf(nil, `[service.desk]
address = %s
port = %d
kind = stream
[region.r.hobart]
[region.r.hobart.desk.od-1]
address = %s
load = %s/load
%s
`, service.Addr(), service.Port(), te.server.LocalAddr(), te.loadServer.URL, more)
}

// config returns the settings of instance number no.
func (te *testEnv) config(no int) Config {
	at := func(port int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", te.addressPrefix, no, port))
	}
	addresses := jpmember.Addresses{Traffic: at(5555), Relay: at(6081), Peer: at(7001), Operator: at(7002)}
	return Config{
		ID: fmt.Sprintf("hob-%d", no), DataCentre: "hobart", Advertise: addresses, Listen: addresses,
		Fabric: te.fabric.LocalAddr().(*net.UDPAddr).AddrPort(), Store: te.storeServer.URL,
	}
}

// running is an instance of a test.
type runningInstance struct {
	*Instance
	cancel context.CancelFunc
	done   chan error // gets the result of run
}

// start registers an instance and runs it until the test ends.
func (te *testEnv) startInstance(cfg Config) *runningInstance {
	te.t.Helper()
	te.store.Register(jpmember.Listed{ID: cfg.ID, DataCentre: cfg.DataCentre, Addresses: cfg.Advertise})
	in, err := newInstance(cfg, time.Now())
	if err != nil {
		te.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", cfg.Listen.Operator.String())
	if err != nil {
		te.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	rn := &runningInstance{Instance: in, cancel: cancel, done: make(chan error, 1)}
	go func() {
		err := in.run(ctx, listener)
		in.sockets.Close() // before the next test may reserve the addresses
		rn.done <- err
		close(rn.done)
	}()
	te.t.Cleanup(func() {
		cancel()
		<-rn.done
	})
	return rn
}

// record returns settings with a version.
func (te *testEnv) record(version uint64, more string) jprollout.Record {
	return jprollout.Record{Version: version, ChangeID: fmt.Sprint(version), Text: te.settingsText(more)}
}

// until waits for a condition.
func waitFor(t *testing.T, limit time.Duration, what string, met func() bool) {
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
func (rn *runningInstance) receiveFromFabric(pkt []byte) {
	rn.handlePacket(jpsteering.Packet{Inner: pkt, Outer: netip.MustParseAddr("127.80.220.1")})
}

// open establishes a flow and waits until the server has its first data.
func (te *testEnv) openFlow(rn *runningInstance, from netip.AddrPort) {
	te.t.Helper()
	te.t.Cleanup(func() {
		if te.t.Failed() {
			status, _ := rn.Status(context.Background())
			te.t.Logf("%s: %+v", rn.cfg.ID, status)
		}
	})
	waitFor(te.t, 10*time.Second, "handshake answered", func() bool {
		rn.receiveFromFabric(segment(from, jppacket.SYN, callerNext-1, 0))
		time.Sleep(50 * time.Millisecond)
		_, ok := te.handshakes.Load(from)
		return ok
	})
	before := te.dataPackets.Load()
	rn.receiveFromFabric(segment(from, jppacket.ACK, callerNext, serverNext))
	waitFor(te.t, time.Second, "flow established", func() bool { return te.dataPackets.Load() > before })
}

// numbered returns the caller with a number.
func callerAddress(no int) netip.AddrPort {
	var ad [4]byte
	binary.BigEndian.PutUint32(ad[:], 10<<24|100<<16+uint32(no))
	return netip.AddrPortFrom(netip.AddrFrom4(ad), 50000)
}
