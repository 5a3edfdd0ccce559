// Package jpentry runs an entry instance on a platform whose packets carry
// tags: it takes packets of callers, decides on them with core/jpdispatch, and
// sends them to backend servers, which answer callers directly. What the
// platform calls things is known to an adapter alone, which this package gets as
// a Platform.
package jpentry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
)

// Settings are what the platform tells a process.
type Settings struct {
	ID          string // address of the machine, at which peers reach the port of Peer
	DataCentre  string
	Traffic     netip.AddrPort // UDP, packets of callers
	CallerPort  uint16         // UDP, where callers receive
	Ready       netip.AddrPort // TCP, readiness checks
	Peer        netip.AddrPort // TCP, other instances
	Seeds       []netip.AddrPort
	Store       netip.AddrPort
	StopTimeout time.Duration // from the signal to the forced end
	MinLeaseTTL time.Duration // shortest lease of the store
}

// Errors of a Store.
var (
	ErrHistoryGone  = errors.New("store: the history after this revision is gone")
	ErrLeaseExpired = errors.New("store: the lease has ended")
)

// Store is the platform's store. A call that fails may have taken effect.
type Store interface {
	// ReadPage returns the records after a key, as many as the store gives.
	// An empty key begins with the first.
	ReadPage(ctx context.Context, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any,
	// or an update without records after the wait. The error is
	// ErrHistoryGone if only a complete read can tell.
	Watch(ctx context.Context, after uint64, wait time.Duration) (jpdirectory.Update, error)
	// GrantLease starts a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease; the error is ErrLeaseEnded if it has ended.
	RenewLease(ctx context.Context, lease uint64) error
	// Register writes the entry of an instance, which ends with the lease.
	Register(ctx context.Context, in jpdirectory.Instance, lease uint64) error
	// CallCount returns how many calls were made.
	CallCount() uint64
	// Close closes idle connections.
	Close()
}

// Page is a part of the store's contents.
type Page struct {
	Records  []jpdirectory.Record
	Revision uint64 // of the store; records may be newer
	Next     string // key after which the next page begins; empty after the last
}

// Codec translates packets.
type Codec interface {
	// Headroom is the space in bytes that ToServer needs before a packet.
	Headroom() int
	// Parse reads a packet. It returns false if it is malformed.
	Parse(packet []byte) (jpdispatch.Packet, bool)
	// ToServer turns a packet, with Room bytes before it, into the datagram
	// for a server.
	ToServer(buffer []byte, server jpdispatch.Endpoint)
	// Reset returns a reset for a caller.
	Reset(rs jpdispatch.ResetPacket) []byte
}

// Platform is what an adapter provides.
type Platform struct {
	LoadSettings    func() (Settings, error) // reads the settings again
	OpenStore       func(netip.AddrPort) Store
	Codec           Codec
	ReadinessPath   string // of readiness checks
	MaxDatagramSize int    // bytes
}
