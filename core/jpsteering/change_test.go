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

// Guards against new flows at a draining server, and against its open flows being
// interrupted.
func TestDrain(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	old, fl := hn.newFlow("s0"), hn.newFlow("s0")
	hn.openFlow("h0", "s0", old)
	hn.service.Servers[0].Draining = true
	hn.applySettings()
	hn.sendFromFabric("h1", callerData(old))
	hn.expectLog("established flow", "h1>h0, h0>s0 ACK data")
	hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
	hn.expectLog("new flow", "h1>h0, h0>h1, h1>s1 SYN")
	hn.sendFromFabric("h0", callerSegment(old, syn, 77_000, 0, 0))
	hn.advance(time.Second)
	hn.expectLog("new flow with the ports of an established one", dropLine("h0", jpsteering.DropNoRoom)+", h0>s0 ACK, h0>caller ACK")
}

// Guards against packets to servers whose data centre was taken out, against
// callers that get no reset for flows at these servers, and against servers that
// do not start cold when the data centre returns.
func TestTakenOut(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 2)
	fl, other := hn.newFlow("s0"), hn.newFlow("s1")
	hn.openFlow("h0", "s0", fl)
	hn.openFlow("h0", "s1", other)
	hn.service.Servers[0].Out = true
	hn.applySettings()
	hn.expectLog("data centre taken out", "h0>caller RST ACK, h0>s0 RST ACK, "+eventLine("h0", jpsteering.EventFlowGivenUp))
	var hd jppacket.Header
	if err := hd.Parse(hn.lastPacket); err != nil || hd.Sequence != callerISN+1 || hd.Acknowledgement != serverISN+1 {
		t.Errorf("reset with sequence number %d and acknowledgement number %d", hd.Sequence, hd.Acknowledgement)
	}
	hn.sendFromServer("h0", "s0", serverData(fl))
	hn.expectLog("late packet of the server", dropLine("h0", jpsteering.DropLateAnswer))
	hn.sendFromFabric("h0", callerData(other))
	hn.expectLog("flow at another server", "h0>h1, h1>s1 ACK data")
	hn.sendFromFabric("h0", callerSegment(hn.newFlow("s1"), syn, callerISN, 0, 0))
	hn.expectLog("new flow", "h0>h1, h1>s1 SYN")
	hn.service.Servers[0].Out = false
	hn.applySettings()
	if ss := hn.serverStatus("s0"); ss.Allowance != 1 || ss.Flows != 0 {
		t.Errorf("%d flows and an allowance of %d after the return, want 0 and 1", ss.Flows, ss.Allowance)
	}
}

// Guards against a caller that ignores the reset of its flow and waits forever:
// data that it has not acknowledged arrived first, so that the sequence number of
// the reset is below its receive window. A second reset follows that data.
func TestTakenOutUnacknowledgedData(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 1)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.sendFromServer("h0", "s0", serverSegment(fl, ack, serverISN+1, callerISN+1, 50))
	hn.service.Servers[0].Out = true
	hn.log = nil
	hn.applySettings()
	hn.expectLog("data centre taken out", "h0>caller RST ACK, h0>caller RST ACK, h0>s0 RST ACK, "+eventLine("h0", jpsteering.EventFlowGivenUp))
	var hd jppacket.Header
	if err := hd.Parse(hn.previousPacket); err != nil || hd.Sequence != serverISN+51 {
		t.Errorf("second reset has sequence number %d: %v", hd.Sequence, err)
	}
}

// Guards against a server that completes a half-open flow after its data centre
// was taken out and has returned. No instance counts the flow then, so the server
// gets a reset when its data centre is taken out.
func TestTakenOutHalfOpen(t *testing.T) {
	tests := []struct {
		name   string
		answer func(fl jppacket.Flow) []byte
		want   string
	}{
		{"SYN forwarded", nil, "h0>s0 RST ACK, "},
		{"SYN answered", synACK, "h0>caller RST ACK, h0>s0 RST ACK, "},
		{"adopted", serverData, "h0>s0 RST ACK, "},
	}
	for _, tt := range tests {
		hn := newSizedHarness(t, jpsettings.Stream, 1, 1)
		fl := hn.newFlow("s0")
		if tt.name != "adopted" {
			hn.sendFromFabric("h0", callerSegment(fl, syn, callerISN, 0, 0))
		}
		if tt.answer != nil {
			hn.sendFromServer("h0", "s0", tt.answer(fl))
		}
		hn.service.Servers[0].Out = true
		hn.log = nil
		hn.applySettings()
		hn.expectLog(tt.name, tt.want+eventLine("h0", jpsteering.EventFlowGivenUp))
	}
}

