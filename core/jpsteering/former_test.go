package jpsteering_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// history is a rig whose settings list the servers that had addresses before.
type history struct {
	*rig
	tree *jpsettings.Tree
	out  bool // the data centre
}

// newHistory starts two instances with the service desk, which has s0 to s3, and
// the service twin, which has s4 and s5.
func newHistory(t *testing.T) *history {
	hs := &history{rig: newRigOf(t, jpsettings.Stream, 2, 0), tree: &jpsettings.Tree{}}
	for num := range 4 {
		hs.sv.Servers = append(hs.sv.Servers, hs.server(num, num%2))
	}
	twin := hs.sv
	twin.Name, twin.Address = "twin", netip.MustParseAddrPort("10.80.0.2:443")
	twin.Servers = []jpsettings.Server{hs.server(4, 0), hs.server(5, 1)}
	hs.more = []jpsettings.Service{twin}
	hs.publish()
	hs.restart()
	return hs
}

// publish gives the settings with their list to all instances.
func (hs *history) publish() {
	hs.version++
	tree := &jpsettings.Tree{Version: hs.version, DataCentres: []jpsettings.DataCentre{{Name: "hobart", Out: hs.out}}}
	for _, sv := range append([]jpsettings.Service{hs.sv}, hs.more...) {
		sv.Servers = slices.Clone(sv.Servers)
		for ix := range sv.Servers {
			sv.Servers[ix].Out = hs.out
		}
		tree.Services = append(tree.Services, sv)
	}
	tree.Former = jprollout.FormerServers(hs.now, hs.tree, tree)
	hs.tree = tree
	hs.take()
}

// take gives the latest settings to all instances.
func (hs *history) take() {
	for _, mb := range hs.members {
		hs.handle(mb.ID, hs.insts[mb.ID].ApplySettings(hs.now, hs.tree, nil))
	}
}

// restart replaces all instances by new ones, which read the latest settings.
func (hs *history) restart() {
	for _, mb := range hs.members {
		hs.insts[mb.ID] = jpsteering.New(mb.ID, hs.now)
	}
	hs.view("")
	hs.take()
	hs.confirm(time.Hour)
	hs.wait(100 * time.Millisecond)
	hs.report()
	hs.wait(3 * time.Second)
	hs.log = nil
}

// search sends a packet of a flow and answers the probes: all servers deny the
// flow but the holder. It returns the servers that were asked.
func (hs *history) search(id string, fl jppacket.Flow, holder string) []string {
	var asked []string
	hs.log = nil
	hs.send(id, data(fl))
	for ix := 0; ix < len(hs.log); ix++ {
		from, to, _ := strings.Cut(hs.log[ix], ">")
		server, isProbe := strings.CutSuffix(to, " ACK")
		if !isProbe {
			continue
		}
		asked = append(asked, server)
		if server == holder {
			hs.reply(from, server, probed(fl))
		} else {
			hs.reply(from, server, denial(fl))
		}
	}
	return asked
}

func (hs *history) swap() {
	hs.sv.Address, hs.more[0].Address = hs.more[0].Address, hs.sv.Address
}

func (hs *history) leave() { hs.sv.Servers = hs.sv.Servers[1:] }

// Guards against connections that end because instances that started after a
// change do not know which servers had the service address before, because an
// owner takes such a server for new and denies its flows, or because instances
// that have seen the change search in another order and skip servers.
func TestFormer(t *testing.T) {
	tests := []struct {
		name    string
		changes []func(hs *history)
	}{
		{"addresses exchanged", []func(*history){(*history).swap}},
		{"exchanged twice, server left", []func(*history){(*history).swap, (*history).leave, (*history).swap}},
		{"server left", []func(*history){(*history).leave}},
		{"server is back", []func(*history){(*history).leave, (*history).restart, func(hs *history) {
			hs.sv.Servers = append([]jpsettings.Server{hs.server(0, 0)}, hs.sv.Servers...)
		}}},
		{"service left", []func(*history){func(hs *history) { hs.sv = hs.more[0]; hs.more = nil }}},
		{"address left", []func(*history){func(hs *history) { hs.sv.Address = netip.MustParseAddrPort("10.80.0.3:443") }}},
		{"moved, then renamed", []func(*history){(*history).swap, func(hs *history) { hs.sv.Name = "renamed" }}},
		{"renamed, server left", []func(*history){func(hs *history) { hs.sv.Name = "renamed"; hs.leave() }}},
		{"another service gets the server", []func(*history){func(hs *history) {
			left := hs.sv.Servers[0]
			left.Name = "other-0"
			hs.swap()
			hs.more[0].Servers = append(hs.more[0].Servers, left)
		}}},
	}
	for _, tt := range tests {
		hs := newHistory(t)
		fl, others := hs.flow("s0"), []jppacket.Flow{hs.flow(), hs.flow(), hs.flow("s3")}
		hs.open("h0", "s0", fl)
		hs.restart()
		for _, change := range tt.changes {
			hs.wait(15 * time.Second) // from then on no other owner is possible
			change(hs)
			hs.publish()
		}
		hs.wait(time.Second)
		var seen [][]string
		for _, other := range others {
			seen = append(seen, hs.search("h0", other, ""))
		}
		hs.restart()
		for ix, other := range others {
			if asked := hs.search("h0", other, ""); !slices.Equal(asked, seen[ix]) || !slices.Contains(asked, "s0") {
				t.Errorf("%s: asked %v, before the restart %v", tt.name, asked, seen[ix])
			}
		}
		asked := hs.search("h1", fl, "s0")
		hs.reply("h1", "s0", answer(fl))
		if log := strings.Join(hs.log, ","); !strings.Contains(log, ">s0 ACK data") || !strings.Contains(log, ">caller ACK data") {
			t.Errorf("%s: asked %v: %s", tt.name, asked, log)
		}
	}
}

// Guards against packets to a server that left the settings before its data
// centre was taken out (G4).
func TestFormerOut(t *testing.T) {
	hs := newHistory(t)
	fl := hs.flow("s0")
	hs.open("h0", "s0", fl)
	hs.sv.Servers = hs.sv.Servers[1:]
	hs.publish()
	hs.log, hs.out = nil, true
	hs.publish()
	hs.step("given up", "h0>caller RST ACK, h0>s0 RST ACK, "+event("h0", jpsteering.EventFlowGivenUp))
	for range 2 {
		if asked := hs.search("h0", fl, "s0"); len(asked) > 0 {
			t.Errorf("asked %v", asked)
		}
		hs.restart()
	}
}

// Guards against flows that no server holds and that are dropped for ever: peers
// tell loads of servers that left with their service, which are not signs of
// newer settings.
func TestFormerLoads(t *testing.T) {
	hs := newHistory(t)
	fl := hs.flow()
	fl.Service = hs.more[0].Address.Addr().As4()
	hs.sv, hs.more = hs.more[0], nil
	hs.publish()
	hs.restart()
	for range 6 {
		hs.loads()
		hs.search("h0", fl, "")
		hs.wait(time.Second)
	}
	if log := strings.Join(hs.log, ","); !strings.Contains(log, ">caller RST") {
		t.Errorf("not reset: %s", log)
	}
}
