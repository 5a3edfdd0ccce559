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
		for _, sr := range st.OwnedServers() {
			if owners[sr.Service] == nil {
				owners[sr.Service] = map[string]bool{}
			}
			owners[sr.Service][mb.ID] = true
		}
	}
	told := 0
	for id, st := range all {
		byPeer := st.LoadsByPeer(now)
		for _, ld := range st.Loads(now) {
			receivers := 0
			for _, loads := range byPeer {
				for _, one := range loads {
					if one == ld {
						receivers++
						told++
					}
				}
			}
			for peer := range owners[ld.Service] {
				if peer != id && countOf(byPeer[peer], ld.Service) == 0 {
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
	if told == 0 {
		t.Error("nothing was told")
	}
}

func countOf(loads []jpsteering.Load, service string) int {
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
	rg := newRig(t, jpsettings.Stream, 2)
	rg.loads()
	for num := range 12 {
		rg.send("h0", fromCaller(rg.flow("s0"), syn, callerISN, 0, 0))
		if num < 6 {
			rg.log = nil // too few for a sample
			continue
		}
		rg.step(fmt.Sprint("flow ", num), "h0>s0 SYN")
	}
	rg.loads() // s1 got none of the flows that were assumed for it
	rg.wait(100 * time.Millisecond)
	rg.send("h0", fromCaller(rg.flow("s0"), syn, callerISN, 0, 0))
	rg.step("after the exchange", "h0>h1, h1>s1 SYN")
}

// Guards against owners of a large service of streams that all have to hear each
// other, against loads that are told to instances that do not listen, and against
// a mean of a few loads that leaves the service out of balance. Owners of requests
// need all loads to find the servers that are not full.
func TestLargeService(t *testing.T) {
	const servers, each = 50, 60
	rows := []struct {
		kind        jpsettings.Kind
		least, most int // instances told; 2 of 24 more may be voters
	}{{jpsettings.Stream, 24, 26}, {jpsettings.Request, servers - 1, servers - 1}}
	for _, row := range rows {
		rg := newRig(t, row.kind, servers)
		for id, st := range rg.insts {
			told := st.LoadsByPeer(rg.now)
			if len(told) < row.least || len(told) > row.most {
				t.Errorf("kind %v: %s tells %d instances", row.kind, id, len(told))
			}
			for peer := range told {
				if !slices.Contains(rg.insts[peer].Peers(), id) {
					t.Errorf("kind %v: %s tells %s, which does not listen", row.kind, id, peer)
				}
			}
		}
		if row.kind == jpsettings.Stream {
			rg.fill(servers * each)
		}
		for _, st := range rg.insts {
			for _, ss := range st.Status(rg.now) {
				if ss.Flows > each*110/100 {
					t.Errorf("%d flows at one server, %d on average", ss.Flows, each)
				}
			}
		}
	}
}

// fill opens flows, with loads told after every 100.
func (rg *rig) fill(count int) {
	for no := range count {
		if no%100 == 0 {
			for from, st := range rg.insts {
				for id, loads := range st.LoadsByPeer(rg.now) {
					rg.insts[id].HandleLoads(rg.now, from, loads)
				}
			}
			rg.wait(100 * time.Millisecond)
		}
		fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, CallerAt: uint16(1024 + no), Service: rg.sv.Address.Addr().As4(), Port: 443, Protocol: 6}
		rg.log = nil
		rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		_, server, _ := strings.Cut(strings.TrimSuffix(rg.log[len(rg.log)-1], " SYN"), ">")
		rg.open("h0", server, fl)
	}
}
