package jpentry

import (
	"net"
	"testing"
	"time"
)

// Guards against packets that count as new although they waited in the socket: a read
// knows the last time at which the socket was empty.
func TestPacketReaderNotesEmptySocket(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sender, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	send := func(text string) {
		t.Helper()
		if _, err := sender.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	rd, err := newPacketReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 16)
	read := func(want string) {
		t.Helper()
		size, err := rd.read(buffer)
		if err != nil || string(buffer[:size]) != want {
			t.Fatalf("read %q, %v; want %q", buffer[:size], err, want)
		}
	}
	send("first")
	send("second")
	pausedUntil := time.Now()
	read("first")
	read("second")
	if rd.emptyAt.After(pausedUntil) {
		t.Error("the socket counts as empty although two packets waited in it")
	}
	time.AfterFunc(20*time.Millisecond, func() { send("third") })
	read("third")
	if !rd.emptyAt.After(pausedUntil) {
		t.Error("the socket does not count as empty although the reader waited for a packet")
	}
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := rd.read(buffer); err == nil {
		t.Error("no error after the deadline")
	}
}
