package jpstorestand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// faultsJSON is the JSON form of Faults at /lab/faults. Fields that are missing in
// a POST keep their values.
type faultsJSON struct {
	Outage           bool   `json:"outage"`
	Delay            string `json:"delay"`
	LoseAnswersEvery int    `json:"lose_answers_every"`
	Lag              string `json:"lag"`
}

func (st *Store) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, newFaultsJSON(st.Faults()))
}

func (st *Store) postFaults(w http.ResponseWriter, r *http.Request) {
	fj := newFaultsJSON(st.Faults())
	err := json.NewDecoder(r.Body).Decode(&fj)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fa, err := fj.faults()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	st.SetFaults(fa)
	writeJSON(w, fj)
}

func (st *Store) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, st.Calls())
}

func newFaultsJSON(fa Faults) faultsJSON {
	return faultsJSON{fa.Outage, fa.Delay.String(), fa.LoseAnswersEvery, fa.Lag.String()}
}

func (fj faultsJSON) faults() (Faults, error) {
	delay, err := time.ParseDuration(fj.Delay)
	if err != nil || delay < 0 {
		return Faults{}, fmt.Errorf("delay %q is not a duration of at least 0", fj.Delay)
	}
	lag, err := time.ParseDuration(fj.Lag)
	if err != nil || lag < 0 || lag > maxLag {
		return Faults{}, fmt.Errorf("lag %q is not a duration between 0 and %v", fj.Lag, maxLag)
	}
	return Faults{fj.Outage, delay, fj.LoseAnswersEvery, lag}, nil
}
