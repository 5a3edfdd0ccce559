package jpsteering_test

import (
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// Guards against new work at a leaving server and against its flows being cut.
func TestDrain(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	old, fl := rg.flow("s0"), rg.flow("s0")
	rg.open("h0", "s0", old)
	rg.sv.Servers[0].Draining = true
	rg.apply()
	rg.send("h1", data(old))
	rg.step("old flow", "h1>h0, h0>s0 ACK data")
	rg.send("h1", fromCaller(fl, syn, callerISN, 0, 0))
	rg.step("new flow", "h1>h0, h0>h1, h1>s1 SYN")
	rg.send("h0", fromCaller(old, syn, 77_000, 0, 0))
	rg.wait(time.Second)
	rg.step("new flow with the ports of an old one", drop("h0", jpsteering.DropNoRoom)+", h0>s0 ACK, h0>caller ACK")
}

// Guards against packets to a data centre that was taken out, against callers
// that do not hear of it, and against a return at full load.
func TestOut(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 2)
	fl, other := rg.flow("s0"), rg.flow("s1")
	rg.open("h0", "s0", fl)
	rg.open("h0", "s1", other)
	rg.sv.Servers[0].Out = true
	rg.apply()
	rg.step("given up", "h0>caller RST ACK, h0>s0 RST ACK, "+event("h0", jpsteering.EventFlowGivenUp))
	var hd jppacket.Header
	if err := hd.Parse(rg.last); err != nil || hd.Sequence != callerISN+1 || hd.Acknowledgement != serverISN+1 {
		t.Errorf("reset with numbers %d, %d", hd.Sequence, hd.Acknowledgement)
	}
	rg.reply("h0", "s0", answer(fl))
	rg.step("late answer", drop("h0", jpsteering.DropLateAnswer))
	rg.send("h0", data(other))
	rg.step("other flow", "h0>h1, h1>s1 ACK data")
	rg.send("h0", fromCaller(rg.flow("s1"), syn, callerISN, 0, 0))
	rg.step("new flow", "h0>h1, h1>s1 SYN")
	rg.sv.Servers[0].Out = false
	rg.apply()
	if ss := rg.status("s0"); ss.Allowance != 1 || ss.Flows != 0 {
		t.Errorf("returned with %d flows and an allowance of %d", ss.Flows, ss.Allowance)
	}
}

// Guards against a caller that drops the reset of its flow, because data that it
// has not acknowledged yet arrived just before, and then waits for ever.
func TestOutDataOnTheWay(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 1)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.reply("h0", "s0", fromServer(fl, ack, serverISN+1, callerISN+1, 50))
	rg.sv.Servers[0].Out = true
	rg.log = nil
	rg.apply()
	rg.step("given up", "h0>caller RST ACK, h0>caller RST ACK, h0>s0 RST ACK, "+event("h0", jpsteering.EventFlowGivenUp))
	var hd jppacket.Header
	if err := hd.Parse(rg.before); err != nil || hd.Sequence != serverISN+51 {
		t.Errorf("second reset with number %d: %v", hd.Sequence, err)
	}
}

// Guards against a handshake that its server goes on with, uncounted, after its
// data centre was taken out and has returned.
func TestOutHalfOpen(t *testing.T) {
	tests := []struct {
		name   string
		answer func(fl jppacket.Flow) []byte
		want   string
	}{
		{"SYN passed on", nil, "h0>s0 RST ACK, "},
		{"SYN answered", synAnswer, "h0>caller RST ACK, h0>s0 RST ACK, "},
		{"adopted", answer, "h0>s0 RST ACK, "},
	}
	for _, tt := range tests {
		rg := newRigOf(t, jpsettings.Stream, 1, 1)
		fl := rg.flow("s0")
		if tt.name != "adopted" {
			rg.send("h0", fromCaller(fl, syn, callerISN, 0, 0))
		}
		if tt.answer != nil {
			rg.reply("h0", "s0", tt.answer(fl))
		}
		rg.sv.Servers[0].Out = true
		rg.log = nil
		rg.apply()
		rg.step(tt.name, tt.want+event("h0", jpsteering.EventFlowGivenUp))
	}
}

