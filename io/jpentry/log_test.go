package jpentry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// stuck is a reader of the log that has stopped reading.
type stuck struct{ released chan struct{} }

func (sk stuck) Write(line []byte) (int, error) {
	<-sk.released
	return len(line), nil
}

// Guards against an instance that waits for the reader of its log.
func TestLogWriterNeverBlocks(t *testing.T) {
	defer goleak.VerifyNone(t)
	sk := stuck{make(chan struct{})}
	lw := NewLogWriter(sk)
	began := time.Now()
	line := bytes.Repeat([]byte("x"), 1000)
	const written = 3 * maxLogQueue
	for range written {
		if _, err := lw.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	lw.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	// The queue and one batch are held, everything else has to be dropped.
	held := maxLogQueue + maxLogBatch/len(line) + 1
	if lw.Dropped() < uint64(written-held) {
		t.Errorf("%d of %d lines dropped, at most %d are held", lw.Dropped(), written, held)
	}
	close(sk.released)
	<-lw.done
}

func TestLogWriterWritesAll(t *testing.T) {
	var out bytes.Buffer
	lw := NewLogWriter(&out)
	for range 500 {
		_, _ = lw.Write([]byte("line\n")) // never fails
	}
	lw.Close()
	if lines := strings.Count(out.String(), "line\n"); lines != 500 || lw.Dropped() != 0 {
		t.Errorf("%d lines, %d dropped", lines, lw.Dropped())
	}
}

// Guards against a log that grows with the load.
func TestLineBudget(t *testing.T) {
	lb := newLineBudget(10)
	now := time.Unix(1_790_000_000, 0)
	taken := 0
	for ms := range 2000 {
		if lb.take(now.Add(time.Duration(ms) * time.Millisecond)) {
			taken++
		}
	}
	if taken != 20 || lb.omitted.Load() != 1980 {
		t.Errorf("%d lines in 2 s, %d left out", taken, lb.omitted.Load())
	}
}
