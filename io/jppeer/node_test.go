package jppeer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpmember"
)

// leakTimeout is how long goroutines may go on after the tests. The HTTP server
// waits for 500 ms after an error response before it closes the connection.
const leakTimeout = 2 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	if code == 0 {
		code = findLeaks()
	}
	os.Exit(code)
}

// findLeaks returns 1 and prints the goroutines that still run after leakTimeout.
func findLeaks() int {
	deadline := time.Now().Add(leakTimeout)
	err := goleak.Find()
	for err != nil && time.Now().Before(deadline) {
		err = goleak.Find()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

type received struct {
	from string
	msg  any
}

// startNode runs a node on loopback until the test ends, and returns the messages
// that it receives.
func startNode(t *testing.T, id string, secure *tls.Config) (*Node, chan received) {
	t.Helper()
	inbox := make(chan received, 2*maxQueuedMessages)
	cfg := Config{ID: id, Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: secure}
	nd := New(cfg, func(from string, msg any) { inbox <- received{from, msg} })
	runNode(t, nd)
	return nd, inbox
}

// waitUntil polls a condition for up to 10 s.
func waitUntil(t *testing.T, met func() bool) {
	t.Helper()
	for range 1000 {
		if met() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 10 s")
}

func heartbeatFrom(from string, sequence uint64) Heartbeat {
	return Heartbeat{Member: jpmember.Heartbeat{From: from, State: jpmember.Alive, Sequence: sequence}}
}

// Guards against messages that are lost, out of order or counted wrongly
// between two healthy instances.
func TestSend(t *testing.T) {
	from, _ := startNode(t, "a", nil)
	to, inbox := startNode(t, "b", nil)
	from.SetPeers([]Peer{{ID: "b", Address: to.Address()}, {ID: "a", Address: from.Address()}})
	waitUntil(t, func() bool { return from.Stats().OutgoingConnections == 1 })
	for version := range uint64(50) {
		if err := from.Send("b", SettingsRequest{Version: version}); err != nil {
			t.Fatal(err)
		}
	}
	for version := range uint64(50) {
		if got := <-inbox; got != (received{"a", SettingsRequest{Version: version}}) {
			t.Fatalf("message %d: %+v", version, got)
		}
	}
	// The sender counts a frame after its write has returned, so the receiver
	// may be ahead for a moment.
	waitUntil(t, func() bool { return from.Stats().Written["settings_request"].Messages == 50 })
	written, read := from.Stats().Written["settings_request"], to.Stats().Read["settings_request"]
	if written != read || written.Messages != 50 {
		t.Errorf("written %+v, read %+v", written, read)
	}
	if total := from.Stats().ConnectionBytesWritten; total <= written.Bytes || total > written.Bytes+500 {
		t.Errorf("%d bytes on the connection, %d in messages", total, written.Bytes)
	}
	if err := from.Send("c", SettingsRequest{}); !errors.Is(err, ErrUnknownPeer) {
		t.Errorf("unknown peer: %v", err)
	}
	from.SetPeers(nil)
	waitUntil(t, func() bool { return to.Stats().IncomingConnections == 0 })
}

// Guards against a node that does not reconnect to a restarted peer.
func TestReconnect(t *testing.T) {
	from, _ := startNode(t, "a", nil)
	inbox := make(chan received, maxQueuedMessages)
	cfg := Config{ID: "b", Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	for range 2 {
		peer := New(cfg, func(from string, msg any) { inbox <- received{from, msg} })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- peer.Serve(ctx) }()
		waitUntil(t, func() bool { return peer.Address().IsValid() })
		cfg.Listen = peer.Address()
		from.SetPeers([]Peer{{ID: "b", Address: cfg.Listen}})
		waitUntil(t, func() bool {
			from.Send("b", heartbeatFrom("a", 1))
			return len(inbox) > 0
		})
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		waitUntil(t, func() bool { return from.Stats().OutgoingConnections == 0 })
		for len(inbox) > 0 {
			<-inbox
		}
	}
}

// Guards against a peer that stops reading, or a middlebox that loses the
// connection's state, and so blocks Send or leaves the connection open forever.
func TestUnresponsivePeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	target, inbox := startNode(t, "b", nil)
	go relayThenStall(listener, target.Address().String())
	from, _ := startNode(t, "a", nil)
	from.SetPeers([]Peer{{ID: "b", Address: listener.Addr().(*net.TCPAddr).AddrPort()}})
	from.Send("b", SettingsRequest{Version: 1})
	<-inbox
	for range 10 * maxQueuedMessages {
		began := time.Now()
		from.Send("b", heartbeatFrom("a", 1))
		if took := time.Since(began); took > time.Second {
			t.Fatalf("Send took %v", took)
		}
	}
	waitUntil(t, func() bool { return from.Stats().OutgoingConnections == 0 })
}

// relayThenStall forwards the handshake and the first message, then discards all
// data.
func relayThenStall(listener net.Listener, address string) {
	in, err := listener.Accept()
	if err != nil {
		return
	}
	defer in.Close()
	out, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer out.Close()
	buf := make([]byte, 4096)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}, {in, out}} {
		size, _ := pair[0].Read(buf)
		pair[1].Write(buf[:size])
	}
	for err == nil {
		_, err = in.Read(buf)
	}
}

