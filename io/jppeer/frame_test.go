package jppeer

import (
	"bytes"
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpspeed"
	"jacinthpass/core/jpsteering"
)

var sampleMessages = []any{
	Heartbeat{
		Member: jpmember.Heartbeat{
			From: "hobart-1", DataCentre: "hobart", Incarnation: 1_790_000_000_000_000_000, State: jpmember.Leaving,
			Sequence: 1_700_000_000, Echo: 1_700_000_001, Digest: 1 << 63, Monitoring: true,
			Changes: []jpmember.Change{{ID: "hobart-2", Incarnation: 7, State: jpmember.Dead}},
		},
		SettingsVersion: 12,
		Loads: []jpsteering.Load{
			{Service: "order_desk", Server: netip.MustParseAddr("127.2.1.1"), Flows: 1 << 31, Full: true, Cold: true},
		},
	},
	jpsteering.Moved{
		Flow:   jppacket.Flow{Caller: [4]byte{127, 1, 0, 1}, Service: [4]byte{10, 80, 0, 1}, CallerPort: 40000, ServicePort: 443, Protocol: 6},
		Server: netip.MustParseAddr("127.2.1.1"),
	},
	SettingsRequest{Version: 3},
	Settings{Record: jprollout.Record{Version: 4, ChangeID: "b", Changes: []string{"a", "b"}, Author: "ops", Text: []byte("[defaults]\n")}},
	Settings{Record: jprollout.Record{Version: 5, Changes: []string{"c"}, Text: []byte("x"), Former: []jpsettings.FormerServer{{
		Service: "catalogue", Server: "ca-1", DataCentre: "hobart",
		ServerAddress: netip.MustParseAddrPort("127.2.1.1:5555"), IdleProbe: time.Minute,
		ServiceAddress: netip.MustParseAddrPort("10.80.0.2:443"), Protocol: jpsettings.TCP, ServerCount: 4, Until: time.Unix(1_790_000_000, 0),
	}}}},
	Settings{Record: jprollout.Record{Version: 6, Changes: []string{"d"}, Text: []byte("x"), Former: []jpsettings.FormerServer{}}},
	EventsRequest{ID: 9, Since: time.Unix(1_790_000_000, 5)},
	Events{ID: 9, Events: []jpevent.Event{{At: time.Unix(1_790_000_000, 6), Instance: "hobart-1", Part: "steering", Name: "takeover"}}},
}

// sampleDirectoryMessages returns the directory messages except DirectoryUpdate,
// whose times change between encoding and decoding.
func sampleDirectoryMessages() []any {
	return []any{
		DirectoryStatus{Progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Number: 7}}, Age: time.Second, StoreUptime: time.Minute, Loads: []jpdispatch.Load{{Tag: 1 << 31, Flows: 3, Held: 9, Requests: 1.25, Speed: jpspeed.Summary{Slowness: 3.5, Samples: 12}}}, SilentServers: []string{"i-2"}},
		DirectoryRequest{Progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Era: 2, Number: 6}, ManifestVersion: 9}, UnknownTags: []uint32{7}},
	}
}

// Guards against directory messages that a peer cannot decode, as when a manifest
// is nested more deeply than the decoder allows; the peer's directory would then
// stay out of date.
func TestDirectoryUpdate(t *testing.T) {
	for _, want := range sampleDirectoryMessages() {
		if got := roundTrip(t, want); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	now := time.Now()
	sent := DirectoryUpdate{SinceRevision: jpdirectory.Revision{Number: 6}, ReferenceTime: now, Update: jpdirectory.Update{Revision: jpdirectory.Revision{Number: 9}, CurrentAt: now.Add(-time.Second)}}
	server := jpdirectory.Server{
		ID: "i-7f3a91c2", Number: 0x7f3a91c2, Service: "order_desk", Address: netip.MustParseAddrPort("127.2.1.1:80"),
		DataCentre: "hobart", Slots: 2, Draining: true, WarmAt: now.Add(time.Second), Started: time.UnixMilli(1_790_000_000_123),
	}
	manifest := jpdirectory.Manifest{
		Version: 4, IdleTimeout: time.Minute,
		Routes: []jpdirectory.Route{{
			Name: "alerts", Address: netip.MustParseAddrPort("10.80.0.1:443"), Kind: jpdirectory.Download,
			Targets: []jpdirectory.Target{{Service: "order_desk", Weight: 90}}, Timeout: time.Second, TargetLatency: 400 * time.Millisecond, Priority: 2,
		}},
		Services: []jpdirectory.Service{{Name: "order_desk", MaxFlows: 2000, ColdTime: time.Second, ColdPerSecond: 2.5}},
	}
	sent.Update.Records = []jpdirectory.Record{
		{Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord}, Revision: jpdirectory.Revision{Number: 7}, Manifest: &manifest},
		{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: server.ID}, Revision: jpdirectory.Revision{Number: 8}, Server: &server},
		{Key: jpdirectory.Key{Kind: jpdirectory.DataCentreOutRecord, Name: "hobart"}, Revision: jpdirectory.Revision{Number: 9}, DataCentreOut: true},
		{Key: jpdirectory.Key{Kind: jpdirectory.InstanceRecord, Name: "10.0.0.1"}, Revision: jpdirectory.Revision{Number: 9}},
	}
	got := roundTrip(t, sent).(DirectoryUpdate)
	if !reflect.DeepEqual(got.Update.Records[0].Manifest, &manifest) {
		t.Errorf("manifest %+v, want %+v", got.Update.Records[0].Manifest, manifest)
	}
	received := *got.Update.Records[1].Server
	if left := received.WarmAt.Sub(got.ReferenceTime); left != time.Second {
		t.Errorf("cold for %v, want 1s", left)
	}
	received.WarmAt = server.WarmAt
	if !reflect.DeepEqual(received, server) || !got.Update.Records[2].DataCentreOut || !got.Update.Records[3].Removed() {
		t.Errorf("got %+v, want %+v", got.Update.Records, sent.Update.Records)
	}
	if age := got.ReferenceTime.Sub(got.Update.CurrentAt); age != time.Second {
		t.Errorf("age %v, want 1s", age)
	}
}

