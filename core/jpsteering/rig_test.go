package jpsteering_test

import (
	"encoding/binary"
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
	"jacinthpass/core/jptable"
)

const (
	fin = jppacket.FIN
	syn = jppacket.SYN
	rst = jppacket.RST
	ack = jppacket.ACK
)

var start = time.Unix(1_790_000_000, 0)

// First sequence numbers of callers and servers.
const (
	callerISN = 1000
	serverISN = 5000
)

// packet builds a TCP segment with payload. Transport checksums are not read.
func packet(sg jppacket.Segment, payload int) []byte {
	buf := jppacket.AppendSegment(nil, sg)
	buf = append(buf, make([]byte, payload)...)
	binary.BigEndian.PutUint16(buf[2:], uint16(len(buf)))
	binary.BigEndian.PutUint16(buf[10:], 0)
	var sum uint32
	for at := 0; at < 20; at += 2 {
		sum += uint32(binary.BigEndian.Uint16(buf[at:]))
	}
	sum = sum>>16 + sum&0xffff
	binary.BigEndian.PutUint16(buf[10:], ^uint16(sum>>16+sum))
	return buf
}

// fromCaller builds a segment of the flow's caller.
func fromCaller(fl jppacket.Flow, flags uint8, seq, acked uint32, payload int) []byte {
	return packet(jppacket.Segment{
		Source: fl.Caller, SourcePort: fl.CallerAt, Destination: fl.Service, DestinationPort: fl.Port,
		Flags: flags, Sequence: seq, Acknowledgement: acked,
	}, payload)
}

// fromServer builds a segment of a server for the flow's caller.
func fromServer(fl jppacket.Flow, flags uint8, seq, acked uint32, payload int) []byte {
	return packet(jppacket.Segment{
		Source: fl.Service, SourcePort: fl.Port, Destination: fl.Caller, DestinationPort: fl.CallerAt,
		Flags: flags, Sequence: seq, Acknowledgement: acked,
	}, payload)
}

// rig is a few instances on a network without delay. The service desk has the
// servers s0, s1, s2, ...; server sN is owned by the N-th instance.
type rig struct {
	t       testing.TB
	now     time.Time
	version uint64
	sv      jpsettings.Service
	more    []jpsettings.Service
	members []jpmember.Member
	names   map[netip.Addr]string // of servers
	insts   map[string]*jpsteering.Steerer
	gone    map[string]bool
	log     []string // what happened since the last call of step
	last    []byte   // latest packet that left the instances
	before  []byte   // the one before
	moved   []jpsteering.Outcome
	used    map[uint16]bool // callers' ports
}

// newRig starts one instance for each server. The servers are warm.
func newRig(t testing.TB, kind jpsettings.Kind, servers int) *rig {
	return newRigOf(t, kind, servers, servers)
}

func newRigOf(t testing.TB, kind jpsettings.Kind, instances, servers int) *rig {
	rg := &rig{t: t, now: start, names: map[netip.Addr]string{}, insts: map[string]*jpsteering.Steerer{}, gone: map[string]bool{}, used: map[uint16]bool{}}
	for ix := range instances {
		rg.members = append(rg.members, jpmember.Member{ID: fmt.Sprint("h", ix), DataCentre: "hobart", State: jpmember.Alive, Listed: true})
	}
	rg.sv = jpsettings.Service{Name: "desk", Address: netip.MustParseAddrPort("10.80.0.1:443"), Protocol: jpsettings.TCP, Kind: kind}
	for ix := range servers {
		rg.sv.Servers = append(rg.sv.Servers, rg.server(ix, ix))
	}
	for _, mb := range rg.members {
		st := jpsteering.New(mb.ID, rg.now)
		rg.insts[mb.ID] = st
		st.ApplyView(rg.now, jpmember.View{Self: mb.ID, Members: rg.members}, nil)
	}
	rg.confirm(time.Hour)
	rg.wait(100 * time.Millisecond)
	rg.apply()
	rg.report()
	rg.wait(3 * time.Second)
	return rg
}

