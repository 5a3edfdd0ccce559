package jpstorestand

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// session is a lease. When it ends, the keys that it holds are released.
type session struct {
	id         string
	ttl        time.Duration // 0 means that it never expires
	deleteKeys bool          // its keys are deleted instead of released
	expiry     *time.Timer
}

// sessionJSON is the form of a session in Consul's API.
type sessionJSON struct {
	ID       string `json:",omitempty"`
	TTL      string
	Behavior string `json:",omitempty"`
}

// maxTTL is the API's upper bound. The API's lower bound of 10 s is not enforced,
// so that experiments with leases stay short.
const maxTTL = 24 * time.Hour

func (st *Store) createSession(w http.ResponseWriter, r *http.Request) {
	var sj sessionJSON
	if err := json.NewDecoder(r.Body).Decode(&sj); err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "request decode failed", http.StatusBadRequest)
		return
	}
	se := &session{deleteKeys: sj.Behavior == "delete"}
	if sj.TTL != "" {
		ttl, err := time.ParseDuration(sj.TTL)
		if err != nil || ttl <= 0 || ttl > maxTTL {
			http.Error(w, "invalid session TTL", http.StatusBadRequest)
			return
		}
		se.ttl = ttl
	}
	st.mu.Lock()
	se.id = "session-" + strconv.FormatUint(st.nextIndex(), 10)
	st.sessions[se.id] = se
	if se.ttl > 0 {
		se.expiry = time.AfterFunc(se.ttl, func() { st.endSession(se.id) })
	}
	st.mu.Unlock()
	st.replyToWrite(w, map[string]string{"ID": se.id})
}

func (st *Store) renewSession(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	se := st.sessions[r.PathValue("id")]
	if se != nil && se.expiry != nil {
		se.expiry.Reset(se.ttl)
	}
	st.mu.Unlock()
	if se == nil {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	st.replyToWrite(w, []sessionJSON{{ID: se.id, TTL: se.ttl.String()}})
}

func (st *Store) destroySession(w http.ResponseWriter, r *http.Request) {
	st.endSession(r.PathValue("id"))
	st.replyToWrite(w, true)
}

// endSession removes a session, and releases or deletes its keys.
func (st *Store) endSession(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	se := st.sessions[id]
	if se == nil {
		return
	}
	if se.expiry != nil {
		se.expiry.Stop()
	}
	delete(st.sessions, id)
	for key, pr := range st.pairs {
		if pr.Session != id {
			continue
		}
		index := st.nextIndex()
		if se.deleteKeys {
			delete(st.pairs, key)
			continue
		}
		pr.Session, pr.ModifyIndex = "", index
		st.pairs[key] = pr
	}
}
