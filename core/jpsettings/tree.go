// Package jpsettings reads, checks and resolves the settings tree that
// operators keep in the store.
package jpsettings

import (
	"net/netip"
	"time"
)

// Protocol is the transport protocol of a service.
type Protocol uint8

// Protocols, with their IP protocol numbers.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Kind tells what one flow of a service is.
type Kind uint8

// Kinds of flows.
const (
	Stream  Kind = iota // a standing connection
	Request             // one request and its answer
)

// Service is one service address and its backend servers.
type Service struct {
	Name       string
	Address    netip.AddrPort
	Protocol   Protocol
	Kind       Kind
	Repeatable bool     // a request of the service is idempotent
	Servers    []Server // sorted by name, servers of data centres that are out included
}

// Server is one backend server with its resolved limits.
type Server struct {
	Name       string // unique in its service
	DataCentre string
	Region     string
	Address    netip.AddrPort // foo-over-UDP endpoint
	LoadURL    string
	Draining   bool
	Out        bool // its data centre is taken out
	Limits     Limits
}

// Limits are the inherited values of one backend server.
type Limits struct {
	Slots           int // requests at once
	Connections     int // open flows at once
	ColdSlots       int
	ColdConnections int
	ColdDuration    time.Duration // from cold to the full limits
	IdleProbe       time.Duration // silence after which a flow is probed
	RetryPercent    int           // retries for each 100 new flows
}

// DataCentre is one data centre and its state.
type DataCentre struct {
	Name   string
	Region string
	Out    bool
}

// Tree is a checked and resolved settings tree. It is never changed after Parse.
type Tree struct {
	Version     uint64         // set by the caller of Parse from the store
	Former      []FormerServer // likewise; nil if it is not known which servers had an address before
	Services    []Service
	DataCentres []DataCentre
}

// FormerServer is a backend server that served a service address under earlier
// settings and does not any more. It may still hold flows of that address.
type FormerServer struct {
	Service        string         // that the server belongs to, or did when it left the settings
	Server         string         // name in that service
	DataCentre     string         // of the server
	ServerAddress  netip.AddrPort // foo-over-UDP endpoint of the server
	IdleProbe      time.Duration
	ServiceAddress netip.AddrPort // of the service when the server served it
	Protocol       Protocol
	ServerCount    int       // servers that the service then had, for the order of a flow's candidates
	Until          time.Time // when the entry may be dropped
}
