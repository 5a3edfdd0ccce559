// Package jpentry runs an entry instance on a platform whose packets carry tags.
// It receives packets of callers, selects a backend server for each with
// core/jpdispatch, and forwards them; servers respond to callers directly.
// Everything specific to the platform, such as names and formats, is in an
// adapter, which provides a Platform.
package jpentry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
)

// Settings are the settings that the platform provides to a process.
type Settings struct {
	ID          string // IP address of the machine, at which peers reach the port of Peer
	DataCentre  string
	Traffic     netip.AddrPort // UDP, packets of callers
	CallerPort  uint16         // UDP, on which callers receive
	Readiness   netip.AddrPort // TCP, readiness checks
	Peer        netip.AddrPort // TCP, other instances
	Seeds       []netip.AddrPort
	Store       netip.AddrPort
	StopTimeout time.Duration // from the termination signal to the forced kill
	MinLeaseTTL time.Duration // shortest lease that the store grants
	FirstStart  bool          // the whole system starts for the first time, so that no flows are open
	ChangeLimit time.Duration // from a change's acknowledgement by the store until it has to be in force, 0 if not stated
}

// Errors of a Store.
var (
	ErrHistoryGone  = errors.New("store: the changes after this revision are not available")
	ErrLeaseExpired = errors.New("store: the lease has expired")
)

// Store is a client of the platform's store. A call that returns an error may
// still have taken effect.
type Store interface {
	// ReadPage returns the records of a scope after a key, as many as the store puts
	// into one page. An empty key starts with the first record.
	ReadPage(ctx context.Context, scope Scope, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or an
	// update without records after the wait. The error is ErrHistoryGone if the
	// store no longer has these changes, or has been restored since, so that a full
	// read is needed.
	Watch(ctx context.Context, after jpdirectory.Revision, wait time.Duration) (jpdirectory.Update, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease renews a lease. The error is ErrLeaseExpired if it has expired, or if
	// the store was restored since it was granted.
	RenewLease(ctx context.Context, lease Lease) error
	// Register writes the entry of an instance, which the store removes when the
	// lease expires. The error is ErrLeaseExpired as for RenewLease; the entry may have
	// been written nevertheless.
	Register(ctx context.Context, in jpdirectory.Instance, lease Lease) error
	// CallCount returns the number of calls made.
	CallCount() uint64
	// Close closes idle connections.
	Close()
}

// Lease identifies a lease. A store that is restored from a copy gives out ids again.
type Lease struct {
	ID  uint64 // 0 if there is none
	Era uint64 // era of the store that granted it
}

// Scope selects records of the store by their kind.
type Scope uint8

// Scopes.
const (
	AllRecords Scope = iota
	ServerRecords
	OperatorRecords // the manifest and the data centres that are out
	InstanceRecords
)

// Page is a page of the store's records.
type Page struct {
	Records  []jpdirectory.Record
	Revision jpdirectory.Revision // of the store; records may be newer
	Next     string               // key after which the next page begins; empty after the last
}

// Codec parses and builds packets in the platform's format.
type Codec interface {
	// Headroom returns the space in bytes that ToServer needs before a packet.
	Headroom() int
	// Parse parses a packet. It returns false if the packet is malformed.
	Parse(packet []byte) (jpdispatch.Packet, bool)
	// ToServer converts a packet, preceded by Headroom bytes, into the datagram
	// for a server, in place.
	ToServer(buffer []byte, server jpdispatch.Endpoint)
	// Reset returns a reset packet for a caller.
	Reset(rs jpdispatch.ResetPacket) []byte
}

// Platform is the set of functions and values that a platform's adapter provides.
type Platform struct {
	LoadSettings    func() (Settings, error) // reads the settings; called at the start and at each reload
	OpenStore       func(netip.AddrPort) Store
	Codec           Codec
	ReadinessPath   string // URL path of readiness checks
	MaxDatagramSize int    // bytes
}