// Guards against an unbounded queue, and against dropping messages that no later
// message supersedes.
func TestQueue(t *testing.T) {
	qu := newQueue()
	qu.setConnected(true)
	qu.push(queuedMessage{kind: typeHeartbeat, frame: []byte{0}})
	for range maxQueuedMessages - 1 {
		qu.push(queuedMessage{kind: typeMoved})
	}
	if _, err := qu.push(queuedMessage{kind: typeMoved}); !errors.Is(err, ErrQueueFull) {
		t.Errorf("full queue accepted a message: %v", err)
	}
	dropped, err := qu.push(queuedMessage{kind: typeHeartbeat, frame: []byte{1}})
	if dropped != 1 || err != nil || len(qu.messages) != maxQueuedMessages {
		t.Errorf("heartbeat: %d dropped, %v, %d queued", dropped, err, len(qu.messages))
	}
	qu.setConnected(false)
	qu.push(queuedMessage{kind: typeHeartbeat, frame: []byte{2}})
	if last := qu.messages[maxQueuedMessages-1]; last.frame[0] != 2 {
		t.Errorf("outdated heartbeat is kept without a connection")
	}
	large := queuedMessage{kind: typeSettings, frame: make([]byte, maxQueuedBytes)}
	if _, err := newQueue().push(queuedMessage{kind: typeMoved}); err != nil {
		t.Error(err)
	}
	qu = newQueue()
	qu.push(large)
	if _, err := qu.push(large); !errors.Is(err, ErrQueueFull) {
		t.Errorf("queue accepted %d bytes: %v", 2*maxQueuedBytes, err)
	}
}

// Guards against a peer that sends malformed, oversized or forged frames, or that
// connects to the wrong instance, and then crashes the process or stays connected.
func TestInvalidPeers(t *testing.T) {
	nd, inbox := startNode(t, "b", nil)
	_, forged, err := encode(heartbeatFrom("c", 1))
	if err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		name  string
		frame []byte
	}{
		{"malformed", []byte{0x82, 0x03, 0xf6}},
		{"oversized", make([]byte, maxFrameBytes+1)},
		{"forged sender", forged},
	}
	for at, row := range rows {
		conn := dialRaw(t, nd, "?from=a&to=b")
		if err := conn.Write(t.Context(), websocket.MessageBinary, row.frame); err != nil {
			t.Logf("%s: %v", row.name, err)
		}
		if _, _, err := conn.Read(t.Context()); err == nil {
			t.Errorf("%s: connection stays open", row.name)
		}
		conn.CloseNow()
		waitUntil(t, func() bool { return nd.Stats().MalformedFrames == uint64(at+1) })
	}
	if len(inbox) != 0 {
		t.Errorf("handled %+v", <-inbox)
	}
	for _, query := range []string{"?from=a&to=c", "?from=b&to=b", "?to=b"} {
		url := "http://" + nd.Address().String() + peerPath + query
		if conn, _, err := websocket.Dial(t.Context(), url, nil); err == nil {
			conn.CloseNow()
			t.Errorf("%s was accepted", query)
		}
	}
}

func dialRaw(t *testing.T, nd *Node, query string) *websocket.Conn {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), "http://"+nd.Address().String()+peerPath+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against an update of the directory that fills the link of an instance for
// as long as it takes to lose packets of callers: many neighbours request it at the
// same time. Without compression, 1,043 routes took 35 KB for each of them.
func TestLargeUpdateIsCompressed(t *testing.T) {
	from, _ := startNode(t, "a", nil)
	to, inbox := startNode(t, "b", nil)
	from.SetPeers([]Peer{{ID: "b", Address: to.Address()}})
	waitUntil(t, func() bool { return from.Stats().OutgoingConnections == 1 })
	before := from.Stats().ConnectionBytesWritten
	mf := jpdirectory.Manifest{Version: 2}
	for no := range 1043 {
		mf.Routes = append(mf.Routes, jpdirectory.Route{
			Name:    fmt.Sprintf("route-%d", no),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(no >> 8), byte(no)}), 443),
			Targets: []jpdirectory.Target{{Service: "desk", Weight: 100}}, Timeout: 2 * time.Second,
		})
	}
	record := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Revision: jpdirectory.Revision{Number: 5}, Manifest: &mf}
	update := DirectoryUpdate{ReferenceTime: time.Now(), Update: jpdirectory.Update{Revision: jpdirectory.Revision{Number: 5}, Records: []jpdirectory.Record{record}}}
	if err := from.Send("b", update); err != nil {
		t.Fatal(err)
	}
	got := (<-inbox).msg.(DirectoryUpdate)
	if !reflect.DeepEqual(got.Update.Records[0], record) {
		t.Error("the manifest has changed on the way")
	}
	waitUntil(t, func() bool { return from.Stats().Written["directory_update"].Messages == 1 })
	const bound = 20 << 10
	if bytes := from.Stats().ConnectionBytesWritten - before; bytes > bound {
		t.Errorf("the update took %d bytes on the connection, want at most %d", bytes, bound)
	}
}
