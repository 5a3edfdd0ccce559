// Package jpoperator implements the operators' HTTP API of an instance: the server,
// which calls a Backend, and the client that the commands use.
package jpoperator

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
)

// Backend is the interface through which the server reads and changes an instance. Its
// methods are called concurrently. The context ends after CallTimeout or when the
// client closes the connection.
//
// Methods that change the settings return the version of the settings that
// contains the change. Their errors are InvalidError, ConflictError,
// StoreError and UnknownNameError, wrapped or not; other errors are reported
// as internal errors of the instance. If the context ends before the store has
// responded, the outcome of a change is unknown and the error is a StoreError with
// OutcomeUnknown.
type Backend interface {
	// Apply replaces the settings. Errors: InvalidError, ConflictError, StoreError.
	Apply(ctx context.Context, chg Change) (version uint64, err error)
	// Settings returns the settings in force on this instance, the zero value
	// if it has none yet.
	Settings(ctx context.Context) (Settings, error)
	// Explain returns each resolved value, or with a server name only the
	// values of the backend servers of this name, in all services. Errors:
	// UnknownNameError.
	Explain(ctx context.Context, server string) ([]Value, error)
	// SetDataCentre takes a data centre out of service or back in. It succeeds if the
	// data centre is in that state already. Errors: UnknownNameError, ConflictError, StoreError.
	SetDataCentre(ctx context.Context, name string, out bool, author string) (version uint64, err error)
	// SetServer drains a backend server or makes it active. It succeeds if the server
	// is in that state already. Errors: UnknownNameError, ConflictError, StoreError.
	SetServer(ctx context.Context, service, server string, draining bool, author string) (version uint64, err error)
	// Status returns the state of this instance.
	Status(ctx context.Context) (Status, error)
	// Timeline returns the events at or after since from all instances, sorted by
	// time. A zero since selects all events that the instances hold.
	Timeline(ctx context.Context, since time.Time) (Timeline, error)
	// Stop starts a planned stop of this instance and returns at once. The stop
	// continues after ctx has ended. Further calls have no effect.
	Stop(ctx context.Context) error
	// Metrics returns the handler for GET /metrics.
	Metrics() http.Handler
}

// Change is a request to replace the settings.
type Change struct {
	Text   []byte // INI text, UTF-8
	File   string // file name in reported problems, "settings" by default
	Base   uint64 // version that the change is based on, 0 for any
	Author string // may be empty
}

// Settings is the text of the settings in force with its version.
type Settings struct {
	Version uint64 // 0 if the instance has no settings yet
	Author  string // of the last change
	Text    []byte
}

// Value is one resolved value of the settings and the level that sets it.
type Value struct {
	Section string // of the server, service or data centre that the value is for
	Key     string
	Value   string
	Level   string // section that sets the value, or "built in"
	Line    int    // line in the settings, 0 if built in
}

// WarmupState is the stage of a backend server's slow start.
type WarmupState string

// Stages of the slow start.
const (
	Cold      WarmupState = "cold"
	SlowStart WarmupState = "slow_start" // the allowance is rising
	Warm      WarmupState = "warm"
)

// OwnedServer is a backend server that the instance owns.
type OwnedServer struct {
	Service         string
	Server          string // name
	DataCentre      string
	Address         netip.AddrPort
	Flows           int // open
	Requests        int // running
	State           WarmupState
	Draining        bool
	Responding      bool // false while it does not answer SYNs
	ConnectionLimit int  // flows allowed now
	RequestLimit    int  // requests allowed now
	Connections     int  // flows allowed when warm
	Slots           int  // requests allowed when warm
}

// Status is the state of one instance.
type Status struct {
	ID              string
	DataCentre      string
	SettingsVersion uint64 // 0 if there are no settings yet
	Leaving         bool   // a planned stop is in progress
	Members         []jpmember.Member
	Owned           []OwnedServer
	FlowEntries     int
	FlowCapacity    int               // entries that the flow table can hold
	Drops           map[string]uint64 // dropped packets since the start, by reason in snake case
}

// Timeline is the merged timeline of all instances.
type Timeline struct {
	Events  []jpevent.Event
	Missing []string // ids of instances whose events are missing
	Omitted int      // number of earlier events that the response omits; set by this package
}
