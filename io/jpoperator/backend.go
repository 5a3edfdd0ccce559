// Package jpoperator is the operators' interface of an instance: an HTTP
// server in front of a Backend, and the client that the commands use.
package jpoperator

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
)

// Backend is what an instance implements for its operators. Its methods are
// called concurrently. The context ends after CallTimeout or when the operator
// goes away.
//
// Methods that change the settings return the version of the settings that
// contains the change. Their errors are InvalidError, ConflictError,
// StoreError and UnknownNameError, wrapped or not; other errors are reported
// as faults of the instance. A context that ends before the store has answered
// leaves the outcome of a change open and is returned as StoreError with
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
	// SetDataCentre takes a data centre out or back in. Setting the state that
	// it has succeeds. Errors: UnknownNameError, ConflictError, StoreError.
	SetDataCentre(ctx context.Context, name string, out bool, author string) (version uint64, err error)
	// SetServer drains a backend server or makes it active. Setting the state
	// that it has succeeds. Errors: UnknownNameError, ConflictError, StoreError.
	SetServer(ctx context.Context, service, server string, draining bool, author string) (version uint64, err error)
	// Status returns the state of this instance.
	Status(ctx context.Context) (Status, error)
	// Timeline returns the events at or after since from all instances, merged
	// in order of time. A zero since asks for all events that are kept.
	Timeline(ctx context.Context, since time.Time) (Timeline, error)
	// Stop starts a planned stop of this instance and returns at once; the stop
	// goes on after ctx has ended. A second call has no effect.
	Stop(ctx context.Context) error
	// Metrics returns the handler for GET /metrics.
	Metrics() http.Handler
}

// Change is a request to replace the settings.
type Change struct {
	Text   []byte // INI text, UTF-8
	File   string // name that problems are reported under, "settings" by default
	Base   uint64 // version that the change is based on, 0 for any
	Author string // may be empty
}

// Settings is the text of the settings and its version.
type Settings struct {
	Version uint64 // 0 if the instance has no settings yet
	Author  string // of the last change
	Text    []byte
}

// Value is one resolved value and the level that sets it.
type Value struct {
	Section string // of the server, service or data centre that the value is for
	Key     string
	Value   string
	Level   string // section that sets the value, or "built in"
	Line    int    // line in the settings, 0 if built in
}

// ColdState is the cold state of a backend server.
type WarmupState string

// Cold states.
const (
	Cold      WarmupState = "cold"
	SlowStart WarmupState = "slow_start" // allowance is still rising
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
	Responding      bool // false while SYNs are not answered
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
	Leaving         bool   // a planned stop is under way
	Members         []jpmember.Member
	Owned           []OwnedServer
	FlowEntries     int
	FlowCapacity    int               // entries that the flow table can hold
	Drops           map[string]uint64 // packets since the start, by reason in snake case
}

// Timeline is the merged time line of all instances.
type Timeline struct {
	Events  []jpevent.Event
	Missing []string // ids of instances that did not answer
	Omitted int      // earlier events that the answer leaves out; set by this package
}
