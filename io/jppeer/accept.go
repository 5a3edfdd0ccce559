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
	// idleTime ends an accepted connection that carried neither a message
	// nor a ping. It exceeds several intervals of pings.
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
		// Requests that are not HTTP are not worth a line each.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (nd *Node) wrapListener(listener net.Listener) net.Listener {
	if nd.cfg.TLS == nil {
		return listener
	}
	return jptls.NewListener(listener, nd.cfg.TLS, nd.refused)
}

// enter registers an accepted connection. It returns nil when Serve has ended.
func (nd *Node) registerConnection() context.Context {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.closed || nd.ctx == nil {
		return nil
	}
	nd.wg.Add(1)
	return nd.ctx
}

// accept serves one incoming connection. An instance that took over the address
// of another refuses connections meant for it: sequence numbers of heartbeats
// only mean something to the instance that they are addressed to.
func (nd *Node) serveConnection(wr http.ResponseWriter, req *http.Request) {
	ctx := nd.registerConnection()
	if ctx == nil {
		http.Error(wr, "stopping", http.StatusServiceUnavailable)
		return
	}
	defer nd.wg.Done()
	from, to := req.URL.Query().Get("from"), req.URL.Query().Get("to")
	if status, err := nd.checkRequest(req, from, to); err != nil {
		nd.refused.Add(remoteAddr(req.RemoteAddr), err)
		http.Error(wr, err.Error(), status)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	conn, err := websocket.Accept(wr, req, &websocket.AcceptOptions{
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

// check refuses a connection that is not from the instance that it names, or
// not meant for this one.
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

// remote is the address of a request in the form that net/http gives it.
type remoteAddr string

func (remoteAddr) Network() string   { return "tcp" }
func (rm remoteAddr) String() string { return string(rm) }

// read hands over messages until the connection ends. A frame that cannot be
// read is counted and ends the connection.
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

// checkSender refuses a heartbeat in the name of another instance.
func checkSender(from string, msg any) error {
	hb, ok := msg.(Heartbeat)
	if ok && hb.Member.From != from {
		return errors.New("peer: heartbeat of " + hb.Member.From + " from " + from)
	}
	return nil
}
