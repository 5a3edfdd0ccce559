// Package jpdispatch decides where the packets of tagged flows go. Each packet
// carries a tag that both ends return and that names the flow's server, so that
// every instance can forward any packet of an open flow by itself. Only packets
// of callers pass; servers answer callers directly.
//
// The package is pure: time, packets, records of the directory and loads of
// peers are inputs, and outcomes are returned as values.
package jpdispatch

import (
	"net/netip"
	"time"
)

// Flags of a packet.
type Flags uint8

// Flags that the decisions depend on.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Packet is the header of one packet of a caller.
type Packet struct {
	Caller   netip.AddrPort
	Route    netip.AddrPort // address that the caller sends to
	Flags    Flags
	Tag      uint32 // last tag that the caller received on the flow, 0 if none
	Sequence uint32
	Ack      uint32 // of a SYN: number of earlier copies
	Length   int    // of the data, in bytes
	Request  string // id of the request that starts in the data, empty if none
}

// Outcome is what to do with a packet.
type Outcome uint8

// Outcomes.
const (
	Drop    Outcome = iota
	Forward         // to Decision.Server, with its tag
	Refuse          // reset the caller's flow; nothing of it has run
	Reset           // reset an open flow whose server is gone
)

// Reason says why a packet got its outcome.
type Reason uint8

// Reasons.
const (
	Placed       Reason = iota // a new flow got a server
	Moved                      // a copy of a SYN got another server
	Known                      // packet of a flow that this instance has seen
	Tagged                     // packet of a flow that only its tag tells
	NotReady                   // no directory yet
	NoRoute                    // no route has the address
	NoServer                   // no server of the service can take the flow
	UnknownTag                 // the tag names no server
	ServerGone                 // the flow's server has left the directory
	ServerSilent               // the flow's server answers nobody
	RouteRemoved               // the manifest dropped the route of the flow
	StrayReset                 // a reset of an unknown flow
	Late                       // packet of a flow that was reset here
	reasonCount
)

// Reasons is the number of reasons.
const Reasons = int(reasonCount)

var reasonNames = [Reasons]string{
	Placed: "placed", Moved: "moved", Known: "known", Tagged: "tagged", NotReady: "not_ready",
	NoRoute: "no_route", NoServer: "no_server", UnknownTag: "unknown_tag", ServerGone: "server_gone",
	ServerSilent: "server_silent", RouteRemoved: "route_removed", StrayReset: "stray_reset", Late: "late",
}

// String returns the name in logs and metrics, in snake case.
func (rs Reason) String() string { return reasonNames[rs] }

// Decision is the outcome for one packet and what led to it.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	Server  Endpoint // of Forward
	Reset   ResetPacket
	Check   Endpoint // server to check, none if its ID is empty
	Load    int      // flows of the server, of Placed and Moved
	Choices int      // servers that were considered, of Placed and Moved
}

// Endpoint is a server as packets address it.
type Endpoint struct {
	ID      string
	Tag     uint32
	Number  uint64 // names the intended server to the host at the address
	Address netip.AddrPort
}

// ResetPacket is a reset that goes to a caller in the name of a route.
type ResetPacket struct {
	Caller   netip.AddrPort
	Route    netip.AddrPort
	Sequence uint32
	Reason   Reason
	Server   string        // id, empty if the flow had none
	Idle     time.Duration // since the flow's last packet
}
