package jpentry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
)

// blockedWriter blocks writes until it is released, as a pipe does whose reader
// has stopped reading.
type blockedWriter struct{ released chan struct{} }

func (bw blockedWriter) Write(line []byte) (int, error) {
	<-bw.released
	return len(line), nil
}

// Guards against an instance that blocks on a log whose reader is slow.
func TestLogWriterNeverBlocks(t *testing.T) {
	defer goleak.VerifyNone(t)
	bw := blockedWriter{make(chan struct{})}
	lw := NewLogWriter(bw)
	began := time.Now()
	line := bytes.Repeat([]byte("x"), 1000)
	const written = 3 * maxQueuedLines
	for range written {
		if _, err := lw.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	lw.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	// The queue and one batch hold lines; all others have to be dropped.
	held := maxQueuedLines + maxBatchSize/len(line) + 1
	if lw.Dropped() < uint64(written-held) {
		t.Errorf("%d of %d lines dropped, at most %d are held", lw.Dropped(), written, held)
	}
	close(bw.released)
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

// Guards against a log whose volume grows with the load.
func TestLineLimiter(t *testing.T) {
	ll := newLineLimiter(10)
	now := time.Unix(1_790_000_000, 0)
	allowed := 0
	for ms := range 2000 {
		if ll.allow(now.Add(time.Duration(ms) * time.Millisecond)) {
			allowed++
		}
	}
	if allowed != 20 || ll.suppressed.Load() != 1980 {
		t.Errorf("%d lines in 2 s, %d suppressed", allowed, ll.suppressed.Load())
	}
}

// captureLog returns what is logged until the end of the test.
func captureLog(t *testing.T) *bytes.Buffer {
	var out bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&out)
	t.Cleanup(func() { klog.LogToStderr(true) })
	return &out
}

// Guards against the reset of an open flow that leaves no line when the log is full.
func TestResetIsLoggedWithItsEvidence(t *testing.T) {
	out := captureLog(t)
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	en.lineLimiter, en.resetLineLimiter = newLineLimiter(0), newLineLimiter(1)
	rs := jpdispatch.ResetPacket{Reason: jpdispatch.ServerSilent, Server: "i-1", Evidence: jpdispatch.Evidence{
		FlowSeenAt: now.Add(-3 * time.Second), CheckFailedAt: now.Add(-50 * time.Millisecond),
	}}
	en.logReset(now, rs, "r-1", jpdirectory.Revision{Number: 7}, time.Second)
	klog.Flush()
	want := `flow_seen_ms=3000 alive_ms=-1 check_failed_ms=50 left_ms=-1 store_up_ms=-1 revision="0/7" age_ms=1000`
	if !strings.Contains(out.String(), want) {
		t.Errorf("the log has no line with %s:\n%s", want, out.String())
	}
}

// Guards against a starting instance that logs every server and every instance,
// which delayed its first packets by up to 50 ms with 293 servers and 0.2 of a core.
func TestLinesAtStart(t *testing.T) {
	out := captureLog(t)
	en := newTestEntry(t, &registryStore{})
	up := jpdirectory.Update{Revision: jpdirectory.Revision{Number: 700}, Full: true, CurrentAt: time.Now(), Records: []jpdirectory.Record{{
		Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Revision: jpdirectory.Revision{Number: 1}, Manifest: &jpdirectory.Manifest{Version: 1},
	}}}
	for no := range 300 {
		server := &jpdirectory.Server{ID: fmt.Sprintf("i-%d", no), Number: uint64(no), Service: "desk"}
		instance := &jpdirectory.Instance{ID: fmt.Sprintf("127.0.1.%d", no), DataCentre: "hobart"}
		up.Records = append(up.Records,
			jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: server.ID}, Revision: jpdirectory.Revision{Number: uint64(2 + no)}, Server: server},
			jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.InstanceRecord, Name: instance.ID}, Revision: jpdirectory.Revision{Number: uint64(302 + no)}, Instance: instance})
	}
	en.handleStoreUpdate(time.Now(), up)
	en.tick(time.Now())
	klog.Flush()
	if lines := strings.Count(out.String(), "\n"); lines > 2*maxLinesPerUpdate {
		t.Errorf("%d lines, want at most %d", lines, 2*maxLinesPerUpdate)
	}
	for _, line := range []string{`"directory: servers" changed=300`, `"member: states" changed=301`, `"entry: ready"`} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("the log has no line with %s:\n%s", line, out.String())
		}
	}
}