// Guards against packets that reach a server of another service and against
// flows cut when their service address goes to another service.
func TestAddressChanges(t *testing.T) {
	elsewhere := netip.MustParseAddrPort("10.80.0.2:443")
	tests := []struct {
		name   string
		change func(rg *rig)
		old    string // packet of the old flow
		syn    string // new flow at the old address
	}{
		{"handed to another service", func(rg *rig) {
			rg.more = []jpsettings.Service{rg.sv}
			rg.more[0].Name, rg.more[0].Address = "former", elsewhere
			rg.sv.Name = "heir"
			rg.sv.Servers = []jpsettings.Server{rg.server(5, 1)}
		}, "h0>s0 ACK data", "s5 SYN"},
		{"handed over and its service removed", func(rg *rig) {
			rg.sv.Name = "heir"
			rg.sv.Servers = []jpsettings.Server{rg.server(5, 1)}
		}, "h0>s0 ACK data", "s5 SYN"},
		{"address left the settings", func(rg *rig) { rg.sv.Address = elsewhere }, "h0>s0 ACK data", "no_service"},
		{"service left the settings", func(rg *rig) {
			rg.sv.Name, rg.sv.Address = "heir", elsewhere
			rg.sv.Servers = []jpsettings.Server{rg.server(5, 1)}
		}, "h0>s0 ACK data", "no_service"},
		{"server removed", func(rg *rig) { rg.sv.Servers = rg.sv.Servers[1:] }, "h0>s0 ACK data", "s1 SYN"},
	}
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Request, 2)
		fl, fresh := rg.flow("s0"), rg.flow("s0")
		rg.open("h0", "s0", fl)
		tt.change(rg)
		rg.apply()
		rg.wait(3 * time.Second)
		rg.report()
		rg.log = nil
		rg.send("h0", data(fl))
		rg.step(tt.name+": old flow", tt.old)
		rg.reply("h0", "s0", answer(fl))
		rg.step(tt.name+": answer", "h0>caller ACK data")
		rg.send("h0", fromCaller(fresh, syn, callerISN, 0, 0))
		last := rg.log[len(rg.log)-1]
		if tt.syn == "no_service" {
			rg.step(tt.name+": new flow", drop("h0", jpsteering.DropNoService))
		} else if len(last) < len(tt.syn) || last[len(last)-len(tt.syn):] != tt.syn {
			t.Errorf("%s: new flow %v, want %s", tt.name, rg.log, tt.syn)
		}
	}
}

// Guards against flows lost when a service or server gets another name.
func TestRenamed(t *testing.T) {
	for _, server := range []bool{true, false} {
		rg := newRigOf(t, jpsettings.Request, 1, 1)
		fl := rg.flow("s0")
		rg.open("h0", "s0", fl)
		if server {
			rg.sv.Servers[0].Name = "renamed"
		} else {
			rg.sv.Name = "renamed"
		}
		rg.apply()
		rg.reply("h0", "s0", answer(fl))
		rg.step("answer", "h0>caller ACK data")
		rg.send("h0", data(fl))
		rg.step("packet", "h0>s0 ACK data")
		if ss := rg.status("s0"); ss.Flows != 1 || ss.Stage != 0 {
			t.Errorf("renamed server has %d flows and stage %d", ss.Flows, ss.Stage)
		}
	}
}

