package jpentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/core/jpmember"
	"jacinthpass/io/jppeer"
	"jacinthpass/io/jptimeline"
)

const (
	// tickInterval is the period of Entry.tick and thereby the resolution of
	// heartbeats' deadlines; see jpmember.
	tickInterval = 100 * time.Millisecond

	// readBufferSize is the size of the socket's receive buffer in bytes. It
	// holds 3,000 packets, more than all callers of a data centre have in flight.
	readBufferSize = 4 << 20
)

// Options are the settings of an entry instance that do not come from the
// platform.
type Options struct {
	MetricsPort       uint16     // 0 disables the metrics server
	LogLinesPerSecond int        // limit on log lines about packets, per second
	Log               *LogWriter // source of the count of dropped lines; may be nil
}

// Entry is one running entry instance.
type Entry struct {
	platform         Platform
	settings         Settings
	options          Options
	conn             *net.UDPConn
	peers            *jppeer.Node
	store            atomic.Pointer[storeHandle]
	started          time.Time
	watchFrom        time.Time // earliest time at which it may select itself as a watcher
	metrics          *metrics
	timeline         *jptimeline.Timeline
	lineLimiter      *lineLimiter // of lines about packets other than resets
	resetLineLimiter *lineLimiter

	stopping      atomic.Bool
	lastPacket    atomic.Int64  // receive time of the last packet from a caller, Unix ns
	manifestKnown chan struct{} // closed once the directory has a manifest
	flowsWait     chan struct{} // holds a value once a flow waits
	unregistered  chan struct{} // holds a value once the store has lost this instance's entry

	// The following fields are used by tick only.
	nextTrafficLog time.Time
	nextStats      time.Time
	connectedPeers []jppeer.Peer // to which connections are kept

	mu             sync.Mutex // guards the fields below
	dispatcher     *jpdispatch.Dispatcher
	directory      *jpdirectory.Directory
	group          *jpmember.Group
	view           jpmember.View
	storeHealth    storeHealth
	statuses       map[string]peerStatus
	transits       jpdirectory.Transits[string] // by id of the peer
	nextStatus     time.Time                    // when the next status is due
	statusProgress jpdirectory.Progress         // progress in the last status sent to peers
	requestLimiter *jpdirectory.RequestLimiter
	nextTagRequest time.Time // earliest next request for servers with unknown tags
	watchDuty      *jpdirectory.WatchDuty
	held           jpdispatch.HoldQueue[heldPacket] // packets received before the directory had a manifest
	waiting        map[jpdispatch.FlowKey][]byte    // SYNs of the flows that wait in the dispatcher
}

// storeHandle is a client of the store with the address it was opened for.
type storeHandle struct {
	Store
	address      netip.AddrPort
	earlierCalls uint64 // calls of the clients before it
}

// totalCalls returns the number of calls made since the start of the instance.
func (sh *storeHandle) totalCalls() uint64 { return sh.earlierCalls + sh.CallCount() }

// storeHealth is the state of the store as this instance observes it.
type storeHealth struct {
	upSince      time.Time // since when it has answered without interruption; zero while it does not answer
	lastResponse time.Time // time of the last response
	era          uint64    // of the last response
}

// peerStatus is the latest status message of a peer, with its durations converted
// to points in time.
type peerStatus struct {
	progress     jpdirectory.Progress
	currentAt    time.Time
	storeUpSince time.Time
	receivedAt   time.Time
}

// Run runs an entry instance until ctx ends and the planned stop is complete. A
// value on reload makes it read the settings again. It returns an error if the
// instance cannot start or one of its goroutines fails.
func Run(ctx context.Context, pf Platform, opts Options, reload <-chan struct{}) error {
	settings, err := pf.LoadSettings()
	if err != nil {
		return err
	}
	en, err := newEntry(pf, settings, opts, time.Now())
	if err != nil {
		return err
	}
	defer en.conn.Close()
	klog.InfoS("entry: started", "instance", settings.ID, "data_centre", settings.DataCentre,
		"traffic", settings.Traffic, "store", settings.Store, "seeds", len(settings.Seeds))
	en.timeline.Add("entry", "instance_started", settings.ID, "")
	err = en.run(ctx, reload)
	klog.InfoS("entry: stopped", "instance", settings.ID, "err", err)
	return err
}

func newEntry(pf Platform, settings Settings, opts Options, now time.Time) (*Entry, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Traffic))
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadBuffer(readBufferSize); err != nil {
		klog.InfoS("entry: cannot set the receive buffer size, keeping the system's default", "err", err)
	}
	en := &Entry{
		platform: pf, settings: settings, options: opts, conn: conn, started: now,
		watchFrom:        now.Add(startGracePeriod + rand.N(startGraceJitter)),
		metrics:          newMetrics(settings.ID, settings.DataCentre),
		lineLimiter:      newLineLimiter(opts.LogLinesPerSecond),
		resetLineLimiter: newLineLimiter(opts.LogLinesPerSecond),
		dispatcher:       jpdispatch.New(settings.DataCentre),
		directory:        jpdirectory.New(),
		requestLimiter:   jpdirectory.NewRequestLimiter(now),
		watchDuty:        jpdirectory.NewWatchDuty(settings.ChangeLimit),
		statuses:         map[string]peerStatus{},
		manifestKnown:    make(chan struct{}),
		flowsWait:        make(chan struct{}, 1),
		unregistered:     make(chan struct{}, 1),
		waiting:          map[jpdispatch.FlowKey][]byte{},
	}
	en.store.Store(&storeHandle{Store: pf.OpenStore(settings.Store), address: settings.Store})
	self := jpmember.Member{
		ID: settings.ID, DataCentre: settings.DataCentre,
		Addresses:   jpmember.Addresses{Traffic: settings.Traffic, Peer: settings.Peer},
		Incarnation: uint64(now.UnixNano()),
	}
	en.group = jpmember.NewGroup(self, now)
	en.peers = jppeer.New(jppeer.Config{ID: settings.ID, Listen: settings.Peer, Advertise: self.Addresses}, en.handleMessage)
	en.timeline = jptimeline.New(settings.ID, en.peers.Send)
	en.updateMembership(now)
	return en, nil
}

func (en *Entry) run(ctx context.Context, reload <-chan struct{}) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return en.serveReadiness(workCtx) })
	group.Go(func() error { return en.servePackets(workCtx) })
	group.Go(func() error { return en.peers.Serve(workCtx) })
	group.Go(func() error { en.runTicks(workCtx); return nil })
	group.Go(func() error { en.runReleases(workCtx); return nil })
	group.Go(func() error { en.syncDirectory(workCtx); return nil })
	group.Go(func() error { en.maintainRegistration(workCtx); return nil })
	group.Go(func() error { en.watchSettings(workCtx, reload); return nil })
	if en.options.MetricsPort != 0 {
		group.Go(func() error { return en.serveMetrics(workCtx) })
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-workCtx.Done():
			return nil
		case <-ctx.Done():
		}
		en.stop(workCtx)
		return nil
	})
	return group.Wait()
}

// serveReadiness serves readiness checks until ctx ends.
func (en *Entry) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+en.platform.ReadinessPath, func(wr http.ResponseWriter, _ *http.Request) {
		if !en.ready() {
			wr.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, en.settings.Readiness.String(), mux)
}

func (en *Entry) ready() bool {
	if en.stopping.Load() {
		return false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.directory.Manifest() != nil
}

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	readHeaderTimeout = 2 * time.Second // longer than readiness checks wait for a response
	maxHeaderBytes    = 8 << 10         // bytes
)

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