// Guards against packets that reach a server of another service, and against open
// flows that are interrupted, when a service address is reassigned or removed.
func TestAddressChanges(t *testing.T) {
	elsewhere := netip.MustParseAddrPort("10.80.0.2:443")
	tests := []struct {
		name   string
		change func(hn *harness)
		old    string // expected for a packet of the open flow
		syn    string // expected for a new flow at the address
	}{
		{"address reassigned to another service", func(hn *harness) {
			hn.otherServices = []jpsettings.Service{hn.service}
			hn.otherServices[0].Name, hn.otherServices[0].Address = "former", elsewhere
			hn.service.Name = "successor"
			hn.service.Servers = []jpsettings.Server{hn.serverConfig(5, 1)}
		}, "h0>s0 ACK data", "s5 SYN"},
		{"address reassigned, its service removed", func(hn *harness) {
			hn.service.Name = "successor"
			hn.service.Servers = []jpsettings.Server{hn.serverConfig(5, 1)}
		}, "h0>s0 ACK data", "s5 SYN"},
		{"address removed", func(hn *harness) { hn.service.Address = elsewhere }, "h0>s0 ACK data", "no_service"},
		{"service removed", func(hn *harness) {
			hn.service.Name, hn.service.Address = "successor", elsewhere
			hn.service.Servers = []jpsettings.Server{hn.serverConfig(5, 1)}
		}, "h0>s0 ACK data", "no_service"},
		{"server removed", func(hn *harness) { hn.service.Servers = hn.service.Servers[1:] }, "h0>s0 ACK data", "s1 SYN"},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Request, 2)
		fl, fresh := hn.newFlow("s0"), hn.newFlow("s0")
		hn.openFlow("h0", "s0", fl)
		tt.change(hn)
		hn.applySettings()
		hn.advance(3 * time.Second)
		hn.reportWarm()
		hn.log = nil
		hn.sendFromFabric("h0", callerData(fl))
		hn.expectLog(tt.name+": open flow", tt.old)
		hn.sendFromServer("h0", "s0", serverData(fl))
		hn.expectLog(tt.name+": response", "h0>caller ACK data")
		hn.sendFromFabric("h0", callerSegment(fresh, syn, callerISN, 0, 0))
		last := hn.log[len(hn.log)-1]
		if tt.syn == "no_service" {
			hn.expectLog(tt.name+": new flow", dropLine("h0", jpsteering.DropNoService))
		} else if len(last) < len(tt.syn) || last[len(last)-len(tt.syn):] != tt.syn {
			t.Errorf("%s: new flow %v, want %s", tt.name, hn.log, tt.syn)
		}
	}
}

// Guards against flows that are lost when a service or server is renamed.
func TestServiceOrServerRenamed(t *testing.T) {
	for _, server := range []bool{true, false} {
		hn := newSizedHarness(t, jpsettings.Request, 1, 1)
		fl := hn.newFlow("s0")
		hn.openFlow("h0", "s0", fl)
		if server {
			hn.service.Servers[0].Name = "renamed"
		} else {
			hn.service.Name = "renamed"
		}
		hn.applySettings()
		hn.sendFromServer("h0", "s0", serverData(fl))
		hn.expectLog("response", "h0>caller ACK data")
		hn.sendFromFabric("h0", callerData(fl))
		hn.expectLog("request", "h0>s0 ACK data")
		if ss := hn.serverStatus("s0"); ss.Flows != 1 || ss.Stage != 0 {
			t.Errorf("after the rename the server has %d flows and stage %d, want 1 and 0", ss.Flows, ss.Stage)
		}
	}
}

