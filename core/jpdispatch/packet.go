// Package jpdispatch decides where the packets of tagged flows go. Each packet
// carries a tag that both ends echo and that names the flow's server, so that
// every instance can forward any packet of an open flow without shared state.
// Only packets from callers pass through an instance; servers answer callers
// directly (direct server return).
//
// The package does no I/O and reads no clock: times, packets, records of the
// directory and loads of peers are inputs, and decisions are returned as values.
package jpdispatch

import (
	"net/netip"
	"time"
)

// Flags of a packet.
type Flags uint8

// TCP flags that the decisions depend on.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Packet holds the header fields of one packet of a caller.
type Packet struct {
	Caller   netip.AddrPort
	Route    netip.AddrPort // address that the caller sends to
	Flags    Flags
	Tag      uint32 // last tag that the caller received on the flow, 0 if none
	Sequence uint32
	Ack      uint32 // of a SYN: number of earlier transmissions
	Length   int    // of the data, in bytes
	Request  string // id of the request that starts in the data, empty if none

	// ArrivedAfter is the latest time at which the instance had no packet left to
	// read, so that this one arrived later. Zero if it has certainly not waited.
	ArrivedAfter time.Time

	released bool // a SYN that has waited and is to be placed now
}

// Outcome is the action to take on a packet.
type Outcome uint8

// Outcomes.
const (
	Drop    Outcome = iota
	Forward         // to Decision.Server, with its tag
	Refuse          // reset a flow that no server has received anything of
	Reset           // reset an open flow that can't go on
	Hold            // handle it again once the directory has a manifest
	Wait            // keep the SYN until Dispatcher.Release returns its key
)

// Reason says why a packet got its outcome.
type Reason uint8

// Reasons.
const (
	Placed       Reason = iota // a new flow got a server
	Moved                      // a retransmitted SYN was sent to another server
	Known                      // packet of a flow in this instance's flow table
	Tagged                     // packet of another flow; its tag names the server
	NotReady                   // the directory has no manifest yet
	NoRoute                    // no route has the address
	NoServer                   // no server of the service may take the flow
	Unreachable                // checks say that no server that may take the flow can be reached
	UnknownTag                 // the tag names no server
	ServerGone                 // the flow's server has left the directory
	ServerSilent               // a check of the flow's server failed
	RouteRemoved               // the manifest no longer has the flow's route
	StrayReset                 // a reset of an unknown flow
	Late                       // packet of a flow that this instance has reset
	Stale                      // a SYN that may have waited while this instance was paused
	Waiting                    // a new flow waits because its service is full
	Overloaded                 // a new flow was refused because its service is full
	reasonCount
)

// Reasons is the number of values of Reason.
const Reasons = int(reasonCount)

var reasonNames = [Reasons]string{
	Placed: "placed", Moved: "moved", Known: "known", Tagged: "tagged", NotReady: "not_ready",
	NoRoute: "no_route", NoServer: "no_server", Unreachable: "unreachable", UnknownTag: "unknown_tag", ServerGone: "server_gone",
	ServerSilent: "server_silent", RouteRemoved: "route_removed", StrayReset: "stray_reset", Late: "late", Stale: "stale",
	Waiting: "waiting", Overloaded: "overloaded",
}

// String returns the name of the reason in logs and metrics, in snake case.
func (rs Reason) String() string { return reasonNames[rs] }

// Decision is the outcome for one packet, with the details that are logged.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	Server  Endpoint // destination, of Forward
	Reset   ResetPacket
	Check   Check // of a server that may be lost, none if its Server.ID is empty
	Load    int   // load of the server in flows, of Placed and Moved
	Choices int   // number of candidate servers, of Placed and Moved

	// Of a new flow that has to wait, has waited or is refused for its service is full.
	Priority int           // of its route
	Waited   time.Duration // so far

	// SpilledFrom is the service that a new flow would have got by the weights of its
	// route if it goes to another one, and empty otherwise.
	SpilledFrom string

	// TagDiffers reports that an open flow's packet is forwarded to a server other
	// than the one that its tag names.
	TagDiffers bool
}

// Endpoint holds the identity and address of a server that packets carry.
type Endpoint struct {
	ID      string
	Tag     uint32
	Number  uint64 // tells the host at the address which server is meant
	Address netip.AddrPort
}

// ResetPacket describes a TCP reset that is sent to a caller from the address of
// a route.
type ResetPacket struct {
	Caller   netip.AddrPort
	Route    netip.AddrPort
	Sequence uint32
	Reason   Reason
	Server   string        // id, empty if the flow had none
	Idle     time.Duration // time since the flow's last packet
	Evidence Evidence
}

// Evidence holds what an instance knew of an open flow and its server when it reset
// the flow. A time is zero if the event has not been observed.
type Evidence struct {
	FlowSeenAt    time.Time // first packet of the flow at this instance
	ServerAliveAt time.Time // latest sign of life of the server
	CheckFailedAt time.Time // latest failed check of the server
	ServerLeftAt  time.Time // the server left the directory
	StoreUpSince  time.Time // start of the store's current availability
}
