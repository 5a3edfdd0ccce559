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

// testEnv is the environment of the instances under test: a stand-in for the
// platform's store, a fabric and one backend server with a load endpoint.
type testEnv struct {
	t             *testing.T
	addressPrefix string // of the instances' IP addresses, as in "127.80.7."
	store         *jpstorestand.Store
	storeServer   *httptest.Server
	loadServer    *httptest.Server // load endpoint
	fabric        *net.UDPConn
	server        *net.UDPConn
	dataPackets   atomic.Int64 // packets received by the server, except SYNs and probes
	handshakes    sync.Map     // callers that have received a SYN-ACK
}

var (
	caller  = netip.MustParseAddrPort("10.90.0.1:40000")
	service = netip.MustParseAddrPort("10.80.0.1:443")
)

// Next sequence numbers of each end after the handshake of openFlow.
const (
	callerNextSequence = 101
	serverNextSequence = 2
)

// newTestEnv starts a store, a fabric and a server that accepts every handshake and
// answers keepalive probes.
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
	go te.recordSYNACKs()
	return te
}

// reserveAddresses returns a prefix of IP addresses that no other run of these tests on
// the machine uses.
func reserveAddresses(t *testing.T) string {
	t.Helper()
	for octet := range 200 {
		prefix := fmt.Sprintf("127.80.%d.", octet+1)
		lock, err := net.Listen("tcp", prefix+"254:5999")
		if err == nil {
			t.Cleanup(func() { lock.Close() })
			return prefix
		}
	}
	t.Fatal("no free addresses")
	return ""
}

// serveFlows answers SYNs and keepalive probes and counts other packets.
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
			Flags: jppacket.ACK, Sequence: serverNextSequence, Acknowledgement: callerNextSequence,
		}
		switch {
		case hd.Flags == jppacket.SYN:
			answer.Flags, answer.Sequence, answer.Acknowledgement = jppacket.SYN|jppacket.ACK, serverNextSequence-1, hd.Sequence+1
		case hd.Sequence != callerNextSequence-1:
			te.dataPackets.Add(1)
			continue
		}
		te.server.WriteToUDPAddrPort(jppacket.AppendSegment(nil, answer), from)
	}
}

// recordSYNACKs records the callers for which the fabric receives a SYN-ACK.
func (te *testEnv) recordSYNACKs() {
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

// settingsText returns settings with the server of the environment, and more lines.
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

// config returns the configuration of instance number no.
func (te *testEnv) config(no int) Config {
	addr := func(port int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", te.addressPrefix, no, port))
	}
	addresses := jpmember.Addresses{Traffic: addr(5555), Relay: addr(6081), Peer: addr(7001), Operator: addr(7002)}
	return Config{
		ID: fmt.Sprintf("hob-%d", no), DataCentre: "hobart", Advertise: addresses, Listen: addresses,
		Fabric: te.fabric.LocalAddr().(*net.UDPAddr).AddrPort(), Store: te.storeServer.URL,
	}
}

// runningInstance is an instance started by a test.
type runningInstance struct {
	*Instance
	cancel context.CancelFunc
	done   chan error // receives the result of run
}

// startInstance registers an instance and runs it until the test ends.
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
		in.sockets.Close() // before another test can reserve the addresses
		rn.done <- err
		close(rn.done)
	}()
	te.t.Cleanup(func() {
		cancel()
		<-rn.done
	})
	return rn
}

// record returns a settings record with the given version.
func (te *testEnv) record(version uint64, more string) jprollout.Record {
	return jprollout.Record{Version: version, ChangeID: fmt.Sprint(version), Text: te.settingsText(more)}
}

// waitFor waits until a condition is met and fails the test after timeout.
func waitFor(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not met within %v: %s", timeout, what)
}

// segment returns a packet from a caller to the service.
func segment(from netip.AddrPort, flags uint8, sequence, acknowledgement uint32) []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: from.Addr().As4(), SourcePort: from.Port(),
		Destination: service.Addr().As4(), DestinationPort: service.Port(),
		Flags: flags, Sequence: sequence, Acknowledgement: acknowledgement,
	})
}

// receiveFromFabric makes an instance handle a packet as if the fabric had sent it.
func (rn *runningInstance) receiveFromFabric(pkt []byte) {
	rn.handlePacket(jpsteering.Packet{Inner: pkt, Outer: netip.MustParseAddr("127.80.220.1")})
}

// openFlow establishes a flow and waits until its first data packet reaches the server.
func (te *testEnv) openFlow(rn *runningInstance, from netip.AddrPort) {
	te.t.Helper()
	te.t.Cleanup(func() {
		if te.t.Failed() {
			status, _ := rn.Status(context.Background())
			te.t.Logf("%s: %+v", rn.cfg.ID, status)
		}
	})
	waitFor(te.t, 10*time.Second, "handshake answered", func() bool {
		rn.receiveFromFabric(segment(from, jppacket.SYN, callerNextSequence-1, 0))
		time.Sleep(50 * time.Millisecond)
		_, ok := te.handshakes.Load(from)
		return ok
	})
	before := te.dataPackets.Load()
	rn.receiveFromFabric(segment(from, jppacket.ACK, callerNextSequence, serverNextSequence))
	waitFor(te.t, time.Second, "flow established", func() bool { return te.dataPackets.Load() > before })
}

// callerAddress returns the address of caller number no.
func callerAddress(no int) netip.AddrPort {
	var ad [4]byte
	binary.BigEndian.PutUint32(ad[:], 10<<24|100<<16+uint32(no))
	return netip.AddrPortFrom(netip.AddrFrom4(ad), 50000)
}
