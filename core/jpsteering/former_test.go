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
type formerHarness struct {
	*harness
	latest        *jpsettings.Tree
	dataCentreOut bool // the data centre
}

// newHistory starts two instances with the service desk, which has s0 to s3, and
// the service twin, which has s4 and s5.
func newFormerHarness(t *testing.T) *formerHarness {
	fh := &formerHarness{harness: newSizedHarness(t, jpsettings.Stream, 2, 0), latest: &jpsettings.Tree{}}
	for num := range 4 {
		fh.service.Servers = append(fh.service.Servers, fh.serverConfig(num, num%2))
	}
	twin := fh.service
	twin.Name, twin.Address = "twin", netip.MustParseAddrPort("10.80.0.2:443")
	twin.Servers = []jpsettings.Server{fh.serverConfig(4, 0), fh.serverConfig(5, 1)}
	fh.otherServices = []jpsettings.Service{twin}
	fh.publishSettings()
	fh.restartInstances()
	return fh
}

// publish gives the settings with their list to all instances.
func (fh *formerHarness) publishSettings() {
	fh.version++
	tree := &jpsettings.Tree{Version: fh.version, DataCentres: []jpsettings.DataCentre{{Name: "hobart", Out: fh.dataCentreOut}}}
	for _, sv := range append([]jpsettings.Service{fh.service}, fh.otherServices...) {
		sv.Servers = slices.Clone(sv.Servers)
		for ix := range sv.Servers {
			sv.Servers[ix].Out = fh.dataCentreOut
		}
		tree.Services = append(tree.Services, sv)
	}
	tree.Former = jprollout.Former(fh.now, fh.latest, tree)
	fh.latest = tree
	fh.applyLatest()
}

// take gives the latest settings to all instances.
func (fh *formerHarness) applyLatest() {
	for _, mb := range fh.members {
		fh.handleOutcomes(mb.ID, fh.instances[mb.ID].ApplySettings(fh.now, fh.latest, nil))
	}
}

// restart replaces all instances by new ones, which read the latest settings.
func (fh *formerHarness) restartInstances() {
	for _, mb := range fh.members {
		fh.instances[mb.ID] = jpsteering.New(mb.ID, fh.now)
	}
	fh.applyView("")
	fh.applyLatest()
	fh.confirmAll(time.Hour)
	fh.advance(100 * time.Millisecond)
	fh.reportWarm()
	fh.advance(3 * time.Second)
	fh.log = nil
}

// search sends a packet of a flow and answers the probes: all servers deny the
// flow but the holder. It returns the servers that were asked.
func (fh *formerHarness) locateFlow(id string, fl jppacket.Flow, holder string) []string {
	var asked []string
	fh.log = nil
	fh.sendFromFabric(id, callerData(fl))
	for ix := 0; ix < len(fh.log); ix++ {
		from, to, _ := strings.Cut(fh.log[ix], ">")
		server, isProbe := strings.CutSuffix(to, " ACK")
		if !isProbe {
			continue
		}
		asked = append(asked, server)
		if server == holder {
			fh.sendFromServer(from, server, probeACK(fl))
		} else {
			fh.sendFromServer(from, server, probeReset(fl))
		}
	}
	return asked
}

func (fh *formerHarness) swapAddresses() {
	fh.service.Address, fh.otherServices[0].Address = fh.otherServices[0].Address, fh.service.Address
}

func (fh *formerHarness) removeServer() { fh.service.Servers = fh.service.Servers[1:] }

