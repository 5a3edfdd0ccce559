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

// single returns the Steerer of an only instance with 14 warm servers.
func single() *jpsteering.Steerer {
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
	st := jpsteering.New("h0", start)
	st.ApplyView(start, jpmember.View{Self: "h0", Members: []jpmember.Member{{ID: "h0", DataCentre: "hobart", State: jpmember.Alive, Listed: true}}}, nil)
	st.ApplySettings(start, tree, nil)
	for _, os := range st.OwnedServers() {
		st.HandleReport(start, jpsteering.Report{Service: os.Service, Server: os.Server.Addr(), State: jpsteering.ReportWarm})
	}
	return st
}

// numbered returns one of many flows.
func numbered(num int) jppacket.Flow {
	return jppacket.Flow{
		Caller: [4]byte{192, 0, byte(num >> 16), 1}, CallerAt: uint16(num), Protocol: 6,
		Service: [4]byte{10, 80, 0, 1}, Port: 443,
	}
}

// openMany takes many flows through their handshakes.
func openMany(st *jpsteering.Steerer) {
	var out []jpsteering.Outcome
	for num := range benchFlows {
		fl := numbered(num)
		out = st.HandlePacket(start, jpsteering.Packet{Inner: fromCaller(fl, syn, callerISN, 0, 0)}, out[:0])
		from := out[0].Server.Addr()
		st.HandlePacket(start, jpsteering.Packet{Inner: fromServer(fl, syn|ack, serverISN, callerISN+1, 0), Outer: from}, out[:0])
		st.HandlePacket(start, jpsteering.Packet{Inner: fromCaller(fl, ack, callerISN+1, serverISN+1, 0)}, out[:0])
	}
}

// variants returns a packet for each caller's address. Setting the port makes
// it a packet of any flow, which is in the processor's cache as a packet that
// was just received.
func variants(build func(fl jppacket.Flow) []byte) (list [][]byte) {
	for num := 0; num < benchFlows; num += 1 << 16 {
		list = append(list, build(numbered(num)))
	}
	return list
}

func variant(list [][]byte, num int) jpsteering.Packet {
	pkt := list[num>>16]
	binary.BigEndian.PutUint16(pkt[20:], uint16(num))
	return jpsteering.Packet{Inner: pkt}
}

// BenchmarkKnownFlow decides packets of known flows in a scattered order. The
// target is 250 ns and no allocation.
func BenchmarkKnownFlow(b *testing.B) {
	st := single()
	openMany(st)
	packets := variants(data)
	var out []jpsteering.Outcome
	num := 0
	b.ReportAllocs()
	for b.Loop() {
		num = (num + 7919) % benchFlows
		out = st.HandlePacket(start, variant(packets, num), out[:0])
	}
	if out[0].Kind != jpsteering.ToServer {
		b.Fatal("packet was not forwarded")
	}
}

// BenchmarkNewFlow decides SYNs of new flows until the limit of flows that are
// not open yet, and starts again.
func BenchmarkNewFlow(b *testing.B) {
	packets := variants(func(fl jppacket.Flow) []byte { return fromCaller(fl, syn, callerISN, 0, 0) })
	var st *jpsteering.Steerer
	var out []jpsteering.Outcome
	num := 0
	b.ReportAllocs()
	for b.Loop() {
		if num%50_000 == 0 {
			st = single()
		}
		out = st.HandlePacket(start, variant(packets, num%50_000), out[:0])
		num++
	}
}

// Guards against allocations on the path of each packet.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	here, there := rg.flow("s0"), rg.flow("s1")
	rg.open("h0", "s0", here)
	rg.open("h0", "s1", there)
	tests := []struct {
		name string
		pkt  jpsteering.Packet
	}{
		{"from the caller", jpsteering.Packet{Inner: data(here)}},
		{"from the server", jpsteering.Packet{Inner: answer(here), Outer: rg.address("s0")}},
		{"relayed", jpsteering.Packet{Inner: data(there)}},
		{"answer relayed", jpsteering.Packet{Inner: answer(there), Outer: rg.address("s1")}},
	}
	out := make([]jpsteering.Outcome, 0, 4)
	for _, tt := range tests {
		allocs := testing.AllocsPerRun(100, func() { out = rg.insts["h0"].HandlePacket(rg.now, tt.pkt, out[:0]) })
		if allocs != 0 || out[0].Kind == jpsteering.Drop {
			t.Errorf("%s: %v allocations, outcome %d", tt.name, allocs, out[0].Kind)
		}
	}
}

// Guards against flows that take more memory than the design allows.
func TestMemoryOfFlow(t *testing.T) {
	st := single()
	heap := func() int64 {
		var ms runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&ms)
		return int64(ms.HeapAlloc)
	}
	before := heap()
	openMany(st)
	each := float64(heap()-before) / benchFlows
	t.Logf("%.1f bytes for each flow", each)
	if each > 100 || st.Flows() != benchFlows {
		t.Errorf("%.1f bytes for each of %d flows, want at most 100", each, st.Flows())
	}
	runtime.KeepAlive(st)
}

func ExampleSteerer() {
	st := single()
	for _, oc := range st.HandlePacket(start, jpsteering.Packet{Inner: fromCaller(numbered(1), syn, callerISN, 0, 0)}, nil) {
		fmt.Println(oc.Kind == jpsteering.ToServer, oc.Server.Port())
	}
	// Output: true 5555
}