// Guards against flows that are lost, counted for the wrong service or held for a
// probe that no server answers, when two services with the same servers swap
// addresses.
func TestAddressesSwapped(t *testing.T) {
	hn := newSizedHarness(t, jpsettings.Request, 1, 1)
	other := hn.service
	other.Name, other.Address = "twin", netip.MustParseAddrPort("10.80.0.2:443")
	hn.otherServices = []jpsettings.Service{other}
	hn.applySettings()
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.service.Address, hn.otherServices[0].Address = hn.otherServices[0].Address, hn.service.Address
	hn.applySettings()
	hn.sendFromServer("h0", "s0", serverData(fl))
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("both directions", "h0>caller ACK data, h0>s0 ACK data")
	for _, ss := range hn.instances["h0"].Status(hn.now) {
		if want := map[string]int{"twin": 1}[ss.Service]; ss.Flows != want {
			t.Errorf("%s has %d flows, want %d", ss.Service, ss.Flows, want)
		}
	}
}

// Guards against a search that probes a server more than once because it has been
// at the service address several times.
func TestAddressReassignedTwice(t *testing.T) {
	hn := newSizedHarness(t, jpsettings.Stream, 1, 1)
	other := hn.service
	other.Name, other.Address = "other", netip.MustParseAddrPort("10.80.0.2:443")
	other.Servers = []jpsettings.Server{hn.serverConfig(1, 0)}
	hn.otherServices = []jpsettings.Service{other}
	hn.applySettings()
	fl := hn.newFlow("s0")
	for range 3 {
		hn.service.Address, hn.otherServices[0].Address = hn.otherServices[0].Address, hn.service.Address
		hn.applySettings()
	}
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s1", probeReset(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl))
	hn.expectLog("each server is probed once", "h0>s1 ACK, h0>s0 ACK, "+dropLine("h0", jpsteering.DropUnconfirmed))
}

// Guards against a packet that is relayed in a loop because an instance does not
// know a server that had the service address before.
func TestUnknownServer(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	fl := hn.newFlow("s0")
	old := hn.service.Servers
	hn.service.Servers = []jpsettings.Server{hn.serverConfig(2, 0)}
	hn.applySettings()
	hn.instances["h1"] = jpsteering.New("h1", hn.now)
	hn.version--
	hn.applyView("", "h1")
	hn.applySettings("h1")
	hn.confirmAll(time.Hour)
	hn.advance(100 * time.Millisecond)
	hn.log = nil
	hn.sendFromFabric("h0", callerData(fl))
	hn.sendFromServer("h0", "s2", probeReset(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl)) // h1, the owner of s1, does not know s1
	hn.sendFromServer("h0", "s2", probeReset(fl))
	hn.sendFromServer("h0", "s0", probeReset(fl))
	hn.expectLog("search ends", "h0>s2 ACK, h0>s0 ACK, h0>h1, h1>h0, h0>s2 ACK, h0>s0 ACK, h0>h1, "+dropLine("h1", jpsteering.DropUnconfirmed))
	hn.service.Servers = old
}

// Guards against flows that are interrupted when an instance leaves as planned, and
// against flows that the new owner of their server does not count.
func TestPlannedLeave(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 3)
	fl := hn.newFlow("s0")
	hn.openFlow("h0", "s0", fl)
	hn.applyView("h0 leaving", "h0")
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("the new owner may not have the view yet", "h0>s0 ACK data")
	hn.applyView("h0 leaving")
	owner, other := hn.ownerOf("s0")
	hn.log = nil
	hn.advance(500 * time.Millisecond)
	hn.sendFromFabric("h0", callerData(fl))
	hn.expectLog("owner changed", "h0>"+owner+", "+owner+">s0 ACK")
	hn.sendFromServer("h0", "s0", probeACK(fl))
	hn.expectLog("located", "h0>"+owner+", "+owner+">s0 ACK data, "+dropLine(owner, jpsteering.DropProbeAnswer))
	hn.sendFromServer(other, "s0", serverData(fl))
	hn.expectLog("response", other+">"+owner+", "+owner+">caller ACK data")
	if hn.serverStatus("s0").Flows != 1 {
		t.Errorf("new owner counts %d flows, want 1", hn.serverStatus("s0").Flows)
	}
}

