package jpsocket

import (
	"net"
	"net/netip"
	"sync/atomic"

	"jacinthpass/core/jppacket"
)

// SendServer sends an IPv4 packet in UDP to a backend server's endpoint, from
// the traffic socket. The error is ErrTooLarge or from the kernel.
func (so *Sockets) SendServer(to netip.AddrPort, inner []byte) error {
	return so.send(so.traffic, inner, to, &so.counters.serverSent)
}

// SendFabric sends an IPv4 packet in UDP to the fabric, from the traffic
// socket. The error is ErrTooLarge or from the kernel.
func (so *Sockets) SendFabric(inner []byte) error {
	return so.send(so.traffic, inner, so.fabric, &so.counters.fabricSent)
}

// SendInstance sends an IPv4 packet in Geneve to another instance's relay
// address, from the relay socket. The error is ErrTooLarge or from the kernel.
func (so *Sockets) SendInstance(to netip.AddrPort, rl jppacket.Relay, inner []byte) error {
	if len(inner) > MaxDatagramSize-jppacket.RelayOverhead {
		so.counters.sendErrors.Add(1)
		return ErrTooLarge
	}
	buf := so.buffers.Get().(*[MaxDatagramSize]byte)
	defer so.buffers.Put(buf)
	datagram := jppacket.AppendRelay(buf[:0], rl, inner)
	return so.send(so.relay, datagram, to, &so.counters.instanceSent)
}

func (so *Sockets) send(conn *net.UDPConn, datagram []byte, to netip.AddrPort, sent *atomic.Uint64) error {
	if len(datagram) > MaxDatagramSize {
		so.counters.sendErrors.Add(1)
		return ErrTooLarge
	}
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		so.counters.sendErrors.Add(1)
		return err
	}
	sent.Add(1)
	return nil
}
