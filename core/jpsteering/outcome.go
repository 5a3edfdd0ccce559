// Package jpsteering implements the forwarding decisions of an instance.
//
// A Steerer is a deterministic state machine. Its inputs are the time, packets,
// messages of other instances, settings and views of the membership; its outputs are
// Outcome values. It reads no clock, opens no socket, starts no goroutine and uses no
// random numbers, so that programs outside this repository can drive it. It is not
// safe for concurrent use.
//
// Each backend server is owned by one instance, which admits the server's flows and
// tracks them in its flow table. The rank table of a service orders the servers for
// each flow. The first of them is the flow's home server: an instance that has no entry
// for a flow relays its packets to the owner of the home server.
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
	Relay jppacket.Relay // zero if the packet came from the network fabric

	// Arrived is when the packet reached the instance, zero if that is unknown.
	Arrived time.Time
}

// OutcomeKind is the action that an instance takes.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	Drop           OutcomeKind = iota // count Reason
	ToServer                          // send Packet to Server as IPv4 in UDP
	ToCaller                          // send Packet to the network fabric as IPv4 in UDP
	ToInstance                        // send Packet to Instance in Geneve, with Relay as an option
	NotifyInstance                    // send Message to Instance over the peer connection
	Record                            // add an event with Reason, Service and Server to the timeline
)

// Outcome is one action that the Steerer asks for. Packet may alias Packet.Inner of
// the call that returned it or a buffer of the Steerer, and is valid until the next
// call.
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

// Moved is the message that tells the owner of a flow's home server which other
// backend server holds the flow.
type Moved struct {
	Flow   jppacket.Flow
	Server netip.Addr
}

// Load is the load of one backend server as counted by its owner.
type Load struct {
	Service string
	Server  netip.Addr
	Flows   uint32
	Full    bool // takes no new flows: at its present limits, draining, unresponsive, pausing after a refusal, or in an unknown state
	Cold    bool // in its cold start
}

// OwnedServer is a backend server that this instance owns.
type OwnedServer struct {
	Service string
	Server  netip.AddrPort
	LoadURL string
}

// ReportState is the state that a server's load endpoint reports.
type ReportState uint8

// States of a Report.
const (
	ReportFailed ReportState = iota // the endpoint gave no valid response
	ReportWarm
	ReportCold
	ReportDraining
)

// Report is one response of a server's load endpoint. It may be outdated or wrong.
type Report struct {
	Service     string
	Server      netip.Addr
	InFlight    int
	Connections int
	State       ReportState
}
