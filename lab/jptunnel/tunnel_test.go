package jptunnel

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"

	"jacinthpass/lab/jprelay"
)

var (
	service = netip.MustParseAddrPort("10.80.0.1:443")
	caller  = netip.MustParseAddr("10.90.0.1")
)

// segment returns an IPv4 packet with a TCP segment without payload and options.
func segment(from, to netip.AddrPort, flags header.TCPFlags, seq, ack uint32) []byte {
	pkt := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	src, dst := tcpip.AddrFrom4(from.Addr().As4()), tcpip.AddrFrom4(to.Addr().As4())
	ip := header.IPv4(pkt)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(pkt)), TTL: 64, Protocol: uint8(header.TCPProtocolNumber), SrcAddr: src, DstAddr: dst,
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	tc := header.TCP(pkt[header.IPv4MinimumSize:])
	tc.Encode(&header.TCPFields{
		SrcPort: from.Port(), DstPort: to.Port(), SeqNum: seq, AckNum: ack,
		DataOffset: header.TCPMinimumSize, Flags: flags, WindowSize: 1000,
	})
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, src, dst, header.TCPMinimumSize)
	tc.SetChecksum(^tc.CalculateChecksum(checksum.Combine(sum, 0)))
	return pkt
}

// rawPeer is a peer of a tunnel that sends and receives raw packets.
type rawPeer struct {
	conn *net.UDPConn
	to   netip.AddrPort
}

// openTunnel opens a tunnel with one address, and its peer. Both are closed when
// the test ends.
func openTunnel(t *testing.T, address netip.Addr) (*Tunnel, rawPeer) {
	t.Helper()
	conn, peer := jprelay.Listen(t)
	tn, err := Open(Config{Listen: netip.MustParseAddrPort("127.2.1.1:0"), Peer: peer, Addresses: []netip.Addr{address}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tn.Close)
	return tn, rawPeer{conn, tn.LocalAddr()}
}

func (rp rawPeer) send(pkt []byte) { rp.conn.WriteToUDPAddrPort(pkt, rp.to) }

// exchange sends a segment and returns the next segment to a port, or nil if none
// arrives within 1 s.
func (rp rawPeer) exchange(t *testing.T, pkt []byte, port uint16) header.TCP {
	t.Helper()
	rp.send(pkt)
	rp.conn.SetReadDeadline(time.Now().Add(time.Second))
	buf := make([]byte, maxPacket)
	for {
		n, _, err := rp.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		tc := header.TCP(header.IPv4(buf[:n]).Payload())
		if tc.DestinationPort() == port {
			return tc
		}
	}
}

// Guards against a stack that answers keepalive probes and resets differently from
// Linux: the load balancer relies on these answers to locate flows and to detect
// silent ones.
func TestProbes(t *testing.T) {
	tn, rp := openTunnel(t, service.Addr())
	lis, err := gonet.ListenTCP(tn.Stack, FullAddress(service), ipv4.ProtocolNumber)
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	addr := netip.AddrPortFrom(caller, 20000)
	const first = 1000
	synack := rp.exchange(t, segment(addr, service, header.TCPFlagSyn, first, 0), 20000)
	if synack == nil || synack.Flags() != header.TCPFlagSyn|header.TCPFlagAck {
		t.Fatalf("answer to SYN: %v", synack)
	}
	serverSeq := synack.SequenceNumber() + 1
	rp.send(segment(addr, service, header.TCPFlagAck, first+1, serverSeq))
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()

	unknown := netip.AddrPortFrom(caller, 20001)
	tests := []struct {
		name  string
		pkt   []byte
		port  uint16
		flags header.TCPFlags
		ack   uint32
	}{
		{"probe of a flow", segment(addr, service, header.TCPFlagAck, first, serverSeq), 20000, header.TCPFlagAck, first + 1},
		{"probe of an unknown flow", segment(unknown, service, header.TCPFlagAck, first, serverSeq), 20001, header.TCPFlagRst, 0},
		{"SYN to a port without service", segment(unknown, netip.AddrPortFrom(service.Addr(), 444), header.TCPFlagSyn, first, 0),
			20001, header.TCPFlagRst | header.TCPFlagAck, first + 1},
	}
	for _, tt := range tests {
		got := rp.exchange(t, tt.pkt, tt.port)
		if got == nil || got.Flags() != tt.flags || got.AckNumber() != tt.ack {
			t.Errorf("%s: answer %v", tt.name, got)
		}
	}
	rp.send(segment(addr, netip.MustParseAddrPort("10.80.0.2:443"), header.TCPFlagSyn, 1, 0))
	for deadline := time.Now().Add(time.Second); tn.Stray() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if tn.Stray() != 1 {
		t.Errorf("%d stray packets, want 1", tn.Stray())
	}
	accepted.(*gonet.TCPConn).SetReadDeadline(time.Now().Add(5 * time.Second))
	go rp.send(segment(addr, service, header.TCPFlagRst|header.TCPFlagAck, first+1, serverSeq))
	if _, err := accepted.Read(make([]byte, 1)); err == nil || err.Error() == "" {
		t.Errorf("read after a reset: %v", err)
	}
}

// Guards against a frozen tunnel that still answers.
func TestFreeze(t *testing.T) {
	tn, rp := openTunnel(t, caller)
	tn.Freeze(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	local := FullAddress(netip.AddrPortFrom(caller, 20000))
	if _, err := gonet.DialTCPWithBind(ctx, tn.Stack, local, FullAddress(service), ipv4.ProtocolNumber); err == nil {
		t.Error("dial through a frozen tunnel succeeded")
	}
	rp.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, _, err := rp.conn.ReadFromUDPAddrPort(make([]byte, maxPacket)); err == nil {
		t.Errorf("frozen tunnel sent %d bytes", n)
	}
}
