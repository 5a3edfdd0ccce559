package jptunnel

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
)

// Fates of a segment with data from the server.
const (
	passes     = '.' // delivered
	lost       = 'd' // dropped, as are all packets in both directions until the next one with data
	answerLost = 'a' // delivered, but packets from the callers are dropped until the next one with data
)

// Guards against a server that stops retransmitting. Losses in this order left a
// connection without a retransmission timer, so that it never sent again; see the
// recovery option in configure.
func TestRetransmissions(t *testing.T) {
	const fates = "...dad..ada."
	fabric, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 4, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer fabric.Close()
	open := func(listen string, at netip.Addr) *Tunnel {
		tn, err := Open(Config{
			Listen: netip.MustParseAddrPort(listen), Peer: fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
			Addresses: []netip.Addr{at},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tn.Close)
		return tn
	}
	server, callers := open("127.2.1.1:0", service.Addr()), open("127.3.0.1:0", caller)
	sent := make(chan byte, len(fates))
	go func() {
		buf := make([]byte, maxPacket)
		for fate, left := byte(passes), fates; ; {
			n, from, err := fabric.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			to := server.LocalAddr()
			if from == server.LocalAddr() {
				to = callers.LocalAddr()
				if tc := header.TCP(header.IPv4(buf[:n]).Payload()); len(tc.Payload()) > 0 && left != "" {
					fate, left = left[0], left[1:]
					sent <- fate
				}
			}
			if fate == passes || fate == answerLost && from == server.LocalAddr() {
				fabric.WriteToUDPAddrPort(buf[:n], to)
			}
		}
	}()
	lis, err := gonet.ListenTCP(server.Stack, FullAddress(service), ipv4.ProtocolNumber)
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	local := FullAddress(netip.AddrPortFrom(caller, 20000))
	dialled, err := gonet.DialTCPWithBind(context.Background(), callers.Stack, local, FullAddress(service), ipv4.ProtocolNumber)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	alerts := time.NewTicker(250 * time.Millisecond)
	defer alerts.Stop()
	// Twice the longest retransmission interval in this test, 1.6 s.
	silent := time.NewTimer(3200 * time.Millisecond)
	for count := 0; count < len(fates); {
		select {
		case <-alerts.C:
			accepted.Write([]byte("alert"))
		case <-sent:
			count++
			silent.Reset(3200 * time.Millisecond)
		case <-silent.C:
			t.Fatalf("no segment for 3.2 s after %d of %d", count, len(fates))
		}
	}
}
