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
func (en *Entry) checkServer(check jpdispatch.Check) {
	go func() {
		server := check.Server
		began := time.Now()
		result, err := probe(dial, server.Address, check.References)
		now := time.Now()
		en.metrics.checksByResult[result].Add(1)
		en.mu.Lock()
		silence := en.dispatcher.HandleCheckResult(now, began, server, result)
		if silence == jpdispatch.SilenceBegan {
			en.nextStatus = now
		}
		silent := en.dispatcher.Stats().Silent
		en.mu.Unlock()
		switch silence {
		case jpdispatch.SilenceBegan:
			en.timeline.Add("check", "server_silent", server.ID, err.Error())
		case jpdispatch.SilenceEnded:
			en.timeline.Add("check", "server_back", server.ID, "")
		}
		klog.InfoS("check: done", "server", server.ID, "address", server.Address, "cause", check.Cause,
			"result", result, "err", err, "took_ms", now.Sub(began).Milliseconds(), "silent_servers", silent)
	}()
}

// probe opens a connection to an address and closes it. The result is CheckTimedOut
// if failureThreshold attempts timed out
// while this process was scheduled and, from the second one on, a reference
// answered in the same time.
func probe(dial dialFunc, address netip.AddrPort, references []jpdispatch.Endpoint) (result jpdispatch.CheckResult, err error) {
	failed := 0
	for attempt := range maxAttempts {
		var answers <-chan bool
		if attempt > 0 {
			answers = dialReferences(dial, references)
		}
		began := time.Now()
		if err = dial(address); err == nil {
			return jpdispatch.CheckAnswered, nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return jpdispatch.CheckRefused, err
		}
		// Errors other than timeouts are local to this machine.
		var ne net.Error
		timedOut := errors.As(err, &ne) && ne.Timeout() && time.Since(began) <= checkTimeout+checkTimerTolerance
		if timedOut && (answers == nil || <-answers) {
			failed++
		}
		if failed == failureThreshold {
			return jpdispatch.CheckTimedOut, err
		}
	}
	return jpdispatch.CheckInconclusive, err
}

// dialFunc opens a connection to an address and closes it.
type dialFunc func(netip.AddrPort) error

// dial opens a connection to an address and closes it without sending anything.
func dial(address netip.AddrPort) error {
	conn, err := net.DialTimeout("tcp", address.String(), checkTimeout)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// dialReferences dials all references at the same time and then sends whether the
// host of one of them has responded within checkTimeout. It returns nil if there
// are none.
func dialReferences(dial dialFunc, references []jpdispatch.Endpoint) <-chan bool {
	if len(references) == 0 {
		return nil
	}
	responses := make(chan bool, len(references))
	for _, rf := range references {
		go func() {
			err := dial(rf.Address)
			responses <- err == nil || errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	answered := make(chan bool, 1)
	go func() {
		any := false
		for range references {
			any = <-responses || any
		}
		answered <- any
	}()
	return answered
}
