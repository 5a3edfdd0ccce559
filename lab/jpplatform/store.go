package jpplatform

import (
	"bytes"
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

	era     uint64            // rises each time the store is restored from a copy
	written map[string][]byte // values of the keys that operators and servers have written, nil if removed
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
		leases: map[uint64]time.Time{}, changed: make(chan struct{}), revision: 1, era: 1, written: map[string][]byte{},
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
	st.written[key] = text
	st.put(storeItem{Key: key, Value: text})
}

// Remove removes a key.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.written[key] = nil
	st.remove(key)
}

// StoreCopy is a copy of a store's contents.
type StoreCopy struct {
	items      map[string]storeItem
	history    []storeItem
	revision   uint64
	leases     map[uint64]time.Time
	leaseCount uint64
}

// Copy returns a copy of the store's contents, for Restore.
func (st *Store) Copy() StoreCopy {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	return StoreCopy{maps.Clone(st.items), slices.Clone(st.history), st.revision, maps.Clone(st.leases), st.leaseCount}
}

// Restore replaces the contents by an earlier copy. What was written since is lost, and
// revisions and leases are given out again. Waiting watches are notified.
func (st *Store) Restore(cp StoreCopy) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	st.items, st.history, st.revision = maps.Clone(cp.items), slices.Clone(cp.history), cp.revision
	st.leases, st.leaseCount = maps.Clone(cp.leases), cp.leaseCount
	st.notifyWatchers()
}

// LostKeys returns the keys that differ from what operators and servers have written,
// because the store was restored, in order.
func (st *Store) LostKeys() []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var keys []string
	for key, value := range st.written {
		it, ok := st.items[key]
		if ok != (value != nil) || ok && !bytes.Equal(it.Value, value) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Rewrite writes a key again as its writer last did.
func (st *Store) Rewrite(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	value := st.written[key]
	if value == nil {
		st.remove(key)
		return
	}
	st.put(storeItem{Key: key, Value: value})
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

// stampEra adds the store's era to a response. The caller must hold mu.
func (st *Store) stampEra(wr http.ResponseWriter) {
	wr.Header().Set("Store-Era", strconv.FormatUint(st.era, 10))
}

// rejectIfUnavailable answers requests with 503 while the store is unavailable.
func (st *Store) rejectIfUnavailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if st.isUnavailable(wr) {
			http.Error(wr, "away", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(wr, req)
	})
}

// isUnavailable reports whether the store is unavailable, and adds the era to the response.
func (st *Store) isUnavailable(wr http.ResponseWriter) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stampEra(wr)
	return st.unavailable
}

// pageSize is the maximum number of items of a page. It is small so that tests
// read several pages.
const pageSize = 5

func (st *Store) handleRange(wr http.ResponseWriter, req *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	st.stampEra(wr)
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
		revision, changed, unavailable := st.revision, st.changed, st.unavailable
		st.stampEra(wr)
		st.mu.Unlock()
		switch {
		case unavailable:
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
	if after > st.revision || after < st.revision && (len(st.history) == 0 || st.history[0].Revision > after+1) {
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
	st.stampEra(wr)
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
	st.stampEra(wr)
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
	st.stampEra(wr)
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
