package jpoperator

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptest"
	"testing"

	"jacinthpass/io/jptls"
	"jacinthpass/lab/jpauthority"
)

// Guards against clients without a valid certificate that reach the operators' API,
// against a change that is recorded under another operator's name, and against a refused
// certificate that is reported as a change of unknown outcome.
func TestCertificates(t *testing.T) {
	au, load := jpauthority.NewForTest(t), jpauthority.MustLoad(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := jptls.NewRefusals("operator")
	fb := &fakeBackend{}
	srv := NewServer(fb)
	go srv.Serve(jptls.NewListener(listener, au.InstanceTLS(t, "hob-1"), refused))
	t.Cleanup(func() { srv.Close() })
	addr := listener.Addr().String()

	ann := load(au.IssueOperator("ann"))
	if _, err := DialTLS(addr, ann).SetDataCentre(t.Context(), "hobart", true, "ann"); err != nil || fb.call == "" {
		t.Errorf("valid certificate: %v, call %q", err, fb.call)
	}
	for stated, want := range map[string]string{"": "ann", "ann": "ann", "bob": "ann (stated: bob)"} {
		_, err := DialTLS(addr, ann).SetDataCentre(t.Context(), "hobart", true, stated)
		if got := "data_centre hobart true " + want; err != nil || fb.call != got {
			t.Errorf("author %q: %v, call %q, want %q", stated, err, fb.call, got)
		}
	}
	fb.call = ""
	plain := httptest.NewServer(NewHandler(fb))
	t.Cleanup(plain.Close)
	rows := []struct {
		name    string
		client  *Client
		counted bool
	}{
		{"no certificate", DialTLS(addr, &tls.Config{RootCAs: ann.RootCAs}), true},
		{"expired certificate", DialTLS(addr, load(au.IssueExpiredOperator("old"))), true},
		{"unknown authority", DialTLS(addr, &tls.Config{Certificates: ann.Certificates}), true},
		{"instance without TLS", DialTLS(plain.Listener.Addr().String(), ann), false},
	}
	var wantRefused uint64
	for _, row := range rows {
		_, err := row.client.SetDataCentre(t.Context(), "hobart", true, "ann")
		var ns *NotSentError
		if !errors.As(err, &ns) {
			t.Errorf("%s: %v, want a NotSentError", row.name, err)
		}
		t.Logf("%s: %v", row.name, err)
		if row.counted {
			wantRefused++
		}
	}
	var re *RequestError
	if _, err := Dial(addr).Status(t.Context()); !errors.As(err, &re) || re.Message != "this address takes TLS connections only" {
		t.Errorf("plain HTTP: %v", err)
	}
	if got := refused.Count(); got != wantRefused+1 || fb.call != "" {
		t.Errorf("%d refused, want %d; call %q", got, wantRefused+1, fb.call)
	}
}
