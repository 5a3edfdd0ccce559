package jppeer

import (
	"net"
	"sync/atomic"
)

// MessageTraffic counts the messages of one type and their bytes, including the
// headers of the WebSocket frames.
type MessageTraffic struct {
	Messages uint64
	Bytes    uint64
}

// Stats holds totals since the node was created, and the current numbers of
// connections.
type Stats struct {
	Written map[string]MessageTraffic // by name of the message type
	Read    map[string]MessageTraffic

	// Bytes on the connections: messages, handshakes, pings and TLS.
	ConnectionBytesWritten uint64
	ConnectionBytesRead    uint64

	MalformedFrames     uint64 // frames that were malformed, oversized or from a forged sender; each closed its connection
	SupersededMessages  uint64 // queued messages dropped for a later one of their type
	RefusedMessages     uint64 // messages for which Send returned an error
	RefusedConnections  uint64 // connections without a valid certificate or for another instance
	OutgoingConnections int    // open at present
	IncomingConnections int    // open at present
}

type trafficCounter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

func (tc *trafficCounter) add(bytes int) {
	tc.messages.Add(1)
	tc.bytes.Add(uint64(bytes))
}

type counters struct {
	written                [typeCount]trafficCounter
	read                   [typeCount]trafficCounter
	connectionBytesWritten atomic.Uint64
	connectionBytesRead    atomic.Uint64
	malformedFrames        atomic.Uint64
	supersededMessages     atomic.Uint64
	refusedMessages        atomic.Uint64
	outgoingConnections    atomic.Int64
	incomingConnections    atomic.Int64
}

func (ct *counters) stats() Stats {
	return Stats{
		Written:                trafficByName(&ct.written),
		Read:                   trafficByName(&ct.read),
		ConnectionBytesWritten: ct.connectionBytesWritten.Load(),
		ConnectionBytesRead:    ct.connectionBytesRead.Load(),
		MalformedFrames:        ct.malformedFrames.Load(),
		SupersededMessages:     ct.supersededMessages.Load(),
		RefusedMessages:        ct.refusedMessages.Load(),
		OutgoingConnections:    int(ct.outgoingConnections.Load()),
		IncomingConnections:    int(ct.incomingConnections.Load()),
	}
}

func trafficByName(counts *[typeCount]trafficCounter) map[string]MessageTraffic {
	named := make(map[string]MessageTraffic, typeCount-1)
	for kind := typeHeartbeat; kind < typeCount; kind++ {
		tc := &counts[kind]
		named[typeNames[kind]] = MessageTraffic{Messages: tc.messages.Load(), Bytes: tc.bytes.Load()}
	}
	return named
}

// frameBytes returns the size of a WebSocket frame on the connection. Messages are
// sent by the dialling side only, whose frames are masked (RFC 6455, section 5.2).
func frameBytes(payload int) int {
	const header, mask = 2, 4
	size := header + mask + payload
	switch {
	case payload > 65535:
		return size + 8
	case payload > 125:
		return size + 2
	}
	return size
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	counts *counters
}

func (cc countingConn) Read(buf []byte) (int, error) {
	size, err := cc.Conn.Read(buf)
	cc.counts.connectionBytesRead.Add(uint64(size))
	return size, err
}

func (cc countingConn) Write(buf []byte) (int, error) {
	size, err := cc.Conn.Write(buf)
	cc.counts.connectionBytesWritten.Add(uint64(size))
	return size, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	counts *counters
}

func (cl countingListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, counts: cl.counts}, nil
}
