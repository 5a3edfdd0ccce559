package jpsocket

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Counters holds totals since Open, in datagrams unless stated otherwise.
type Counters struct {
	TrafficReceived      uint64
	TrafficReceivedBytes uint64
	RelayReceived        uint64
	RelayReceivedBytes   uint64
	RelayMalformed       uint64 // without a valid relay header; not passed on
	Oversize             uint64 // received above MaxDatagramSize; not passed on
	ReadErrors           uint64
	ServerSent           uint64
	FabricSent           uint64
	InstanceSent         uint64
	SendErrors           uint64 // rejected by the kernel or above MaxDatagramSize
}

type counters struct {
	trafficReceived, trafficReceivedBytes atomic.Uint64
	relayReceived, relayReceivedBytes     atomic.Uint64
	relayMalformed, oversize, readErrors  atomic.Uint64
	serverSent, fabricSent, instanceSent  atomic.Uint64
	sendErrors                            atomic.Uint64
}

// Counters returns the current totals.
func (so *Sockets) Counters() Counters {
	ct := &so.counters
	return Counters{
		TrafficReceived:      ct.trafficReceived.Load(),
		TrafficReceivedBytes: ct.trafficReceivedBytes.Load(),
		RelayReceived:        ct.relayReceived.Load(),
		RelayReceivedBytes:   ct.relayReceivedBytes.Load(),
		RelayMalformed:       ct.relayMalformed.Load(),
		Oversize:             ct.oversize.Load(),
		ReadErrors:           ct.readErrors.Load(),
		ServerSent:           ct.serverSent.Load(),
		FabricSent:           ct.fabricSent.Load(),
		InstanceSent:         ct.instanceSent.Load(),
		SendErrors:           ct.sendErrors.Load(),
	}
}

// ReceiveBuffer returns the size in bytes of the receive buffer that the
// kernel granted to the traffic socket. It is less than 8 MB, twice the requested
// size, if net.core.rmem_max is below 4 MB.
func (so *Sockets) ReceiveBuffer() (int, error) {
	return receiveBuffer(so.traffic)
}

func receiveBuffer(conn *net.UDPConn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var size int
	var optErr error
	err = raw.Control(func(fd uintptr) {
		size, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	})
	if err != nil {
		return 0, err
	}
	return size, optErr
}
