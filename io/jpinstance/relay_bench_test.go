package jpinstance

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/lab/jprelay"
)

const relaySettings = `[service.web]
address = 10.80.0.1
port = 443
protocol = tcp
kind = stream
repeatable = no
[region.south.hobart]
state = in
[region.south.hobart.web.web-1]
address = %s
load = http://127.0.0.1:1/load
state = active
`

// flowPacket returns a TCP segment of the benchmark's flow with payload bytes.
func flowPacket(flags uint8, sequence uint32, payload int) []byte {
	packet := jppacket.AppendSegment(nil, jppacket.Segment{
		Source: [4]byte{10, 90, 0, 1}, SourcePort: 20000,
		Destination: [4]byte{10, 80, 0, 1}, DestinationPort: 443,
		Flags: flags, Sequence: sequence, Acknowledgement: 1,
	})
	packet = append(packet, make([]byte, payload)...)
	// The checksum of the IPv4 header covers the length.
	length := binary.BigEndian.Uint16(packet[2:])
	binary.BigEndian.PutUint16(packet[2:], length+uint16(payload))
	check := uint32(^binary.BigEndian.Uint16(packet[10:])) + uint32(payload)
	binary.BigEndian.PutUint16(packet[10:], ^uint16(check+check>>16))
	return packet
}

// openInstance returns an instance that owns one server and has one established flow.
func openInstance(b *testing.B, server netip.AddrPort) *Instance {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	in, err := newInstance(Config{
		ID: "h1", DataCentre: "hobart", Fabric: server, Store: "http://127.0.0.1:1",
		Listen: jpmember.Addresses{Traffic: loopback, Relay: loopback, Peer: loopback, Operator: loopback},
	}, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = in.sockets.Close() })
	tree, err := jpsettings.Parse("settings", fmt.Appendf(nil, relaySettings, server))
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	st := in.steering.steerer
	self := jpmember.Member{ID: "h1", DataCentre: "hobart", State: jpmember.Alive, Listed: true}
	st.ApplyView(now, jpmember.View{Self: "h1", Members: []jpmember.Member{self}}, nil)
	st.ApplySettings(now, tree, nil)
	st.HandleReport(now, jpsteering.Report{Service: "web", Server: server.Addr(), State: jpsteering.ReportWarm})
	out := st.HandlePacket(now, jpsteering.Packet{Inner: flowPacket(jppacket.SYN, 0, 0)}, nil)
	if len(out) != 1 || out[0].Kind != jpsteering.ToServer {
		b.Fatalf("new flow: %+v", out)
	}
	st.HandlePacket(now, jpsteering.Packet{Outer: server.Addr(), Inner: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: [4]byte{10, 80, 0, 1}, SourcePort: 443,
		Destination: [4]byte{10, 90, 0, 1}, DestinationPort: 20000,
		Flags: jppacket.SYN | jppacket.ACK, Acknowledgement: 1,
	})}, nil)
	return in
}

// BenchmarkInstance compares the packets per second through an instance with those
// through a bare relay. The target is at least half of the bare relay's rate.
func BenchmarkInstance(b *testing.B) {
	datagram := func(payload int) []byte { return flowPacket(jppacket.ACK, 1, payload) }
	jprelay.Compare(b, "instance", []int{60, 1300}, datagram, func(b *testing.B, sink netip.AddrPort) netip.AddrPort {
		in := openInstance(b, sink)
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go func() { _ = in.sockets.Serve(ctx, in.handlePacket) }()
		return in.sockets.TrafficAddress()
	})
}
