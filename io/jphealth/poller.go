// Package jphealth polls the load endpoints of backend servers.
package jphealth

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpsteering"
)

const (
	// Interval is the mean time between polls of one server.
	Interval = time.Second

	// Timeout bounds one poll, from the connection to the end of the body. It
	// is shorter than Interval so that a hanging endpoint is still reported
	// once in each interval.
	Timeout = 800 * time.Millisecond

	// Concurrency bounds the polls that run at once.
	MaxConcurrentPolls = 32

	// jitter is the part of Interval by which polls vary. It keeps the polls
	// of servers that were set together from staying together.
	jitterFraction = 0.1

	// firstDelay spreads the first polls after a change of servers.
	maxFirstDelay = 200 * time.Millisecond

	idleTimeout = 10 * time.Second
)

// Poller polls the load endpoints of a set of servers.
type Poller struct {
	report  func(jpsteering.Report)
	client  *http.Client
	slots   chan struct{} // holds an element for each poll that runs
	changed chan struct{} // tells Run to read servers

	mu      sync.Mutex
	servers []jpsteering.OwnedServer
}

// New returns a Poller that passes each answer to report. A server without a
// valid answer is reported as jpsteering.ReportFailed, once for each poll.
// Several goroutines may call report at once.
func New(report func(jpsteering.Report)) *Poller { return NewWithLocalAddr(netip.Addr{}, report) }

// NewFrom is New with the local address of all connections. An invalid one
// leaves the choice to the system.
func NewWithLocalAddr(source netip.Addr, report func(jpsteering.Report)) *Poller {
	return &Poller{
		report: report,
		client: &http.Client{
			Transport:     newTransport(source),
			CheckRedirect: refuseRedirect,
		},
		slots:   make(chan struct{}, MaxConcurrentPolls),
		changed: make(chan struct{}, 1),
	}
}

// newTransport returns a transport that reads little and uses no proxy, since
// load endpoints are inside the data centre.
func newTransport(source netip.Addr) *http.Transport {
	dialer := &net.Dialer{Timeout: Timeout}
	if source.IsValid() && !source.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bodyLimit,
	}
}

// refuseRedirect makes a redirect an answer with a status other than 200, so
// that a server cannot direct polls to other addresses.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// SetServers replaces the servers to poll. Servers that stay keep their
// schedule. Servers without a LoadURL are not polled. A poll that is running
// may still report a server that is no longer set.
func (po *Poller) SetServers(servers []jpsteering.OwnedServer) {
	po.mu.Lock()
	po.servers = slices.Clone(servers)
	po.mu.Unlock()
	select {
	case po.changed <- struct{}{}:
	default: // Run has yet to read an earlier change
	}
}

// Run polls the servers until ctx ends, and returns when no poll runs any more.
func (po *Poller) Run(ctx context.Context) {
	var group sync.WaitGroup
	loops := map[jpsteering.OwnedServer]context.CancelFunc{}
	for {
		po.reconcile(ctx, &group, loops)
		select {
		case <-po.changed:
		case <-ctx.Done():
			for _, cancel := range loops {
				cancel()
			}
			group.Wait()
			po.client.CloseIdleConnections()
			return
		}
	}
}

// reconcile starts and ends loops so that each server has one.
func (po *Poller) reconcile(ctx context.Context, group *sync.WaitGroup, loops map[jpsteering.OwnedServer]context.CancelFunc) {
	wanted := map[jpsteering.OwnedServer]bool{}
	po.mu.Lock()
	for _, sr := range po.servers {
		wanted[sr] = sr.LoadURL != ""
	}
	po.mu.Unlock()
	for sr, cancel := range loops {
		if !wanted[sr] {
			cancel()
			delete(loops, sr)
		}
	}
	for sr, polled := range wanted {
		if polled && loops[sr] == nil {
			ctx, cancel := context.WithCancel(ctx)
			loops[sr] = cancel
			group.Go(func() { po.pollLoop(ctx, sr) })
		}
	}
}

// loop polls one server until ctx ends. The next poll starts after the
// previous one has ended, so that polls of a hanging endpoint do not pile up.
func (po *Poller) pollLoop(ctx context.Context, sr jpsteering.OwnedServer) {
	due := time.Now().Add(rand.N(maxFirstDelay))
	responding := true
	for sleepUntil(ctx, due) && po.acquireSlot(ctx) {
		due = time.Now().Add(nextDelay())
		rep, err := po.poll(ctx, sr)
		<-po.slots
		if ctx.Err() != nil {
			return
		}
		if responding != (err == nil) {
			responding = err == nil
			logChange(sr, err)
		}
		po.report(rep)
	}
}

func logChange(sr jpsteering.OwnedServer, err error) {
	if err != nil {
		klog.Warningf("health: %s of service %s does not answer: %v", sr.LoadURL, sr.Service, err)
		return
	}
	klog.Infof("health: %s of service %s answers again", sr.LoadURL, sr.Service)
}

// acquire waits for a free slot. It returns false if ctx ends before.
func (po *Poller) acquireSlot(ctx context.Context) bool {
	select {
	case po.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func nextDelay() time.Duration {
	return time.Duration(float64(Interval) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}

// sleepUntil returns false if ctx ends before the time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
