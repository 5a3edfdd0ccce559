// Package jpstore is a client for the platform's store and instance list. It uses
// the HTTP API of Consul: the key-value endpoints with compare-and-swap and
// blocking queries, and the service catalogue.
package jpstore

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Names under which the platform keeps the settings and the instance list.
const (
	SettingsKey = "jacinthpass/settings"
	ServiceName = "jacinthpass"
)

const (
	// callTimeout is how long a call may take before it counts as failed, in
	// addition to the wait of a blocking query. The store responds in milliseconds.
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	// Waits of blocking queries for the settings and for the instance list. The
	// list is sent in full at the end of each wait, 198 KB with 580 instances, so
	// its wait is longer.
	settingsWait  = 30 * time.Second
	instancesWait = 2 * time.Minute
	// MaxRecordSize is the maximum size of a record in JSON, in bytes. It is the
	// largest value that the store accepts.
	MaxRecordSize = 1 << 20
	// maxResponseSize is the size in bytes of the largest response that is
	// accepted: a record in base64 with its envelope, or the list of a few
	// thousand instances.
	maxResponseSize = 4 << 20
)

// keepAlive ends a blocking query within 11 s if the connection to the store was
// lost on the path. Without it, the query would wait for its full duration.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Uint64
}

// Open returns a client for the store at addr, a host and port or an http URL.
// It makes no call.
func Open(addr string) *Client { return OpenFrom(addr, netip.Addr{}) }

// OpenFrom is like Open, but all connections use the given local address, so that
// the platform sees the instance under its own address. If source is invalid or
// unspecified, the system selects the address.
func OpenFrom(addr string, source netip.Addr) *Client {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	if source.IsValid() && !source.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base: strings.TrimSuffix(addr, "/"),
		http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// CallCount returns the number of calls made. A blocking query counts as one.
func (cl *Client) CallCount() uint64 { return cl.calls.Load() }

// Close closes idle connections.
func (cl *Client) Close() { cl.http.CloseIdleConnections() }

// call is one request to the store.
type call struct {
	operation string // name of the operation in errors
	method    string
	path      string
	query     url.Values
	body      string
	timeout   time.Duration
}

// blockingQuery returns a call that waits until the store's index exceeds index.
// With index 0 the store responds immediately.
func blockingQuery(operation string, index uint64, wait time.Duration) call {
	ca := call{operation: operation, method: http.MethodGet, query: url.Values{}, timeout: callTimeout}
	if index > 0 {
		ca.query.Set("index", strconv.FormatUint(index, 10))
		ca.query.Set("wait", wait.String())
		// The API adds up to a sixteenth of the wait as jitter.
		ca.timeout += wait + wait/16
	}
	return ca
}

// nextIndex returns the index for the next blocking query. If the index has gone
// back, the store was restored, and the API requires that watches restart from 0.
func nextIndex(index, current uint64) uint64 {
	if current < index {
		return 0
	}
	return current
}

// response is a complete response of the store.
type response struct {
	status int
	header http.Header
	body   []byte
}

// index returns the index for a blocking query, or 0 if the response has none.
func (rs response) index() uint64 {
	index, err := strconv.ParseUint(rs.header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// do makes a call and returns a response with status 200 or 404. The error is an
// *UnreachableError or a *RefusedError.
func (cl *Client) do(ctx context.Context, ca call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, ca.timeout)
	defer cancel()
	target := cl.base + ca.path + "?" + ca.query.Encode()
	req, err := http.NewRequestWithContext(ctx, ca.method, target, strings.NewReader(ca.body))
	if err != nil {
		return response{}, newRefusedError(ca.operation, 0, err.Error())
	}
	cl.calls.Add(1)
	resp, err := cl.http.Do(req)
	if err != nil {
		return response{}, newUnreachableError(ca.operation, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err != nil {
		return response{}, newUnreachableError(ca.operation, err)
	}
	if len(body) > maxResponseSize {
		return response{}, newUnreachableError(ca.operation, fmt.Errorf("response exceeds %d bytes", maxResponseSize))
	}
	return response{resp.StatusCode, resp.Header, body}, checkStatus(ca.operation, resp.StatusCode, body)
}
