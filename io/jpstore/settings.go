package jpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
)

// recordJSON is the JSON form of a record in the store.
type recordJSON struct {
	Version  uint64   `json:"version"`
	ChangeID string   `json:"change_id"`
	Changes  []string `json:"changes"`
	Author   string   `json:"author"`
	Text     string   `json:"text"`
	// Former is null in records written before the field was introduced.
	Former []formerJSON `json:"former"`
}

// formerJSON is the JSON form of a jpsettings.FormerServer.
type formerJSON struct {
	Service     string         `json:"service"`
	Server      string         `json:"server"`
	DataCentre  string         `json:"data_centre"`
	At          netip.AddrPort `json:"at"`
	IdleProbeMS int64          `json:"idle_probe_ms"`
	Address     netip.AddrPort `json:"address"`
	Protocol    uint8          `json:"protocol"`
	Count       int            `json:"count"`
	Until       int64          `json:"until"` // Unix time
}

// pairJSON is one entry of a response of the key-value endpoint.
type pairJSON struct {
	ModifyIndex uint64
	Value       []byte // base64 in JSON
}

const settingsPath = "/v1/kv/" + SettingsKey

// ReadSettings returns the record in the store and its index for SwapSettings and
// WatchSettings. The read is consistent: it is served by the store's leader and
// sees every write that took effect before. If the store holds no settings, the
// error is ErrNoSettings and the index is 0, with which SwapSettings creates them.
func (cl *Client) ReadSettings(ctx context.Context) (jprollout.Record, uint64, error) {
	query := url.Values{"consistent": {""}}
	rec, index, _, err := cl.readSettings(ctx, call{operation: "read settings", query: query, timeout: callTimeout})
	return rec, index, err
}

// WatchSettings waits until the record differs from the one at index, for at most
// about 30 s, and returns the current record and its index. With index 0 it
// returns immediately. With ErrNoSettings or a *RecordError the index is the one
// for the next WatchSettings; after any other error callers keep the previous
// index. An index returned with an error is not valid for SwapSettings.
func (cl *Client) WatchSettings(ctx context.Context, index uint64) (jprollout.Record, uint64, error) {
	rec, current, next, err := cl.readSettings(ctx, blockingQuery("watch settings", index, settingsWait))
	if err == ErrNoSettings {
		current = next
	}
	return rec, nextIndex(index, current), err
}

// readSettings makes a read call. index is that of the record; next is the index
// for a watch that waits for the first record, if the error is ErrNoSettings.
func (cl *Client) readSettings(ctx context.Context, ca call) (rec jprollout.Record, index, next uint64, err error) {
	ca.method, ca.path = http.MethodGet, settingsPath
	rs, err := cl.do(ctx, ca)
	if err != nil {
		return rec, 0, 0, err
	}
	if rs.status == http.StatusNotFound {
		next = rs.index()
		if next == 0 {
			// The 404 does not come from the store's API, which always sets
			// the index. Without an index the next watch could not wait.
			return rec, 0, 0, newUnreachableError(ca.operation, fmt.Errorf("response without index"))
		}
		return rec, 0, next, ErrNoSettings
	}
	var pairs []pairJSON
	if err := json.Unmarshal(rs.body, &pairs); err != nil || len(pairs) != 1 {
		return rec, 0, 0, newUnreachableError(ca.operation, fmt.Errorf("unexpected response with %d pairs: %v", len(pairs), err))
	}
	rec, err = decodeRecord(pairs[0].Value)
	return rec, pairs[0].ModifyIndex, 0, err
}

// SwapSettings replaces the record by compare-and-swap if its index is still
// index, or creates it if index is 0. It reports whether the swap took effect;
// false means that the record had changed. With an *UnreachableError the outcome
// is unknown.
func (cl *Client) SwapSettings(ctx context.Context, index uint64, rec jprollout.Record) (swapped bool, err error) {
	const operation = "swap settings"
	body, err := encodeRecord(rec)
	if err != nil {
		return false, newRefusedError(operation, 0, err.Error())
	}
	rs, err := cl.do(ctx, call{
		operation: operation,
		method:    http.MethodPut,
		path:      settingsPath,
		query:     url.Values{"cas": {strconv.FormatUint(index, 10)}},
		body:      body,
		timeout:   callTimeout,
	})
	if err != nil {
		return false, err
	}
	switch text := strings.TrimSpace(string(rs.body)); {
	case rs.status == http.StatusOK && text == "true":
		return true, nil
	case rs.status == http.StatusOK && text == "false":
		return false, nil
	}
	return false, newUnreachableError(operation, fmt.Errorf("unexpected response with status %d", rs.status))
}

func encodeRecord(rec jprollout.Record) (string, error) {
	// The JSON encoder would silently replace bytes that are not valid UTF-8.
	if !utf8.Valid(rec.Text) {
		return "", fmt.Errorf("settings text is not valid UTF-8")
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	err := enc.Encode(recordJSON{rec.Version, rec.ChangeID, rec.Changes, rec.Author, string(rec.Text), formerToJSON(rec.Former)})
	if err != nil {
		return "", err
	}
	if buf.Len() > MaxRecordSize {
		return "", fmt.Errorf("record of %d bytes exceeds the limit of %d", buf.Len(), MaxRecordSize)
	}
	return buf.String(), nil
}

func decodeRecord(value []byte) (jprollout.Record, error) {
	var rj recordJSON
	if err := json.Unmarshal(value, &rj); err != nil {
		return jprollout.Record{}, &RecordError{err.Error()}
	}
	if rj.Version == 0 {
		return jprollout.Record{}, &RecordError{"version is missing"}
	}
	return jprollout.Record{
		Version:  rj.Version,
		ChangeID: rj.ChangeID,
		Changes:  rj.Changes,
		Author:   rj.Author,
		Text:     []byte(rj.Text),
		Former:   formerFromJSON(rj.Former),
	}, nil
}

func formerToJSON(list []jpsettings.FormerServer) []formerJSON {
	if list == nil {
		return nil
	}
	out := make([]formerJSON, 0, len(list))
	for _, fm := range list {
		out = append(out, formerJSON{
			Service: fm.Service, Server: fm.Server, DataCentre: fm.DataCentre,
			At: fm.ServerAddress, IdleProbeMS: fm.IdleProbe.Milliseconds(),
			Address: fm.ServiceAddress, Protocol: uint8(fm.Protocol), Count: fm.ServerCount,
			Until: fm.Until.Unix(),
		})
	}
	return out
}

func formerFromJSON(list []formerJSON) []jpsettings.FormerServer {
	if list == nil {
		return nil
	}
	out := make([]jpsettings.FormerServer, 0, len(list))
	for _, fj := range list {
		out = append(out, jpsettings.FormerServer{
			Service: fj.Service, Server: fj.Server, DataCentre: fj.DataCentre,
			ServerAddress: fj.At, IdleProbe: time.Duration(fj.IdleProbeMS) * time.Millisecond,
			ServiceAddress: fj.Address, Protocol: jpsettings.Protocol(fj.Protocol), ServerCount: fj.Count,
			Until: time.Unix(fj.Until, 0),
		})
	}
	return out
}

// truncateFormer removes the older half of the former servers, repeatedly, while
// the record is too large for the store: the text takes precedence over them.
func truncateFormer(rec jprollout.Record) jprollout.Record {
	for len(rec.Former) > 0 {
		if _, err := encodeRecord(rec); err == nil {
			break
		}
		rec.Former = rec.Former[:len(rec.Former)/2]
	}
	return rec
}
