// Package jprelay opens UDP sockets for tests and measures how many datagrams per
// second a relay forwards, for the benchmarks of jpsocket and of an instance.
package jprelay

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxInFlight is the number of datagrams in flight. They fit into the default
	// socket receive buffer of 208 KiB, so none is lost.
	maxInFlight = 32
	maxDatagram = 1 << 14 // bytes
	// lossTimeout is how long a benchmark waits for datagrams in flight before it
	// fails, because the relay lost some.
	lossTimeout = 2 * time.Second
)

// Listen opens a UDP socket on 127.0.0.1 that is closed at the end of the test.
func Listen(tb testing.TB) (*net.UDPConn, netip.AddrPort) {
	tb.Helper()
	return ListenAt(tb, "127.0.0.1")
}

// ListenAt opens a UDP socket on an IPv4 address that is closed at the end of the
// test.
func ListenAt(tb testing.TB, ip string) (*net.UDPConn, netip.AddrPort) {
	tb.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Compare measures a relay and, as the baseline, the bare relay of startBare, for
// each size of datagrams in bytes. datagram returns a datagram of a size; start
// starts the relay, which forwards datagrams to sink, and returns its address.
func Compare(b *testing.B, name string, sizes []int, datagram func(size int) []byte, start func(b *testing.B, sink netip.AddrPort) netip.AddrPort) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("bare/%dB", size), func(b *testing.B) { measureRate(b, datagram(size), startBare) })
		b.Run(fmt.Sprintf("%s/%dB", name, size), func(b *testing.B) { measureRate(b, datagram(size), start) })
	}
}

// FreePort returns an address with a UDP port that was free just before. Another
// process may take it before the caller does.
func FreePort(tb testing.TB, ip string) netip.AddrPort {
	tb.Helper()
	conn, at := ListenAt(tb, ip)
	_ = conn.Close()
	return at
}

// startBare starts a bare relay: a loop that reads a datagram and writes it to sink.
func startBare(b *testing.B, sink netip.AddrPort) netip.AddrPort {
	conn, relay := Listen(b)
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			size, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buf[:size], sink)
		}
	}()
	return relay
}

// measureRate sends a datagram through a relay repeatedly, waits until all have
// arrived and reports the packets forwarded per second.
func measureRate(b *testing.B, datagram []byte, start func(b *testing.B, sink netip.AddrPort) netip.AddrPort) {
	sink, sinkAddress := Listen(b)
	relay := start(b, sinkAddress)
	var arrived atomic.Int64
	go countDatagrams(sink, &arrived)
	source, _ := Listen(b)
	var sent int64
	waitInFlight := func(limit int64) {
		began := time.Now()
		for sent-arrived.Load() > limit {
			if time.Since(began) > lossTimeout {
				b.Fatalf("%d of %d datagrams lost", sent-arrived.Load(), sent)
			}
			runtime.Gosched()
		}
	}
	b.ResetTimer()
	for b.Loop() {
		waitInFlight(maxInFlight - 1)
		if _, err := source.WriteToUDPAddrPort(datagram, relay); err != nil {
			b.Fatal(err)
		}
		sent++
	}
	waitInFlight(0)
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "packets/s")
}

// countDatagrams counts the datagrams received until the socket is closed.
func countDatagrams(sink *net.UDPConn, arrived *atomic.Int64) {
	buf := make([]byte, maxDatagram)
	for {
		if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
			return
		}
		arrived.Add(1)
	}
}
