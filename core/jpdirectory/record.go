// Package jpdirectory holds an instance's copy of the platform's store: routes and
// services, backend servers, data centres that are out of service, and instances.
// The store is the only source of records; instances that can't reach it get them
// from their peers.
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
	DataCentreOutRecord                 // a data centre that is out of service, by its name
	InstanceRecord                      // an instance, by its id
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one record at one revision of the store. A record without a value was
// removed, or its entry in the store is invalid.
type Record struct {
	Key      Key
	Revision Revision

	Manifest      *Manifest
	Server        *Server
	Instance      *Instance
	DataCentreOut bool
}

// Removed reports whether the record has no value.
func (rc Record) Removed() bool {
	return rc.Manifest == nil && rc.Server == nil && rc.Instance == nil && !rc.DataCentreOut
}

// RouteKind says whether the requests of a route may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	Repeatable RouteKind = iota
	Unrepeatable
	Download // repeatable, with large responses
)

// Manifest holds the routes and services of one version.
type Manifest struct {
	Version     uint64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // either end may discard a flow that is idle for longer
}

// Route sends the flows of one address to services.
type Route struct {
	Name          string
	Address       netip.AddrPort // that callers send to
	Kind          RouteKind
	Targets       []Target
	Timeout       time.Duration // of a request
	TargetLatency time.Duration // within which callers want the response, 0 if not stated
	Priority      int           // 0 is the highest
}

// Target is a service that gets a share of a route's new flows, by its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name          string
	MaxFlows      int           // maximum number of flows of one server
	ColdTime      time.Duration // duration of a server's slow start
	ColdPerSecond float64       // new flows per second that a cold server can take
}

// Server is a backend server as described by its own entry.
type Server struct {
	ID         string
	Number     uint64 // the id as a number, which identifies the server in datagrams
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int       // maximum number of concurrent requests
	Draining   bool      // takes no new flows
	WarmAt     time.Time // end of the slow start
	Started    time.Time // start of its process, zero if not known
}

// Instance is an instance as described by its own entry.
type Instance struct {
	ID         string
	DataCentre string
	Peer       netip.AddrPort
	Lease      uint64 // lease to which its entry is bound, 0 if not known
}
