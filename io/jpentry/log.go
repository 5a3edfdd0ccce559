package jpentry

import (
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdispatch"
)

// lineLimiter limits the log lines about packets in each second. It is safe for
// concurrent use.
type lineLimiter struct {
	perSecond     int64
	countedSecond atomic.Int64 // Unix time to which requested applies
	requested     atomic.Int64
	suppressed    atomic.Uint64
}

func newLineLimiter(perSecond int) *lineLimiter {
	return &lineLimiter{perSecond: int64(perSecond)}
}

// allow reports whether a line may be written. The first call in a second logs
// how many lines were suppressed before.
func (ll *lineLimiter) allow(now time.Time) bool {
	second := now.Unix()
	if before := ll.countedSecond.Load(); before != second && ll.countedSecond.CompareAndSwap(before, second) {
		if excess := ll.requested.Swap(0) - ll.perSecond; excess > 0 {
			klog.InfoS("log: lines left out", "count", excess)
		}
	}
	if ll.requested.Add(1) <= ll.perSecond {
		return true
	}
	ll.suppressed.Add(1)
	return false
}

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 1024

// LogWriter writes lines in the background, so that a slow reader of the log
// never blocks the caller. Lines that do not fit into its queue are dropped and
// counted.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewLogWriter returns a writer that writes lines to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	lw := &LogWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go lw.run(out)
	return lw
}

// Write queues one line or drops it if the queue is full. It never fails.
func (lw *LogWriter) Write(line []byte) (int, error) {
	select {
	case lw.lines <- append([]byte(nil), line...):
	default:
		lw.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchSize is the size in bytes from which a batch takes no further lines.
const maxBatchSize = 32 << 10

// run writes queued lines to out, as many as possible in one call.
func (lw *LogWriter) run(out io.Writer) {
	defer close(lw.done)
	batch := make([]byte, 0, maxBatchSize)
	for line := range lw.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchSize; {
			select {
			case next, ok := <-lw.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// An error cannot be reported: the log is what failed.
		_, _ = out.Write(batch)
	}
}

// Dropped returns how many lines were dropped.
func (lw *LogWriter) Dropped() uint64 { return lw.dropped.Load() }

// closeTimeout bounds how long Close waits for a reader that has stopped reading.
const closeTimeout = 200 * time.Millisecond

// Close waits until the queued lines are written, for at most closeTimeout. Write
// must not be called afterwards.
func (lw *LogWriter) Close() {
	close(lw.lines)
	select {
	case <-lw.done:
	case <-time.After(closeTimeout):
	}
}

// logServices logs which services have become full or have room again.
func logServices(now time.Time, services []jpdispatch.ServiceFullness) {
	for _, sf := range services {
		if es := sf.Estimate; sf.Changed {
			klog.InfoS("capacity: service", "service", sf.Service, "full", sf.Full, "slots", es.Slots, "requests", es.Requests,
				"own", es.Own, "instances", es.Instances, "seen", es.Seen, "age_ms", now.Sub(es.OldestAt).Milliseconds())
		}
	}
}
