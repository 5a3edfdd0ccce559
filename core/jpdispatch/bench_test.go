package jpdispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// newLargeHarness returns a dispatcher that knows a number of servers in six data
// centres, with loads reported by 16 peers.
func newLargeHarness(tb testing.TB, servers int) *harness {
	hn := newHarness(tb)
	for no := range servers {
		sr := deskServer(no+1, dataCentreName(no%6))
		sr.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(no >> 8), byte(no)}), 80)
		if no%6 == 0 {
			sr.DataCentre = localDC
		}
		hn.server(at(-1000), sr)
	}
	hn.setFresh(at(0))
	return hn
}

// BenchmarkTick measures the periodic work without any traffic.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{18, 300, 3300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			hn := newLargeHarness(b, servers)
			for n := 0; b.Loop(); n++ {
				now := at(100 * n)
				hn.Tick(now)
				hn.DueChecks(now)
				hn.FailingChanges(now)
				hn.Stats()
			}
		})
	}
}

// BenchmarkPlace measures the placement of a flow.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{18, 300, 3300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			hn := newLargeHarness(b, servers)
			for peer := range 16 {
				var loads []Load
				for tag := range servers / 6 {
					loads = append(loads, Load{Tag: uint32(6*tag + 1), Flows: 1 + (tag+peer)%3})
				}
				hn.HandleLoads(at(0), fmt.Sprint(peer), loads)
			}
			for n := 0; b.Loop(); n++ {
				syn := hn.newSYN()
				hn.Handle(at(0).Add(time.Duration(n)), syn)
				hn.Handle(at(0).Add(time.Duration(n)), Packet{Caller: syn.Caller, Route: syn.Route, Flags: RST})
			}
		})
	}
}

// BenchmarkApply measures a change of one server.
func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{18, 300, 3300} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			hn := newLargeHarness(b, servers)
			sr := deskServer(1, localDC)
			sr.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, 0}), 80)
			for n := 0; b.Loop(); n++ {
				sr.Draining = n%2 == 0
				hn.Apply(at(0), []jpdirectory.Record{{
					Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: sr.ID}, Revision: jpdirectory.Revision{Number: uint64(n)}, Server: &sr,
				}})
			}
		})
	}
}