// server returns server sN, named so that the given instance owns it.
func (rg *rig) server(num, owner int) jpsettings.Server {
	sc := jpsettings.Server{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(num + 1)}), 5555), DataCentre: "hobart",
		Limits: jpsettings.Limits{
			Slots: 2, Connections: 100, ColdSlots: 1, ColdConnections: 1, ColdDuration: 8 * time.Second,
			IdleProbe: 20 * time.Second, RetryPercent: 10,
		},
	}
	for suffix := 0; ; suffix++ {
		sc.Name = fmt.Sprintf("s%d-%d", num, suffix)
		got, _ := jptable.Owners(rg.members, "hobart", "desk/"+sc.Name+"@"+sc.Address.String())
		if got == rg.members[owner].ID {
			rg.names[sc.Address.Addr()] = fmt.Sprint("s", num)
			return sc
		}
	}
}

// apply gives the settings to all instances, or to those named.
func (rg *rig) apply(ids ...string) {
	rg.version++
	sv := rg.sv
	sv.Servers = slices.Clone(sv.Servers)
	tree := &jpsettings.Tree{Version: rg.version, Services: append([]jpsettings.Service{sv}, rg.more...)}
	tables := jptable.BuildTables(tree, nil)
	for _, mb := range rg.members {
		if st := rg.insts[mb.ID]; ids == nil || slices.Contains(ids, mb.ID) {
			rg.handle(mb.ID, st.ApplyTables(rg.now, tree, tables, nil))
		}
	}
}

// view tells instances, or all, the states of others: "h1 dead" or "h1 leaving".
func (rg *rig) view(states string, ids ...string) {
	members := slices.Clone(rg.members)
	for ix := range members {
		switch id := members[ix].ID; {
		case strings.Contains(states, id+" dead"):
			members[ix].State = jpmember.Dead
		case strings.Contains(states, id+" leaving"):
			members[ix].State = jpmember.Leaving
		}
	}
	for _, mb := range members {
		if st := rg.insts[mb.ID]; (ids == nil || slices.Contains(ids, mb.ID)) && !rg.gone[mb.ID] {
			rg.handle(mb.ID, st.ApplyView(rg.now, jpmember.View{Self: mb.ID, Members: members}, nil))
		}
	}
}

// confirm makes every instance confirm every other one for some time.
func (rg *rig) confirm(dur time.Duration) {
	for _, st := range rg.insts {
		for _, mb := range rg.members {
			st.HandleConfirmation(mb.ID, rg.now.Add(dur))
		}
	}
}

// report tells the owners that their servers are warm and idle.
func (rg *rig) report() {
	for _, st := range rg.insts {
		for _, os := range st.OwnedServers() {
			st.HandleReport(rg.now, jpsteering.Report{Service: os.Service, Server: os.Server.Addr(), State: jpsteering.ReportWarm})
		}
	}
}

// loads exchanges the loads between all instances.
func (rg *rig) loads() {
	for from, st := range rg.insts {
		for id, other := range rg.insts {
			if id != from {
				other.HandleLoads(rg.now, from, st.Loads(rg.now))
			}
		}
	}
}

// wait lets time pass, with a tick every 100 ms.
func (rg *rig) wait(dur time.Duration) {
	for end := rg.now.Add(dur); rg.now.Before(end); {
		rg.now = rg.now.Add(100 * time.Millisecond)
		for _, mb := range rg.members {
			if !rg.gone[mb.ID] {
				rg.handle(mb.ID, rg.insts[mb.ID].Tick(rg.now, nil))
			}
		}
	}
}

// flow returns a new flow whose row of the rank table begins with the servers.
func (rg *rig) flow(first ...string) jppacket.Flow {
	tb := jptable.Build(&rg.sv)
	fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, Service: rg.sv.Address.Addr().As4(), Port: rg.sv.Address.Port(), Protocol: 6}
	for fl.CallerAt = 1024; fl.CallerAt != 0; fl.CallerAt++ {
		row := tb.Row(jptable.Hash(fl))
		if !rg.used[fl.CallerAt] && slices.EqualFunc(first, row[:min(len(first), len(row))], func(name string, ix uint16) bool {
			return rg.names[rg.sv.Servers[ix].Address.Addr()] == name
		}) {
			rg.used[fl.CallerAt] = true
			return fl
		}
	}
	rg.t.Fatalf("no flow for %v", first)
	return fl
}

// send gives an instance a packet from the fabric.
func (rg *rig) send(id string, pkt []byte) {
	rg.packet(id, jpsteering.Packet{Inner: pkt})
}

