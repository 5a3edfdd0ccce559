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

// harness is a dispatcher under test whose directory is up to date.
type harness struct {
	*Dispatcher
	tb       testing.TB
	revision jpdirectory.Revision
	nextPort uint16
}

// newHarness returns a dispatcher in localDC with one route to the service "desk".
func newHarness(tb testing.TB, servers ...jpdirectory.Server) *harness {
	hn := &harness{Dispatcher: New(localDC), tb: tb, nextPort: 1024}
	hn.Tick(at(-1000))
	hn.manifest(1, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
	for _, sr := range servers {
		hn.server(at(-1000), sr)
	}
	hn.setFresh(at(0))
	hn.runTicks(at(-1000), at(0))
	return hn
}

// runTicks calls Tick every 100 ms from one time to another, both included, and
// returns the resets.
func (hn *harness) runTicks(from, to time.Time) []ResetPacket {
	var resets []ResetPacket
	for now := from; !now.After(to); now = now.Add(100 * time.Millisecond) {
		hn.Observe(now, now)
		resets = append(resets, hn.Tick(now)...)
	}
	return resets
}

func (hn *harness) apply(now time.Time, rc jpdirectory.Record) {
	hn.revision.Number++
	rc.Revision = hn.revision
	hn.Apply(now, []jpdirectory.Record{rc})
}

func (hn *harness) manifest(version uint64, routes ...jpdirectory.Route) {
	hn.apply(at(0), jpdirectory.Record{
		Key: jpdirectory.Key{Kind: jpdirectory.ManifestRecord},
		Manifest: &jpdirectory.Manifest{
			Version: version, Routes: routes, IdleTimeout: 15 * time.Second,
			Services: []jpdirectory.Service{
				{Name: "desk", MaxFlows: 2000, ColdTime: 2 * time.Second}, {Name: "catalogue", MaxFlows: 2000},
			},
		},
	})
}

func (hn *harness) server(now time.Time, sr jpdirectory.Server) {
	hn.apply(now, jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: sr.ID}, Server: &sr})
}

func (hn *harness) remove(now time.Time, id string) {
	hn.apply(now, jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: id}})
}

func (hn *harness) setDataCentreOut(now time.Time, dataCentre string, out bool) {
	hn.apply(now, jpdirectory.Record{
		Key: jpdirectory.Key{Kind: jpdirectory.DataCentreOutRecord, Name: dataCentre}, DataCentreOut: out,
	})
}

// setFresh marks the directory as up to date now, and the store as available for
// the last minute.
func (hn *harness) setFresh(now time.Time) { hn.SetFreshness(now, now.Add(-time.Minute)) }

// deskServer returns a server of the service "desk" that has run for a minute.
func deskServer(number int, dataCentre string) jpdirectory.Server {
	return jpdirectory.Server{
		ID: fmt.Sprintf("i-%d", number), Number: uint64(number), Service: "desk", DataCentre: dataCentre, Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(number)}), 80),
		Started: at(-60_000),
	}
}

// newSYN returns the SYN of a new flow.
func (hn *harness) newSYN() Packet {
	hn.nextPort++
	return Packet{
		Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), hn.nextPort), Route: route,
		Flags: SYN, Sequence: uint32(hn.nextPort) << 16,
	}
}

// nextPacket returns the first packet of a flow after its SYN, which acknowledges
// the server's SYN-ACK and carries length bytes of data.
func nextPacket(syn Packet, tag uint32, length int) Packet {
	return Packet{
		Caller: syn.Caller, Route: syn.Route, Flags: ACK, Tag: tag, Sequence: syn.Sequence + 1, Ack: 1000, Length: length,
	}
}

func (hn *harness) wantDecision(dc Decision, outcome Outcome, reason Reason) Decision {
	hn.tb.Helper()
	if dc.Outcome != outcome || dc.Reason != reason {
		hn.tb.Errorf("outcome %d for %v, want %d for %v", dc.Outcome, dc.Reason, outcome, reason)
	}
	return dc
}

// open opens a flow and returns its SYN and the server.
func (hn *harness) open(now time.Time) (Packet, Endpoint) {
	hn.tb.Helper()
	syn := hn.newSYN()
	dc := hn.wantDecision(hn.Handle(now, syn), Forward, Placed)
	hn.wantDecision(hn.Handle(now.Add(4*time.Millisecond), nextPacket(syn, dc.Server.Tag, 0)), Forward, Known)
	return syn, dc.Server
}
