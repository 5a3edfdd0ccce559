package jpstorestand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"time"

	"jacinthpass/core/jpmember"
)

// serviceName is the service under which the instances are in the catalogue.
const serviceName = "jacinthpass"

// registration is the registration of an instance, as in POST /lab/instances.
type registration struct {
	ID         string    `json:"id"`
	DataCentre string    `json:"data_centre"`
	Leaving    bool      `json:"leaving"`
	Addresses  addresses `json:"addresses"`
}

type addresses struct {
	Traffic  netip.AddrPort `json:"traffic"`
	Relay    netip.AddrPort `json:"relay"`
	Peer     netip.AddrPort `json:"peer"`
	Operator netip.AddrPort `json:"operator"`
}

// catalogRow is a registration in the form of the catalogue API.
type catalogRow struct {
	Node           string
	Address        string
	Datacenter     string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

// snapshot is the instance list as it was from validFrom on.
type snapshot struct {
	validFrom time.Time
	index     uint64
	rows      []catalogRow
}

// Register adds an instance to the list, or replaces it.
func (st *Store) Register(li jpmember.Listed) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.registrations[li.ID] = registration{li.ID, li.DataCentre, li.Leaving, addresses(li.Addresses)}
	st.recordSnapshot(time.Now())
}

// Unregister removes an instance from the list.
func (st *Store) Unregister(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.registrations, id)
	st.recordSnapshot(time.Now())
}

// maxLag is the largest Faults.Lag, and how long superseded lists are kept for it.
const maxLag = 5 * time.Minute

// recordSnapshot adds the current list to the history and drops snapshots that are
// no longer needed. The caller must hold st.mu.
func (st *Store) recordSnapshot(now time.Time) {
	rows := make([]catalogRow, 0, len(st.registrations))
	for _, rg := range st.registrations {
		rows = append(rows, rg.catalog())
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ServiceID < rows[j].ServiceID })
	st.history = append(st.history, snapshot{now, st.nextIndex(), rows})
	for len(st.history) > 1 && now.Sub(st.history[1].validFrom) > maxLag {
		st.history = st.history[1:]
	}
}

func (rg registration) catalog() catalogRow {
	state := "live"
	if rg.Leaving {
		state = "leaving"
	}
	return catalogRow{
		Node:           rg.ID,
		Address:        rg.Addresses.Traffic.Addr().String(),
		Datacenter:     "platform",
		ServiceID:      rg.ID,
		ServiceName:    serviceName,
		ServiceAddress: rg.Addresses.Traffic.Addr().String(),
		ServicePort:    int(rg.Addresses.Traffic.Port()),
		ServiceMeta: map[string]string{
			"data_centre": rg.DataCentre,
			"state":       state,
			"traffic":     rg.Addresses.Traffic.String(),
			"relay":       rg.Addresses.Relay.String(),
			"peer":        rg.Addresses.Peer.String(),
			"operator":    rg.Addresses.Operator.String(),
		},
	}
}

// listService answers with the list as it was Faults.Lag ago. If the request has
// an index, it first waits for a change. Raising the lag lowers the index, as
// restoring a real store from a backup does.
func (st *Store) listService(w http.ResponseWriter, r *http.Request) {
	after, wait, err := parseBlockingQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var visible snapshot
	index, ok := st.awaitIndex(r.Context(), after, wait, func(now time.Time) (uint64, time.Time) {
		var recheck time.Time
		visible, recheck = st.visibleSnapshot(now)
		return visible.index, recheck
	})
	if !ok {
		return
	}
	if r.PathValue("name") != serviceName {
		visible.rows = []catalogRow{}
	}
	setIndex(w, index)
	writeJSON(w, visible.rows)
}

// visibleSnapshot returns the list that is visible now and the time at which the
// next one becomes visible, or zero if there is none. The caller must hold st.mu.
func (st *Store) visibleSnapshot(now time.Time) (visible snapshot, next time.Time) {
	visible = snapshot{index: firstIndex, rows: []catalogRow{}}
	for _, sn := range st.history {
		due := sn.validFrom.Add(st.faults.Lag)
		if due.After(now) {
			return visible, due
		}
		visible = sn
	}
	return visible, time.Time{}
}

func (st *Store) postInstance(w http.ResponseWriter, r *http.Request) {
	var rg registration
	if err := json.NewDecoder(r.Body).Decode(&rg); err != nil || rg.ID == "" {
		http.Error(w, fmt.Sprintf("instance has no id or is not valid JSON: %v", err), http.StatusBadRequest)
		return
	}
	st.Register(jpmember.Listed{
		ID:         rg.ID,
		DataCentre: rg.DataCentre,
		Leaving:    rg.Leaving,
		Addresses:  jpmember.Addresses(rg.Addresses),
	})
}

func (st *Store) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	st.Unregister(r.PathValue("id"))
}

// Register adds or replaces an instance at the simulated store with the URL base.
func Register(ctx context.Context, base string, li jpmember.Listed) error {
	body, err := json.Marshal(registration{li.ID, li.DataCentre, li.Leaving, addresses(li.Addresses)})
	if err != nil {
		return err
	}
	return sendControl(ctx, http.MethodPost, base+"/lab/instances", body)
}

// Unregister removes an instance at the simulated store with the URL base.
func Unregister(ctx context.Context, base, id string) error {
	return sendControl(ctx, http.MethodDelete, base+"/lab/instances/"+url.PathEscape(id), nil)
}

func sendControl(ctx context.Context, method, target string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("simulated store: %s %s: %s", method, target, resp.Status)
	}
	return nil
}
