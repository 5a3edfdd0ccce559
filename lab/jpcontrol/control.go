// Package jpcontrol serves the HTTP control interfaces of the simulated environment.
// Requests and responses have JSON bodies.
package jpcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 4 << 20

// Server is a running control interface.
type Server struct {
	srv *http.Server
	lis net.Listener
}

// Serve listens on addr and serves hdl in the background until Close.
func Serve(addr string, hdl http.Handler) (*Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, oops.Wrapf(err, "control: listen on %s", addr)
	}
	srv := &Server{
		srv: &http.Server{Handler: hdl, ReadHeaderTimeout: 10 * time.Second},
		lis: lis,
	}
	go srv.srv.Serve(lis)
	return srv, nil
}

// Addr returns the address that the server listens on, with the actual port.
func (srv *Server) Addr() string {
	return srv.lis.Addr().String()
}

// Close stops the server. Requests that don't end within 200 ms are aborted.
func (srv *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if errors.Is(srv.srv.Shutdown(ctx), context.DeadlineExceeded) {
		srv.srv.Close()
	}
}

// Get returns a handler that responds with the result of get.
func Get[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, get())
	}
}

// Post returns a handler that decodes a body of type T, calls act with it and
// responds with the result. An empty body is the zero value of T. Invalid bodies,
// unknown fields included, and errors of act get the status 400.
func Post[T, R any](act func(T) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var body T
		if req.ContentLength != 0 {
			dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBody))
			dec.DisallowUnknownFields()
			if err := dec.Decode(&body); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		res, err := act(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, res)
	}
}

// WriteJSON responds with val as JSON.
func WriteJSON(w http.ResponseWriter, val any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(val)
}
