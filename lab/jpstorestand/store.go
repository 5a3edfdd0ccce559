// Package jpstorestand simulates the platform's store and instance list. It serves
// the parts of Consul's HTTP API that jacinthpass uses, counts calls and injects
// faults. All state is in memory.
package jpstorestand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are the fault conditions to simulate.
type Faults struct {
	// Outage closes the connection of every call without answering or executing
	// it, including calls that are waiting for a change.
	Outage bool
	// Delay is the time before a call is executed. A write is executed even if its
	// caller has closed the connection meanwhile.
	Delay time.Duration
	// LoseAnswersEvery is the n for which every nth write is executed without an
	// answer: its connection is closed instead. With 0, all writes are answered.
	LoseAnswersEvery int
	// Lag is how far the instance list is behind the registrations.
	Lag time.Duration
}

// Calls counts the calls received since the start, including those during an
// outage. A read that waits for a change counts as one watch.
type Calls struct {
	Reads     uint64 `json:"reads"`
	Watches   uint64 `json:"watches"`
	Writes    uint64 `json:"writes"`
	Sessions  uint64 `json:"sessions"`
	Catalogue uint64 `json:"catalogue"`
}

const firstIndex = 1 // the API's smallest index

// Store is the simulated store. It is an http.Handler.
type Store struct {
	mux *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	calls         Calls
	writeCount    int // writes answered, lost answers included, for LoseAnswersEvery
	index         uint64
	pairs         map[string]kvPair
	sessions      map[string]*session
	registrations map[string]registration
	history       []snapshot
	changed       chan struct{} // closed and replaced at each change, to wake watches
}

// New returns an empty store.
func New() *Store {
	st := &Store{
		mux:           http.NewServeMux(),
		index:         firstIndex,
		pairs:         map[string]kvPair{},
		sessions:      map[string]*session{},
		registrations: map[string]registration{},
		changed:       make(chan struct{}),
	}
	st.mux.HandleFunc("GET /v1/kv/{key...}", st.withFaults(st.getPair))
	st.mux.HandleFunc("PUT /v1/kv/{key...}", st.withFaults(st.putPair))
	st.mux.HandleFunc("DELETE /v1/kv/{key...}", st.withFaults(st.deletePair))
	st.mux.HandleFunc("PUT /v1/session/create", st.withFaults(st.createSession))
	st.mux.HandleFunc("PUT /v1/session/renew/{id}", st.withFaults(st.renewSession))
	st.mux.HandleFunc("PUT /v1/session/destroy/{id}", st.withFaults(st.destroySession))
	st.mux.HandleFunc("GET /v1/catalog/service/{name}", st.withFaults(st.listService))
	st.mux.HandleFunc("GET /lab/faults", st.getFaults)
	st.mux.HandleFunc("POST /lab/faults", st.postFaults)
	st.mux.HandleFunc("GET /lab/calls", st.getCalls)
	st.mux.HandleFunc("POST /lab/instances", st.postInstance)
	st.mux.HandleFunc("DELETE /lab/instances/{id}", st.deleteInstance)
	return st
}

// ServeHTTP serves the platform's API, and the control interface under /lab.
func (st *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { st.mux.ServeHTTP(w, r) }

// Calls returns the call counters.
func (st *Store) Calls() Calls {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// SetFaults replaces the simulated fault conditions.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.notifyWatchers()
}

// Faults returns the simulated fault conditions.
func (st *Store) Faults() Faults {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.faults
}

// withFaults wraps a handler of the platform's API: it counts calls and applies
// the simulated faults.
func (st *Store) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		st.countCall(r)
		faults := st.Faults()
		if faults.Outage {
			panic(http.ErrAbortHandler)
		}
		// The body is read before the delay, because it is lost if the caller
		// closes the connection meanwhile.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(faults.Delay)
		handle(w, r)
	}
}

func (st *Store) countCall(r *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	kind, _, _ := splitPath(r.URL.Path)
	switch {
	case kind == "session":
		st.calls.Sessions++
	case kind == "catalog":
		st.calls.Catalogue++
	case r.Method != http.MethodGet:
		st.calls.Writes++
	case r.URL.Query().Get("index") != "":
		st.calls.Watches++
	default:
		st.calls.Reads++
	}
}

// replyToWrite answers a write that was executed, or drops the answer as
// Faults.LoseAnswersEvery says.
func (st *Store) replyToWrite(w http.ResponseWriter, result any) {
	st.mu.Lock()
	st.writeCount++
	every := st.faults.LoseAnswersEvery
	lose := every > 0 && st.writeCount%every == 0
	st.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, result)
}

// notifyWatchers wakes all waiting watches. The caller must hold st.mu.
func (st *Store) notifyWatchers() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// nextIndex increments the index for a change, wakes all watches and returns the
// index. The caller must hold st.mu.
func (st *Store) nextIndex() uint64 {
	st.index++
	st.notifyWatchers()
	return st.index
}

func setIndex(w http.ResponseWriter, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
