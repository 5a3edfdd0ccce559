// Package jpsocket receives and sends packets encapsulated in UDP: as IPv4 directly
// in UDP from and to the fabric and backend servers, as Geneve between instances.
package jpsocket

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"
)

const (
	// MaxDatagramSize is the size limit of a datagram in bytes. It covers packets of
	// networks with jumbo frames.
	MaxDatagramSize = 9000

	// socketBufferBytes is the buffer size requested for each direction of a
	// socket. The kernel doubles it; the buffer then holds 3,640 datagrams of
	// 1,400 bytes, or 36 ms at 100,000 a second, which covers a pause of the
	// scheduler.
	socketBufferBytes = 4 << 20
)

// ErrTooLarge is returned for packets that exceed MaxDatagramSize with their headers.
var ErrTooLarge = errors.New("packet exceeds the datagram size limit")

// Config holds the addresses of the sockets.
type Config struct {
	Traffic netip.AddrPort // listens for the fabric and backend servers
	Relay   netip.AddrPort // listens for other instances
	Fabric  netip.AddrPort // receives packets for callers
}

// Sockets are the open sockets of one instance. All methods are safe for
// concurrent use.
type Sockets struct {
	fabric   netip.AddrPort
	traffic  *net.UDPConn
	relay    *net.UDPConn
	buffers  sync.Pool // *[MaxDatagramSize]byte, for datagrams to instances
	counters counters
}

// Open opens both sockets. Port 0 selects a free port.
func Open(cfg Config) (*Sockets, error) {
	traffic, err := listen(cfg.Traffic)
	if err != nil {
		return nil, err
	}
	relay, err := listen(cfg.Relay)
	if err != nil {
		return nil, errors.Join(err, traffic.Close())
	}
	so := &Sockets{fabric: cfg.Fabric, traffic: traffic, relay: relay}
	so.buffers.New = func() any { return new([MaxDatagramSize]byte) }
	return so, nil
}

// Close closes both sockets. A running Serve returns an error.
func (so *Sockets) Close() error {
	return errors.Join(so.traffic.Close(), so.relay.Close())
}

// TrafficAddress returns the address that the traffic socket listens on.
func (so *Sockets) TrafficAddress() netip.AddrPort {
	return so.traffic.LocalAddr().(*net.UDPAddr).AddrPort()
}

// RelayAddress returns the address that the relay socket listens on.
func (so *Sockets) RelayAddress() netip.AddrPort {
	return so.relay.LocalAddr().(*net.UDPAddr).AddrPort()
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	builder := oops.In("socket").With("address", addr.String())
	if !addr.Addr().Unmap().Is4() {
		return nil, builder.Errorf("listen on %v: not an IPv4 address and port", addr)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, builder.Wrapf(err, "listen on %v", addr)
	}
	err = errors.Join(conn.SetReadBuffer(socketBufferBytes), conn.SetWriteBuffer(socketBufferBytes), enableTimestamps(conn))
	if err != nil {
		return nil, builder.Wrapf(errors.Join(err, conn.Close()), "set options of %v", addr)
	}
	return conn, nil
}
