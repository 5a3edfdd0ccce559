package jpcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"jacinthpass/lab/jpcaller"
	"jacinthpass/lab/jpnetwork"
	"jacinthpass/lab/jpserver"
)

// Callers is a process that simulates many callers.
type Callers struct {
	*Process
	Control string // base URL of the control interface
	FirstID uint64 // requests and connections have ids above it
}

// idsPerProcess is the number of ids that each Callers process may use.
const idsPerProcess = 10_000_000

// IDs returns the range of ids that the callers use: greater than above and at most
// upTo.
func (ca *Callers) IDs() (above, upTo uint64) { return ca.FirstID, ca.FirstID + idsPerProcess }

// StartCallers starts a Callers process for a service, with additional flags, and
// waits until its control interface responds.
func (cl *Cluster) StartCallers(ctx context.Context, name, service string, flags ...string) (*Callers, error) {
	cl.mu.Lock()
	cl.callerProcesses++
	no := cl.callerProcesses
	cl.mu.Unlock()
	var address string
	for _, sv := range cl.tree.Services {
		if sv.Name == service {
			address = sv.Address.String()
		}
	}
	control := cl.address(1, no, 1, controlPort).String()
	args := append([]string{
		cl.spec.LabProgram, "callers", "--name", name,
		"--listen", cl.address(1, no, 1, 0).String(), "--fabric", cl.Fabric().String(),
		"--service", address, "--http", control,
		"--first-address", fmt.Sprintf("10.90.%d.1", no),
		"--first-id", fmt.Sprint(no * idsPerProcess),
		"--seed", fmt.Sprint(cl.spec.Seed + uint64(no)),
	}, flags...)
	pr, err := cl.startProcess(name, args...)
	if err != nil {
		return nil, err
	}
	ca := &Callers{Process: pr, Control: "http://" + control, FirstID: uint64(no * idsPerProcess)}
	return ca, cl.awaitHTTP(ctx, ca.Control+"/lab/results")
}

// Results returns the results so far.
func (ca *Callers) Results(ctx context.Context) (jpcaller.Results, error) {
	var rs jpcaller.Results
	return rs, GetJSON(ctx, ca.Control+"/lab/results", &rs)
}

// Finish stops opening flows, waits until the pending requests have ended and
// returns the results.
func (ca *Callers) Finish(ctx context.Context) (jpcaller.Results, error) {
	var rs jpcaller.Results
	return rs, PostJSON(ctx, ca.Control+"/lab/stop", struct{}{}, &rs)
}

// Stats returns the counters of a backend server.
func (sr *Server) Stats(ctx context.Context) (jpserver.Stats, error) {
	var st jpserver.Stats
	return st, GetJSON(ctx, sr.Control+"/lab/stats", &st)
}

// AddFault adds or replaces a fault of the network.
func (cl *Cluster) AddFault(ctx context.Context, ft jpnetwork.Fault) error {
	return PostJSON(ctx, cl.NetworkControl()+"/lab/faults", ft, nil)
}

// RemoveFault removes a fault of the network.
func (cl *Cluster) RemoveFault(ctx context.Context, id string) error {
	return requestJSON(ctx, http.MethodDelete, cl.NetworkControl()+"/lab/faults/"+id, nil, nil)
}

// SetFabric makes the fabric forward packets to these instances only.
func (cl *Cluster) SetFabric(ctx context.Context, list []*Instance) error {
	targets := make([]jpnetwork.Instance, 0, len(list))
	for _, in := range list {
		targets = append(targets, in.fabricTarget())
	}
	return requestJSON(ctx, http.MethodPut, cl.NetworkControl()+"/lab/instances", targets, nil)
}

// GetJSON sends a GET request and decodes the JSON response into out, which may be
// nil.
func GetJSON(ctx context.Context, url string, out any) error {
	return requestJSON(ctx, http.MethodGet, url, nil, out)
}

// PostJSON sends body as JSON and decodes the JSON response into out, which may be
// nil.
func PostJSON(ctx context.Context, url string, body, out any) error {
	return requestJSON(ctx, http.MethodPost, url, body, out)
}

func requestJSON(ctx context.Context, method, url string, body, out any) error {
	var input io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		input = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, input)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Settings returns the settings that the cluster started with.
func (cl *Cluster) Settings() []byte { return cl.spec.Settings }

// MetricsURL returns the URL of an instance's metrics.
func (cl *Cluster) MetricsURL(in *Instance) string {
	return "http://" + in.listen.Operator.String() + "/metrics"
}
