package jpentry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdispatch"
)

// timerTolerance is how late a timer may fire while this process is scheduled. An
// attempt that ends later says nothing about the server.
const timerTolerance = 10 * time.Millisecond

// checkServer checks in the background whether a server's host still accepts
// connections. It sends no request, which would occupy a slot of the server.
func (en *Entry) checkServer(check jpdispatch.Check) {
	go func() {
		server := check.Server
		began := time.Now()
		result, err := probe(dial, server.Address, check.References)
		now := time.Now()
		en.metrics.checksByResult[result].Add(1)
		silence := en.handleCheckResult(now, began, server, result)
		switch silence {
		case jpdispatch.SilenceBegan:
			en.timeline.Add("check", "server_silent", server.ID, err.Error())
		case jpdispatch.SilenceEnded:
			en.timeline.Add("check", "server_back", server.ID, "")
		}
		klog.InfoS("check: done", "server", server.ID, "address", server.Address, "cause", check.Cause,
			"result", result, "err", err, "took_ms", now.Sub(began).Milliseconds(), "silent_servers", en.silentServers())
	}()
}

// handleCheckResult passes the result of a check to the dispatcher. A server that has
// become silent is reported to the peers at once.
func (en *Entry) handleCheckResult(now, began time.Time, server jpdispatch.Endpoint, result jpdispatch.CheckResult) jpdispatch.Silence {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.observe(now)
	silence := en.dispatcher.HandleCheckResult(now, began, server, result)
	if silence == jpdispatch.SilenceBegan {
		en.nextStatus = now
	}
	return silence
}

func (en *Entry) silentServers() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.dispatcher.Stats().Silent
}

// probe opens connections to an address until the result of the check is final.
func probe(dial dialFunc, address netip.AddrPort, references []jpdispatch.Endpoint) (jpdispatch.CheckResult, error) {
	var attempts jpdispatch.Attempts
	for {
		outcome, err := attempt(dial, address, references)
		if result, final := attempts.Add(outcome); final {
			return result, err
		}
	}
}

// attempt opens one connection to an address and closes it. Without references, any
// timeout counts as confirmed.
func attempt(dial dialFunc, address netip.AddrPort, references []jpdispatch.Endpoint) (jpdispatch.AttemptOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), jpdispatch.AttemptTimeout)
	defer cancel()
	began := time.Now()
	referenceAnswered := dialReferences(ctx, dial, references)
	err := dial(ctx, address)
	if err == nil {
		return jpdispatch.AttemptAnswered, nil
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return jpdispatch.AttemptRefused, err
	}
	// Errors other than timeouts are local to this machine.
	var ne net.Error
	timedOut := errors.As(err, &ne) && ne.Timeout() && time.Since(began) <= jpdispatch.AttemptTimeout+timerTolerance
	if timedOut && (len(references) == 0 || referenceAnswered.Load()) {
		return jpdispatch.AttemptTimedOut, err
	}
	return jpdispatch.AttemptInconclusive, err
}

// dialFunc opens a connection to an address and closes it.
type dialFunc func(context.Context, netip.AddrPort) error

// dial opens a connection to an address and closes it without sending anything.
func dial(ctx context.Context, address netip.AddrPort) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// dialReferences dials the references after ReferenceDelay, unless ctx has ended
// by then. The value becomes true when the host of one of them responds within
// ReferenceTimeout.
func dialReferences(ctx context.Context, dial dialFunc, references []jpdispatch.Endpoint) *atomic.Bool {
	answered := new(atomic.Bool)
	deadline := time.Now().Add(jpdispatch.ReferenceDelay + jpdispatch.ReferenceTimeout)
	timer := time.AfterFunc(jpdispatch.ReferenceDelay, func() {
		for _, rf := range references {
			go func() {
				ctx, cancel := context.WithDeadline(ctx, deadline)
				defer cancel()
				err := dial(ctx, rf.Address)
				if (err == nil || errors.Is(err, syscall.ECONNREFUSED)) && time.Now().Before(deadline) {
					answered.Store(true)
				}
			}()
		}
	})
	context.AfterFunc(ctx, func() { timer.Stop() })
	return answered
}
