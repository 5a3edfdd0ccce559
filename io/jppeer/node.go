// Package jppeer exchanges messages between instances over WebSocket, encoded in
// CBOR.
//
// An instance sends only on connections that it dialled and receives only on
// connections that it accepted, so that the two directions between two instances
// fail and recover independently.
package jppeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"

	"jacinthpass/core/jpmember"
	"jacinthpass/io/jptls"
)

// Errors of Send.
var (
	ErrUnknownPeer = errors.New("peer: unknown peer")
	ErrQueueFull   = errors.New("peer: queue is full")
	ErrTooLarge    = errors.New("peer: message is too large")
)

// Config describes the instance that a Node belongs to.
type Config struct {
	ID     string
	Listen netip.AddrPort

	// Advertise is sent to the peers on connecting, because they may learn of
	// this instance before the platform's list names it.
	Advertise jpmember.Addresses

	// TLS is used in both directions if it is set; see jptls.Files. The
	// certificate of a peer has to name its id.
	TLS *tls.Config
}

// Peer is an instance to connect to.
type Peer struct {
	ID      string
	Address netip.AddrPort
}

// Node exchanges messages with other instances. Its methods may be called
// concurrently.
type Node struct {
	cfg      Config
	handle   func(from string, msg any)
	counts   counters
	refusals *jptls.Refusals

	mu         sync.Mutex
	ctx        context.Context // of Serve; nil when it is not running
	links      map[string]*link
	advertised map[string]jpmember.Addresses // by id of the instances that are connected to this one
	listenAddr netip.AddrPort
	closed     bool
	wg         sync.WaitGroup // goroutines of links and accepted connections
}

// New returns a node that does nothing before Serve. It calls handle for each
// received message, from one goroutine per connection and in the order in which
// the sender sent them; handle must not block.
func New(cfg Config, handle func(from string, msg any)) *Node {
	return &Node{
		cfg: cfg, handle: handle,
		refusals: jptls.NewRefusals("peer"), links: make(map[string]*link),
		advertised: make(map[string]jpmember.Addresses),
	}
}

// Serve accepts connections and maintains those to peers until ctx is done, and
// returns nil after all of them have ended. It may be called only once. It returns
// an error if it cannot listen or accept.
func (nd *Node) Serve(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", nd.cfg.Listen.String())
	if err != nil {
		return oops.Wrapf(err, "peer: listen on %s", nd.cfg.Listen)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := nd.newServer()
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	nd.start(ctx, listener.Addr())
	err = server.Serve(nd.wrapListener(countingListener{Listener: listener, counts: &nd.counts}))
	stopped := ctx.Err() != nil
	cancel()
	nd.stop()
	if stopped {
		return nil
	}
	return oops.Wrapf(err, "peer: accept on %s", nd.cfg.Listen)
}

func (nd *Node) start(ctx context.Context, addr net.Addr) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.ctx = ctx
	if tcp, ok := addr.(*net.TCPAddr); ok {
		nd.listenAddr = tcp.AddrPort()
	}
	for _, lk := range nd.links {
		nd.startLink(lk)
	}
}

// stop waits until all connections have ended. The context of Serve must be done.
func (nd *Node) stop() {
	nd.mu.Lock()
	nd.ctx = nil
	nd.closed = true
	nd.mu.Unlock()
	nd.wg.Wait()
}

// Address returns the address that Serve listens on, or the zero value before.
func (nd *Node) Address() netip.AddrPort {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.listenAddr
}

// SetPeers replaces the set of instances to connect to. Connections to peers that
// are no longer in it or whose address differs are closed, the others are kept.
// Peers without a valid address and the instance itself are ignored.
func (nd *Node) SetPeers(peers []Peer) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	wanted := make(map[string]Peer, len(peers))
	for _, pr := range peers {
		if pr.Address.IsValid() && pr.ID != nd.cfg.ID {
			wanted[pr.ID] = pr
		}
	}
	for id, lk := range nd.links {
		if wanted[id] != lk.peer {
			lk.cancel()
			delete(nd.links, id)
		}
	}
	for id, pr := range wanted {
		if nd.links[id] != nil {
			continue
		}
		lk := newLink(nd, pr)
		nd.links[id] = lk
		if nd.ctx != nil {
			nd.startLink(lk)
		}
	}
}

// startLink runs a link in a goroutine. The caller holds mu.
func (nd *Node) startLink(lk *link) {
	ctx, cancel := context.WithCancel(nd.ctx)
	lk.cancel = cancel
	nd.wg.Go(func() {
		defer cancel()
		lk.run(ctx)
	})
}

// Send queues a message for a peer and never blocks. A message that was queued
// may still be lost with its connection. The errors are ErrUnknownPeer,
// ErrQueueFull, ErrTooLarge and those of values without a wire form. When the
// queue is full, a heartbeat or directory status replaces the oldest one in it.
func (nd *Node) Send(peer string, msg any) error {
	err := nd.send(peer, msg)
	if err != nil {
		nd.counts.refusedMessages.Add(1)
	}
	return err
}

func (nd *Node) send(peer string, msg any) error {
	nd.mu.Lock()
	lk := nd.links[peer]
	nd.mu.Unlock()
	if lk == nil {
		return ErrUnknownPeer
	}
	kind, frame, err := encode(msg)
	if err != nil {
		return err
	}
	dropped, err := lk.queue.push(queuedMessage{kind: kind, frame: frame})
	nd.counts.supersededMessages.Add(uint64(dropped))
	return err
}

// Stats returns the counts so far.
func (nd *Node) Stats() Stats {
	stats := nd.counts.stats()
	stats.RefusedConnections = nd.refusals.Count()
	return stats
}
