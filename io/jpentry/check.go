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
	// checkTimeout bounds one connection attempt. It is far above the round
	// trip of 2 ms between data centres.
	checkTimeout = 60 * time.Millisecond

	// checkTimerTolerance is how late a timer may fire while this process is
	// scheduled. An attempt that ends later says nothing about the server.
	checkTimerTolerance = 10 * time.Millisecond

	// failureThreshold is the number of timeouts after which a check fails; one
	// is not enough because the network loses single packets. maxAttempts
	// bounds all attempts, including the inconclusive ones.
	failureThreshold = 2
	maxAttempts      = 6
)

// checkServer checks in the background whether a server's host still accepts
// connections. It sends no request, which would occupy a slot of the server.
func (en *Entry) checkServer(server jpdispatch.Endpoint) {
	go func() {
		began := time.Now()
		answered, err := probe(server.Address)
		now := time.Now()
		en.metrics.checks.Add(1)
		en.mu.Lock()
		silentBefore := en.dispatcher.Stats().Silent
		en.dispatcher.HandleCheckResult(now, began, server, answered)
		silent := en.dispatcher.Stats().Silent
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

// probe opens a connection to an address and closes it. It reports false only on
// conclusive evidence: the host refused the connection, or failureThreshold
// attempts timed out while this process was scheduled.
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
		// Errors other than timeouts are local to this machine.
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