// Guards against flows lost when two services that share machines swap their
// addresses, and against a swap that turns into probes without an answer.
func TestSwapped(t *testing.T) {
	rg := newRigOf(t, jpsettings.Request, 1, 1)
	other := rg.sv
	other.Name, other.Address = "twin", netip.MustParseAddrPort("10.80.0.2:443")
	rg.more = []jpsettings.Service{other}
	rg.apply()
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.sv.Address, rg.more[0].Address = rg.more[0].Address, rg.sv.Address
	rg.apply()
	rg.reply("h0", "s0", answer(fl))
	rg.send("h0", data(fl))
	rg.step("both ways", "h0>caller ACK data, h0>s0 ACK data")
	for _, ss := range rg.insts["h0"].Status(rg.now) {
		if want := map[string]int{"twin": 1}[ss.Service]; ss.Flows != want {
			t.Errorf("%s has %d flows, want %d", ss.Service, ss.Flows, want)
		}
	}
}

// Guards against a search that goes in a circle because a server had the service
// address twice before.
func TestAddressHandedOverTwice(t *testing.T) {
	rg := newRigOf(t, jpsettings.Stream, 1, 1)
	other := rg.sv
	other.Name, other.Address = "other", netip.MustParseAddrPort("10.80.0.2:443")
	other.Servers = []jpsettings.Server{rg.server(1, 0)}
	rg.more = []jpsettings.Service{other}
	rg.apply()
	fl := rg.flow("s0")
	for range 3 {
		rg.sv.Address, rg.more[0].Address = rg.more[0].Address, rg.sv.Address
		rg.apply()
	}
	rg.send("h0", data(fl))
	rg.reply("h0", "s1", denial(fl))
	rg.reply("h0", "s0", denial(fl))
	rg.step("each is asked once", "h0>s1 ACK, h0>s0 ACK, "+drop("h0", jpsteering.DropUnconfirmed))
}

// Guards against packets that go in a circle because an instance does not know
// a server that had the service address before.
func TestUnknownServer(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 2)
	fl := rg.flow("s0")
	old := rg.sv.Servers
	rg.sv.Servers = []jpsettings.Server{rg.server(2, 0)}
	rg.apply()
	rg.insts["h1"] = jpsteering.New("h1", rg.now)
	rg.version--
	rg.view("", "h1")
	rg.apply("h1")
	rg.confirm(time.Hour)
	rg.wait(100 * time.Millisecond)
	rg.log = nil
	rg.send("h0", data(fl))
	rg.reply("h0", "s2", denial(fl))
	rg.reply("h0", "s0", denial(fl)) // h1, the owner of s1, does not know it
	rg.reply("h0", "s2", denial(fl))
	rg.reply("h0", "s0", denial(fl))
	rg.step("given up", "h0>s2 ACK, h0>s0 ACK, h0>h1, h1>h0, h0>s2 ACK, h0>s0 ACK, h0>h1, "+drop("h1", jpsteering.DropUnconfirmed))
	rg.sv.Servers = old
}

// Guards against flows interrupted by a planned leave, and against flows that
// stay counted at the instance that left.
func TestPlannedLeave(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 3)
	fl := rg.flow("s0")
	rg.open("h0", "s0", fl)
	rg.view("h0 leaving", "h0")
	rg.send("h0", data(fl))
	rg.step("the new owner may not know yet", "h0>s0 ACK data")
	rg.view("h0 leaving")
	own, other := rg.owner("s0")
	rg.log = nil
	rg.wait(500 * time.Millisecond)
	rg.send("h0", data(fl))
	rg.step("handed over", "h0>"+own+", "+own+">s0 ACK")
	rg.reply("h0", "s0", probed(fl))
	rg.step("located", "h0>"+own+", "+own+">s0 ACK data, "+drop(own, jpsteering.DropProbeAnswer))
	rg.reply(other, "s0", answer(fl))
	rg.step("answer", other+">"+own+", "+own+">caller ACK data")
	if rg.status("s0").Flows != 1 {
		t.Errorf("new owner counts %d flows", rg.status("s0").Flows)
	}
}

