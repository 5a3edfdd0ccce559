package jpsocket

import (
	"context"
	"net/netip"
	"testing"

	"jacinthpass/core/jpsteering"
	"jacinthpass/lab/jprelay"
)

// BenchmarkRelay compares the packets per second through Sockets with those
// through a bare relay, which is the reference for the packet rate of an instance.
func BenchmarkRelay(b *testing.B) {
	datagram := func(size int) []byte { return make([]byte, size) }
	jprelay.Compare(b, "sockets", []int{100, 1400}, datagram, func(b *testing.B, sink netip.AddrPort) netip.AddrPort {
		so := open(b, netip.AddrPort{})
		go func() {
			_ = so.Serve(context.Background(), func(pkt jpsteering.Packet) { _ = so.SendServer(sink, pkt.Inner) })
		}()
		return so.TrafficAddress()
	})
}