// Guards against a reset of a flow whose server is on the other side of a network
// partition.
func TestPartition(t *testing.T) {
	hn := newHarness(t, jpsettings.Stream, 2)
	hn.members = append(hn.members, jpmember.Member{ID: "l0", DataCentre: "launceston", State: jpmember.Alive, Listed: true})
	for _, mb := range hn.members[2:] {
		hn.instances[mb.ID] = jpsteering.New(mb.ID, hn.now)
	}
	hn.confirmAll(time.Hour)
	hn.version--
	hn.applyView("")
	hn.applySettings("l0")
	hn.applyView("h0 dead, h1 dead", "l0")
	hn.stopped["h0"], hn.stopped["h1"] = true, true
	hn.reportWarm()
	fl := hn.newFlow("s0", "s1")
	for range 20 {
		hn.sendFromFabric("l0", callerData(fl))
		hn.advance(time.Second)
	}
	for _, line := range hn.log {
		if line == "l0>caller RST" {
			t.Fatalf("flow on the other side of a partition was reset: %v", hn.log)
		}
	}
}

// Guards against an instance that does not count the flows of another owner. While
// it was isolated and unconfirmed, its view never showed another owner, but other
// instances may have regarded one of them as the owner.
func TestOwnerConfirmedAgain(t *testing.T) {
	tests := []struct {
		name  string
		lapse time.Duration
		want  string
	}{
		{"unconfirmed for 1 s", time.Second, ""},
		{"unconfirmed for 300 ms", 300 * time.Millisecond, "h0>s0 SYN"},
	}
	for _, tt := range tests {
		hn := newHarness(t, jpsettings.Request, 3)
		hn.service.Servers = hn.service.Servers[:1]
		hn.applySettings()
		hn.confirmAll(0)
		hn.advance(tt.lapse)
		hn.confirmAll(time.Hour)
		hn.advance(100 * time.Millisecond)
		hn.log = nil
		hn.sendFromFabric("h0", callerSegment(hn.newFlow("s0"), syn, callerISN, 0, 0))
		hn.expectLog(tt.name, tt.want) // no outcome: the SYN is held until a report has arrived
	}
}

// Guards against packets relayed in a loop by instances with different membership
// views.
func TestInconsistentViews(t *testing.T) {
	hn := newHarness(t, jpsettings.Request, 3)
	fl := hn.newFlow("s0")
	hn.applyView("h0 dead", "h1")
	owner := "h1"
	if !hn.owns("h1", "s0") {
		owner = "h2"
	}
	hn.log = nil
	hn.sendFromFabric("h1", callerSegment(fl, syn, callerISN, 0, 0))
	if owner == "h2" {
		hn.expectLog("relayed twice", "h1>h2, h2>h0, h0>s0 SYN")
	}
	hn.applyView("h1 dead", "h0")
	hn.applyView("h2 dead", "h1")
	hn.applyView("h0 dead", "h2")
	hn.log = nil
	for ix := range 50 {
		fl := hn.newFlow()
		hn.sendFromFabric(hn.members[ix%3].ID, callerSegment(fl, syn, callerISN, 0, 0))
		hn.sendFromFabric(hn.members[ix%3].ID, callerData(fl))
	}
	if len(hn.log) > 50*2*20 {
		t.Errorf("%d outcomes for 100 packets, want at most 2000", len(hn.log))
	}
}

func (hn *harness) owns(id, server string) bool {
	for _, os := range hn.instances[id].OwnedServers() {
		if os.Server.Addr() == hn.serverAddress(server) {
			return true
		}
	}
	return false
}

// Guards against a SYN that reaches a server of another service. The server had
// the service address when it answered an earlier copy of the SYN. If it has
// restarted since, it would accept this one as a new connection.
func TestSYNAfterAddressReassigned(t *testing.T) {
	tests := []struct {
		name   string
		answer func(fl jppacket.Flow) []byte
		seq    uint32
		want   string
	}{
		{"half-open", synACK, callerISN, dropLine("h0", jpsteering.DropWaiting)},
		{"adopted, late copy", serverData, callerISN, dropLine("h0", jpsteering.DropLateAnswer)},
		{"adopted, new connection", serverData, 77_000, dropLine("h0", jpsteering.DropNoRoom)},
	}
	for _, tt := range tests {
		hn := newSizedHarness(t, jpsettings.Request, 1, 1)
		fl := hn.newFlow("s0")
		hn.sendFromServer("h0", "s0", tt.answer(fl))
		hn.service.Name, hn.service.Servers = "successor", []jpsettings.Server{hn.serverConfig(5, 0)}
		hn.applySettings()
		hn.log = nil
		hn.sendFromFabric("h0", callerSegment(fl, syn, tt.seq, 0, 0))
		hn.expectLog(tt.name, tt.want)
	}
}