// Guards against resets of flows that are beyond a partition.
func TestPartition(t *testing.T) {
	rg := newRig(t, jpsettings.Stream, 2)
	rg.members = append(rg.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Alive, Listed: true})
	for _, mb := range rg.members[2:] {
		rg.insts[mb.ID] = jpsteering.New(mb.ID, rg.now)
	}
	rg.confirm(time.Hour)
	rg.version--
	rg.view("")
	rg.apply("l0")
	rg.view("h0 dead, h1 dead", "l0")
	rg.gone["h0"], rg.gone["h1"] = true, true
	rg.report()
	fl := rg.flow("s0", "s1")
	for range 20 {
		rg.send("l0", data(fl))
		rg.wait(time.Second)
	}
	for _, line := range rg.log {
		if line == "l0>caller RST" {
			t.Fatalf("flow beyond a partition was reset: %v", rg.log)
		}
	}
}

// Guards against a second owner's flows that an instance overlooks when it was
// the owner in its own eyes all the time: it was cut off and is confirmed again.
func TestConfirmedAgain(t *testing.T) {
	tests := []struct {
		name  string
		lapse time.Duration
		want  string
	}{
		{"long", time.Second, ""},
		{"short", 300 * time.Millisecond, "h0>s0 SYN"},
	}
	for _, tt := range tests {
		rg := newRig(t, jpsettings.Request, 3)
		rg.sv.Servers = rg.sv.Servers[:1]
		rg.apply()
		rg.confirm(0)
		rg.wait(tt.lapse)
		rg.confirm(time.Hour)
		rg.wait(100 * time.Millisecond)
		rg.log = nil
		rg.send("h0", fromCaller(rg.flow("s0"), syn, callerISN, 0, 0))
		rg.step(tt.name, tt.want) // waits for a report
	}
}

// Guards against packets passed in a circle by instances with different views.
func TestDifferentViews(t *testing.T) {
	rg := newRig(t, jpsettings.Request, 3)
	fl := rg.flow("s0")
	rg.view("h0 dead", "h1")
	own := "h1"
	if !rg.owns("h1", "s0") {
		own = "h2"
	}
	rg.log = nil
	rg.send("h1", fromCaller(fl, syn, callerISN, 0, 0))
	if own == "h2" {
		rg.step("relayed twice", "h1>h2, h2>h0, h0>s0 SYN")
	}
	rg.view("h1 dead", "h0")
	rg.view("h2 dead", "h1")
	rg.view("h0 dead", "h2")
	rg.log = nil
	for ix := range 50 {
		fl := rg.flow()
		rg.send(rg.members[ix%3].ID, fromCaller(fl, syn, callerISN, 0, 0))
		rg.send(rg.members[ix%3].ID, data(fl))
	}
	if len(rg.log) > 50*2*20 {
		t.Errorf("%d steps for 100 packets", len(rg.log))
	}
}

func (rg *rig) owns(id, server string) bool {
	for _, os := range rg.insts[id].OwnedServers() {
		if os.Server.Addr() == rg.address(server) {
			return true
		}
	}
	return false
}

// Guards against a SYN that reaches a server of another service: the server has
// answered an earlier copy, may have restarted since, and is no longer named for
// the service address.
func TestSYNAfterHandover(t *testing.T) {
	tests := []struct {
		name   string
		answer func(fl jppacket.Flow) []byte
		seq    uint32
		want   string
	}{
		{"handshake answered", synAnswer, callerISN, drop("h0", jpsteering.DropWaiting)},
		{"adopted, late copy", answer, callerISN, drop("h0", jpsteering.DropLateAnswer)},
		{"adopted, other connection", answer, 77_000, drop("h0", jpsteering.DropNoRoom)},
	}
	for _, tt := range tests {
		rg := newRigOf(t, jpsettings.Request, 1, 1)
		fl := rg.flow("s0")
		rg.reply("h0", "s0", tt.answer(fl))
		rg.sv.Name, rg.sv.Servers = "heir", []jpsettings.Server{rg.server(5, 0)}
		rg.apply()
		rg.log = nil
		rg.send("h0", fromCaller(fl, syn, tt.seq, 0, 0))
		rg.step(tt.name, tt.want)
	}
}
