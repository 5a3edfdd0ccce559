package jpentry

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdispatch"
)

const (
	// checkTimeout is far above the round trip of 2 ms between data centres.
	checkTimeout = 60 * time.Millisecond

	// checkTimerTolerance is how late a timer fires in an instance that has the
	// processor. A later end says nothing about the server.
	checkTimerTolerance = 10 * time.Millisecond

	// failureThreshold in a row make a check fail; the network loses single
	// packets. maxAttempts bounds the attempts that say nothing.
	failureThreshold = 2
	maxAttempts      = 6
)

// checkServer finds out in the background whether a server's host still accepts
// connections. It sends no request, which would take a slot of the server.
func (en *Entry) checkServer(server jpdispatch.Endpoint) {
	go func() {
		began := time.Now()
		answered, err := probe(server.Address)
		now := time.Now()
		en.metrics.checks.Add(1)
		en.mu.Lock()
		silentBefore := en.dispatch.Stats().Silent
		en.dispatch.HandleCheckResult(now, began, server, answered)
		silent := en.dispatch.Stats().Silent
		if silent > silentBefore {
			en.nextStatus = now
		}
		en.mu.Unlock()
		switch {
		case silent > silentBefore:
			en.timeline.Add("check", "server_silent", server.ID, err.Error())
		case silent < silentBefore:
			en.timeline.Add("check", "server_back", server.ID, "")
		}
		klog.InfoS("check: done", "server", server.ID, "address", server.Address, "answered", answered, "err", err,
			"took_ms", now.Sub(began).Milliseconds(), "silent_servers", silent)
	}()
}

// probe connects to an address. It reports no answer only if that is certain:
// the host refused, or let several attempts pass while this process had the
// processor.
func probe(address netip.AddrPort) (answered bool, err error) {
	failed := 0
	for range maxAttempts {
		began := time.Now()
		var conn net.Conn
		if conn, err = net.DialTimeout("tcp", address.String(), checkTimeout); err == nil {
			_ = conn.Close() // nothing was sent
			return true, nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false, err
		}
		// Other errors are this machine's own.
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() && time.Since(began) <= checkTimeout+checkTimerTolerance {
			failed++
		}
		if failed == failureThreshold {
			return false, err
		}
	}
	return true, err
}
