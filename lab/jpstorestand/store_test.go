package jpstorestand

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
)

// send sends a request and returns the status and body of the response, or status
// 0 if there was none.
func send(t *testing.T, method, target, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// TestSession guards against a session that expires although it is renewed, or that
// holds its lock after it has expired.
func TestSession(t *testing.T) {
	server := httptest.NewServer(New())
	defer server.Close()
	_, created := send(t, "PUT", server.URL+"/v1/session/create", `{"TTL":"200ms"}`)
	id := strings.TrimSuffix(strings.TrimPrefix(created, `{"ID":"`), `"}`)
	lock := server.URL + "/v1/kv/lock?acquire="
	if status, body := send(t, "PUT", lock+id, "x"); status != 200 || body != "true" {
		t.Fatalf("acquire: %d %s", status, body)
	}
	_, other := send(t, "PUT", server.URL+"/v1/session/create", "")
	other = strings.TrimSuffix(strings.TrimPrefix(other, `{"ID":"`), `"}`)
	for range 4 {
		time.Sleep(75 * time.Millisecond)
		send(t, "PUT", server.URL+"/v1/session/renew/"+id, "")
		if _, body := send(t, "PUT", lock+other, "y"); body != "false" {
			t.Fatalf("lock of a live session was taken: %s", body)
		}
	}
	time.Sleep(400 * time.Millisecond)
	if status, _ := send(t, "PUT", server.URL+"/v1/session/renew/"+id, ""); status != 404 {
		t.Errorf("renewed an expired session: %d", status)
	}
	if _, body := send(t, "PUT", lock+other, "y"); body != "true" {
		t.Errorf("lock of an expired session: %s", body)
	}
}

// TestControls guards against control requests that have no effect or reset fields
// that they don't contain.
func TestControls(t *testing.T) {
	store := New()
	server := httptest.NewServer(store)
	defer server.Close()
	cases := []struct {
		body   string
		status int
		want   Faults
	}{
		{`{"delay":"1ms"}`, 200, Faults{Delay: time.Millisecond}},
		{`{"lose_answers_every":2,"lag":"2s"}`, 200, Faults{Delay: time.Millisecond, LoseAnswersEvery: 2, Lag: 2 * time.Second}},
		{`{"delay":"fast"}`, 400, Faults{Delay: time.Millisecond, LoseAnswersEvery: 2, Lag: 2 * time.Second}},
		{`{"outage":true,"delay":"0s","lose_answers_every":0,"lag":"0s"}`, 200, Faults{Outage: true}},
	}
	for _, tc := range cases {
		if status, _ := send(t, "POST", server.URL+"/lab/faults", tc.body); status != tc.status || store.Faults() != tc.want {
			t.Errorf("%s: status %d, faults %+v", tc.body, status, store.Faults())
		}
	}
	if status, _ := send(t, "GET", server.URL+"/v1/kv/a", ""); status != 0 {
		t.Errorf("read in an outage: %d", status)
	}
	ctx := context.Background()
	if err := Register(ctx, server.URL, jpmember.Listed{ID: "a"}); err != nil || len(store.registrations) != 1 {
		t.Errorf("register: %v, %d rows", err, len(store.registrations))
	}
	if err := Unregister(ctx, server.URL, "a"); err != nil || len(store.registrations) != 0 {
		t.Errorf("unregister: %v, %d rows", err, len(store.registrations))
	}
}
