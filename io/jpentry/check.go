package jpentry

import (
	"net"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdispatch"
)

const (
	// checkTimeout is far above the round trip of 2 ms between data centres, and
	// below the 200 ms after which callers repeat.
	checkTimeout = 150 * time.Millisecond

	// checkAttempts failed connections in a row make a check fail; the network
	// loses single packets.
	checkAttempts = 2
)

// check finds out in the background whether a server's host still accepts
// connections. It sends no request, which would take a slot of the server.
func (en *Entry) check(server jpdispatch.Endpoint) {
	go func() {
		began := time.Now()
		var err error
		for range checkAttempts {
			var conn net.Conn
			conn, err = net.DialTimeout("tcp", server.Address.String(), checkTimeout)
			if err == nil {
				_ = conn.Close() // nothing was sent
				break
			}
		}
		now := time.Now()
		en.metrics.checks.Add(1)
		en.mu.Lock()
		before := en.dispatch.Stats().Silent
		en.dispatch.HandleCheck(now, began, server, err == nil)
		silent := en.dispatch.Stats().Silent
		if silent > before {
			en.nextTell = now
		}
		en.mu.Unlock()
		klog.InfoS("check: done", "server", server.ID, "address", server.Address, "err", err,
			"took_ms", now.Sub(began).Milliseconds(), "silent_servers", silent)
	}()
}
