package jpmember

import (
	"net/netip"
	"time"
)

// State is the state of an instance as its peers see it.
type State uint8

// States of an instance.
const (
	Unknown State = iota // listed, but no heartbeat or gossip received
	Alive
	Leaving // has announced a planned stop; owns no servers
	Dead
)

// Addresses are the endpoints of one instance.
type Addresses struct {
	Traffic  netip.AddrPort // UDP, IPv4 in UDP, from the fabric and backend servers
	Relay    netip.AddrPort // UDP, Geneve, from other instances
	Peer     netip.AddrPort // TCP, WebSocket, from other instances
	Operator netip.AddrPort // TCP, HTTP, from operators
}

// Member is one instance as its peers know it.
type Member struct {
	ID          string
	DataCentre  string
	Addresses   Addresses
	Incarnation uint64
	State       State
	Listed      bool // the platform's instance list names it
}

// View is the state of all instances as one instance sees it at one moment. A
// View is not modified after it was returned.
type View struct {
	Self    string
	Members []Member // sorted by ID
}

// Confirmation is a lease granted by a peer: until its end, the peer does not
// consider this instance dead and does not take over its servers.
type Confirmation struct {
	Peer  string
	Until time.Time
}

// Alive returns the members that may own servers.
func (vw View) Alive() []Member {
	var alive []Member
	for _, mb := range vw.Members {
		if mb.State == Alive {
			alive = append(alive, mb)
		}
	}
	return alive
}
