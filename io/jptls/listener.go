package jptls

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	handshakeTimeout = 2 * time.Second

	// maxHandshakes bounds the handshakes in progress, so that unauthenticated
	// connections cannot exhaust the file descriptors.
	maxHandshakes = 1024

	// A connection that is closed with unread data is reset, and the other end
	// may then lose the TLS alert with the cause. These bound the time and the
	// bytes of reading before the connection is closed.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10
)

var errTooManyHandshakes = errors.New("too many handshakes in progress")

// plainHTTPResponse is sent to a client that does not use TLS.
const plainHTTPResponse = "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" +
	`{"name":"tls_required","message":"this address takes TLS connections only"}` + "\n"

// Listener accepts connections whose handshake has succeeded. All others are
// closed and counted as refused.
type Listener struct {
	net.Listener
	cfg            *tls.Config
	refusals       *Refusals
	ctx            context.Context // ends when the listener is closed
	cancel         context.CancelFunc
	handshakeSlots chan struct{}
	results        chan acceptResult
	wg             sync.WaitGroup
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// NewListener returns a listener that accepts the connections of base.
func NewListener(base net.Listener, cfg *tls.Config, refusals *Refusals) *Listener {
	ls := &Listener{
		Listener: base, cfg: cfg, refusals: refusals,
		handshakeSlots: make(chan struct{}, maxHandshakes),
		results:        make(chan acceptResult),
	}
	ls.ctx, ls.cancel = context.WithCancel(context.Background())
	ls.wg.Go(ls.acceptAll)
	return ls
}

// Accept returns the next connection with a valid certificate.
func (ls *Listener) Accept() (net.Conn, error) {
	select {
	case rs := <-ls.results:
		return rs.conn, rs.err
	case <-ls.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close stops accepting and aborts the handshakes in progress.
func (ls *Listener) Close() error {
	ls.cancel()
	err := ls.Listener.Close()
	ls.wg.Wait()
	return err
}

func (ls *Listener) acceptAll() {
	for ls.ctx.Err() == nil {
		conn, err := ls.Listener.Accept()
		if err != nil {
			ls.deliver(acceptResult{err: err})
			continue
		}
		select {
		case ls.handshakeSlots <- struct{}{}:
			ls.wg.Go(func() {
				defer func() { <-ls.handshakeSlots }()
				ls.handshake(conn)
			})
		default:
			ls.refusals.Add(conn.RemoteAddr(), errTooManyHandshakes)
			conn.Close()
		}
	}
}

// deliver passes a result to Accept. It returns false if the listener is closed.
func (ls *Listener) deliver(rs acceptResult) bool {
	select {
	case ls.results <- rs:
		return true
	case <-ls.ctx.Done():
		return false
	}
}

func (ls *Listener) handshake(raw net.Conn) {
	conn := tls.Server(raw, ls.cfg)
	ctx, cancel := context.WithTimeout(ls.ctx, handshakeTimeout)
	defer cancel()
	err := conn.HandshakeContext(ctx)
	if err == nil {
		if !ls.deliver(acceptResult{conn: conn}) {
			conn.Close()
		}
		return
	}
	if ls.ctx.Err() == nil {
		ls.refusals.Add(raw.RemoteAddr(), err)
	}
	var plain tls.RecordHeaderError
	if errors.As(err, &plain) && plain.Conn != nil {
		_, _ = io.WriteString(raw, plainHTTPResponse)
	}
	ls.linger(raw)
}

// linger closes a connection after giving the other end time to read the alert.
func (ls *Listener) linger(raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ls.ctx, func() { raw.Close() })
	defer stop()
	if half, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = raw.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, raw, maxLingerBytes)
}
