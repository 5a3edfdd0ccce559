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

// bodyLimit is the size limit of an answer's body, and of its headers, in bytes.
const bodyLimit = 4096

var errs = oops.In("health")

// states are the values of the state field.
var states = map[string]jpsteering.ReportState{
	"warm":     jpsteering.ReportWarm,
	"cold":     jpsteering.ReportCold,
	"draining": jpsteering.ReportDraining,
}

// poll asks one server for its load. On an error the report says ReportFailed.
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
		return nil, errs.Wrapf(err, "load URL")
	}
	resp, err := po.client.Do(req)
	if err != nil {
		return nil, errs.Wrapf(err, "request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errs.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyLimit+1))
	if err != nil {
		return nil, errs.Wrapf(err, "read body")
	}
	if len(body) > bodyLimit {
		return nil, errs.Errorf("body exceeds %d bytes", bodyLimit)
	}
	return body, nil
}

// answer is the JSON object of a load endpoint. All fields are required.
type loadResponse struct {
	inFlight    *uint32
	connections *uint32
	state       *string
}

// decode reads a JSON object with exactly the fields of an answer. It is
// stricter than json.Unmarshal, which accepts missing and repeated fields,
// null and names in other case, and so would turn a wrong answer into a load of zero.
func decode(body []byte) (loadResponse, error) {
	var lr loadResponse
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return lr, errs.Errorf("answer is not a JSON object")
	}
	for dec.More() {
		if err := lr.decodeField(dec); err != nil {
			return lr, errs.Wrapf(err, "answer")
		}
	}
	if _, err := dec.Token(); err != nil {
		return lr, errs.Wrapf(err, "answer")
	}
	if _, err := dec.Token(); err != io.EOF {
		return lr, errs.Errorf("answer has trailing data")
	}
	if lr.inFlight == nil || lr.connections == nil || lr.state == nil {
		return lr, errs.Errorf("answer lacks a field")
	}
	if _, ok := states[*lr.state]; !ok {
		return lr, errs.Errorf("answer has unknown state %q", *lr.state)
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

// decodeValue reads a value that was not read before. A null leaves it nil.
func decodeValue[T any](dec *json.Decoder, val **T) error {
	if *val != nil {
		return errs.Errorf("field is repeated")
	}
	return dec.Decode(val)
}
