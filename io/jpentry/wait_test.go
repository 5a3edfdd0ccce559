package jpentry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// Guards against the SYN of a flow that waits and is lost when the wait ends.
func TestWaitingSYNIsReleased(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	en.platform.Codec, en.platform.MaxDatagramSize = testCodec{}, 1
	server, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	en.handleStoreUpdate(time.Now(), jpdirectory.Update{Revision: 2, Full: true, CurrentAt: time.Now(), Records: []jpdirectory.Record{
		{
			Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Revision: 1,
			Manifest: &jpdirectory.Manifest{
				Version: 1, Services: []jpdirectory.Service{{Name: "desk", MaxFlows: 100}},
				Routes: []jpdirectory.Route{{
					Address: testRoute, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}, TargetLatency: time.Second,
				}},
			},
		},
		{
			Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "i-1"}, Revision: 2,
			Server: &jpdirectory.Server{
				ID: "i-1", Number: 1, Service: "desk", DataCentre: "hobart", Slots: 1,
				Address: server.LocalAddr().(*net.UDPAddr).AddrPort(),
			},
		},
	}})
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
