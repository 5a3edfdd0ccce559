package jpdispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

var start = time.Unix(1_790_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const (
	localDC  = "hobart"
	remoteDC = "launceston"
)

var route = netip.MustParseAddrPort("198.18.0.1:443")

// rig is a dispatcher with a directory that is up to date.
type rig struct {
	*Dispatcher
	tb       testing.TB
	revision uint64
	nextPort uint16
}

// newRig returns a dispatcher in the data centre home with one route to the
// service "desk".
func newRig(tb testing.TB, servers ...jpdirectory.Server) *rig {
	rg := &rig{Dispatcher: New(localDC), tb: tb, nextPort: 1024}
	rg.Tick(at(-1000))
	rg.manifest(1, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
	for _, sr := range servers {
		rg.server(at(-1000), sr)
	}
	rg.setFresh(at(0))
	rg.runTicks(at(-1000), at(0))
	return rg
}

// run ticks from one moment to another.
func (rg *rig) runTicks(from, to time.Time) []ResetPacket {
	var resets []ResetPacket
	for now := from; !now.After(to); now = now.Add(100 * time.Millisecond) {
		resets = append(resets, rg.Tick(now)...)
	}
	return resets
}

func (rg *rig) apply(now time.Time, rc jpdirectory.Record) {
	rg.revision++
	rc.Revision = rg.revision
	rg.Apply(now, []jpdirectory.Record{rc})
}

func (rg *rig) manifest(version uint64, routes ...jpdirectory.Route) {
	rg.apply(at(0), jpdirectory.Record{
		Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord},
		Manifest: &jpdirectory.Manifest{
			Version: version, Routes: routes, IdleTimeout: 15 * time.Second,
			Services: []jpdirectory.Service{
				{Name: "desk", MaxFlows: 2000, ColdTime: 2 * time.Second}, {Name: "catalogue", MaxFlows: 2000},
			},
		},
	})
}

func (rg *rig) server(now time.Time, sr jpdirectory.Server) {
	rg.apply(now, jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: sr.ID}, Server: &sr})
}

func (rg *rig) remove(now time.Time, id string) {
	rg.apply(now, jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: id}})
}

func (rg *rig) setDataCentreOut(now time.Time, dataCentre string, out bool) {
	rg.apply(now, jpdirectory.Record{
		Key: jpdirectory.Key{Kind: jpdirectory.DataCentreOutRecord, Name: dataCentre}, DataCentreOut: out,
	})
}

// fresh makes the directory up to date, as it has been for a minute.
func (rg *rig) setFresh(now time.Time) { rg.SetFreshness(now, now.Add(-time.Minute)) }

// desk returns a server of the service "desk".
func deskServer(number int, dataCentre string) jpdirectory.Server {
	return jpdirectory.Server{
		ID: fmt.Sprintf("i-%d", number), Number: uint64(number), Service: "desk", DataCentre: dataCentre, Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(number)}), 80),
	}
}

// syn returns the SYN of the next flow.
func (rg *rig) newSYN() Packet {
	rg.nextPort++
	return Packet{
		Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), rg.nextPort), Route: route,
		Flags: SYN, Sequence: uint32(rg.nextPort) << 16,
	}
}

// answered returns the next packet of a flow after the handshake, with data.
func nextPacket(syn Packet, tag uint32, length int) Packet {
	return Packet{
		Caller: syn.Caller, Route: syn.Route, Flags: ACK, Tag: tag, Sequence: syn.Sequence + 1, Ack: 1000, Length: length,
	}
}

func (rg *rig) wantDecision(dc Decision, outcome Outcome, reason Reason) Decision {
	rg.tb.Helper()
	if dc.Outcome != outcome || dc.Reason != reason {
		rg.tb.Errorf("outcome %d for %v, want %d for %v", dc.Outcome, dc.Reason, outcome, reason)
	}
	return dc
}

// open opens a flow and returns its SYN and server.
func (rg *rig) open(now time.Time) (Packet, Endpoint) {
	rg.tb.Helper()
	syn := rg.newSYN()
	dc := rg.wantDecision(rg.Handle(now, syn), Forward, Placed)
	rg.wantDecision(rg.Handle(now.Add(4*time.Millisecond), nextPacket(syn, dc.Server.Tag, 0)), Forward, Known)
	return syn, dc.Server
}
