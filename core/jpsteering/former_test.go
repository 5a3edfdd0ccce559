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

// formerHarness is a harness whose settings list the servers that each service
// address had before (Tree.Former).
type formerHarness struct {
	*harness
	latestSettings *jpsettings.Tree
	dataCentreOut  bool // the data centre of all servers is out
}

// newFormerHarness starts two instances and the services desk, with servers s0 to
// s3, and twin, with s4 and s5.
func newFormerHarness(t *testing.T) *formerHarness {
	fh := &formerHarness{harness: newSizedHarness(t, jpsettings.Stream, 2, 0), latestSettings: &jpsettings.Tree{}}
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

// publishSettings applies the settings, with their list of former servers, to all
// instances.
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
	tree.Former = jprollout.FormerServers(fh.now, fh.latestSettings, tree)
	fh.latestSettings = tree
	fh.applyLatest()
}

// applyLatest applies the latest settings to all instances.
func (fh *formerHarness) applyLatest() {
	for _, mb := range fh.members {
		fh.handleOutcomes(mb.ID, fh.instances[mb.ID].ApplySettings(fh.now, fh.latestSettings, nil))
	}
}

// restartInstances replaces all instances with new ones that have the latest
// settings.
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

// locateFlow sends a packet of a flow to an instance and answers the probes: the
// holder with an ACK, other servers with a RST. It returns the probed servers.
func (fh *formerHarness) locateFlow(id string, fl jppacket.Flow, holder string) []string {
	var probed []string
	fh.log = nil
	fh.sendFromFabric(id, callerData(fl))
	for ix := 0; ix < len(fh.log); ix++ {
		from, to, _ := strings.Cut(fh.log[ix], ">")
		server, isProbe := strings.CutSuffix(to, " ACK")
		if !isProbe {
			continue
		}
		probed = append(probed, server)
		if server == holder {
			fh.sendFromServer(from, server, probeACK(fl))
		} else {
			fh.sendFromServer(from, server, probeReset(fl))
		}
	}
	return probed
}

func (fh *formerHarness) swapAddresses() {
	fh.service.Address, fh.otherServices[0].Address = fh.otherServices[0].Address, fh.service.Address
}

func (fh *formerHarness) removeServer() { fh.service.Servers = fh.service.Servers[1:] }

// Guards against connections that end after a change of the settings. Instances
// that started later may not know the servers that had the service address before,
// an owner may take such a server for a new one without flows, or instances may
// search in different orders, depending on whether they have seen the change, and
// skip servers.
func TestFormerServers(t *testing.T) {
	tests := []struct {
		name    string
		changes []func(fh *formerHarness)
	}{
		{"addresses swapped", []func(*formerHarness){(*formerHarness).swapAddresses}},
		{"addresses swapped twice, server removed", []func(*formerHarness){(*formerHarness).swapAddresses, (*formerHarness).removeServer, (*formerHarness).swapAddresses}},
		{"server removed", []func(*formerHarness){(*formerHarness).removeServer}},
		{"server removed and added again", []func(*formerHarness){(*formerHarness).removeServer, (*formerHarness).restartInstances, func(fh *formerHarness) {
			fh.service.Servers = append([]jpsettings.Server{fh.serverConfig(0, 0)}, fh.service.Servers...)
		}}},
		{"service removed", []func(*formerHarness){func(fh *formerHarness) { fh.service = fh.otherServices[0]; fh.otherServices = nil }}},
		{"address changed", []func(*formerHarness){func(fh *formerHarness) { fh.service.Address = netip.MustParseAddrPort("10.80.0.3:443") }}},
		{"addresses swapped, then service renamed", []func(*formerHarness){(*formerHarness).swapAddresses, func(fh *formerHarness) { fh.service.Name = "renamed" }}},
		{"service renamed, server removed", []func(*formerHarness){func(fh *formerHarness) { fh.service.Name = "renamed"; fh.removeServer() }}},
		{"addresses swapped, server moved to the other service", []func(*formerHarness){func(fh *formerHarness) {
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
			fh.advance(15 * time.Second) // long enough that no other instance can have acted as owner
			change(fh)
			fh.publishSettings()
		}
		fh.advance(time.Second)
		var probedBefore [][]string
		for _, other := range others {
			probedBefore = append(probedBefore, fh.locateFlow("h0", other, ""))
		}
		fh.restartInstances()
		for ix, other := range others {
			if probed := fh.locateFlow("h0", other, ""); !slices.Equal(probed, probedBefore[ix]) || !slices.Contains(probed, "s0") {
				t.Errorf("%s: probed %v, before the restart %v", tt.name, probed, probedBefore[ix])
			}
		}
		probed := fh.locateFlow("h1", fl, "s0")
		fh.sendFromServer("h1", "s0", serverData(fl))
		if log := strings.Join(fh.log, ","); !strings.Contains(log, ">s0 ACK data") || !strings.Contains(log, ">caller ACK data") {
			t.Errorf("%s: flow is not open after probes of %v: %s", tt.name, probed, log)
		}
	}
}

// Guards against packets to a server that was removed from the settings before its
// data centre was taken out (G4).
func TestFormerServerTakenOut(t *testing.T) {
	fh := newFormerHarness(t)
	fl := fh.newFlow("s0")
	fh.openFlow("h0", "s0", fl)
	fh.service.Servers = fh.service.Servers[1:]
	fh.publishSettings()
	fh.log, fh.dataCentreOut = nil, true
	fh.publishSettings()
	fh.expectLog("data centre taken out", "h0>caller RST ACK, h0>s0 RST ACK, "+eventLine("h0", jpsteering.EventFlowGivenUp))
	for range 2 {
		if probed := fh.locateFlow("h0", fl, "s0"); len(probed) > 0 {
			t.Errorf("probed %v although the data centre is out", probed)
		}
		fh.restartInstances()
	}
}

// Guards against packets of a flow that no server holds being dropped forever
// instead of reset. A load of an unknown server is taken for a sign of newer
// settings, so peers must not send loads of servers removed with their service.
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
		t.Errorf("flow was not reset: %s", log)
	}
}