// roundTrip encodes and decodes a message.
func roundTrip(t *testing.T, msg any) any {
	t.Helper()
	_, frame, err := encode(msg)
	if err != nil {
		t.Fatalf("%T: %v", msg, err)
	}
	_, got, err := decode(frame)
	if err != nil {
		t.Fatalf("%T: %v", msg, err)
	}
	return got
}

// Guards against fields that are lost or changed by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	for _, want := range sampleMessages {
		_, frame, err := encode(want)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		_, got, err := decode(frame)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v; want %+v", got, err, want)
		}
		t.Logf("%T: %d bytes", want, len(frame))
	}
}

// Guards against rejecting the settings of instances whose version does not send
// the list of former servers.
func TestSettingsWithoutFormerServers(t *testing.T) {
	text, err := compress([]byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := cbor.Marshal(wireSettingsWithoutFormer{Version: 4, Changes: []string{"a"}, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	frame, err := cbor.Marshal(envelope{Type: typeSettings, Body: raw})
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{Record: jprollout.Record{Version: 4, Changes: []string{"a"}, Text: []byte("x")}}
	if _, got, err := decode(frame); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}

// Guards against settings and frames above their size limits, also when a small
// compressed text expands beyond the limit.
func TestTooLarge(t *testing.T) {
	large := Settings{Record: jprollout.Record{Text: make([]byte, maxSettingsBytes+1)}}
	if _, _, err := encode(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("encode: %v", err)
	}
	wire, err := settingsToWire(Settings{Record: jprollout.Record{Text: make([]byte, maxSettingsBytes)}})
	if err != nil {
		t.Fatal(err)
	}
	wire.Text = append(wire.Text, wire.Text...) // a gzip stream may have several members, whose contents are concatenated
	if _, err := settingsFromWire(wire); !errors.Is(err, ErrTooLarge) {
		t.Errorf("decode: %v", err)
	}
	many := Settings{Record: jprollout.Record{Former: make([]jpsettings.FormerServer, jprollout.MaxFormer+1)}}
	if wire, err = settingsToWire(many); err != nil {
		t.Fatal(err)
	}
	if _, err := settingsFromWire(wire); !errors.Is(err, ErrTooLarge) {
		t.Errorf("decode former servers: %v", err)
	}
	if _, _, err := decode(make([]byte, maxFrameBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("frame: %v", err)
	}
}

// Guards against a decoder that accepts what encode never writes.
func TestMalformedFrames(t *testing.T) {
	rows := []struct {
		name  string
		frame []byte
	}{
		{"empty", nil},
		{"not an array", []byte{0x01}},
		{"unknown type", []byte{0x82, 0x17, 0x80}},
		{"null body", []byte{0x82, 0x03, 0xf6}},
		{"short body", []byte{0x82, 0x03, 0x80}},
		{"bytes after the frame", []byte{0x82, 0x03, 0x81, 0x00, 0x00}},
		{"indefinite length", []byte{0x9f, 0x03, 0x81, 0x00, 0xff}},
		{"huge array", []byte{0x82, 0x06, 0x82, 0x00, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		{"moved without addresses", []byte{0x82, 0x02, 0x82, 0x40, 0x40}},
	}
	for _, row := range rows {
		if _, msg, err := decode(row.frame); err == nil {
			t.Errorf("%s: decoded as %+v", row.name, msg)
		}
	}
}

// Guards against frames that crash the decoder, and against decoded values that
// change when they are encoded again.
func FuzzDecode(f *testing.F) {
	for _, msg := range sampleMessages {
		_, frame, err := encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0x82, 0x03, 0xf6})
	f.Fuzz(func(t *testing.T, frame []byte) {
		_, msg, err := decode(frame)
		if err != nil {
			return
		}
		_, again, err := encode(msg)
		if err != nil {
			t.Fatalf("decoded message cannot be encoded: %+v: %v", msg, err)
		}
		_, back, err := decode(again)
		if err != nil {
			t.Fatal(err)
		}
		_, last, err := encode(back)
		if err != nil || !bytes.Equal(again, last) {
			t.Fatalf("%+v changed to %+v: %v", msg, back, err)
		}
	})
}
