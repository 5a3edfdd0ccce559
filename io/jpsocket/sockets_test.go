package jpsocket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsteering"
	"jacinthpass/lab/jprelay"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var (
	loopback  = netip.MustParseAddrPort("127.0.0.1:0")
	testRelay = jppacket.Relay{Kind: jppacket.RelayForward, Rank: 1, Hops: 2, Server: netip.MustParseAddr("127.2.1.1")}
)

// received is a copy of a packet, which stays valid after the call of handle.
type received struct {
	inner string
	outer netip.Addr
	relay jppacket.Relay
}

// open opens sockets that are closed when the test ends.
func open(tb testing.TB, fabric netip.AddrPort) *Sockets {
	tb.Helper()
	so, err := Open(Config{Traffic: loopback, Relay: loopback, Fabric: fabric})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := so.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			tb.Error(err)
		}
	})
	return so
}

// openAndServe opens sockets, serves them until the test ends and returns the
// received packets.
func openAndServe(t *testing.T, fabric netip.AddrPort) (*Sockets, <-chan received) {
	t.Helper()
	so := open(t, fabric)
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan received, 16)
	done := make(chan error)
	go func() {
		done <- so.Serve(ctx, func(pkt jpsteering.Packet) {
			got <- received{string(pkt.Inner), pkt.Outer, pkt.Relay}
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return so, got
}

func receive(t *testing.T, got <-chan received) received {
	t.Helper()
	select {
	case rc := <-got:
		return rc
	case <-time.After(5 * time.Second):
		t.Fatal("no packet within 5 s")
		return received{}
	}
}

// Guards against packets that are sent to the wrong socket, lose their relay header
// or have a wrong source address.
func TestSendAndServe(t *testing.T) {
	to, got := openAndServe(t, loopback)
	from, _ := openAndServe(t, to.TrafficAddress())
	source := netip.MustParseAddr("127.0.0.1")
	tests := []struct {
		send func() error
		want received
	}{
		{func() error { return from.SendServer(to.TrafficAddress(), []byte("server")) }, received{"server", source, jppacket.Relay{}}},
		{func() error { return from.SendFabric([]byte("fabric")) }, received{"fabric", source, jppacket.Relay{}}},
		{func() error { return from.SendInstance(to.RelayAddress(), testRelay, []byte("instance")) }, received{"instance", source, testRelay}},
		{func() error { return from.SendServer(to.TrafficAddress(), make([]byte, MaxDatagramSize)) }, received{string(make([]byte, MaxDatagramSize)), source, jppacket.Relay{}}},
	}
	for _, tt := range tests {
		if err := tt.send(); err != nil {
			t.Fatal(err)
		}
		if rc := receive(t, got); rc != tt.want {
			t.Errorf("got %.80v, want %.80v", rc, tt.want)
		}
	}
	want := Counters{ServerSent: 2, FabricSent: 1, InstanceSent: 1}
	if sent := from.Counters(); sent != want {
		t.Errorf("counters %+v, want %+v", sent, want)
	}
}

// Guards against malformed or oversize datagrams that are passed to handle, end
// Serve or are sent.
func TestBadDatagrams(t *testing.T) {
	to, got := openAndServe(t, loopback)
	conn, _ := jprelay.Listen(t)
	write := func(datagram []byte, to netip.AddrPort) {
		if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
			t.Fatal(err)
		}
	}
	write([]byte("not a relay header"), to.RelayAddress())
	write(make([]byte, MaxDatagramSize+1), to.RelayAddress())
	write(jppacket.AppendRelay(nil, testRelay, []byte("good")), to.RelayAddress())
	if rc := receive(t, got); rc.inner != "good" {
		t.Errorf("got %q", rc.inner)
	}
	tooLarge := make([]byte, MaxDatagramSize-jppacket.RelayOverhead+1)
	if err := to.SendInstance(to.RelayAddress(), testRelay, tooLarge); !errors.Is(err, ErrTooLarge) {
		t.Errorf("SendInstance: %v, want %v", err, ErrTooLarge)
	}
	if err := to.SendServer(to.TrafficAddress(), make([]byte, MaxDatagramSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("SendServer: %v, want %v", err, ErrTooLarge)
	}
	if ct := to.Counters(); ct.RelayMalformed != 1 || ct.Oversize != 1 || ct.RelayReceived != 2 || ct.SendErrors != 2 {
		t.Errorf("counters %+v", ct)
	}
}

// Guards against a Serve that hangs when its sockets are closed, and against a first
// socket that stays open when opening the second one fails.
func TestOpenAndClose(t *testing.T) {
	so := open(t, netip.AddrPort{})
	done := make(chan error)
	go func() { done <- so.Serve(context.Background(), func(jpsteering.Packet) {}) }()
	if _, err := Open(Config{Traffic: loopback, Relay: so.RelayAddress()}); err == nil {
		t.Error("two sockets on one address")
	}
	if _, err := Open(Config{Traffic: netip.MustParseAddrPort("[::1]:0")}); err == nil {
		t.Error("traffic socket on IPv6")
	}
	if size, err := so.ReceiveBuffer(); err != nil || size <= 0 {
		t.Errorf("receive buffer %d, %v", size, err)
	}
	if err := so.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve: %v, want %v", err, net.ErrClosed)
	}
}

// Guards against memory allocation for each packet sent.
func TestSendDoesNotAllocate(t *testing.T) {
	so, _ := openAndServe(t, loopback)
	_, to := jprelay.Listen(t)
	inner := make([]byte, 100)
	allocs := testing.AllocsPerRun(100, func() {
		_ = so.SendServer(to, inner)
		_ = so.SendInstance(to, testRelay, inner)
	})
	if allocs >= 1 { // the pool may be emptied by a garbage collection
		t.Errorf("%v allocations, want 0", allocs)
	}
}

// Guards against a read deadline of an ended Serve that remains set for the next.
func TestServeAgain(t *testing.T) {
	so := open(t, netip.AddrPort{})
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		if err := so.SendServer(so.TrafficAddress(), []byte("again")); err != nil {
			t.Fatal(err)
		}
		if err := so.Serve(ctx, func(jpsteering.Packet) { cancel() }); err != nil {
			t.Fatal(err)
		}
	}
}

func ExampleSockets_Serve() {
	so, err := Open(Config{Traffic: loopback, Relay: loopback})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer so.Close()
	ctx, cancel := context.WithCancel(context.Background())
	_ = so.SendServer(so.TrafficAddress(), []byte("to itself"))
	_ = so.Serve(ctx, func(pkt jpsteering.Packet) {
		fmt.Println(string(pkt.Inner), "from", pkt.Outer)
		cancel()
	})
	// Output: to itself from 127.0.0.1
}
