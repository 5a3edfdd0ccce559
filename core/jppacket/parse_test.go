package jppacket

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

var testSegment = Segment{
	Source: [4]byte{192, 0, 2, 1}, Destination: [4]byte{10, 80, 0, 1},
	SourcePort: 40000, DestinationPort: 443,
	Flags: ACK | PSH, Sequence: 1000, Acknowledgement: 2000,
	HasTimestamps: true, TimestampValue: 77, TimestampEcho: 66,
}

// withEdit returns a copy of pkt changed by edit, with the IPv4 checksum recomputed.
func withEdit(pkt []byte, edit func(pkt []byte)) []byte {
	pkt = append([]byte(nil), pkt...)
	edit(pkt)
	binary.BigEndian.PutUint16(pkt[10:], 0)
	binary.BigEndian.PutUint16(pkt[10:], ^foldChecksum(sumWords(0, pkt[:ipv4HeaderSize])))
	return pkt
}

// Guards against accepting truncated, malformed or unsupported packets.
func TestParseErrors(t *testing.T) {
	tcp := AppendSegment(nil, testSegment)
	udp := withEdit(tcp, func(pkt []byte) { pkt[9] = protocolUDP; pkt[24], pkt[25] = 0, 12 })
	tests := []struct {
		name string
		pkt  []byte
		want error
	}{
		{"valid TCP", tcp, nil},
		{"valid UDP", udp, nil},
		{"trailing bytes", append(append([]byte(nil), tcp...), 1, 2, 3), nil},
		{"empty", nil, ErrTruncated},
		{"short IPv4 header", tcp[:19], ErrTruncated},
		{"total length beyond the buffer", tcp[:len(tcp)-1], ErrTruncated},
		{"IPv6", withEdit(tcp, func(pkt []byte) { pkt[0] = 0x65 }), ErrNotIPv4},
		{"header length 4", withEdit(tcp, func(pkt []byte) { pkt[0] = 0x44 }), ErrHeaderLength},
		{"total length below header", withEdit(tcp, func(pkt []byte) { pkt[3] = 19 }), ErrHeaderLength},
		{"checksum", append([]byte{0x45, 1}, tcp[2:]...), ErrChecksum},
		{"more fragments", withEdit(tcp, func(pkt []byte) { pkt[6] = 0x20 }), ErrFragment},
		{"fragment offset", withEdit(tcp, func(pkt []byte) { pkt[7] = 1 }), ErrFragment},
		{"ICMP", withEdit(tcp, func(pkt []byte) { pkt[9] = 1 }), ErrProtocol},
		{"short TCP header", withEdit(tcp, func(pkt []byte) { pkt[3] = 39 }), ErrTruncated},
		{"TCP data offset 4", withEdit(tcp, func(pkt []byte) { pkt[32] = 0x40 }), ErrHeaderLength},
		{"TCP data offset beyond", withEdit(tcp, func(pkt []byte) { pkt[32] = 0xf0 }), ErrTruncated},
		{"short UDP header", withEdit(udp, func(pkt []byte) { pkt[3] = 27 }), ErrTruncated},
		{"UDP length 7", withEdit(udp, func(pkt []byte) { pkt[25] = 7 }), ErrHeaderLength},
		{"UDP length beyond", withEdit(udp, func(pkt []byte) { pkt[25] = 200 }), ErrTruncated},
	}
	for _, tt := range tests {
		var hd Header
		if err := hd.Parse(tt.pkt); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// reference decodes pkt with gopacket. ok is false if Parse must reject it.
func reference(pkt []byte) (hd Header, ok bool) {
	if len(pkt) < ipv4HeaderSize || pkt[0]>>4 != 4 {
		return hd, false
	}
	size := int(pkt[0]&15) * 4
	if total := int(binary.BigEndian.Uint16(pkt[2:])); size < 20 || total < size || total > len(pkt) {
		return hd, false
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(pkt[:size], 0)) != 0 {
		return hd, false
	}
	copied := append([]byte(nil), pkt...)
	for i := 20; i < size; i++ {
		copied[i] = 1 // no-op: Parse skips IP options, gopacket validates them
	}
	var ip layers.IPv4
	if err := ip.DecodeFromBytes(copied, gopacket.NilDecodeFeedback); err != nil {
		return hd, false
	}
	if ip.FragOffset != 0 || ip.Flags&layers.IPv4MoreFragments != 0 {
		return hd, false
	}
	hd.Protocol = uint8(ip.Protocol)
	hd.Source, hd.Destination = [4]byte(ip.SrcIP), [4]byte(ip.DstIP)
	switch ip.Protocol {
	case layers.IPProtocolTCP:
		return referenceTCP(hd, ip.Payload)
	case layers.IPProtocolUDP:
		var udp layers.UDP
		err := udp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback)
		if err != nil || udp.Length < 8 || int(udp.Length) > len(ip.Payload) {
			return hd, false
		}
		hd.SourcePort, hd.DestinationPort = uint16(udp.SrcPort), uint16(udp.DstPort)
		hd.PayloadLength = uint16(len(udp.Payload))
		return hd, true
	}
	return hd, false
}

func referenceTCP(hd Header, seg []byte) (Header, bool) {
	var tcp layers.TCP
	if tcp.DecodeFromBytes(seg, gopacket.NilDecodeFeedback) != nil {
		return hd, false
	}
	hd.SourcePort, hd.DestinationPort = uint16(tcp.SrcPort), uint16(tcp.DstPort)
	hd.Sequence, hd.Acknowledgement = tcp.Seq, tcp.Ack
	for i, set := range []bool{tcp.FIN, tcp.SYN, tcp.RST, tcp.PSH, tcp.ACK} {
		if set {
			hd.Flags |= 1 << i
		}
	}
	hd.PayloadLength = uint16(len(tcp.Payload))
	for _, opt := range tcp.Options {
		if opt.OptionType == layers.TCPOptionKindTimestamps && len(opt.OptionData) == 8 {
			hd.HasTimestamps = true
			hd.TimestampValue = binary.BigEndian.Uint32(opt.OptionData)
			hd.TimestampEcho = binary.BigEndian.Uint32(opt.OptionData[4:])
		}
	}
	return hd, true
}

// FuzzParse guards against panics and against fields that differ from gopacket's.
func FuzzParse(f *testing.F) {
	tcp := AppendSegment(nil, testSegment)
	f.Add(tcp, true)
	f.Add(append(append([]byte(nil), tcp...), "tail"...), true)
	f.Add(withEdit(tcp, func(pkt []byte) { pkt[9] = protocolUDP; pkt[24], pkt[25] = 0, 12 }), false)
	f.Add(withEdit(tcp, func(pkt []byte) { pkt[42] = optionEnd }), false)
	f.Fuzz(func(t *testing.T, pkt []byte, renew bool) {
		if renew && len(pkt) >= 20 && len(pkt) >= int(pkt[0]&15)*4 && pkt[0]&15 >= 5 {
			size := int(pkt[0]&15) * 4
			binary.BigEndian.PutUint16(pkt[10:], 0)
			binary.BigEndian.PutUint16(pkt[10:], ^foldChecksum(sumWords(0, pkt[:size])))
		}
		var hd Header
		err := hd.Parse(pkt)
		want, ok := reference(pkt)
		if ok != (err == nil) {
			t.Fatalf("error %v, reference accepts: %v", err, ok)
		}
		if err != nil {
			return
		}
		if mayHoldMPTCP(pkt) { // gopacket stops at MPTCP options that it does not know
			hd.HasTimestamps, hd.TimestampValue, hd.TimestampEcho = want.HasTimestamps, want.TimestampValue, want.TimestampEcho
		}
		if hd != want {
			t.Fatalf("got %+v, want %+v", hd, want)
		}
	})
}

// mayHoldMPTCP reports whether the TCP options may hold an MPTCP option, which is
// of kind 30.
func mayHoldMPTCP(pkt []byte) bool {
	seg := pkt[int(pkt[0]&15)*4:]
	return pkt[9] == protocolTCP && bytes.IndexByte(seg[20:int(seg[12]>>4)*4], 30) >= 0
}

// Guards against wrong lengths, checksums and options, because the endpoints of a
// flow ignore such packets.
func TestAppendSegment(t *testing.T) {
	for _, timestamps := range []bool{false, true} {
		for _, flags := range []uint8{RST, RST | ACK, ACK} {
			sg := testSegment
			sg.Flags, sg.HasTimestamps = flags, timestamps
			if !timestamps {
				sg.TimestampValue, sg.TimestampEcho = 0, 0
			}
			pkt := AppendSegment([]byte("prefix"), sg)[len("prefix"):]
			dec := gopacket.NewPacket(pkt, layers.LayerTypeIPv4, gopacket.Default)
			tcp := dec.Layer(layers.LayerTypeTCP).(*layers.TCP)
			if err := tcp.SetNetworkLayerForChecksum(dec.NetworkLayer()); err != nil {
				t.Fatal(err)
			}
			if err, bad := dec.VerifyChecksums(); err != nil || len(bad) > 0 {
				t.Errorf("checksums: %v %v", err, bad)
			}
			var hd Header
			if err := hd.Parse(pkt); err != nil {
				t.Fatal(err)
			}
			parsed := Segment{hd.Source, hd.Destination, hd.SourcePort, hd.DestinationPort, hd.Flags,
				hd.Sequence, hd.Acknowledgement, hd.HasTimestamps, hd.TimestampValue, hd.TimestampEcho}
			if parsed != sg || hd.PayloadLength != 0 {
				t.Errorf("got %+v, want %+v", parsed, sg)
			}
		}
	}
}

// Guards against allocations for each packet.
func TestNoAllocation(t *testing.T) {
	pkt := AppendSegment(nil, testSegment)
	datagram := AppendRelay(nil, testRelay, pkt)
	buf := make([]byte, 0, 256)
	var hd Header
	allocs := testing.AllocsPerRun(100, func() {
		_ = hd.Parse(pkt)
		_ = hd.Parse(pkt[:10])
		_, _, _ = ParseRelay(datagram)
		_, _, _ = ParseRelay(datagram[:9])
		buf = AppendSegment(buf[:0], testSegment)
		buf = AppendRelay(buf[:0], testRelay, pkt)
	})
	if allocs != 0 {
		t.Errorf("%v allocations, want 0", allocs)
	}
}

func ExampleHeader_Parse() {
	pkt := AppendSegment(nil, testSegment)
	var hd Header
	if err := hd.Parse(pkt); err != nil {
		fmt.Println(err)
	}
	fmt.Println(hd.FlowFromCaller().ServiceAddress(), hd.Sequence)
	// Output: 10.80.0.1:443 1000
}

func BenchmarkParse(b *testing.B) {
	pkt := AppendSegment(nil, testSegment)
	var hd Header
	b.ReportAllocs()
	for b.Loop() {
		_ = hd.Parse(pkt)
	}
}

// BenchmarkParseGopacket measures gopacket's decoder for comparison with Parse.
func BenchmarkParseGopacket(b *testing.B) {
	pkt := AppendSegment(nil, testSegment)
	var ip layers.IPv4
	var tcp layers.TCP
	parser := gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &ip, &tcp)
	var decoded []gopacket.LayerType
	b.ReportAllocs()
	for b.Loop() {
		_ = parser.DecodeLayers(pkt, &decoded)
	}
}

func BenchmarkAppendSegment(b *testing.B) {
	buf := make([]byte, 0, 64)
	b.ReportAllocs()
	for b.Loop() {
		buf = AppendSegment(buf[:0], testSegment)
	}
}
