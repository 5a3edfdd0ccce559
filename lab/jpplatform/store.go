package jpplatform

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store simulates the platform's store. Its zero value is not usable; see StartStore.
type Store struct {
	Address netip.AddrPort

	server *http.Server

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem // changes in order of revision
	revision uint64
	leases   map[uint64]time.Time // expiry of each lease

	leaseCount  uint64
	changed     chan struct{} // closed at the next change
	unavailable bool
}

// storeItem is the value of a key, or with Tombstone its removal.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// StartStore starts a store on a loopback address with a free port.
func StartStore(ip netip.Addr) (*Store, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, err
	}
	st := &Store{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), items: map[string]storeItem{},
		leases: map[uint64]time.Time{}, changed: make(chan struct{}), revision: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", st.handleRange)
	mux.HandleFunc("GET /kv-watch", st.handleWatch)
	mux.HandleFunc("POST /kv-txn", st.handleTxn)
	mux.HandleFunc("POST /kv-lease", st.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", st.handleKeep)
	st.server = &http.Server{Handler: st.rejectIfUnavailable(mux)}
	go func() { _ = st.server.Serve(listener) }() // returns after Close
	return st, nil
}

// Close stops the store.
func (st *Store) Close() { _ = st.server.Close() }

// SetUnavailable sets whether the store answers all HTTP requests with 503. Put
// and Remove work in any case.
func (st *Store) SetUnavailable(unavailable bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.unavailable = unavailable
	st.notifyWatchers()
}

// DropHistory drops the history, so that watchers have to read everything again.
func (st *Store) DropHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history = nil
	st.notifyWatchers()
}

// Put writes a key, as an operator or a server does.
func (st *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("store: encode value of " + key + ": " + err.Error())
	}
	st.PutRaw(key, data)
}

// PutRaw writes a key with arbitrary bytes as its value.
func (st *Store) PutRaw(key string, text []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(storeItem{Key: key, Value: text})
}

// Remove removes a key.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.remove(key)
}

// Keys returns the keys with a prefix.
func (st *Store) Keys(prefix string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	var keys []string
	for key := range st.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Leases returns the number of leases granted so far.
func (st *Store) Leases() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.leaseCount
}

func (st *Store) put(it storeItem) {
	st.revision++
	it.Revision, it.CreateRevision = st.revision, st.revision
	if known, ok := st.items[it.Key]; ok {
		it.CreateRevision = known.CreateRevision
	}
	st.items[it.Key] = it
	st.history = append(st.history, it)
	st.notifyWatchers()
}

func (st *Store) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	delete(st.items, key)
	st.history = append(st.history, storeItem{Key: key, Revision: st.revision, Tombstone: true})
	st.notifyWatchers()
}

func (st *Store) notifyWatchers() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// expire removes expired leases and their keys. The caller must hold mu.
func (st *Store) expire() {
	for id, end := range st.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(st.leases, id)
		for key, it := range maps.Clone(st.items) {
			if it.Lease == id {
				st.remove(key)
			}
		}
	}
}

// rejectIfUnavailable answers requests with 503 while the store is unavailable.
func (st *Store) rejectIfUnavailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if st.isUnavailable() {
			http.Error(wr, "away", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(wr, req)
	})
}

func (st *Store) isUnavailable() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.unavailable
}

// pageSize is the maximum number of items of a page. It is small so that tests
// read several pages.
const pageSize = 5

func (st *Store) handleRange(wr http.ResponseWriter, req *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	prefix, after := req.URL.Query().Get("prefix"), req.URL.Query().Get("after")
	items := []storeItem{}
	truncated := false
	for _, key := range slices.Sorted(maps.Keys(st.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == pageSize {
			truncated = true
			break
		}
		items = append(items, st.items[key])
	}
	reply(wr, map[string]any{"items": items, "truncated": truncated, "asOf": st.revision})
}

func (st *Store) handleWatch(wr http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(wr, "query", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		st.expire()
		events, known := st.since(query.Get("prefix"), after)
		revision, changed := st.revision, st.changed
		st.mu.Unlock()
		switch {
		case st.isUnavailable():
			http.Error(wr, "away", http.StatusServiceUnavailable)
			return
		case !known:
			http.Error(wr, "history", http.StatusGone)
			return
		case len(events) > 0:
			reply(wr, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-req.Context().Done():
			return
		case <-end:
			reply(wr, map[string]any{"events": []storeItem{}, "asOf": revision})
			return
		}
	}
}

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

// since returns the changes of keys with a prefix after a revision, or false if
// the history does not reach back that far.
func (st *Store) since(prefix string, after uint64) ([]storeItem, bool) {
	if after < st.revision && (len(st.history) == 0 || st.history[0].Revision > after+1) {
		return nil, false
	}
	var events []storeItem
	for _, it := range st.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, true
}

func (st *Store) handleTxn(wr http.ResponseWriter, req *http.Request) {
	var body struct {
		Puts []storeItem `json:"puts"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	for _, it := range body.Puts {
		if _, ok := st.leases[it.Lease]; it.Lease != 0 && !ok {
			http.Error(wr, "lease", http.StatusNotFound)
			return
		}
	}
	for _, it := range body.Puts {
		st.put(it)
	}
	reply(wr, map[string]any{"revision": st.revision})
}

func (st *Store) handleLease(wr http.ResponseWriter, req *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.leaseCount++
	id := st.leaseCount
	st.leases[id] = time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)
	reply(wr, map[string]any{"lease": id, "ttlMs": body.TTLMs})
}

// handleKeep renews a lease for an hour, which is longer than any test.
func (st *Store) handleKeep(wr http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(req.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	if _, ok := st.leases[id]; err != nil || !ok {
		http.Error(wr, "lease", http.StatusNotFound)
		return
	}
	st.leases[id] = time.Now().Add(time.Hour)
	reply(wr, map[string]any{"ttlMs": 1000})
}

func reply(wr http.ResponseWriter, body any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(body) // fails only if the client has closed the connection
}
