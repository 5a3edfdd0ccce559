package jppacket

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

var testRelay = Relay{
	Kind: RelayReply, Rank: 3, Hops: 2, Flags: FlagSecondPass,
	Server: netip.MustParseAddr("127.2.1.1"),
}

// Guards against datagrams that other implementations of RFC 8926 would reject.
func TestAppendRelayMatchesGopacket(t *testing.T) {
	inner := AppendSegment(nil, testSegment)
	want := layers.Geneve{
		Protocol: layers.EthernetTypeIPv4,
		Options: []*layers.GeneveOption{{
			Class: 0xff4a, Type: 1, Data: []byte{2, 3, 2, 1, 127, 2, 1, 1},
		}},
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true}
	if err := gopacket.SerializeLayers(buf, opts, &want, gopacket.Payload(inner)); err != nil {
		t.Fatal(err)
	}
	got := AppendRelay([]byte("prefix"), testRelay, inner)[len("prefix"):]
	if !bytes.Equal(got, buf.Bytes()) {
		t.Errorf("got %x, want %x", got, buf.Bytes())
	}
	if len(got) != RelayOverhead+len(inner) {
		t.Errorf("overhead %d, want %d", len(got)-len(inner), RelayOverhead)
	}
}

// Guards against accepting malformed relay headers, and against rejecting options
// that a later version may add.
func TestParseRelay(t *testing.T) {
	valid := AppendRelay(nil, testRelay, []byte("inner"))
	option := valid[8:20]
	edit := func(at int, val byte) []byte {
		datagram := append([]byte(nil), valid...)
		datagram[at] = val
		return datagram
	}
	// with returns a datagram with one more option.
	with := func(opt ...byte) []byte {
		datagram := append([]byte(nil), valid[:8]...)
		datagram[0] += byte(len(opt) / 4)
		return append(append(datagram, opt...), valid[8:]...)
	}
	tests := []struct {
		name     string
		datagram []byte
		want     error
	}{
		{"valid", valid, nil},
		{"unknown option", with(1, 2, 3, 1, 9, 9, 9, 9), nil},
		{"reserved bits", edit(7, 1), nil},
		{"critical unknown option", with(1, 2, 0x83, 0), ErrRelayOption},
		{"repeated option", with(option...), ErrRelayOption},
		{"short header", valid[:7], ErrTruncated},
		{"short options", valid[:19], ErrTruncated},
		{"version 1", edit(0, 0x43), ErrNotRelay},
		{"control packet", edit(1, 0x80), ErrNotRelay},
		{"IPv6", edit(2, 0x86), ErrNotRelay},
		{"no option", append([]byte{0}, valid[1:8]...), ErrRelayOption},
		{"option beyond the header", edit(11, 3), ErrHeaderLength},
		{"option too short", edit(11, 1), ErrRelayOption},
		{"kind 0", edit(12, 0), ErrRelayOption},
		{"kind 3", edit(12, 3), ErrRelayOption},
		{"no server", AppendRelay(nil, Relay{Kind: RelayForward}, nil), ErrRelayOption},
	}
	for _, tt := range tests {
		rl, inner, err := ParseRelay(tt.datagram)
		if !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
		if err == nil && (rl != testRelay || string(inner) != "inner") {
			t.Errorf("%s: got %+v %q", tt.name, rl, inner)
		}
	}
}

// FuzzParseRelay guards against panics, against accepting headers that gopacket
// rejects, and against relay data that changes when it is encoded again.
func FuzzParseRelay(f *testing.F) {
	f.Add(AppendRelay(nil, testRelay, []byte("inner")))
	f.Add([]byte{4, 0, 8, 0, 0, 0, 0, 0, 1, 2, 3, 0})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		rl, inner, err := ParseRelay(datagram)
		if err != nil {
			return
		}
		var gn layers.Geneve
		if err := gn.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(gn.Payload, inner) {
			t.Fatalf("inner %x, want %x", inner, gn.Payload)
		}
		again, same, err := ParseRelay(AppendRelay(nil, rl, inner))
		if err != nil || again != rl || !bytes.Equal(same, inner) {
			t.Fatalf("got %+v %x %v, want %+v %x", again, same, err, rl, inner)
		}
	})
}

func BenchmarkParseRelay(b *testing.B) {
	datagram := AppendRelay(nil, testRelay, AppendSegment(nil, testSegment))
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = ParseRelay(datagram)
	}
}

func BenchmarkAppendRelay(b *testing.B) {
	inner := make([]byte, 1400)
	buf := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		buf = AppendRelay(buf[:0], testRelay, inner)
	}
}
