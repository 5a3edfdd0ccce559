package jpsteering_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

const benchFlows = 100_000

// newSingleInstance returns the Steerer of the only instance, which owns 14 warm
// servers.
func newSingleInstance() *jpsteering.Steerer {
	tree := &jpsettings.Tree{Version: 1, Services: []jpsettings.Service{{
		Name: "desk", Address: netip.MustParseAddrPort("10.80.0.1:443"), Protocol: jpsettings.TCP,
	}}}
	for ix := range 14 {
		tree.Services[0].Servers = append(tree.Services[0].Servers, jpsettings.Server{
			Name: fmt.Sprint("s", ix), DataCentre: "hobart",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(ix + 1)}), 5555),
			Limits:  jpsettings.Limits{Slots: 2, Connections: 1 << 20, ColdSlots: 1, ColdConnections: 1, IdleProbe: time.Hour},
		})
	}
	st := jpsteering.New("h0", testStart)
	st.ApplyView(testStart, jpmember.View{Self: "h0", Members: []jpmember.Member{{ID: "h0", DataCentre: "hobart", State: jpmember.Alive, Listed: true}}}, nil)
	st.ApplySettings(testStart, tree, nil)
	for _, os := range st.OwnedServers() {
		st.HandleReport(testStart, jpsteering.Report{Service: os.Service, Server: os.Server.Addr(), State: jpsteering.ReportWarm})
	}
	return st
}

// numberedFlow returns the flow with a number from 0 to 1<<24 - 1. Bits 0 to 15
// are the caller's port, the others are part of its address.
func numberedFlow(num int) jppacket.Flow {
	return jppacket.Flow{
		Caller: [4]byte{192, 0, byte(num >> 16), 1}, CallerPort: uint16(num), Protocol: 6,
		Service: [4]byte{10, 80, 0, 1}, ServicePort: 443,
	}
}

// openBenchFlows completes the handshakes of benchFlows flows.
func openBenchFlows(st *jpsteering.Steerer) {
	var out []jpsteering.Outcome
	for num := range benchFlows {
		fl := numberedFlow(num)
		out = st.HandlePacket(testStart, jpsteering.Packet{Inner: callerSegment(fl, syn, callerISN, 0, 0)}, out[:0])
		from := out[0].Server.Addr()
		st.HandlePacket(testStart, jpsteering.Packet{Inner: serverSegment(fl, syn|ack, serverISN, callerISN+1, 0), Outer: from}, out[:0])
		st.HandlePacket(testStart, jpsteering.Packet{Inner: callerSegment(fl, ack, callerISN+1, serverISN+1, 0)}, out[:0])
	}
}

// packetTemplates returns one packet for each caller address of the benchmark's
// flows. packetOfFlow sets the caller's port in it, so that a benchmark measures
// packets that are in the CPU cache, as packets just received are.
func packetTemplates(build func(fl jppacket.Flow) []byte) (list [][]byte) {
	for num := 0; num < benchFlows; num += 1 << 16 {
		list = append(list, build(numberedFlow(num)))
	}
	return list
}

func packetOfFlow(list [][]byte, num int) jpsteering.Packet {
	pkt := list[num>>16]
	binary.BigEndian.PutUint16(pkt[20:], uint16(num))
	return jpsteering.Packet{Inner: pkt}
}

// BenchmarkKnownFlow measures HandlePacket for packets of established flows in a
// non-sequential order. The target is 250 ns per packet and no allocations.
func BenchmarkKnownFlow(b *testing.B) {
	st := newSingleInstance()
	openBenchFlows(st)
	packets := packetTemplates(callerData)
	var out []jpsteering.Outcome
	num := 0
	b.ReportAllocs()
	for b.Loop() {
		num = (num + 7919) % benchFlows
		out = st.HandlePacket(testStart, packetOfFlow(packets, num), out[:0])
	}
	if out[0].Kind != jpsteering.ToServer {
		b.Fatal("packet was not forwarded")
	}
}

// BenchmarkNewFlow measures HandlePacket for SYNs of new flows. It starts with a
// new Steerer every 50,000 flows, below the limit of half-open flows.
func BenchmarkNewFlow(b *testing.B) {
	packets := packetTemplates(func(fl jppacket.Flow) []byte { return callerSegment(fl, syn, callerISN, 0, 0) })
	var st *jpsteering.Steerer
	var out []jpsteering.Outcome
	num := 0
	b.ReportAllocs()
	for b.Loop() {
		if num%50_000 == 0 {
			st = newSingleInstance()
		}
		out = st.HandlePacket(testStart, packetOfFlow(packets, num%50_000), out[:0])
		num++
	}
}

// Guards against allocations when a packet of an established flow is forwarded.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	here, there := hn.newFlow("s0"), hn.newFlow("s1")
	hn.openFlow("h0", "s0", here)
	hn.openFlow("h0", "s1", there)
	tests := []struct {
		name string
		pkt  jpsteering.Packet
	}{
		{"from the caller", jpsteering.Packet{Inner: callerData(here)}},
		{"from the server", jpsteering.Packet{Inner: serverData(here), Outer: hn.serverAddress("s0")}},
		{"relayed", jpsteering.Packet{Inner: callerData(there)}},
		{"answer relayed", jpsteering.Packet{Inner: serverData(there), Outer: hn.serverAddress("s1")}},
	}
	out := make([]jpsteering.Outcome, 0, 4)
	for _, tt := range tests {
		allocs := testing.AllocsPerRun(100, func() { out = hn.instances["h0"].HandlePacket(hn.now, tt.pkt, out[:0]) })
		if allocs != 0 || out[0].Kind == jpsteering.Drop {
			t.Errorf("%s: %v allocations, outcome kind %d, want none and no drop", tt.name, allocs, out[0].Kind)
		}
	}
}

// Guards against more than 100 bytes of heap per flow, the limit of the design.
func TestMemoryOfFlow(t *testing.T) {
	st := newSingleInstance()
	heapBytes := func() int64 {
		var ms runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&ms)
		return int64(ms.HeapAlloc)
	}
	before := heapBytes()
	openBenchFlows(st)
	bytesPerFlow := float64(heapBytes()-before) / benchFlows
	t.Logf("%.1f bytes per flow", bytesPerFlow)
	if bytesPerFlow > 100 || st.Flows() != benchFlows {
		t.Errorf("%.1f bytes for each of %d flows, want at most 100 bytes", bytesPerFlow, st.Flows())
	}
	runtime.KeepAlive(st)
}

func ExampleSteerer() {
	st := newSingleInstance()
	for _, oc := range st.HandlePacket(testStart, jpsteering.Packet{Inner: callerSegment(numberedFlow(1), syn, callerISN, 0, 0)}, nil) {
		fmt.Println(oc.Kind == jpsteering.ToServer, oc.Server.Port())
	}
	// Output: true 5555
}
