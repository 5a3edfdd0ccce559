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

// Guards against owners that do not learn the loads they offer flows by,
// against voters that take a cold server over as a warm one, and against loads
// that go to instances without use for them. A leaving instance needs all loads
// for the flows that wait there for room.
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
	owners := map[string]map[string]bool{} // of each service
	for _, mb := range view.Members {
		st := jpsteering.New(mb.ID, now)
		st.ApplyView(now, view, nil)
		st.ApplySettings(now, tree, nil)
		all[mb.ID] = st
		for _, sr := range st.Owned() {
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
					t.Errorf("%s does not tell the owner %s of %s", id, peer, ld.Service)
				}
			}
			// The owner is a voter itself; the other two voters, the leaving
			// instance and at most one other owner remain.
			if receivers < 3 || receivers > 4 {
				t.Errorf("%s tells %d instances of %v", id, receivers, ld)
			}
		}
		if len(byPeer[leaving]) != len(st.Loads(now)) {
			t.Errorf("%s tells the leaving instance %v", id, byPeer[leaving])
		}
		if len(byPeer[id]) > 0 {
			t.Errorf("%s tells itself", id)
		}
	}
	if loadsSent == 0 {
		t.Error("nothing was told")
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

// Guards against a soft cap that stays behind while many flows open between two
// exchanges of loads: all first choices then look full.
func TestLoadsBetweenExchanges(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	hn.exchangeLoads()
	for num := range 12 {
		hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
		if num < 6 {
			hn.log = nil // too few for a sample
			continue
		}
		hn.expectLog(fmt.Sprint("flow ", num), "h0>s0 SYN")
	}
	hn.exchangeLoads() // s1 got none of the flows that were assumed for it
	hn.advance(100 * time.Millisecond)
	hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
	hn.expectLog("after the exchange", "h0>h1, h1>s1 SYN")
}

// Guards against owners of a large service of streams that all have to hear each
// other, against loads that are told to instances that do not listen, and against
// a mean of a few loads that leaves the service out of balance. Owners of requests
// need all loads to find the servers that are not full.
func TestLoadPeersOfLargeService(t *testing.T) {
	const servers, flowsPerServer = 50, 60
	rows := []struct {
		kind               jpsettings.Kind
		minPeers, maxPeers int // instances told; 2 of 24 more may be voters
	}{{jpsettings.Stream, 24, 26}, {jpsettings.Request, servers - 1, servers - 1}}
	for _, row := range rows {
		hn := newHarness(t, row.kind, servers)
		for id, st := range hn.instances {
			byPeer := st.LoadsByPeer(hn.now)
			if len(byPeer) < row.minPeers || len(byPeer) > row.maxPeers {
				t.Errorf("kind %v: %s tells %d instances", row.kind, id, len(byPeer))
			}
			for peer := range byPeer {
				if !slices.Contains(hn.instances[peer].Peers(), id) {
					t.Errorf("kind %v: %s tells %s, which does not listen", row.kind, id, peer)
				}
			}
		}
		if row.kind == jpsettings.Stream {
			hn.openFlows(servers * flowsPerServer)
		}
		for _, st := range hn.instances {
			for _, ss := range st.Status(hn.now) {
				if ss.Flows > flowsPerServer*110/100 {
					t.Errorf("%d flows at one server, %d on average", ss.Flows, flowsPerServer)
				}
			}
		}
	}
}

// fill opens flows, with loads told after every 100.
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
		fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, CallerAt: uint16(1024 + no), Service: hn.service.Address.Addr().As4(), Port: 443, Protocol: 6}
		hn.log = nil
		hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		_, server, _ := strings.Cut(strings.TrimSuffix(hn.log[len(hn.log)-1], " SYN"), ">")
		hn.openFlow("h0", server, fl)
	}
}
