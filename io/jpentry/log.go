package jpentry

import (
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// lineLimiter bounds the lines about packets in each second. It is used from
// several goroutines.
type lineLimiter struct {
	perSecond     int64
	countedSecond atomic.Int64 // Unix time of the count
	requested     atomic.Int64
	omitted       atomic.Uint64
}

func newLineLimiter(perSecond int) *lineLimiter {
	return &lineLimiter{perSecond: int64(perSecond)}
}

// allow reports whether a line may be written. The first line of a second tells
// how many were left out before.
func (ll *lineLimiter) allow(now time.Time) bool {
	second := now.Unix()
	if before := ll.countedSecond.Load(); before != second && ll.countedSecond.CompareAndSwap(before, second) {
		if over := ll.requested.Swap(0) - ll.perSecond; over > 0 {
			klog.InfoS("log: lines left out", "count", over)
		}
	}
	if ll.requested.Add(1) <= ll.perSecond {
		return true
	}
	ll.omitted.Add(1)
	return false
}

// maxQueuedLines bounds the lines that wait for the reader of the log.
const maxQueuedLines = 1024

// LogWriter passes lines on without ever blocking. Lines that its reader does
// not take in time are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewLogWriter returns a writer that passes lines on to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	lw := &LogWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go lw.run(out)
	return lw
}

// Write queues one line. It never fails.
func (lw *LogWriter) Write(line []byte) (int, error) {
	select {
	case lw.lines <- append([]byte(nil), line...):
	default:
		lw.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchSize bounds the bytes that are written at once.
const maxBatchSize = 32 << 10

// run writes what has gathered in one call.
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
		// Nobody is left to tell of a log that cannot be written.
		_, _ = out.Write(batch)
	}
}

// Dropped returns how many lines were dropped.
func (lw *LogWriter) Dropped() uint64 { return lw.dropped.Load() }

// closeTimeout bounds the wait for a reader that has stopped reading.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued, or gives up if the reader does not take it.
// Write must not be called afterwards.
func (lw *LogWriter) Close() {
	close(lw.lines)
	select {
	case <-lw.done:
	case <-time.After(closeTimeout):
	}
}
