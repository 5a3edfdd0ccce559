package jppeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coder/websocket"

	"jacinthpass/lab/jpauthority"
)

// Guards against instances with valid certificates that cannot connect to each
// other, and against a connection to an address where another instance answers.
func TestMutualTLS(t *testing.T) {
	au := jpauthority.NewForTest(t)
	from, _ := startNode(t, "a", au.InstanceTLS(t, "a"))
	to, inbox := startNode(t, "b", au.InstanceTLS(t, "b"))
	from.SetPeers([]Peer{{ID: "b", Address: to.Address()}, {ID: "c", Address: to.Address()}})
	if err := from.Send("b", SettingsRequest{Version: 7}); err != nil {
		t.Fatal(err)
	}
	if got := <-inbox; got != (received{"a", SettingsRequest{Version: 7}}) {
		t.Errorf("received %+v", got)
	}
	waitUntil(t, func() bool { return from.Stats().RefusedConnections > 0 })
	if connected := from.Stats().OutgoingConnections; connected != 1 {
		t.Errorf("%d connections, want the one to b", connected)
	}
}

// Guards against accepting a connection without a valid certificate of the
// instance that it names: from an outsider, an operator or another instance. Also
// guards against refused connections that are not counted.
func TestUntrustedConnections(t *testing.T) {
	au, other := jpauthority.NewForTest(t), jpauthority.NewForTest(t)
	nd, inbox := startNode(t, "b", au.InstanceTLS(t, "b"))
	load := jpauthority.MustLoad(t)
	operator := load(au.IssueOperator("ann"))
	none := &tls.Config{RootCAs: operator.RootCAs}
	foreign := other.InstanceTLS(t, "a")
	foreign.RootCAs = none.RootCAs
	rows := []struct {
		name, from string
		cfg        *tls.Config
	}{
		{"no certificate", "a", none},
		{"another authority", "a", foreign},
		{"expired", "old", load(au.IssueExpiredOperator("old"))},
		{"another instance", "a", au.InstanceTLS(t, "c")},
		{"operator", "ann", operator},
		{"plain HTTP", "a", nil},
	}
	for at, row := range rows {
		url := "http://" + nd.Address().String() + peerPath + "?to=b&from=" + row.from
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if row.cfg != nil {
			url = "https" + url[4:]
			client.Transport.(*http.Transport).TLSClientConfig = row.cfg
		}
		conn, _, err := websocket.Dial(t.Context(), url, &websocket.DialOptions{HTTPClient: client})
		if err == nil {
			conn.CloseNow()
			t.Errorf("%s: accepted", row.name)
		}
		waitUntil(t, func() bool { return nd.Stats().RefusedConnections == uint64(at+1) })
	}
	if len(inbox) != 0 || nd.Stats().IncomingConnections != 0 {
		t.Errorf("%d messages, %d connections", len(inbox), nd.Stats().IncomingConnections)
	}
}

// Guards against invalid or incomplete requests that crash the process or keep
// peers from connecting.
func TestInvalidBytes(t *testing.T) {
	au := jpauthority.NewForTest(t)
	plain, plainInbox := startNode(t, "b", nil)
	secure, secureInbox := startNode(t, "b", au.InstanceTLS(t, "b"))
	for _, nd := range []*Node{plain, secure} {
		for _, text := range []string{
			"", "\x00\x01\x02", "GET / HTTP/1.1\r\nHost: b\r\n\r\n", "PUT /peer?from=a&to=b HTTP/1.1\r\nHost: b\r\n\r\n",
			"GET /peer?from=a&to=b HTTP/1.1\r\nHost: b\r\n\r\n", "GET /" + string(make([]byte, 2*maxHeaderBytes)),
		} {
			conn, err := net.Dial("tcp", nd.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write([]byte(text)); err != nil {
				t.Log(err)
			}
			defer conn.Close() // open during the test: idle connections must not block peers
		}
	}
	peer, _ := startNode(t, "a", au.InstanceTLS(t, "a"))
	peer.SetPeers([]Peer{{ID: "b", Address: secure.Address()}})
	open, _ := startNode(t, "c", nil)
	open.SetPeers([]Peer{{ID: "b", Address: plain.Address()}})
	_ = peer.Send("b", SettingsRequest{})
	_ = open.Send("b", SettingsRequest{})
	for _, inbox := range []chan received{plainInbox, secureInbox} {
		select {
		case <-inbox:
		case <-time.After(10 * time.Second):
			t.Error("no message from the peer within 10 s")
		}
	}
}

// runNode runs a node until the test ends.
func runNode(t *testing.T, nd *Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- nd.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	waitUntil(t, func() bool { return nd.Address().IsValid() })
}
