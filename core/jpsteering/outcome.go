// Package jpsteering decides what happens to each packet.
//
// A Steerer is a pure state machine: the time, packets, messages, settings and
// views of the membership go in, outcomes come out as values. It reads no
// clock, opens no socket, starts no goroutine and draws no random numbers, so
// that a program outside this repository can drive it. It is not safe for
// concurrent use.
package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jppacket"
)

// Packet is one packet that an instance received.
type Packet struct {
	Inner []byte         // IPv4 packet; only valid during the call
	Outer netip.Addr     // source address of the datagram that carried it
	Relay jppacket.Relay // zero if the packet came from the fabric

	// Arrived is when the packet reached the instance, zero if that is unknown.
	Arrived time.Time
}

// OutcomeKind says what the instance has to do.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	Drop           OutcomeKind = iota // count Reason
	ToServer                          // send Packet to Server as IPv4 in UDP
	ToCaller                          // send Packet to the fabric as IPv4 in UDP
	ToInstance                        // send Packet to Instance in Geneve with Relay
	NotifyInstance                    // send Message to Instance over the peer connection
	Record                            // add Reason with Service and Server to the time line
)

// Outcome is one thing to do. Packet may alias Packet.Inner of the call that
// returned it or a buffer of the Steerer, and is valid until the next call.
type Outcome struct {
	Kind     OutcomeKind
	Reason   Reason
	Packet   []byte
	Server   netip.AddrPort
	Instance string
	Relay    jppacket.Relay
	Message  Moved
	Service  string
}

// Moved tells the home of a flow which backend server holds it.
type Moved struct {
	Flow   jppacket.Flow
	Server netip.Addr
}

// Load is the load of one backend server as its owner counts it.
type Load struct {
	Service string
	Server  netip.Addr
	Flows   uint32
	Full    bool // no room for new flows: full, cold and used up, draining or not answering
	Cold    bool // in cold start
}

// OwnedServer is a backend server that this instance owns.
type OwnedServer struct {
	Service string
	Server  netip.AddrPort
	LoadURL string
}

// ReportState is the state that a server's load endpoint claims.
type ReportState uint8

// Claimed states.
const (
	ReportFailed ReportState = iota // endpoint did not answer
	ReportWarm
	ReportCold
	ReportDraining
)

// Report is one answer of a server's load endpoint. It may lag or mislead.
type Report struct {
	Service     string
	Server      netip.Addr
	InFlight    int
	Connections int
	State       ReportState
}
