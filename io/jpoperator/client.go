package jpoperator

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	goahttp "goa.design/goa/v3/http"

	"jacinthpass/gen/http/operator/client"
	"jacinthpass/gen/operator"
)

const (
	dialTimeout = 3 * time.Second
	// clientTimeout exceeds the time limits of the instance, so that the instance
	// can report the outcome of a change before the client gives up.
	clientTimeout = writeTimeout + dialTimeout + 2*time.Second
)

// Client calls the operators' API of one instance. Its methods return the same errors
// as those of Backend, and RequestError, NotSentError and LostResponseError. A request
// is sent at most once. A Client is safe for concurrent use.
type Client struct {
	addr    string
	calls   *operator.Client
	timeout time.Duration // of one call
}

// Dial returns a client for the instance at addr ("host:port"). Each call opens its own
// connection.
func Dial(addr string) *Client {
	addr = strings.TrimSuffix(strings.TrimPrefix(addr, "http://"), "/")
	return newClient("http", addr, nil)
}

// DialTLS is like Dial for an instance that requires TLS. cfg holds the operator's
// certificate and the trusted authorities. The certificate of the instance has to be
// valid for the host in addr.
func DialTLS(addr string, cfg *tls.Config) *Client {
	addr = strings.TrimSuffix(strings.TrimPrefix(addr, "https://"), "/")
	return newClient("https", addr, cfg)
}

func newClient(scheme, addr string, cfg *tls.Config) *Client {
	dr := &doer{addr: addr, tls: cfg}
	hc := client.NewClient(scheme, addr, dr, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	calls := operator.NewClient(hc.Apply(), hc.Show(), hc.Explain(), hc.SetDataCentre(),
		hc.SetServer(), hc.Status(), hc.Timeline(), hc.Stop())
	return &Client{addr: addr, calls: calls, timeout: clientTimeout}
}

// Apply replaces the settings and returns their new version.
func (cl *Client) Apply(ctx context.Context, chg Change) (uint64, error) {
	if !utf8.Valid(chg.Text) {
		return 0, &InvalidError{Problems: []Problem{{File: chg.File, Message: "the text is not valid UTF-8"}}}
	}
	pl := &operator.ApplyPayload{Text: string(chg.Text), File: chg.File, Author: chg.Author}
	if chg.Base != 0 {
		pl.BaseVersion = &chg.Base
	}
	return cl.callChange(ctx, func(ctx context.Context) (*operator.Accepted, error) {
		return cl.calls.Apply(ctx, pl)
	})
}

// SetDataCentre takes a data centre out of service or back in and returns the version
// of the settings that contains the change.
func (cl *Client) SetDataCentre(ctx context.Context, name string, out bool, author string) (uint64, error) {
	if !isPathSegment(name) {
		return 0, &UnknownNameError{Kind: KindDataCentre, Name: name}
	}
	pl := &operator.SetDataCentrePayload{Name: name, State: stateIn, Author: author}
	if out {
		pl.State = stateOut
	}
	return cl.callChange(ctx, func(ctx context.Context) (*operator.Accepted, error) {
		return cl.calls.SetDataCentre(ctx, pl)
	})
}

// SetServer drains a backend server or makes it active and returns the version of the
// settings that contains the change.
func (cl *Client) SetServer(ctx context.Context, service, server string, draining bool, author string) (uint64, error) {
	if !isPathSegment(service) {
		return 0, &UnknownNameError{Kind: KindService, Name: service}
	}
	if !isPathSegment(server) {
		return 0, &UnknownNameError{Kind: KindServer, Name: server}
	}
	pl := &operator.SetServerPayload{Service: service, Server: server, State: stateActive, Author: author}
	if draining {
		pl.State = stateDraining
	}
	return cl.callChange(ctx, func(ctx context.Context) (*operator.Accepted, error) {
		return cl.calls.SetServer(ctx, pl)
	})
}

// Settings returns the settings in force on the instance.
func (cl *Client) Settings(ctx context.Context) (Settings, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	res, err := cl.calls.Show(ctx)
	if err != nil {
		return Settings{}, cl.fromWireError(err, false)
	}
	return Settings{Version: res.Version, Author: res.Author, Text: []byte(res.Text)}, nil
}

// Explain returns the resolved values of the servers with the given name, or all values
// if server is empty.
func (cl *Client) Explain(ctx context.Context, server string) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	pl := &operator.ExplainPayload{}
	if server != "" {
		pl.Server = &server
	}
	res, err := cl.calls.Explain(ctx, pl)
	if err != nil {
		return nil, cl.fromWireError(err, false)
	}
	return fromWireValues(res), nil
}

// Status returns the state of the instance.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	res, err := cl.calls.Status(ctx)
	if err != nil {
		return Status{}, cl.fromWireError(err, false)
	}
	return fromWireStatus(res), nil
}

// Timeline returns the newest events at or after since, at most limit. A zero since
// selects all events; a limit of 0 means MaxEvents.
func (cl *Client) Timeline(ctx context.Context, since time.Time, limit int) (Timeline, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	pl := &operator.TimelinePayload{Limit: limit}
	if limit == 0 {
		pl.Limit = MaxEvents
	}
	if !since.IsZero() {
		text := since.Format(time.RFC3339Nano)
		pl.Since = &text
	}
	res, err := cl.calls.Timeline(ctx, pl)
	if err != nil {
		return Timeline{}, cl.fromWireError(err, false)
	}
	tl, err := fromWireTimeline(res)
	if err != nil {
		return Timeline{}, &LostResponseError{Address: cl.addr, Err: err}
	}
	return tl, nil
}

// Stop starts a planned stop of the instance.
func (cl *Client) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	if err := cl.calls.Stop(ctx); err != nil {
		return cl.fromWireError(err, true)
	}
	return nil
}

func (cl *Client) callChange(ctx context.Context, call func(context.Context) (*operator.Accepted, error)) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	res, err := call(ctx)
	if err != nil {
		return 0, cl.fromWireError(err, true)
	}
	return res.Version, nil
}

// fromWireError converts an error of the generated client to an error type of this
// package. It is a LostResponseError unless the instance reported the result or the
// request certainly had no effect.
func (cl *Client) fromWireError(err error, change bool) error {
	var (
		is *operator.InvalidSettings
		cf *operator.Conflict
		su *operator.StoreUnavailable
		nf *operator.NotFound
		re *RequestError
		ns *NotSentError
	)
	switch {
	case errors.As(err, &is):
		return &InvalidError{Problems: fromWireProblems(is.Problems)}
	case errors.As(err, &cf):
		return &ConflictError{Base: cf.BaseVersion, Current: cf.CurrentVersion}
	case errors.As(err, &su):
		return &StoreError{Outcome: ChangeOutcome(su.Outcome), Cause: su.Cause}
	case errors.As(err, &nf):
		return &UnknownNameError{Kind: nf.Kind, Name: nf.Unknown}
	case errors.As(err, &re) && re.Status < http.StatusInternalServerError:
		return re
	case errors.As(err, &ns):
		return ns
	}
	return &LostResponseError{Address: cl.addr, Change: change, Err: unwrapClientError(err)}
}

// unwrapClientError returns the cause of a goa client error, whose own text repeats
// that of the cause.
func unwrapClientError(err error) error {
	var ce *goahttp.ClientError
	if errors.As(err, &ce) && ce.Err != nil {
		return ce.Err
	}
	return err
}

// isPathSegment reports whether a name can be one segment of a URL path. Any other name
// cannot be in the settings, because names there have no slash.
func isPathSegment(name string) bool {
	return name != "" && name != "." && name != ".." && !strings.Contains(name, "/")
}
