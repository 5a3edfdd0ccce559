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

var testStart = time.Unix(1_790_000_000, 0)

// Initial sequence numbers of callers and servers.
const (
	callerISN = 1000
	serverISN = 5000
)

// buildSegment builds an IPv4 packet that holds a TCP segment with payload. The
// IP checksum is valid. The TCP checksum is not, because nothing checks it.
func buildSegment(sg jppacket.Segment, payload int) []byte {
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

// callerSegment builds a segment from the flow's caller to the service.
func callerSegment(fl jppacket.Flow, flags uint8, seq, acked uint32, payload int) []byte {
	return buildSegment(jppacket.Segment{
		Source: fl.Caller, SourcePort: fl.CallerPort, Destination: fl.Service, DestinationPort: fl.ServicePort,
		Flags: flags, Sequence: seq, Acknowledgement: acked,
	}, payload)
}

// serverSegment builds a segment from a server to the flow's caller.
func serverSegment(fl jppacket.Flow, flags uint8, seq, acked uint32, payload int) []byte {
	return buildSegment(jppacket.Segment{
		Source: fl.Service, SourcePort: fl.ServicePort, Destination: fl.Caller, DestinationPort: fl.CallerPort,
		Flags: flags, Sequence: seq, Acknowledgement: acked,
	}, payload)
}

// harness runs several Steerers, connected by a network without delay or loss,
// on a simulated clock. The service desk has the servers s0, s1, s2, ..., and
// instance hN owns server sN. All sent packets are logged for expectLog.
type harness struct {
	t              testing.TB
	now            time.Time
	version        uint64
	service        jpsettings.Service
	otherServices  []jpsettings.Service
	members        []jpmember.Member
	serverNames    map[netip.Addr]string // by address, such as "s0"
	instances      map[string]*jpsteering.Steerer
	stopped        map[string]bool
	log            []string // outcomes since the last call of expectLog
	lastPacket     []byte   // latest packet sent to a server or caller
	previousPacket []byte   // the packet sent before lastPacket
	movedMessages  []jpsteering.Outcome
	usedPorts      map[uint16]bool // caller ports taken by newFlow
}

// newHarness starts one instance per server. The servers are warm.
func newHarness(t testing.TB, kind jpsettings.Kind, servers int) *harness {
	return newSizedHarness(t, kind, servers, servers)
}

func newSizedHarness(t testing.TB, kind jpsettings.Kind, instances, servers int) *harness {
	hn := &harness{t: t, now: testStart, serverNames: map[netip.Addr]string{}, instances: map[string]*jpsteering.Steerer{}, stopped: map[string]bool{}, usedPorts: map[uint16]bool{}}
	for ix := range instances {
		hn.members = append(hn.members, jpmember.Member{ID: fmt.Sprint("h", ix), DataCentre: "hobart", State: jpmember.Alive, Listed: true})
	}
	hn.service = jpsettings.Service{Name: "desk", Address: netip.MustParseAddrPort("10.80.0.1:443"), Protocol: jpsettings.TCP, Kind: kind}
	for ix := range servers {
		hn.service.Servers = append(hn.service.Servers, hn.serverConfig(ix, ix))
	}
	for _, mb := range hn.members {
		st := jpsteering.New(mb.ID, hn.now)
		hn.instances[mb.ID] = st
		st.ApplyView(hn.now, jpmember.View{Self: mb.ID, Members: hn.members}, nil)
	}
	hn.confirmAll(time.Hour)
	hn.advance(100 * time.Millisecond)
	hn.applySettings()
	hn.reportWarm()
	hn.advance(3 * time.Second)
	return hn
}

// serverConfig returns the settings of server sN for N = num, with a name for
// which rendezvous hashing selects the given instance as the owner.
func (hn *harness) serverConfig(num, owner int) jpsettings.Server {
	sc := jpsettings.Server{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(num + 1)}), 5555), DataCentre: "hobart",
		Limits: jpsettings.Limits{
			Slots: 2, Connections: 100, ColdSlots: 1, ColdConnections: 1, ColdDuration: 8 * time.Second,
			IdleProbe: 20 * time.Second, RetryPercent: 10,
		},
	}
	for suffix := 0; ; suffix++ {
		sc.Name = fmt.Sprintf("s%d-%d", num, suffix)
		got, _ := jptable.Owners(hn.members, "hobart", "desk/"+sc.Name+"@"+sc.Address.String())
		if got == hn.members[owner].ID {
			hn.serverNames[sc.Address.Addr()] = fmt.Sprint("s", num)
			return sc
		}
	}
}

