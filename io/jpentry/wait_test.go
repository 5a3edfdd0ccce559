package jpentry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
)

// fullServiceUpdate returns a directory with one route and one server that has one slot.
func fullServiceUpdate(server netip.AddrPort) jpdirectory.Update {
	return jpdirectory.Update{Revision: jpdirectory.Revision{Number: 2}, Full: true, CurrentAt: time.Now(), Records: []jpdirectory.Record{
		{
			Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Revision: jpdirectory.Revision{Number: 1},
			Manifest: &jpdirectory.Manifest{
				Version: 1, Services: []jpdirectory.Service{{Name: "desk", MaxFlows: 100}},
				Routes: []jpdirectory.Route{{
					Address: testRoute, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}, TargetLatency: time.Second,
				}},
			},
		},
		{
			Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "i-1"}, Revision: jpdirectory.Revision{Number: 2},
			Server: &jpdirectory.Server{
				ID: "i-1", Number: 1, Service: "desk", DataCentre: "hobart", Slots: 1,
				Address: server,
			},
		},
	}}
}

// Guards against the SYN of a flow that waits and is lost when the wait ends.
func TestWaitingSYNIsReleased(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	en.platform.Codec, en.platform.MaxDatagramSize = testCodec{}, 1
	server, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	en.handleStoreUpdate(time.Now(), fullServiceUpdate(server.LocalAddr().(*net.UDPAddr).AddrPort()))
	last := byte(0)
	for last < 200 && en.dispatcher.Waiting() == 0 {
		last++
		en.handlePacket([]byte{last}, 0, 1, time.Time{})
	}
	if en.dispatcher.Waiting() != 1 || len(en.waiting) != 1 {
		t.Fatalf("%d flows wait with %d packets kept, want 1", en.dispatcher.Waiting(), len(en.waiting))
	}
	go en.runReleases(t.Context())
	if err := server.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	received := make([]byte, 10)
	for received[0] != last {
		// The server does not answer, so nothing is known of its room after a while.
		if _, err := server.Read(received); err != nil {
			t.Fatal(err)
		}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.dispatcher.Waiting() != 0 || len(en.waiting) != 0 {
		t.Errorf("%d flows wait with %d packets kept, want none", en.dispatcher.Waiting(), len(en.waiting))
	}
}

// sequenceCodec has a headroom of 1 byte; a packet holds the caller and the sequence number.
type sequenceCodec struct{ testCodec }

func (sequenceCodec) Headroom() int { return 1 }

func (cd sequenceCodec) Parse(packet []byte) (jpdispatch.Packet, bool) {
	if len(packet) != 2 {
		return jpdispatch.Packet{}, false
	}
	pk, ok := cd.testCodec.Parse(packet)
	pk.Sequence = uint32(packet[1])
	return pk, ok
}

func (sequenceCodec) ToServer(buffer []byte, _ jpdispatch.Endpoint) { buffer[2] = 0 }

// Guards against a caller that ends the process: it reuses the port of a flow that waits,
// and both waits end at once.
func TestWaitsOfReusedPort(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	en.platform.Codec, en.platform.MaxDatagramSize = sequenceCodec{}, 2
	en.handleStoreUpdate(time.Now(), fullServiceUpdate(netip.MustParseAddrPort("127.0.0.1:9")))
	last := byte(0)
	for last < 200 && en.dispatcher.Waiting() < 2 {
		last++
		en.handlePacket([]byte{0, last, 7}, 1, 2, time.Time{})
	}
	for caller := range last - 4 {
		pk, _ := sequenceCodec{}.Parse([]byte{caller + 1, 7})
		pk.Flags = jpdispatch.RST
		en.dispatcher.Handle(time.Now(), pk)
	}
	time.Sleep(2 * time.Millisecond) // room is looked for once a millisecond
	en.handlePacket([]byte{0, last - 1, 8}, 1, 2, time.Time{})
	if en.dispatcher.Waiting() != 0 || len(en.waiting) != 0 {
		t.Errorf("%d flows wait with %d packets kept, want none", en.dispatcher.Waiting(), len(en.waiting))
	}
}

// Guards against packets that are held for longer than their callers wait, because each
// part of the directory holds them again.
func TestHeldOnce(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	en.platform.Codec, en.platform.MaxDatagramSize = sequenceCodec{}, 2
	now := time.Now()
	en.held.Add(now.Add(-500*time.Millisecond), heldPacket{data: []byte{1, 7}})
	en.handleEarly(fullServiceUpdate(netip.MustParseAddrPort("127.0.0.1:9")).Records)
	later := en.held.Take(now.Add(200*time.Millisecond), func(heldPacket) bool { return true })
	if len(later) != 0 {
		t.Errorf("%d packets are held for 0.7 s", len(later))
	}
}
