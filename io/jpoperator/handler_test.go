package jpoperator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against requests that the API does not allow but that reach the backend.
func TestInvalidRequests(t *testing.T) {
	fb := &fakeBackend{}
	_, url := startServer(t, fb)
	tests := []struct {
		method, path, body string
		status             int
		message            string
	}{
		{"POST", "/v1/settings", `{"text":"` + strings.Repeat("x", MaxRequestBytes) + `"}`, 413, "larger than 1 MB"},
		{"POST", "/v1/settings", `{"text":"a","base_verison":3}`, 400, "base_verison"},
		{"POST", "/v1/settings", `{"text":"a"} {}`, 400, "after the end"},
		{"POST", "/v1/settings", `{"text":"a","base_version":0}`, 400, "base_version"},
		{"POST", "/v1/settings", `{"text":"a","base_version":-1}`, 400, "base_version"},
		{"POST", "/v1/settings", "{\"text\":\"\xff\"}", 400, "UTF-8"},
		{"POST", "/v1/settings", `{`, 400, "unexpected EOF"},
		{"POST", "/v1/settings", ``, 400, "missing required payload"},
		{"POST", "/v1/settings", `{"author":"a"}`, 400, "text"},
		{"PUT", "/v1/data_centres/hobart/state", `{"state":"gone"}`, 400, "state"},
		{"PUT", "/v1/services/s/servers/x/state", `{"state":"out"}`, 400, "state"},
		{"GET", "/v1/timeline?since=yesterday", ``, 400, "since"},
		{"GET", "/v1/timeline?limit=0", ``, 400, "limit"},
		{"GET", "/v1/stop", ``, 405, ""},
		{"GET", "/v1/none", ``, 404, ""},
	}
	for _, tt := range tests {
		req, err := http.NewRequest(tt.method, url+tt.path, strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != tt.status || !strings.Contains(string(text), tt.message) {
			t.Errorf("%s %s: status %d, body %s; want %d with %q", tt.method, tt.path, resp.StatusCode, text, tt.status, tt.message)
		}
	}
	if fb.call != "" {
		t.Errorf("backend got call %q", fb.call)
	}
}

// Guards against cross-origin requests: a web page must not make an operator's browser
// change the settings.
func TestCrossOriginRefused(t *testing.T) {
	req := httptest.NewRequest("POST", "/v1/stop", nil)
	req.Header.Set("Origin", "http://example.org")
	rec := httptest.NewRecorder()
	NewHandler(&fakeBackend{}).ServeHTTP(rec, req)
	if rec.Code != http.StatusForbidden {
		t.Errorf("status %d, want 403", rec.Code)
	}
}

// Guards against a missing route for GET /metrics.
func TestMetricsMounted(t *testing.T) {
	rec := httptest.NewRecorder()
	NewHandler(&fakeBackend{}).ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	if !strings.Contains(rec.Body.String(), "jacinthpass_flows 3") {
		t.Errorf("GET /metrics: %d %s", rec.Code, rec.Body)
	}
}

// deadlineBackend records the time until the deadline of a call.
type deadlineBackend struct {
	fakeBackend
	timeLeft time.Duration
}

func (db *deadlineBackend) Stop(ctx context.Context) error {
	at, _ := ctx.Deadline()
	db.timeLeft = time.Until(at)
	return nil
}

// Guards against calls without a deadline.
func TestCallHasDeadline(t *testing.T) {
	db := &deadlineBackend{}
	NewHandler(db).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/stop", nil))
	if db.timeLeft <= 0 || db.timeLeft > CallTimeout {
		t.Errorf("%v left for the call, want at most %v", db.timeLeft, CallTimeout)
	}
}
