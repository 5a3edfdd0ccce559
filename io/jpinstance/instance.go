// Package jpinstance runs one instance: it connects the state machines of the core
// packages to sockets, peers, the platform's store and operators.
package jpinstance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jphealth"
	"jacinthpass/io/jpmetrics"
	"jacinthpass/io/jpoperator"
	"jacinthpass/io/jppeer"
	"jacinthpass/io/jpsocket"
	"jacinthpass/io/jpstore"
	"jacinthpass/io/jptimeline"
	"jacinthpass/io/jptls"
)

const (
	controlInterval         = 50 * time.Millisecond
	steeringInterval        = 100 * time.Millisecond
	settingsRequestInterval = 300 * time.Millisecond // between requests for settings, whichever peer they go to
	loadInterval            = 500 * time.Millisecond // between heartbeats that carry loads
	shutdownTimeout         = 2 * time.Second        // for calls of operators in progress
)

// Instance is one running instance of the load balancer.
type Instance struct {
	cfg          Config
	sockets      *jpsocket.Sockets
	peers        *jppeer.Node
	store        *jpstore.Client
	health       *jphealth.Poller
	metrics      *jpmetrics.Metrics
	tls          *tls.Config     // nil if peers and operators are not authenticated
	refusals     *jptls.Refusals // refused connections of operators
	control      controlState
	steering     steeringState
	timeline     *jptimeline.Timeline
	eventLimiter eventLimiter

	lastFabricPacket atomic.Int64 // time of the last packet from the fabric, Unix nanoseconds
	addressesMissing atomic.Bool  // the peer address of a live member is not known yet
	stopping         atomic.Bool
	stop             chan struct{} // closed by a request for a planned stop
	stopOnce         sync.Once
	listRefresh      chan struct{} // requests a read of the instance list before the next poll
}

// controlState is the state of the membership and of the settings.
type controlState struct {
	mu                  sync.Mutex
	group               *jpmember.Group
	rollout             jprollout.Rollout
	view                jpmember.View
	nextLoads           time.Time        // from then on, the next heartbeats carry loads
	nextSettingsRequest time.Time        // until then, a response to the last request may be in transit
	reportedTotals      connectionTotals // already added to the metrics
}

// steeringState is the state of the packet path.
type steeringState struct {
	mu             sync.Mutex
	handler        packetHandler
	steerer        *jpsteering.Steerer            // with a baseline, it runs too but gets no packets
	relayAddresses atomic.Pointer[relayAddresses] // current addresses by instance
	relaySenders   atomic.Pointer[senderSet]      // allowed senders of relayed packets
}

// relayAddresses maps the id of an instance to its relay address.
type relayAddresses map[string]netip.AddrPort

// packetHandler appends the outcomes of one packet to out.
type packetHandler interface {
	HandlePacket(now time.Time, pkt jpsteering.Packet, out []jpsteering.Outcome) []jpsteering.Outcome
}

// Run runs an instance. The end of ctx starts a planned stop, and Run returns when
// the stop is complete. It returns an error if the instance cannot start or if one
// of its goroutines fails.
func Run(ctx context.Context, cfg Config) error {
	in, err := newInstance(cfg, time.Now())
	if err != nil {
		return err
	}
	defer in.sockets.Close()
	listener, err := net.Listen("tcp", cfg.Listen.Operator.String())
	if err != nil {
		return err
	}
	klog.Infof("instance: %s in data centre %s started", cfg.ID, cfg.DataCentre)
	in.recordEvent("instance", "instance_started", cfg.ID, "")
	return in.run(ctx, listener)
}

func newInstance(cfg Config, now time.Time) (*Instance, error) {
	sockets, err := jpsocket.Open(jpsocket.Config{
		Traffic: cfg.Listen.Traffic, Relay: cfg.Listen.Relay, Fabric: cfg.Fabric,
	})
	if err != nil {
		return nil, err
	}
	in := &Instance{
		cfg:         cfg,
		refusals:    jptls.NewRefusals("operator"),
		sockets:     sockets,
		store:       jpstore.OpenFrom(cfg.Store, cfg.Listen.Peer.Addr()),
		metrics:     jpmetrics.New(cfg.ID, cfg.DataCentre),
		stop:        make(chan struct{}),
		listRefresh: make(chan struct{}, 1),
	}
	in.control.group = jpmember.NewGroup(jpmember.Member{
		ID: cfg.ID, DataCentre: cfg.DataCentre, Addresses: cfg.Advertise,
		Incarnation: uint64(now.UnixNano()),
	}, now)
	in.steering.steerer = jpsteering.New(cfg.ID, now)
	in.steering.handler = in.steering.steerer
	if cfg.Baseline != "" {
		if in.steering.handler, err = newBaseline(cfg.Baseline); err != nil {
			return nil, errors.Join(err, sockets.Close())
		}
	}
	if err := in.loadTLS(); err != nil {
		return nil, errors.Join(err, sockets.Close())
	}
	in.steering.relayAddresses.Store(&relayAddresses{})
	in.steering.relaySenders.Store(new(senderSet))
	in.health = jphealth.NewWithLocalAddr(cfg.Listen.Peer.Addr(), in.handleReport)
	in.peers = jppeer.New(jppeer.Config{
		ID: cfg.ID, Listen: cfg.Listen.Peer, Advertise: cfg.Advertise, TLS: in.tls,
	}, in.handleMessage)
	in.timeline = jptimeline.New(cfg.ID, in.peers.Send)
	return in, nil
}

// run runs all goroutines of the instance until a planned stop is complete or one of
// them fails.
func (in *Instance) run(ctx context.Context, listener net.Listener) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return in.sockets.Serve(runCtx, in.handlePacket) })
	group.Go(func() error { return in.peers.Serve(runCtx) })
	group.Go(func() error { return in.serveOperators(runCtx, listener) })
	group.Go(func() error { in.health.Run(runCtx); return nil })
	group.Go(func() error { in.metrics.Run(runCtx); return nil })
	group.Go(func() error { in.runControl(runCtx); return nil })
	group.Go(func() error { in.runSteering(runCtx); return nil })
	group.Go(func() error { in.watchSettings(runCtx); return nil })
	group.Go(func() error { in.watchInstanceList(runCtx); return nil })
	group.Go(func() error {
		defer cancel()
		in.waitForStop(ctx, runCtx)
		return nil
	})
	err := group.Wait()
	klog.Infof("instance: %s stopped", in.cfg.ID)
	return err
}

// serveOperators serves the operators' API until ctx ends.
func (in *Instance) serveOperators(ctx context.Context, listener net.Listener) error {
	server := jpoperator.NewServer(in)
	unregister := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer unregister()
	if err := server.Serve(in.requireTLS(listener)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// recordEvent adds an event to the timeline.
func (in *Instance) recordEvent(part, name, subject, detail string) {
	in.timeline.Add(part, name, subject, detail)
}