// reply gives an instance a packet from a server.
func (rg *rig) reply(id, server string, pkt []byte) {
	rg.packet(id, jpsteering.Packet{Inner: pkt, Outer: rg.address(server)})
}

func (rg *rig) address(server string) netip.Addr {
	for ad, name := range rg.names {
		if name == server {
			return ad
		}
	}
	rg.t.Fatalf("no server %s", server)
	return netip.Addr{}
}

func (rg *rig) packet(id string, pkt jpsteering.Packet) {
	if !rg.gone[id] {
		rg.handle(id, rg.insts[id].HandlePacket(rg.now, pkt, nil))
	}
}

// handle notes outcomes and passes relayed packets on.
func (rg *rig) handle(id string, out []jpsteering.Outcome) {
	for _, oc := range out {
		switch oc.Kind {
		case jpsteering.Drop:
			rg.log = append(rg.log, fmt.Sprintf("%s drop %d", id, oc.Reason))
		case jpsteering.Record:
			rg.log = append(rg.log, fmt.Sprintf("%s event %d", id, oc.Reason))
		case jpsteering.ToServer:
			rg.before, rg.last = rg.last, slices.Clone(oc.Packet)
			rg.log = append(rg.log, id+">"+rg.names[oc.Server.Addr()]+flags(oc.Packet))
		case jpsteering.ToCaller:
			rg.before, rg.last = rg.last, slices.Clone(oc.Packet)
			rg.log = append(rg.log, id+">caller"+flags(oc.Packet))
		case jpsteering.NotifyInstance:
			rg.moved = append(rg.moved, oc)
			rg.log = append(rg.log, id+" tells "+oc.Instance)
		case jpsteering.ToInstance:
			rg.log = append(rg.log, id+">"+oc.Instance)
			rg.packet(oc.Instance, jpsteering.Packet{Inner: slices.Clone(oc.Packet), Relay: oc.Relay})
		}
	}
}

// flags shows the flags of a segment and whether it carries payload.
func flags(pkt []byte) string {
	var hd jppacket.Header
	if err := hd.Parse(pkt); err != nil {
		return " " + err.Error()
	}
	var text string
	for ix, name := range []string{" FIN", " SYN", " RST", "", " ACK"} {
		if hd.Flags>>ix&1 != 0 {
			text += name
		}
	}
	if hd.Payload > 0 {
		text += " data"
	}
	return text
}

// step compares what happened since the last call with a list of steps that
// are separated by commas.
func (rg *rig) step(what, want string) {
	rg.t.Helper()
	if got := strings.Join(rg.log, ", "); got != want {
		rg.t.Errorf("%s:\n got %s\nwant %s", what, got, want)
	}
	rg.log = nil
}

// open takes a flow through its handshake. The packets enter at one instance.
func (rg *rig) open(id, server string, fl jppacket.Flow) {
	rg.t.Helper()
	rg.send(id, fromCaller(fl, syn, callerISN, 0, 0))
	rg.reply(id, server, fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
	rg.send(id, fromCaller(fl, ack, callerISN+1, serverISN+1, 0))
	if !strings.Contains(strings.Join(rg.log, ","), ">"+server+" ACK") {
		rg.t.Fatalf("flow is not open at %s: %v", server, rg.log)
	}
	rg.log = nil
}

// status returns what its owner knows of a server.
func (rg *rig) status(server string) jpsteering.ServerStatus {
	for id, st := range rg.insts {
		for _, ss := range st.Status(rg.now) {
			if !rg.gone[id] && ss.Server.Address.Addr() == rg.address(server) {
				return ss
			}
		}
	}
	rg.t.Fatalf("%s has no owner", server)
	return jpsteering.ServerStatus{}
}

// data is the caller's first payload, request the server's answer to it.
func data(fl jppacket.Flow) []byte   { return fromCaller(fl, ack, callerISN+1, serverISN+1, 100) }
func answer(fl jppacket.Flow) []byte { return fromServer(fl, ack, serverISN+1, callerISN+101, 50) }
func probed(fl jppacket.Flow) []byte { return fromServer(fl, ack, serverISN+1, callerISN+1, 0) }
func denial(fl jppacket.Flow) []byte { return fromServer(fl, rst, serverISN+1, 0, 0) }
func synAnswer(fl jppacket.Flow) []byte {
	return fromServer(fl, syn|ack, serverISN, callerISN+1, 0)
}
