package jpsocket

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsteering"
)

// readErrorDelay is the delay after a failed read. It bounds the CPU load if every
// read fails.
const readErrorDelay = 10 * time.Millisecond

// Serve passes each received packet to handle until ctx ends, and then returns
// nil. It returns an error if a socket is closed before. Each socket is read by its
// own goroutine, so that two calls of handle may run at once. The packet is valid
// only during the call. Serve must not be called while it runs.
func (so *Sockets) Serve(ctx context.Context, handle func(jpsteering.Packet)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = so.setReadDeadline(time.Time{}) // errors are ignored: reads of a closed socket fail too

	var group sync.WaitGroup
	var errs [2]error
	group.Go(func() {
		<-ctx.Done()
		_ = so.setReadDeadline(time.Unix(1, 0)) // wakes both readers
	})
	group.Go(func() {
		defer cancel()
		errs[0] = so.read(ctx, so.traffic, so.trafficHandler(handle))
	})
	group.Go(func() {
		defer cancel()
		errs[1] = so.read(ctx, so.relay, so.relayHandler(handle))
	})
	group.Wait()
	return errors.Join(errs[:]...)
}

func (so *Sockets) setReadDeadline(at time.Time) error {
	return errors.Join(so.traffic.SetReadDeadline(at), so.relay.SetReadDeadline(at))
}

func (so *Sockets) trafficHandler(handle func(jpsteering.Packet)) func([]byte, netip.Addr, time.Time) {
	return func(datagram []byte, from netip.Addr, at time.Time) {
		countReceived(&so.counters.trafficReceived, &so.counters.trafficReceivedBytes, datagram)
		handle(jpsteering.Packet{Inner: datagram, Outer: from, Arrived: at})
	}
}

func (so *Sockets) relayHandler(handle func(jpsteering.Packet)) func([]byte, netip.Addr, time.Time) {
	return func(datagram []byte, from netip.Addr, at time.Time) {
		countReceived(&so.counters.relayReceived, &so.counters.relayReceivedBytes, datagram)
		rl, inner, err := jppacket.ParseRelay(datagram)
		if err != nil {
			so.counters.relayMalformed.Add(1)
			return
		}
		handle(jpsteering.Packet{Inner: inner, Outer: from, Relay: rl, Arrived: at})
	}
}

func countReceived(datagrams, bytes *atomic.Uint64, datagram []byte) {
	datagrams.Add(1)
	bytes.Add(uint64(len(datagram)))
}

// read passes datagrams to handle until ctx ends or the socket is closed.
func (so *Sockets) read(ctx context.Context, conn *net.UDPConn, handle func([]byte, netip.Addr, time.Time)) error {
	buf := make([]byte, MaxDatagramSize+1) // one more byte, to detect larger datagrams
	oob := make([]byte, timestampSize)
	for ctx.Err() == nil {
		size, control, _, from, err := conn.ReadMsgUDPAddrPort(buf, oob)
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case errors.Is(err, os.ErrDeadlineExceeded): // ctx has ended
		case err != nil:
			so.counters.readErrors.Add(1)
			time.Sleep(readErrorDelay)
		case size > MaxDatagramSize:
			so.counters.oversize.Add(1)
		default:
			handle(buf[:size], from.Addr().Unmap(), arrivalTime(oob[:control]))
		}
	}
	return nil
}