// applySettings applies the settings to the named instances, or to all if none
// is named.
func (hn *harness) applySettings(ids ...string) {
	hn.version++
	sv := hn.service
	sv.Servers = slices.Clone(sv.Servers)
	tree := &jpsettings.Tree{Version: hn.version, Services: append([]jpsettings.Service{sv}, hn.otherServices...)}
	tables := jptable.BuildTables(tree, nil)
	for _, mb := range hn.members {
		if st := hn.instances[mb.ID]; ids == nil || slices.Contains(ids, mb.ID) {
			hn.handleOutcomes(mb.ID, st.ApplyTables(hn.now, tree, tables, nil))
		}
	}
}

// applyView gives the named instances, or all if none is named, a membership
// view with the given states, such as "h1 dead, h2 leaving". Instances that
// states does not mention keep the state that they have in hn.members.
func (hn *harness) applyView(states string, ids ...string) {
	members := slices.Clone(hn.members)
	for ix := range members {
		switch id := members[ix].ID; {
		case strings.Contains(states, id+" dead"):
			members[ix].State = jpmember.Dead
		case strings.Contains(states, id+" leaving"):
			members[ix].State = jpmember.Leaving
		}
	}
	for _, mb := range members {
		if st := hn.instances[mb.ID]; (ids == nil || slices.Contains(ids, mb.ID)) && !hn.stopped[mb.ID] {
			hn.handleOutcomes(mb.ID, st.ApplyView(hn.now, jpmember.View{Self: mb.ID, Members: members}, nil))
		}
	}
}

// confirmAll gives every instance confirmations from all others that expire
// after dur.
func (hn *harness) confirmAll(dur time.Duration) {
	for _, st := range hn.instances {
		for _, mb := range hn.members {
			st.HandleConfirmation(mb.ID, hn.now.Add(dur))
		}
	}
}

// reportWarm gives every owner a load report that its servers are warm and idle.
func (hn *harness) reportWarm() {
	for _, st := range hn.instances {
		for _, os := range st.OwnedServers() {
			st.HandleReport(hn.now, jpsteering.Report{Service: os.Service, Server: os.Server.Addr(), State: jpsteering.ReportWarm})
		}
	}
}

// exchangeLoads sends the loads of every instance to all others.
func (hn *harness) exchangeLoads() {
	for from, st := range hn.instances {
		for id, other := range hn.instances {
			if id != from {
				other.HandleLoads(hn.now, from, st.Loads(hn.now))
			}
		}
	}
}

// advance moves the clock forward by dur, with a Tick every 100 ms.
func (hn *harness) advance(dur time.Duration) {
	for end := hn.now.Add(dur); hn.now.Before(end); {
		hn.now = hn.now.Add(100 * time.Millisecond)
		for _, mb := range hn.members {
			if !hn.stopped[mb.ID] {
				hn.handleOutcomes(mb.ID, hn.instances[mb.ID].Tick(hn.now, nil))
			}
		}
	}
}

// newFlow returns an unused flow whose row of the rank table starts with the
// given servers.
func (hn *harness) newFlow(first ...string) jppacket.Flow {
	tb := jptable.Build(&hn.service)
	fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, Service: hn.service.Address.Addr().As4(), ServicePort: hn.service.Address.Port(), Protocol: 6}
	for fl.CallerPort = 1024; fl.CallerPort != 0; fl.CallerPort++ {
		row := tb.Row(jptable.Hash(fl))
		if !hn.usedPorts[fl.CallerPort] && slices.EqualFunc(first, row[:min(len(first), len(row))], func(name string, ix uint16) bool {
			return hn.serverNames[hn.service.Servers[ix].Address.Addr()] == name
		}) {
			hn.usedPorts[fl.CallerPort] = true
			return fl
		}
	}
	hn.t.Fatalf("no flow for %v", first)
	return fl
}

// sendFromFabric delivers a packet of a caller to an instance.
func (hn *harness) sendFromFabric(id string, pkt []byte) {
	hn.deliver(id, jpsteering.Packet{Inner: pkt})
}

// sendFromServer delivers a packet of a server to an instance.
func (hn *harness) sendFromServer(id, server string, pkt []byte) {
	hn.deliver(id, jpsteering.Packet{Inner: pkt, Outer: hn.serverAddress(server)})
}

