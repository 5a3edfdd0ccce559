package jptls

import (
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// logInterval is the minimum time between two log lines, so that clients without a
// valid certificate cannot fill the log.
const logInterval = time.Second

// Refusals counts the refused connections of one interface, and logs at most one of
// them a second. It is safe for concurrent use.
type Refusals struct {
	prefix string

	mu         sync.Mutex
	count      uint64
	suppressed uint64 // refusals not logged since the last line
	nextLogAt  time.Time
}

// NewRefusals returns a counter whose log lines begin with prefix.
func NewRefusals(prefix string) *Refusals { return &Refusals{prefix: prefix} }

// Add counts a refused connection with the address from.
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

// Count returns the number of connections refused so far.
func (rf *Refusals) Count() uint64 {
	rf.mu.Lock()
	defer rf.mu.Unlock()
	return rf.count
}
