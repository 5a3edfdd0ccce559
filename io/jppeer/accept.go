package jppeer

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"jacinthpass/io/jphttp"
	"jacinthpass/io/jptls"
)

const (
	// idleTimeout closes an accepted connection on which neither a message
	// nor a ping has arrived. It spans four ping intervals with their timeouts.
	idleTimeout = 4 * (pingInterval + pingTimeout)

	readHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 8 << 10
)

func (nd *Node) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+peerPath, nd.serveConnection)
	return &http.Server{
		Handler:           jphttp.CrashOnPanic(mux),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Discarded, so that clients that do not speak HTTP cannot fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (nd *Node) wrapListener(listener net.Listener) net.Listener {
	if nd.cfg.TLS == nil {
		return listener
	}
	return jptls.NewListener(listener, nd.cfg.TLS, nd.refusals)
}

// registerConnection adds an accepted connection to those that Serve waits for.
// It returns the context of Serve, or nil if Serve is not running.
func (nd *Node) registerConnection() context.Context {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.closed || nd.ctx == nil {
		return nil
	}
	nd.wg.Add(1)
	return nd.ctx
}

// serveConnection serves one incoming connection. An instance that has taken over
// the address of another one refuses connections meant for that instance, because
// the sequence numbers of heartbeats are specific to the addressee.
func (nd *Node) serveConnection(wr http.ResponseWriter, req *http.Request) {
	ctx := nd.registerConnection()
	if ctx == nil {
		http.Error(wr, "stopping", http.StatusServiceUnavailable)
		return
	}
	defer nd.wg.Done()
	from, to := req.URL.Query().Get("from"), req.URL.Query().Get("to")
	if status, err := nd.checkRequest(req, from, to); err != nil {
		nd.refusals.Add(remoteAddr(req.RemoteAddr), err)
		http.Error(wr, err.Error(), status)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	conn, err := websocket.Accept(wr, req, &websocket.AcceptOptions{
		CompressionMode: compressionMode,
		OnPingReceived: func(context.Context, []byte) bool {
			idle.Reset(idleTimeout)
			return true
		},
	})
	if err != nil {
		return
	}
	defer conn.CloseNow()
	defer nd.addAdvertised(from, parseAddresses(req.URL.Query()))()
	nd.counts.incomingConnections.Add(1)
	defer nd.counts.incomingConnections.Add(-1)
	err = nd.readMessages(ctx, conn, from, idle)
	klog.V(1).Infof("peer: connection from %s ended: %v", from, err)
}

// checkRequest returns an error and its HTTP status unless the request names its
// sender and is addressed to this instance. With TLS, the certificate also has to be
// the sender's.
func (nd *Node) checkRequest(req *http.Request, from, to string) (status int, err error) {
	if from == "" || from == nd.cfg.ID {
		return http.StatusBadRequest, errors.New("from has to name the dialling instance")
	}
	if to != nd.cfg.ID {
		return http.StatusMisdirectedRequest, errors.New("this is instance " + nd.cfg.ID)
	}
	if nd.cfg.TLS == nil {
		return 0, nil
	}
	if req.TLS == nil || len(req.TLS.PeerCertificates) == 0 {
		return http.StatusForbidden, errors.New("no certificate")
	}
	return http.StatusForbidden, jptls.CheckInstance(req.TLS.PeerCertificates[0], from)
}

// remoteAddr is a TCP address in text form, as in http.Request.RemoteAddr.
type remoteAddr string

func (remoteAddr) Network() string   { return "tcp" }
func (rm remoteAddr) String() string { return string(rm) }

// readMessages passes messages to handle until the connection ends. A malformed
// frame is counted and closes the connection.
func (nd *Node) readMessages(ctx context.Context, conn *websocket.Conn, from string, idle *time.Timer) error {
	conn.SetReadLimit(maxFrameBytes)
	for {
		_, frame, err := conn.Read(ctx)
		if errors.Is(err, websocket.ErrMessageTooBig) {
			nd.counts.malformedFrames.Add(1)
		}
		if err != nil {
			return err
		}
		idle.Reset(idleTimeout)
		kind, msg, err := decode(frame)
		if err == nil {
			err = checkSender(from, msg)
		}
		if err != nil {
			nd.counts.malformedFrames.Add(1)
			return err
		}
		nd.counts.read[kind].add(frameBytes(len(frame)))
		nd.handle(from, msg)
	}
}

// checkSender returns an error for a heartbeat whose sender is not the instance
// that opened the connection.
func checkSender(from string, msg any) error {
	hb, ok := msg.(Heartbeat)
	if ok && hb.Member.From != from {
		return errors.New("peer: heartbeat of " + hb.Member.From + " on the connection of " + from)
	}
	return nil
}