// Guards against connections that end because instances that started after a
// change do not know which servers had the service address before, because an
// owner takes such a server for new and denies its flows, or because instances
// that have seen the change search in another order and skip servers.
func TestFormerServers(t *testing.T) {
	tests := []struct {
		name    string
		changes []func(fh *formerHarness)
	}{
		{"addresses exchanged", []func(*formerHarness){(*formerHarness).swapAddresses}},
		{"exchanged twice, server left", []func(*formerHarness){(*formerHarness).swapAddresses, (*formerHarness).removeServer, (*formerHarness).swapAddresses}},
		{"server left", []func(*formerHarness){(*formerHarness).removeServer}},
		{"server is back", []func(*formerHarness){(*formerHarness).removeServer, (*formerHarness).restartInstances, func(fh *formerHarness) {
			fh.service.Servers = append([]jpsettings.Server{fh.serverConfig(0, 0)}, fh.service.Servers...)
		}}},
		{"service left", []func(*formerHarness){func(fh *formerHarness) { fh.service = fh.otherServices[0]; fh.otherServices = nil }}},
		{"address left", []func(*formerHarness){func(fh *formerHarness) { fh.service.Address = netip.MustParseAddrPort("10.80.0.3:443") }}},
		{"moved, then renamed", []func(*formerHarness){(*formerHarness).swapAddresses, func(fh *formerHarness) { fh.service.Name = "renamed" }}},
		{"renamed, server left", []func(*formerHarness){func(fh *formerHarness) { fh.service.Name = "renamed"; fh.removeServer() }}},
		{"another service gets the server", []func(*formerHarness){func(fh *formerHarness) {
			left := fh.service.Servers[0]
			left.Name = "other-0"
			fh.swapAddresses()
			fh.otherServices[0].Servers = append(fh.otherServices[0].Servers, left)
		}}},
	}
	for _, tt := range tests {
		fh := newFormerHarness(t)
		fl, others := fh.newFlow("s0"), []jppacket.Flow{fh.newFlow(), fh.newFlow(), fh.newFlow("s3")}
		fh.openFlow("h0", "s0", fl)
		fh.restartInstances()
		for _, change := range tt.changes {
			fh.advance(15 * time.Second) // from then on no other owner is possible
			change(fh)
			fh.publishSettings()
		}
		fh.advance(time.Second)
		var askedBefore [][]string
		for _, other := range others {
			askedBefore = append(askedBefore, fh.locateFlow("h0", other, ""))
		}
		fh.restartInstances()
		for ix, other := range others {
			if asked := fh.locateFlow("h0", other, ""); !slices.Equal(asked, askedBefore[ix]) || !slices.Contains(asked, "s0") {
				t.Errorf("%s: asked %v, before the restart %v", tt.name, asked, askedBefore[ix])
			}
		}
		asked := fh.locateFlow("h1", fl, "s0")
		fh.sendFromServer("h1", "s0", serverData(fl))
		if log := strings.Join(fh.log, ","); !strings.Contains(log, ">s0 ACK data") || !strings.Contains(log, ">caller ACK data") {
			t.Errorf("%s: asked %v: %s", tt.name, asked, log)
		}
	}
}

// Guards against packets to a server that left the settings before its data
// centre was taken out (G4).
func TestFormerServerTakenOut(t *testing.T) {
	fh := newFormerHarness(t)
	fl := fh.newFlow("s0")
	fh.openFlow("h0", "s0", fl)
	fh.service.Servers = fh.service.Servers[1:]
	fh.publishSettings()
	fh.log, fh.dataCentreOut = nil, true
	fh.publishSettings()
	fh.expectLog("given up", "h0>caller RST ACK, h0>s0 RST ACK, "+eventLine("h0", jpsteering.EventFlowGivenUp))
	for range 2 {
		if asked := fh.locateFlow("h0", fl, "s0"); len(asked) > 0 {
			t.Errorf("asked %v", asked)
		}
		fh.restartInstances()
	}
}

// Guards against flows that no server holds and that are dropped for ever: peers
// tell loads of servers that left with their service, which are not signs of
// newer settings.
func TestLoadsOfRemovedServers(t *testing.T) {
	fh := newFormerHarness(t)
	fl := fh.newFlow()
	fl.Service = fh.otherServices[0].Address.Addr().As4()
	fh.service, fh.otherServices = fh.otherServices[0], nil
	fh.publishSettings()
	fh.restartInstances()
	for range 6 {
		fh.exchangeLoads()
		fh.locateFlow("h0", fl, "")
		fh.advance(time.Second)
	}
	if log := strings.Join(fh.log, ","); !strings.Contains(log, ">caller RST") {
		t.Errorf("not reset: %s", log)
	}
}
