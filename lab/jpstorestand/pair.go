package jpstorestand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxValue is the maximum size of a value in bytes.
const maxValue = 1 << 20

// Wait times of a blocking query, as documented for Consul's API.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// kvPair is a key with its value. Its JSON form is that of Consul's API.
type kvPair struct {
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
}

// splitPath splits the path of an API call into its endpoint and the rest.
func splitPath(path string) (endpoint, rest string, ok bool) {
	return strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
}

// getPair answers a read. If the request has an index, it first waits for a change.
func (st *Store) getPair(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, wait, err := parseBlockingQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var pr kvPair
	var found bool
	index, ok := st.awaitIndex(r.Context(), after, wait, func(time.Time) (uint64, time.Time) {
		pr, found = st.pairs[key]
		if found {
			return pr.ModifyIndex, time.Time{}
		}
		return st.index, time.Time{}
	})
	if ok {
		writePair(w, pr, found, index)
	}
}

// awaitIndex calls read until the index that it returns is greater than after or
// the wait time is over. It returns false if ctx ends first. read is called with
// st.mu held. It also returns when to read again even if nothing changes, or zero.
func (st *Store) awaitIndex(ctx context.Context, after uint64, wait time.Duration, read func(now time.Time) (uint64, time.Time)) (uint64, bool) {
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		st.mu.Lock()
		index, recheck := read(now)
		changed, outage := st.changed, st.faults.Outage
		st.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		if index > after || !now.Before(deadline) {
			return index, true
		}
		if recheck.IsZero() || recheck.After(deadline) {
			recheck = deadline
		}
		timer := time.NewTimer(recheck.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, false
		}
		timer.Stop()
	}
}

func writePair(w http.ResponseWriter, pr kvPair, found bool, index uint64) {
	setIndex(w, index)
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []kvPair{pr})
}

// parseBlockingQuery returns the index that must be exceeded before a query is
// answered, and how long to wait for that.
func parseBlockingQuery(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	if query.Get("index") == "" {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("index"), 10, 64)
	if err != nil {
		return 0, 0, errors.New("invalid index")
	}
	wait = defaultWait
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 {
			return 0, 0, errors.New("invalid wait time")
		}
	}
	return after, min(wait, maxWait), nil
}

// putPair writes a key if the conditions in the query are met.
func (st *Store) putPair(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(value) > maxValue {
		problem := fmt.Sprintf("request body too large, max size: %d bytes", maxValue)
		http.Error(w, problem, http.StatusRequestEntityTooLarge)
		return
	}
	applied, err := st.put(r, value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	st.replyToWrite(w, applied)
}

func (st *Store) put(r *http.Request, value []byte) (bool, error) {
	query := r.URL.Query()
	key := r.PathValue("key")
	st.mu.Lock()
	defer st.mu.Unlock()
	pr := st.pairs[key]
	if query.Has("cas") {
		index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			return false, errors.New("invalid cas")
		}
		if index != pr.ModifyIndex {
			return false, nil
		}
	}
	if id := query.Get("acquire"); id != "" {
		if st.sessions[id] == nil {
			return false, fmt.Errorf("invalid session %q", id)
		}
		if pr.Session != "" && pr.Session != id {
			return false, nil
		}
		if pr.Session == "" {
			pr.LockIndex++
		}
		pr.Session = id
	}
	if id := query.Get("release"); id != "" {
		if pr.Session != id {
			return false, nil
		}
		pr.Session = ""
	}
	pr.Key, pr.Value, pr.ModifyIndex = key, value, st.nextIndex()
	if pr.CreateIndex == 0 {
		pr.CreateIndex = pr.ModifyIndex
	}
	st.pairs[key] = pr
	return true, nil
}

func (st *Store) deletePair(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	if _, ok := st.pairs[r.PathValue("key")]; ok {
		delete(st.pairs, r.PathValue("key"))
		st.nextIndex()
	}
	st.mu.Unlock()
	st.replyToWrite(w, true)
}
