package jppeer

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"jacinthpass/io/jptls"
)

// Timing of outgoing connections.
const (
	dialTimeout  = 2 * time.Second // TCP connection, TLS and WebSocket handshakes
	writeTimeout = time.Second     // a peer that does not read must not block the writer

	// A middlebox can lose the state of a connection, which then stays open but
	// carries nothing, while new connections work. The dialling side detects
	// this with pings.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	// A connection that lasted for longer than backoffResetAfter resets the
	// backoff. A failed attempt, which takes dialTimeout at most, does not.
	backoffResetAfter = 2 * dialTimeout
)

// peerPath is the URL path of peer connections; see connectionQuery for the query.
const peerPath = "/peer"

// Messages of at least compressionThreshold bytes are compressed if the peer
// supports it (RFC 7692). Updates of the directory and settings shrink by a factor
// of up to ten; smaller messages are not worth the processor time. Keeping the
// compression window between messages would take 1.2 MB for each connection.
const (
	compressionMode      = websocket.CompressionNoContextTakeover
	compressionThreshold = 4 << 10
)

// link maintains the outgoing connection to one peer.
type link struct {
	node   *Node
	peer   Peer
	client *http.Client
	queue  *queue
	cancel context.CancelFunc
}

func newLink(nd *Node, pr Peer) *link {
	return &link{
		node: nd, peer: pr, client: &http.Client{Transport: nd.newTransport(pr.ID)},
		queue: newQueue(), cancel: func() {},
	}
}

// run connects to the peer, again after each failure, until ctx is done.
func (lk *link) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := lk.connectAndSend(ctx)
		if ctx.Err() != nil {
			return
		}
		klog.V(1).Infof("peer: connection to %s ended: %v", lk.peer.ID, err)
		if time.Since(began) > backoffResetAfter {
			backoff = minBackoff
		}
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// jitter returns a random duration between half of dur and dur, so that the
// instances that lost a peer do not all reconnect to it at once.
func jitter(dur time.Duration) time.Duration {
	return dur/2 + rand.N(dur/2+1)
}

func sleep(ctx context.Context, dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// connectAndSend dials the peer and sends messages until the connection fails.
func (lk *link) connectAndSend(ctx context.Context) error {
	conn, err := lk.dial(ctx)
	if err != nil {
		return err
	}
	defer conn.CloseNow()
	lk.node.counts.outgoingConnections.Add(1)
	defer lk.node.counts.outgoingConnections.Add(-1)
	lk.queue.setConnected(true)
	defer lk.queue.setConnected(false)
	// CloseRead answers control frames and ends the connection if the peer
	// sends a message on it.
	ctx, cancel := context.WithCancel(conn.CloseRead(ctx))
	defer cancel()
	pinged := make(chan struct{})
	go func() {
		defer close(pinged)
		defer cancel()
		sendPings(ctx, conn)
	}()
	err = lk.writeMessages(ctx, conn)
	cancel()
	<-pinged
	return err
}

func (lk *link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	target := url.URL{
		Scheme:   "http",
		Host:     lk.peer.Address.String(),
		Path:     peerPath,
		RawQuery: lk.node.connectionQuery(lk.peer.ID).Encode(),
	}
	if lk.node.cfg.TLS != nil {
		target.Scheme = "https"
	}
	conn, _, err := websocket.Dial(ctx, target.String(), &websocket.DialOptions{
		HTTPClient: lk.client, CompressionMode: compressionMode, CompressionThreshold: compressionThreshold,
	})
	var invalid *jptls.CertificateError
	if errors.As(err, &invalid) {
		lk.node.refusals.Add(remoteAddr(lk.peer.Address.String()), err)
	}
	return conn, err
}

// writeMessages sends queued messages until the connection fails or ctx is done.
func (lk *link) writeMessages(ctx context.Context, conn *websocket.Conn) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-lk.queue.ready:
		}
		msg, ok := lk.queue.pop()
		if !ok {
			continue
		}
		if err := writeFrame(ctx, conn, msg.frame); err != nil {
			return err
		}
		lk.node.counts.written[msg.kind].add(frameBytes(len(msg.frame)))
	}
}

func writeFrame(ctx context.Context, conn *websocket.Conn, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, frame)
}

// sendPings pings the peer at intervals. It returns when a ping is not answered in
// time or ctx is done.
func sendPings(ctx context.Context, conn *websocket.Conn) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(pingInterval))
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return
		}
	}
}

// newTransport returns the HTTP transport for dialling a peer.
func (nd *Node) newTransport(peer string) *http.Transport {
	var secure *tls.Config
	if nd.cfg.TLS != nil {
		secure = jptls.ClientConfigFor(nd.cfg.TLS, peer)
	}
	return &http.Transport{
		DialContext:       nd.dialCounting,
		TLSClientConfig:   secure,
		DisableKeepAlives: true,
	}
}

func (nd *Node) dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: nd.localAddr()}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, counts: &nd.counts}, nil
}

// localAddr returns the local address of outgoing connections: that of the
// listener, so that peers and networks see an instance under one address only. It
// is nil if the listener has no specific address.
func (nd *Node) localAddr() net.Addr {
	ad := nd.cfg.Listen.Addr()
	if !ad.IsValid() || ad.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ad.AsSlice()}
}