func (hn *harness) serverAddress(server string) netip.Addr {
	for ad, name := range hn.serverNames {
		if name == server {
			return ad
		}
	}
	hn.t.Fatalf("no server %s", server)
	return netip.Addr{}
}

func (hn *harness) deliver(id string, pkt jpsteering.Packet) {
	if !hn.stopped[id] {
		hn.handleOutcomes(id, hn.instances[id].HandlePacket(hn.now, pkt, nil))
	}
}

// handleOutcomes logs outcomes and delivers relayed packets.
func (hn *harness) handleOutcomes(id string, out []jpsteering.Outcome) {
	for _, oc := range out {
		switch oc.Kind {
		case jpsteering.Drop:
			hn.log = append(hn.log, fmt.Sprintf("%s drop %d", id, oc.Reason))
		case jpsteering.Record:
			hn.log = append(hn.log, fmt.Sprintf("%s event %d", id, oc.Reason))
		case jpsteering.ToServer:
			hn.previousPacket, hn.lastPacket = hn.lastPacket, slices.Clone(oc.Packet)
			hn.log = append(hn.log, id+">"+hn.serverNames[oc.Server.Addr()]+formatFlags(oc.Packet))
		case jpsteering.ToCaller:
			hn.previousPacket, hn.lastPacket = hn.lastPacket, slices.Clone(oc.Packet)
			hn.log = append(hn.log, id+">caller"+formatFlags(oc.Packet))
		case jpsteering.NotifyInstance:
			hn.movedMessages = append(hn.movedMessages, oc)
			hn.log = append(hn.log, id+" notifies "+oc.Instance)
		case jpsteering.ToInstance:
			hn.log = append(hn.log, id+">"+oc.Instance)
			hn.deliver(oc.Instance, jpsteering.Packet{Inner: slices.Clone(oc.Packet), Relay: oc.Relay})
		}
	}
}

// formatFlags lists the flags of a segment, and " data" if it carries payload.
func formatFlags(pkt []byte) string {
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
	if hd.PayloadLength > 0 {
		text += " data"
	}
	return text
}

// expectLog compares the outcomes since the last call with a comma-separated
// list and clears the log.
func (hn *harness) expectLog(what, want string) {
	hn.t.Helper()
	if got := strings.Join(hn.log, ", "); got != want {
		hn.t.Errorf("%s:\n got %s\nwant %s", what, got, want)
	}
	hn.log = nil
}

// openFlow completes the handshake of a flow with a server. All packets are
// delivered to one instance.
func (hn *harness) openFlow(id, server string, fl jppacket.Flow) {
	hn.t.Helper()
	hn.sendFromFabric(id, callerSegment(fl, syn, callerISN, 0, 0))
	hn.sendFromServer(id, server, serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
	hn.sendFromFabric(id, callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
	if !strings.Contains(strings.Join(hn.log, ","), ">"+server+" ACK") {
		hn.t.Fatalf("flow is not open at %s: %v", server, hn.log)
	}
	hn.log = nil
}

// serverStatus returns the status of a server as its owner reports it.
func (hn *harness) serverStatus(server string) jpsteering.ServerStatus {
	for id, st := range hn.instances {
		for _, ss := range st.Status(hn.now) {
			if !hn.stopped[id] && ss.Server.Address.Addr() == hn.serverAddress(server) {
				return ss
			}
		}
	}
	hn.t.Fatalf("%s has no owner", server)
	return jpsteering.ServerStatus{}
}

// callerData is the caller's first segment with payload, and serverData the
// response to it. probeACK and probeReset answer a keepalive probe: a server that
// has the connection sends an ACK, any other a RST.
func callerData(fl jppacket.Flow) []byte {
	return callerSegment(fl, ack, callerISN+1, serverISN+1, 100)
}
func serverData(fl jppacket.Flow) []byte {
	return serverSegment(fl, ack, serverISN+1, callerISN+101, 50)
}
func probeACK(fl jppacket.Flow) []byte   { return serverSegment(fl, ack, serverISN+1, callerISN+1, 0) }
func probeReset(fl jppacket.Flow) []byte { return serverSegment(fl, rst, serverISN+1, 0, 0) }
func synACK(fl jppacket.Flow) []byte {
	return serverSegment(fl, syn|ack, serverISN, callerISN+1, 0)
}
