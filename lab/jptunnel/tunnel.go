// Package jptunnel runs a user-space TCP/IP stack that sends and receives its IPv4
// packets as the payload of UDP datagrams (foo-over-UDP).
package jptunnel

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/icmp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/udp"
)

const (
	// mtu, in bytes, leaves room for the outer headers within an Ethernet frame.
	mtu = 1400
	// queueLength is the maximum number of outgoing packets that wait for the
	// socket. To the stack, a full queue is congestion.
	queueLength = 8192
	// socketBuffer is the receive buffer of the socket in bytes, enough for the
	// bursts of several thousand flows.
	socketBuffer = 4 << 20
	// timeWait is the duration of the TIME-WAIT state. It is short, so that tens of
	// thousands of short flows don't accumulate.
	timeWait = 2 * time.Second
	// receiveBuffer and sendBuffer are the default buffer sizes of a TCP connection
	// in bytes. They limit the memory of a process with thousands of connections.
	receiveBuffer = 64 << 10
	sendBuffer    = 64 << 10
	nicID         = tcpip.NICID(1)
	maxPacket     = 1 << 16
)

// Config configures a Tunnel.
type Config struct {
	Listen    netip.AddrPort // UDP socket of the tunnel
	Peer      netip.AddrPort // UDP address to which outgoing packets are sent
	Addresses []netip.Addr   // IPv4 addresses of the stack

	Copies     int // how many times each TCP segment with payload is sent; 0 means once
	SYNPayload int // bytes of payload added to each SYN that opens a connection
}

// Tunnel is a TCP/IP stack with its UDP socket.
type Tunnel struct {
	Stack        *stack.Stack
	linkEndpoint *channel.Endpoint
	conn         *net.UDPConn
	peer         netip.AddrPort
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	frozen       atomic.Bool
	localAddrs   map[tcpip.Address]bool
	stray        atomic.Uint64
	copies       int
	synPayload   int // bytes of payload added to a SYN
}

// Open opens the socket and starts the stack.
func Open(conf Config) (*Tunnel, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(conf.Listen))
	if err != nil {
		return nil, oops.Wrapf(err, "tunnel: listen on %s", conf.Listen)
	}
	conn.SetReadBuffer(socketBuffer)
	tn := &Tunnel{
		conn: conn, peer: conf.Peer, linkEndpoint: channel.New(queueLength, mtu, ""),
		copies: max(conf.Copies, 1), synPayload: conf.SYNPayload,
	}
	tn.localAddrs = make(map[tcpip.Address]bool)
	tn.Stack = stack.New(stack.Options{
		NetworkProtocols: []stack.NetworkProtocolFactory{ipv4.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{
			tcp.NewProtocol, udp.NewProtocol, icmp.NewProtocol4,
		},
	})
	if err := tn.configure(conf.Addresses); err != nil {
		tn.Stack.Close()
		conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	tn.cancel = cancel
	tn.wg.Add(2)
	go tn.receive()
	go tn.send(ctx)
	return tn, nil
}

func (tn *Tunnel) configure(addrs []netip.Addr) error {
	if err := tn.Stack.CreateNIC(nicID, tn.linkEndpoint); err != nil {
		return oops.Errorf("tunnel: create interface: %s", err)
	}
	for _, ad := range addrs {
		tn.localAddrs[tcpip.AddrFrom4(ad.As4())] = true
		paddr := tcpip.ProtocolAddress{
			Protocol:          ipv4.ProtocolNumber,
			AddressWithPrefix: tcpip.AddrFrom4(ad.As4()).WithPrefix(),
		}
		if err := tn.Stack.AddProtocolAddress(nicID, paddr, stack.AddressProperties{}); err != nil {
			return oops.Errorf("tunnel: add address %s: %s", ad, err)
		}
	}
	tn.Stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	rcv := tcpip.TCPReceiveBufferSizeRangeOption{Min: 4 << 10, Default: receiveBuffer, Max: 1 << 20}
	snd := tcpip.TCPSendBufferSizeRangeOption{Min: 4 << 10, Default: sendBuffer, Max: 1 << 20}
	sack := tcpip.TCPSACKEnabled(true)
	// RACK is disabled: with it, a connection that has lost a tail loss probe or its
	// acknowledgement can be left without a running timer. It would then send
	// nothing until the other end does.
	recovery := tcpip.TCPRecovery(0)
	for _, opt := range []tcpip.SettableTransportProtocolOption{&wait, &rcv, &snd, &sack, &recovery} {
		if err := tn.Stack.SetTransportProtocolOption(tcp.ProtocolNumber, opt); err != nil {
			return oops.Errorf("tunnel: set TCP option: %s", err)
		}
	}
	return nil
}

// Close stops the stack without sending FINs or resets, as in a crash.
func (tn *Tunnel) Close() {
	tn.Freeze(true)
	tn.cancel()
	tn.conn.Close()
	tn.wg.Wait()
	tn.Stack.Close()
	tn.linkEndpoint.Close()
}

// Freeze sets whether all packets are dropped, in both directions.
func (tn *Tunnel) Freeze(on bool) {
	tn.frozen.Store(on)
}

// Stray returns the number of received packets that were not valid IPv4 packets to
// an address of the stack.
func (tn *Tunnel) Stray() uint64 {
	return tn.stray.Load()
}

// LocalAddr returns the address of the UDP socket.
func (tn *Tunnel) LocalAddr() netip.AddrPort {
	return tn.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (tn *Tunnel) receive() {
	defer tn.wg.Done()
	buf := make([]byte, maxPacket)
	for {
		n, _, err := tn.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 || tn.frozen.Load() {
			continue
		}
		if ip := header.IPv4(buf[:n]); !ip.IsValid(n) || !tn.localAddrs[ip.DestinationAddress()] {
			tn.stray.Add(1)
			continue
		}
		pkt := stack.NewPacketBuffer(stack.PacketBufferOptions{
			Payload: buffer.MakeWithData(append([]byte(nil), buf[:n]...)),
		})
		tn.linkEndpoint.InjectInbound(ipv4.ProtocolNumber, pkt)
		pkt.DecRef()
	}
}

func (tn *Tunnel) send(ctx context.Context) {
	defer tn.wg.Done()
	for {
		pkt := tn.linkEndpoint.ReadContext(ctx)
		if pkt == nil {
			return
		}
		vw := pkt.ToView()
		if !tn.frozen.Load() {
			out, times := tn.rewriteOutgoing(vw.AsSlice())
			for range times {
				tn.conn.WriteToUDPAddrPort(out, tn.peer)
			}
		}
		vw.Release()
		pkt.DecRef()
	}
}

// FullAddress converts an address to the type that the stack uses.
func FullAddress(ap netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(ap.Addr().As4()), Port: ap.Port()}
}

// AddrPort converts an address and port from the types that the stack uses.
func AddrPort(addr tcpip.Address, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(addr.As4()), port)
}
