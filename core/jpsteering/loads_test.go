package jpsteering_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// Guards against loads that do not reach the instances which need them: other
// owners of the service place flows by them, voters have to know that a server is
// cold when they take it over, and a leaving instance still holds flows until a
// server has room. Also guards against loads sent to any other instance.
func TestLoadsByPeer(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	view := jpmember.View{Self: "i-00"}
	for no := range 40 {
		view.Members = append(view.Members, jpmember.Member{ID: fmt.Sprintf("i-%02d", no), DataCentre: "hobart", State: jpmember.Alive, Listed: true})
	}
	tree := &jpsettings.Tree{Version: 1}
	for no := range 100 {
		sv := jpsettings.Service{Name: fmt.Sprint("sv", no), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, 0, byte(no)}), 443), Protocol: jpsettings.TCP}
		for ix := range 2 {
			ad := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(ix), byte(no)}), 5555)
			sv.Servers = append(sv.Servers, jpsettings.Server{Name: fmt.Sprint("sr", ix), DataCentre: "hobart", Address: ad})
		}
		tree.Services = append(tree.Services, sv)
	}
	const leaving = "i-39"
	view.Members[39].State = jpmember.Leaving
	all := map[string]*jpsteering.Steerer{}
	owners := map[string]map[string]bool{} // by service, then instance
	for _, mb := range view.Members {
		st := jpsteering.New(mb.ID, now)
		st.ApplyView(now, view, nil)
		st.ApplySettings(now, tree, nil)
		all[mb.ID] = st
		for _, sr := range st.OwnedServers() {
			if owners[sr.Service] == nil {
				owners[sr.Service] = map[string]bool{}
			}
			owners[sr.Service][mb.ID] = true
		}
	}
	loadsSent := 0
	for id, st := range all {
		byPeer := st.LoadsByPeer(now)
		for _, ld := range st.Loads(now) {
			receivers := 0
			for _, loads := range byPeer {
				for _, one := range loads {
					if one == ld {
						receivers++
						loadsSent++
					}
				}
			}
			for peer := range owners[ld.Service] {
				if peer != id && countLoads(byPeer[peer], ld.Service) == 0 {
					t.Errorf("%s sends no load to %s, an owner of %s", id, peer, ld.Service)
				}
			}
			// Receivers are the other two of the three voters, the leaving
			// instance, and at most one other owner of the service.
			if receivers < 3 || receivers > 4 {
				t.Errorf("%s sends to %d instances, want 3 or 4: %v", id, receivers, ld)
			}
		}
		if len(byPeer[leaving]) != len(st.Loads(now)) {
			t.Errorf("%s sends the leaving instance only %v", id, byPeer[leaving])
		}
		if len(byPeer[id]) > 0 {
			t.Errorf("%s sends loads to itself", id)
		}
	}
	if loadsSent == 0 {
		t.Error("no load was sent")
	}
}

func countLoads(loads []jpsteering.Load, service string) int {
	count := 0
	for _, ld := range loads {
		if ld.Service == service {
			count++
		}
	}
	return count
}

// Guards against a soft cap that lags while many flows open between two exchanges
// of loads. The home server of every new flow then looks full. The mean load is
// therefore extrapolated from the new flows at the instance's own servers.
func TestLoadsBetweenExchanges(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	hn.exchangeLoads()
	for num := range 12 {
		hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
		if num < 6 {
			hn.log = nil // too few flows to extrapolate from
			continue
		}
		hn.expectLog(fmt.Sprint("flow ", num), "h0>s0 SYN")
	}
	hn.exchangeLoads() // shows that s1 has none of the flows assumed for it
	hn.advance(100 * time.Millisecond)
	hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
	hn.expectLog("after the exchange", "h0>h1, h1>s1 SYN")
}

// Guards against loads that every owner of a large stream service sends to every
// other, against loads sent to instances that do not expect them, and against
// imbalance when an owner estimates the mean from the loads of a few others. Owners
// of a request service need all loads to find servers with a free slot.
func TestLoadPeersOfLargeService(t *testing.T) {
	const servers, flowsPerServer = 50, 60
	rows := []struct {
		kind               jpsettings.Kind
		minPeers, maxPeers int // receivers of loads: 24 peers and up to 2 voters among the others
	}{{jpsettings.Stream, 24, 26}, {jpsettings.Request, servers - 1, servers - 1}}
	for _, row := range rows {
		hn := newHarness(t, row.kind, servers)
		for id, st := range hn.instances {
			byPeer := st.LoadsByPeer(hn.now)
			if len(byPeer) < row.minPeers || len(byPeer) > row.maxPeers {
				t.Errorf("kind %v: %s sends loads to %d instances", row.kind, id, len(byPeer))
			}
			for peer := range byPeer {
				if !slices.Contains(hn.instances[peer].Peers(), id) {
					t.Errorf("kind %v: %s sends loads to %s, which does not list it as a peer", row.kind, id, peer)
				}
			}
		}
		if row.kind == jpsettings.Stream {
			hn.openFlows(servers * flowsPerServer)
		}
		for _, st := range hn.instances {
			for _, ss := range st.Status(hn.now) {
				if ss.Flows > flowsPerServer*110/100 {
					t.Errorf("%d flows at one server, more than 1.1 times the mean of %d", ss.Flows, flowsPerServer)
				}
			}
		}
	}
}

// openFlows opens flows and exchanges the loads before every 100th.
func (hn *harness) openFlows(count int) {
	for no := range count {
		if no%100 == 0 {
			for from, st := range hn.instances {
				for id, loads := range st.LoadsByPeer(hn.now) {
					hn.instances[id].HandleLoads(hn.now, from, loads)
				}
			}
			hn.advance(100 * time.Millisecond)
		}
		fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, CallerPort: uint16(1024 + no), Service: hn.service.Address.Addr().As4(), ServicePort: 443, Protocol: 6}
		hn.log = nil
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		_, server, _ := strings.Cut(strings.TrimSuffix(hn.log[len(hn.log)-1], " SYN"), ">")
		hn.openFlow("h0", server, fl)
	}
}
