// Package jpdirectory holds an instance's copy of what the platform's store
// says: routes and services, backend servers, data centres that are out, and
// instances. The store is the only source; instances that cannot reach it learn
// the same records from their peers.
package jpdirectory

import (
	"net/netip"
	"time"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records.
const (
	ManifestRecord      Kind = 1 + iota // routes, services and limits; there is one
	ServerRecord                        // a backend server, by its id
	DataCentreOutRecord                 // a data centre that is out, by its name
	InstanceRecord                      // an instance, by its id
)

// Key names a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one record at one revision of the store. A record without its value
// was removed, or its text could not be used.
type Record struct {
	Key      Key
	Revision uint64

	Manifest      *Manifest
	Server        *Server
	Instance      *Instance
	DataCentreOut bool
}

// Removed tells whether the record has no value.
func (rc Record) Removed() bool {
	return rc.Manifest == nil && rc.Server == nil && rc.Instance == nil && !rc.DataCentreOut
}

// RouteKind tells whether the requests of a route may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	Repeatable RouteKind = iota
	Unrepeatable
	Download // repeatable, with large answers
)

// Manifest holds the routes and services of one version.
type Manifest struct {
	Version     uint64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // flows that were idle for longer may be discarded
}

// Route sends the flows of one address to services.
type Route struct {
	Name     string
	Address  netip.AddrPort // where callers send
	Kind     RouteKind
	Targets  []Target
	Timeout  time.Duration // of a request
	Priority int           // 0 is the highest
}

// Target is a service that gets a share of a route's new flows.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of equal backend servers.
type Service struct {
	Name          string
	MaxFlows      int           // of one server
	ColdTime      time.Duration // after the start of a server
	ColdPerSecond float64       // new flows that a cold server bears
}

// Server is a backend server as it describes itself.
type Server struct {
	ID         string
	Number     uint64 // the id as a number, which names the server in datagrams
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int       // requests that run at once
	Draining   bool      // takes no new flows
	WarmAt     time.Time // end of the slow start
	Started    time.Time // of its process; zero if it does not say
}

// Instance is an instance as it registers itself.
type Instance struct {
	ID         string
	DataCentre string
	Peer       netip.AddrPort
	Lease      uint64 // that its entry ends with, 0 if not known
}
