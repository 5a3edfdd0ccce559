// Package jpsettings parses, validates, resolves and edits the settings tree that
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

// Kind is the kind of a service's flows.
type Kind uint8

// Kinds of flows.
const (
	Stream  Kind = iota // a long-lived connection
	Request             // one request and its response
)

// Service is one service address and its backend servers.
type Service struct {
	Name       string
	Address    netip.AddrPort
	Protocol   Protocol
	Kind       Kind
	Repeatable bool     // requests of the service are idempotent
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
	Slots           int           // concurrent requests
	Connections     int           // concurrent open flows
	ColdSlots       int           // Slots of a cold server
	ColdConnections int           // Connections of a cold server
	ColdDuration    time.Duration // at the cold limits, before they are raised in steps to the full ones
	IdleProbe       time.Duration // idle time after which a flow is probed
	RetryPercent    int           // retries allowed for each 100 new flows
}

// DataCentre is one data centre and its state.
type DataCentre struct {
	Name   string
	Region string
	Out    bool
}

// Tree is a validated and resolved settings tree. It is immutable once its version
// is set.
type Tree struct {
	Version     uint64         // set by the caller of Parse from the store
	Former      []FormerServer // likewise; nil if the former servers are not known
	Services    []Service
	DataCentres []DataCentre
}

// FormerServer is a backend server that served a service address under earlier
// settings and no longer does. It may still hold flows of that address.
type FormerServer struct {
	Service        string         // service that has the server, or had it when it left the settings
	Server         string         // name in that service
	DataCentre     string         // of the server
	ServerAddress  netip.AddrPort // foo-over-UDP endpoint of the server
	IdleProbe      time.Duration
	ServiceAddress netip.AddrPort // that the server formerly served
	Protocol       Protocol
	ServerCount    int       // servers of the service at that time, for the order of a flow's candidates
	Until          time.Time // when the entry expires
}
