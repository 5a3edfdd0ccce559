package jphttp

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// panicEnv is the environment variable that makes the test serve a handler that
// panics, in a process of its own.
const panicEnv = "JPHTTP_TEST_PANIC"

// Guards against a process that continues after a panic in a handler: it could hang
// on a lock that the handler held.
func TestCrashOnPanic(t *testing.T) {
	if os.Getenv(panicEnv) != "" {
		srv := httptest.NewServer(CrashOnPanic(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("invariant") })))
		http.Get(srv.URL + "/peer")
		return
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestCrashOnPanic$")
	cmd.Env = append(os.Environ(), panicEnv+"=1")
	text, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(text), "handler of /peer: invariant") {
		t.Errorf("the process continued after a panic: %v\n%s", err, text)
	}
}

// Guards against an aborted request that crashes the process.
func TestAbortedRequest(t *testing.T) {
	srv := httptest.NewServer(CrashOnPanic(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })))
	defer srv.Close()
	if _, err := http.Get(srv.URL); err == nil {
		t.Error("an aborted request got a response")
	}
}
