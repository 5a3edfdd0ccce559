// Package jpcaller simulates many callers in one process: standing connections,
// which are long-lived and receive alerts, requests at a given rate, and UDP
// datagrams. It checks every byte that it receives and reports the flows that
// failed.
package jpcaller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"

	"jacinthpass/lab/jpcontrol"
	"jacinthpass/lab/jptunnel"
)

// Config configures Callers.
type Config struct {
	Name      string
	Listen    netip.AddrPort // UDP socket of the tunnel
	Fabric    netip.AddrPort // where packets to services go
	Addresses []netip.Addr   // IP addresses of the callers
	Service   netip.AddrPort
	HTTP      string // address of the control interface
	Seed      uint64
	FirstID   uint64 // ids of requests and connections start above it; processes need disjoint ranges

	Standing    int     // standing connections
	Ramp        float64 // new standing connections per second
	AlertEvery  time.Duration
	AskEvery    time.Duration // mean time between requests on a standing connection, 0 for none
	SilentAfter time.Duration // time without an alert after which a standing connection counts as broken
	Reopen      bool          // open a new standing connection after one broke or was refused

	Rate    float64       // request flows per second
	UDPRate float64       // UDP flows of one datagram per second
	MaxOpen int           // maximum number of open request flows; further requests are skipped
	Size    int           // bytes of content in each answer
	Work    time.Duration // execution time of each request

	Copies     int // how often each segment with payload is sent, 0 is once
	SYNPayload int // bytes of payload added to each SYN

	ConnectTimeout time.Duration
	AnswerTimeout  time.Duration // from sending a request to its whole answer
}

const (
	// firstPort and portCount define the range of the callers' ports.
	firstPort = 16384
	portCount = 32768
	// portStep is the distance between consecutive ports. It is odd and portCount
	// is a power of two, so all ports are used before one is used again.
	portStep = 7919
	// reopenDelay keeps a refused caller from retrying in a tight loop.
	reopenDelay = time.Second
	// idlePollInterval is how often a generator with rate 0 checks for a new rate.
	idlePollInterval = 20 * time.Millisecond
	// closeDelay allows all connections to send their FINs before the tunnel is
	// closed. Without it, servers would see silent connections.
	closeDelay = 300 * time.Millisecond
)

// Callers runs the simulated callers of one process.
type Callers struct {
	conf        Config
	tunnel      *jptunnel.Tunnel
	control     *jpcontrol.Server
	results     *results
	portCounter atomic.Uint64 // source ports assigned so far
	lastID      atomic.Uint64
	rate        atomic.Pointer[float64]
	udpRate     atomic.Pointer[float64]

	ctx          context.Context // its end closes the standing connections
	cancel       context.CancelFunc
	arrivalsCtx  context.Context // its end stops the arrival of new flows
	stopArrivals context.CancelFunc
	requestsWG   sync.WaitGroup
	standingWG   sync.WaitGroup

	mu            sync.Mutex
	standingCount int // standing connections started
}

// Start opens the tunnel and starts the load that conf describes.
func Start(conf Config) (*Callers, error) {
	tn, err := jptunnel.Open(jptunnel.Config{
		Listen: conf.Listen, Peer: conf.Fabric, Addresses: conf.Addresses,
		Copies: conf.Copies, SYNPayload: conf.SYNPayload,
	})
	if err != nil {
		return nil, err
	}
	cl := &Callers{conf: conf, tunnel: tn, results: newResults(conf)}
	cl.results.stray = tn.Stray
	cl.ctx, cl.cancel = context.WithCancel(context.Background())
	cl.arrivalsCtx, cl.stopArrivals = context.WithCancel(cl.ctx)
	cl.lastID.Store(conf.FirstID)
	cl.rate.Store(&conf.Rate)
	cl.udpRate.Store(&conf.UDPRate)
	if conf.HTTP != "" {
		cl.control, err = jpcontrol.Serve(conf.HTTP, cl.handler())
		if err != nil {
			cl.Close()
			return nil, err
		}
	}
	cl.requestsWG.Go(func() { cl.runArrivals(&cl.rate, 1, cl.runRequest) })
	cl.requestsWG.Go(func() { cl.runArrivals(&cl.udpRate, 2, cl.runDatagram) })
	cl.addStanding(conf.Standing)
	return cl, nil
}

// Stop stops the arrival of new flows and waits for the running requests.
func (cl *Callers) Stop() {
	cl.stopArrivals()
	cl.requestsWG.Wait()
}

// Close stops all load and closes all connections, which don't count as broken.
func (cl *Callers) Close() {
	cl.Stop()
	cl.cancel()
	cl.standingWG.Wait()
	time.Sleep(closeDelay)
	if cl.control != nil {
		cl.control.Close()
	}
	cl.tunnel.Close()
}

