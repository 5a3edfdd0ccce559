package jpentry

import (
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// lineBudget bounds the lines about packets in each second. It is used from
// several goroutines.
type lineBudget struct {
	perSecond int64
	second    atomic.Int64 // Unix time of the count
	used      atomic.Int64
	omitted   atomic.Uint64
}

func newLineBudget(perSecond int) *lineBudget {
	return &lineBudget{perSecond: int64(perSecond)}
}

// take reports whether a line may be written. The first line of a second tells
// how many were left out before.
func (lb *lineBudget) take(now time.Time) bool {
	second := now.Unix()
	if before := lb.second.Load(); before != second && lb.second.CompareAndSwap(before, second) {
		if over := lb.used.Swap(0) - lb.perSecond; over > 0 {
			klog.InfoS("log: lines left out", "count", over)
		}
	}
	if lb.used.Add(1) <= lb.perSecond {
		return true
	}
	lb.omitted.Add(1)
	return false
}

// maxLogQueue bounds the lines that wait for the reader of the log.
const maxLogQueue = 1024

// LogWriter passes lines on without ever blocking. Lines that its reader does
// not take in time are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewLogWriter returns a writer that passes lines on to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	lw := &LogWriter{lines: make(chan []byte, maxLogQueue), done: make(chan struct{})}
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

// maxLogBatch bounds the bytes that are written at once.
const maxLogBatch = 32 << 10

// run writes what has gathered in one call.
func (lw *LogWriter) run(out io.Writer) {
	defer close(lw.done)
	batch := make([]byte, 0, maxLogBatch)
	for line := range lw.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxLogBatch; {
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

// closeTime bounds the wait for a reader that has stopped reading.
const closeTime = 200 * time.Millisecond

// Close writes what is queued, or gives up if the reader does not take it.
// Write must not be called afterwards.
func (lw *LogWriter) Close() {
	close(lw.lines)
	select {
	case <-lw.done:
	case <-time.After(closeTime):
	}
}
