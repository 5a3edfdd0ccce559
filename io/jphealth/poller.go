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

	// MaxConcurrentPolls bounds the number of polls that run at once.
	MaxConcurrentPolls = 32

	// jitterFraction is the fraction of Interval by which the time between
	// polls varies. It spreads the polls of servers that were set at once.
	jitterFraction = 0.1

	// maxFirstDelay bounds the random delay of a server's first poll, which
	// spreads the first polls after a change of servers.
	maxFirstDelay = 200 * time.Millisecond

	idleTimeout = 10 * time.Second
)

// Poller polls the load endpoints of a set of servers.
type Poller struct {
	report  func(jpsteering.Report)
	client  *http.Client
	slots   chan struct{} // semaphore: one element for each running poll
	changed chan struct{} // signals Run to read servers

	mu      sync.Mutex
	servers []jpsteering.OwnedServer
}

// New returns a Poller that calls report with the result of each poll. A poll without
// a valid response is reported as jpsteering.ReportFailed. Several goroutines may
// call report at once.
func New(report func(jpsteering.Report)) *Poller { return NewWithLocalAddr(netip.Addr{}, report) }

// NewWithLocalAddr is like New and sets the local address of all connections. If it
// is invalid or unspecified, the system selects it.
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

// newTransport returns a transport that limits the size of response headers and uses
// no proxy, since load endpoints are inside the data centre.
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

// refuseRedirect makes the client return a redirect as the response, which is invalid
// by its status, so that a server cannot direct polls to other addresses.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// SetServers replaces the servers to poll. Servers that stay keep their
// schedule. Servers without a LoadURL are not polled. A running poll may still
// report a server that has been removed.
func (po *Poller) SetServers(servers []jpsteering.OwnedServer) {
	po.mu.Lock()
	po.servers = slices.Clone(servers)
	po.mu.Unlock()
	select {
	case po.changed <- struct{}{}:
	default: // Run has not read an earlier change yet
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

// reconcile starts and cancels poll loops so that each server with a LoadURL has one.
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

// pollLoop polls one server until ctx ends. The next poll starts after the previous
// one has ended, so that polls of a hanging endpoint do not accumulate.
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
		klog.Warningf("health: poll of %s of service %s failed: %v", sr.LoadURL, sr.Service, err)
		return
	}
	klog.Infof("health: poll of %s of service %s succeeded again", sr.LoadURL, sr.Service)
}

// acquireSlot waits for a free slot. It returns false if ctx ends first.
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

// sleepUntil sleeps until a time. It returns false if ctx ends first.
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