// HTTPAddr returns the address of the control interface.
func (cl *Callers) HTTPAddr() string {
	return cl.control.Addr()
}

// Results returns the results so far.
func (cl *Callers) Results() Results {
	return cl.results.snapshot()
}

// SetRate changes the rate of request flows per second.
func (cl *Callers) SetRate(rate float64) {
	cl.rate.Store(&rate)
}

// Bodies of control requests.
type (
	rateBody struct {
		Rate float64 `json:"rate"`
	}
	standingBody struct {
		Add int `json:"add"`
	}
)

func (cl *Callers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lab/results", jpcontrol.Get(cl.Results))
	mux.HandleFunc("POST /lab/rate", jpcontrol.Post(func(body rateBody) (rateBody, error) {
		cl.SetRate(body.Rate)
		return body, nil
	}))
	mux.HandleFunc("POST /lab/udp_rate", jpcontrol.Post(func(body rateBody) (rateBody, error) {
		cl.udpRate.Store(&body.Rate)
		return body, nil
	}))
	mux.HandleFunc("POST /lab/standing", jpcontrol.Post(func(body standingBody) (standingBody, error) {
		cl.addStanding(body.Add)
		return body, nil
	}))
	mux.HandleFunc("POST /lab/stop", jpcontrol.Post(func(struct{}) (Results, error) {
		cl.Stop()
		return cl.Results(), nil
	}))
	return mux
}

// newRand returns the random number generator of one part of the load.
func (cl *Callers) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cl.conf.Seed, stream))
}

// runArrivals starts flows at exponentially distributed intervals with the given
// mean rate, whether or not earlier flows have ended (an open-loop load).
func (cl *Callers) runArrivals(rate *atomic.Pointer[float64], stream uint64, start func(planned time.Time)) {
	rng := cl.newRand(stream)
	next := time.Now()
	for {
		current := *rate.Load()
		if current <= 0 {
			next = time.Now().Add(idlePollInterval)
		} else {
			next = next.Add(time.Duration(rng.ExpFloat64() / current * float64(time.Second)))
		}
		if !sleepUntil(cl.arrivalsCtx, next) {
			return
		}
		if current > 0 {
			planned := next
			cl.requestsWG.Go(func() { start(planned) })
		}
	}
}

// nextLocalAddr returns the caller's address and port for the next flow.
func (cl *Callers) nextLocalAddr() netip.AddrPort {
	k := cl.portCounter.Add(1)
	n := uint64(len(cl.conf.Addresses))
	port := firstPort + (cl.conf.Seed+k/n*portStep)%portCount
	return netip.AddrPortFrom(cl.conf.Addresses[k%n], uint16(port))
}

// dial opens a TCP connection to the service from the next free port.
func (cl *Callers) dial() (*gonet.TCPConn, netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(cl.ctx, cl.conf.ConnectTimeout)
	defer cancel()
	remote := jptunnel.FullAddress(cl.conf.Service)
	for {
		local := cl.nextLocalAddr()
		tc, err := gonet.DialTCPWithBind(ctx, cl.tunnel.Stack, jptunnel.FullAddress(local), remote, ipv4.ProtocolNumber)
		if err != nil && strings.Contains(err.Error(), "port is in use") {
			continue
		}
		return tc, local, err
	}
}

// Kinds of failures of a flow.
const (
	Refused    = "refused"    // connection refused: no request was executed
	Unanswered = "unanswered" // no answer to the SYN in time: no request was sent
	Reset      = "reset"
	Silent     = "silent"   // nothing received in time
	Closed     = "closed"   // closed by the server unexpectedly
	Wrong      = "wrong"    // wrong content or order of messages, or a message of another flow
	Overtime   = "overtime" // the deadline of the request passed before it was executed
	Failed     = "failed"   // any other error
)

// classifyDialError returns the kind of failure for an error of dial.
func classifyDialError(err error) string {
	if strings.Contains(err.Error(), "refused") {
		return Refused
	}
	return Unanswered
}

// classifyReadError returns the kind of failure for an error of a read or write.
func classifyReadError(err error) string {
	var ne net.Error
	text := err.Error()
	switch {
	case strings.Contains(text, "reset by peer"), strings.Contains(text, "aborted"):
		return Reset
	case errors.As(err, &ne) && ne.Timeout(), strings.Contains(text, "timed out"):
		return Silent
	case strings.Contains(text, "EOF"), strings.Contains(text, "closed"):
		return Closed
	}
	return Failed
}

// sleepUntil waits until a time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
