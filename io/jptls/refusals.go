package jptls

import (
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// logInterval bounds the lines that strangers can make an instance log.
const logInterval = time.Second

// Refusals counts the connections that were turned away on one interface, and
// logs at most one a second. It is safe for concurrent use.
type Refusals struct {
	prefix string

	mu         sync.Mutex
	count      uint64
	suppressed uint64 // not logged since the last line
	nextLogAt  time.Time
}

// NewRefusals returns a counter whose lines begin with the prefix.
func NewRefusals(prefix string) *Refusals { return &Refusals{prefix: prefix} }

// Add counts a connection from an address.
func (rf *Refusals) Add(from net.Addr, err error) {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	rf.count++
	now := time.Now()
	if now.Before(rf.nextLogAt) {
		rf.suppressed++
		return
	}
	rf.nextLogAt = now.Add(logInterval)
	klog.Warningf("%s: connection with %s refused: %v (%d more since the last line)", rf.prefix, from, err, rf.suppressed)
	rf.suppressed = 0
}

// Count returns the connections turned away so far.
func (rf *Refusals) Count() uint64 {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	return rf.count
}
