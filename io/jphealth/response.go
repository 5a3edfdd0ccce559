package jphealth

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/samber/oops"

	"jacinthpass/core/jpsteering"
)

// bodyLimit is the size limit of a response's body, and of its headers, in bytes.
const bodyLimit = 4096

var errs = oops.In("health")

// states are the values of the state field.
var states = map[string]jpsteering.ReportState{
	"warm":     jpsteering.ReportWarm,
	"cold":     jpsteering.ReportCold,
	"draining": jpsteering.ReportDraining,
}

// poll requests the load of one server. On an error the report's state is
// ReportFailed.
func (po *Poller) poll(ctx context.Context, sr jpsteering.OwnedServer) (jpsteering.Report, error) {
	rep := jpsteering.Report{Service: sr.Service, Server: sr.Server.Addr()}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	body, err := po.fetch(ctx, sr.LoadURL)
	if err != nil {
		return rep, err
	}
	lr, err := decode(body)
	if err != nil {
		return rep, err
	}
	rep.InFlight = int(*lr.inFlight)
	rep.Connections = int(*lr.connections)
	rep.State = states[*lr.state]
	return rep, nil
}

func (po *Poller) fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errs.Wrapf(err, "invalid load URL")
	}
	resp, err := po.client.Do(req)
	if err != nil {
		return nil, errs.Wrapf(err, "request failed")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errs.Errorf("unexpected status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyLimit+1))
	if err != nil {
		return nil, errs.Wrapf(err, "read response body")
	}
	if len(body) > bodyLimit {
		return nil, errs.Errorf("response body exceeds %d bytes", bodyLimit)
	}
	return body, nil
}

// loadResponse is the JSON object that a load endpoint returns. All fields are
// required.
type loadResponse struct {
	inFlight    *uint32
	connections *uint32
	state       *string
}

// decode decodes a JSON object with exactly the fields of a loadResponse. It is
// stricter than json.Unmarshal, which accepts missing and repeated fields, null and
// names in other case, and so could decode an invalid response as a load of zero.
func decode(body []byte) (loadResponse, error) {
	var lr loadResponse
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return lr, errs.Errorf("response is not a JSON object")
	}
	for dec.More() {
		if err := lr.decodeField(dec); err != nil {
			return lr, errs.Wrapf(err, "invalid response")
		}
	}
	if _, err := dec.Token(); err != nil {
		return lr, errs.Wrapf(err, "invalid response")
	}
	if _, err := dec.Token(); err != io.EOF {
		return lr, errs.Errorf("response has trailing data")
	}
	if lr.inFlight == nil || lr.connections == nil || lr.state == nil {
		return lr, errs.Errorf("response lacks a field")
	}
	if _, ok := states[*lr.state]; !ok {
		return lr, errs.Errorf("response has unknown state %q", *lr.state)
	}
	return lr, nil
}

func (lr *loadResponse) decodeField(dec *json.Decoder) error {
	name, err := dec.Token()
	if err != nil {
		return err
	}
	switch name {
	case "in_flight":
		return decodeValue(dec, &lr.inFlight)
	case "connections":
		return decodeValue(dec, &lr.connections)
	case "state":
		return decodeValue(dec, &lr.state)
	}
	return errs.Errorf("unknown field %q", name)
}

// decodeValue decodes the value of a field into *val, which must be nil: a field may
// not be repeated. A null leaves it nil.
func decodeValue[T any](dec *json.Decoder, val **T) error {
	if *val != nil {
		return errs.Errorf("field is repeated")
	}
	return dec.Decode(val)
}
