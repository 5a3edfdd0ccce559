package jpoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
	"k8s.io/klog/v2"

	"jacinthpass/gen/http/operator/server"
	"jacinthpass/gen/operator"
	"jacinthpass/io/jphttp"
)

const (
	// MaxEvents limits the events in one response.
	MaxEvents = 100000

	// MaxRequestBytes limits the body of a request. It equals the largest value that
	// the store accepts.
	MaxRequestBytes = 1 << 20

	// CallTimeout limits the time of a call in the backend. It allows for the several
	// store requests that resolve a write whose outcome is unknown.
	CallTimeout = 10 * time.Second

	bodyTimeout   = 5 * time.Second
	headerTimeout = 5 * time.Second
	// writeTimeout covers reading the body, the call and 5 s for sending the response.
	writeTimeout = bodyTimeout + CallTimeout + 5*time.Second
	idleTimeout  = time.Minute
)

// NewHandler returns the handler of the operators' API and of GET /metrics. NewServer
// serves it with timeouts on connections.
func NewHandler(backend Backend) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := operator.NewEndpoints(&service{backend: backend})
	srv := server.New(endpoints, mux, newDecoder, newEncoder, logEncodeError, nil)
	srv.Mount(mux)
	mux.Handle(http.MethodGet, "/metrics", backend.Metrics().ServeHTTP)
	return http.NewCrossOriginProtection().Handler(jphttp.CrashOnPanic(withCertificateName(limitRequests(mux))))
}

// NewServer returns an HTTP server for NewHandler(backend) with all timeouts set.
func NewServer(backend Backend) *http.Server {
	return &http.Server{
		Handler:           NewHandler(backend),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    16 << 10,
	}
}

// limitRequests reads the whole body within limits on its size and time, and sets the
// deadline of the call.
func limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The error is ignored, because the response writers of tests support no
		// deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
		if err != nil {
			writeBodyError(w, err)
			return
		}
		if !utf8.Valid(body) {
			writeError(w, http.StatusBadRequest, "invalid_encoding", "the request is not valid UTF-8")
			return
		}
		// Otherwise the deadline for the body would end a longer call.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		ctx, cancel := context.WithTimeout(r.Context(), CallTimeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "request_too_large", "the request is larger than 1 MB")
		return
	}
	writeError(w, http.StatusRequestTimeout, "request_incomplete", "the request did not arrive in time")
}

// writeError responds with an error in the format of goa.
func writeError(w http.ResponseWriter, status int, name, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(goahttp.ErrorResponse{Name: name, Message: message})
}

func logEncodeError(_ context.Context, _ http.ResponseWriter, err error) {
	klog.Warningf("operator: response not sent: %v", err)
}

// strictDecoder rejects unknown fields: with a misspelt base_version, a change would be
// applied to any version of the settings.
type strictDecoder struct{ dec *json.Decoder }

func newDecoder(r *http.Request) goahttp.Decoder {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	return strictDecoder{dec: dec}
}

func (sd strictDecoder) Decode(v any) error {
	if err := sd.dec.Decode(v); err != nil {
		return err
	}
	if _, err := sd.dec.Token(); !errors.Is(err, io.EOF) {
		return goa.DecodePayloadError("text after the end of the JSON value")
	}
	return nil
}

// newEncoder encodes responses as JSON whatever the Accept header says. The other
// formats of goa are not tested.
func newEncoder(ctx context.Context, w http.ResponseWriter) goahttp.Encoder {
	ctx = context.WithValue(ctx, goahttp.AcceptTypeKey, "application/json")
	return goahttp.ResponseEncoder(ctx, w)
}
