package jpoperator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	goahttp "goa.design/goa/v3/http"
)

// maxErrorBytes limits how much is read of an error response that the API does not
// define.
const maxErrorBytes = 64 << 10

// doer sends requests. It returns a NotSentError if the instance certainly did not
// receive the request, and a RequestError for an error response that the API does not
// define.
type doer struct {
	addr string
	tls  *tls.Config
}

// Do implements goa's Doer.
func (dr *doer) Do(req *http.Request) (*http.Response, error) {
	att := &attempt{}
	hc := &http.Client{
		Transport:     att.transport(dr.tls),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := hc.Do(req)
	if err != nil {
		if cause := att.notSentCause(); cause != nil {
			return nil, &NotSentError{Address: dr.addr, Err: cause}
		}
		return nil, err
	}
	if resp.StatusCode < http.StatusMultipleChoices || resp.Header.Get("goa-error") != "" {
		return resp, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return nil, err
	}
	return nil, &RequestError{Status: resp.StatusCode, Message: errorMessage(resp, body)}
}

// errorMessage returns the message of a goa error, or else the HTTP status text.
func errorMessage(resp *http.Response, body []byte) string {
	var er goahttp.ErrorResponse
	if err := json.Unmarshal(body, &er); err == nil && er.Message != "" {
		return er.Message
	}
	return http.StatusText(resp.StatusCode)
}

// attempt is one request on its own connection, so that net/http never retries it. It
// records an error that proves that the instance did not receive the request.
type attempt struct {
	mu      sync.Mutex
	notSent error
}

func (att *attempt) recordNotSent(err error) {
	att.mu.Lock()
	defer att.mu.Unlock()
	att.notSent = err
}

// notSentCause returns why the instance did not receive the request, or nil if it may
// have received it.
func (att *attempt) notSentCause() error {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.notSent
}

func (att *attempt) transport(cfg *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return att.dial(ctx, dialer, network, addr)
		},
		DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return att.dial(ctx, &tls.Dialer{NetDialer: dialer, Config: cfg}, network, addr)
		},
	}
}

// dial opens the connection. If that or the TLS handshake fails, no request was sent.
func (att *attempt) dial(ctx context.Context, dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}, network, addr string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, addr)
	if err == nil {
		return alertConn{Conn: conn, attempt: att}, nil
	}
	cause := err
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		cause = oe.Err
	}
	att.recordNotSent(cause)
	return nil, err
}

// alertConn detects the TLS alert with which an instance refuses a certificate. In
// TLS 1.3 it arrives after the handshake has ended on the client's side.
type alertConn struct {
	net.Conn
	attempt *attempt
}

func (ac alertConn) Read(buf []byte) (int, error) {
	size, err := ac.Conn.Read(buf)
	var oe *net.OpError
	// Alerts that mention the certificate are sent only during the handshake.
	if errors.As(err, &oe) && oe.Op == "remote error" && strings.Contains(oe.Err.Error(), "certificate") {
		ac.attempt.recordNotSent(oe)
	}
	return size, err
}
