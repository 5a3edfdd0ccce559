package jpbaseline

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

func tree(servers int) *jpsettings.Tree {
	sv := jpsettings.Service{Name: "desk", Address: netip.MustParseAddrPort("10.80.0.1:443"), Protocol: jpsettings.TCP}
	for ix := range servers {
		sv.Servers = append(sv.Servers, jpsettings.Server{
			Name: fmt.Sprint("s", ix), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(ix + 1)}), 5555),
		})
	}
	return &jpsettings.Tree{Version: 1, Services: []jpsettings.Service{sv}}
}

// segment builds a packet between a caller's port and the service.
func segment(port uint16, reply bool) []byte {
	sg := jppacket.Segment{
		Source: [4]byte{192, 0, 2, 1}, SourcePort: port, Destination: [4]byte{10, 80, 0, 1}, DestinationPort: 443, Flags: jppacket.ACK,
	}
	if reply {
		sg.Source, sg.Destination = sg.Destination, sg.Source
		sg.SourcePort, sg.DestinationPort = sg.DestinationPort, sg.SourcePort
	}
	return jppacket.AppendSegment(nil, sg)
}

type steerer interface {
	ApplySettings(tree *jpsettings.Tree)
	HandlePacket(now time.Time, pkt jpsteering.Packet, out []jpsteering.Outcome) []jpsteering.Outcome
}

// countMoved returns how many of 1,000 flows change their server when the settings
// change from before to after, and whether any then goes to the first server.
func countMoved(st steerer, before, after *jpsettings.Tree) (count int, toFirst bool) {
	first := map[uint16]netip.AddrPort{}
	for _, tr := range []*jpsettings.Tree{before, after} {
		st.ApplySettings(tr)
		for port := range uint16(1000) {
			out := st.HandlePacket(time.Time{}, jpsteering.Packet{Inner: segment(port+1, false)}, nil)
			if old, ok := first[port]; ok && old != out[0].Server {
				count++
			}
			first[port] = out[0].Server
			toFirst = toFirst || out[0].Server == after.Services[0].Servers[0].Address && tr == after
		}
	}
	return count, toFirst
}

// Guards against baselines that differ from what the comparison assumes: the rank
// table alone moves flows to other servers on every change, local tracking keeps
// the flows that it has seen.
func TestChanges(t *testing.T) {
	// The tables of 6 and 7 servers have the same number of rows.
	out, draining := tree(6), tree(6)
	out.Services[0].Servers[0].Out = true
	draining.Services[0].Servers[0].Draining = true
	tests := []struct {
		name       string
		st         steerer
		after      *jpsettings.Tree
		low, high  int
		atDraining bool
	}{
		{"table, server added", New(NoTracking{}), tree(7), 100, 190, true},
		{"tracking, server added", New(NewLocalTracking()), tree(7), 0, 0, true},
		{"table, server drains", New(NoTracking{}), draining, 120, 215, false},
		{"tracking, server drains", New(NewLocalTracking()), draining, 0, 0, true},
		{"tracking, server out", New(NewLocalTracking()), out, 120, 215, false},
	}
	for _, tt := range tests {
		got, toFirst := countMoved(tt.st, tree(6), tt.after)
		if got < tt.low || got > tt.high || toFirst != tt.atDraining {
			t.Errorf("%s: %d flows moved, at the first server %v", tt.name, got, toFirst)
		}
	}
}

// Guards against packets that do not belong to a service and are sent to a server.
func TestOtherPackets(t *testing.T) {
	st := New(NoTracking{})
	tests := []struct {
		name string
		tree *jpsettings.Tree
		pkt  []byte
		want jpsteering.Outcome
	}{
		{"answer", tree(1), segment(1, true), jpsteering.Outcome{Kind: jpsteering.ToCaller}},
		{"malformed", tree(1), []byte{1}, jpsteering.Outcome{Reason: jpsteering.DropMalformed}},
		{"no server", tree(0), segment(1, false), jpsteering.Outcome{Reason: jpsteering.DropNoOwner}},
		{"no service", &jpsettings.Tree{}, segment(1, false), jpsteering.Outcome{Reason: jpsteering.DropNoService}},
	}
	for _, tt := range tests {
		st.ApplySettings(tt.tree)
		got := st.HandlePacket(time.Time{}, jpsteering.Packet{Inner: tt.pkt}, nil)[0]
		if got.Kind != tt.want.Kind || got.Reason != tt.want.Reason {
			t.Errorf("%s: kind %d, reason %d", tt.name, got.Kind, got.Reason)
		}
	}
}

func ExampleNew() {
	st := New(NewLocalTracking())
	st.ApplySettings(tree(1))
	for _, oc := range st.HandlePacket(time.Time{}, jpsteering.Packet{Inner: segment(1, false)}, nil) {
		fmt.Println(oc.Server)
	}
	// Output: 127.2.0.1:5555
}
