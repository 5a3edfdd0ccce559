package jpsteering_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
)

// callerOuterAddress is the source address of datagrams that carry packets of callers.
var callerOuterAddress = netip.AddrFrom4([4]byte{192, 0, 2, 254})

// simInstance is one instance: a process with a Steerer and a Group.
type simInstance struct {
	sim              *simulation
	id               string
	dc               int
	steerer          *jpsteering.Steerer
	group            *jpmember.Group
	running          bool
	process          int  // number of starts; callbacks of an earlier process are ignored
	isolated         bool // has no network connection
	pausedUntil      time.Time
	backlog          []func()
	settings         *jpsettings.Tree
	unreachableSince time.Time // when it last crashed, stopped or was isolated
	withdrawn        bool      // the fabric no longer sends it packets
	leaving          bool
	listed           bool
}

func (in *simInstance) start() {
	sim := in.sim
	in.process++
	in.running, in.withdrawn, in.leaving, in.backlog, in.settings = true, false, false, nil, nil
	in.pausedUntil = time.Time{}
	in.steerer = jpsteering.New(in.id, sim.now)
	in.group = jpmember.NewGroup(jpmember.Member{ID: in.id, DataCentre: dcName(in.dc), Incarnation: uint64(sim.now.UnixNano())}, sim.now)
	in.group.HandleList(sim.now, sim.instanceList())
	in.updateView()
	in.applySettings(sim.latestSettings)
	in.every(50*time.Millisecond, func() {
		for _, ad := range in.group.Tick(sim.now) {
			in.sendHeartbeat(ad)
		}
		in.updateView()
	})
	in.every(100*time.Millisecond, func() { in.handleOutcomes(in.steerer.Tick(sim.now, nil), nil, "") })
	in.every(time.Second, in.pollServers)
	in.every(1500*time.Millisecond, func() { in.group.HandleList(sim.now, sim.instanceList()); in.updateView() })
}

// every runs f at an interval while the process runs and is not paused.
func (in *simInstance) every(interval time.Duration, f func()) {
	process := in.process
	var again func()
	again = func() {
		if !in.running || in.process != process {
			return
		}
		if !in.sim.now.Before(in.pausedUntil) {
			f()
		}
		in.sim.schedule(interval, again)
	}
	in.sim.schedule(time.Duration(in.sim.rng.Int64N(int64(interval))), again)
}

// receive runs f in the process, or after the pause if the process is paused. The
// backlog of a paused process is limited to 300 packets and messages.
func (in *simInstance) receive(process int, f func()) {
	switch {
	case !in.running || in.process != process:
	case in.sim.now.Before(in.pausedUntil):
		if len(in.backlog) < 300 {
			in.backlog = append(in.backlog, f)
		}
	default:
		f()
	}
}

func (in *simInstance) pause(dur time.Duration) {
	in.pausedUntil = in.sim.now.Add(dur)
	process := in.process
	// With the random delay, timers of the process may fire before or after its
	// backlog is handled.
	in.sim.schedule(dur+time.Duration(in.sim.rng.IntN(120))*time.Millisecond, func() {
		if in.process == process && in.running && !in.sim.now.Before(in.pausedUntil) {
			backlog := in.backlog
			in.backlog = nil
			for _, f := range backlog {
				f()
			}
		}
	})
}

// updateView passes changes of the group's view and its confirmations to the Steerer.
func (in *simInstance) updateView() {
	now := in.sim.now
	if view, changed := in.group.View(); changed {
		in.handleOutcomes(in.steerer.ApplyView(now, view, nil), nil, "")
		in.group.Monitor(in.steerer.Peers())
	}
	for _, cf := range in.group.Confirmations(now) {
		in.steerer.HandleConfirmation(cf.Peer, cf.Until)
	}
}

func (in *simInstance) sendHeartbeat(ad jpmember.AddressedHeartbeat) {
	loads := in.steerer.Loads(in.sim.now)
	in.sendToPeer(ad.To, func(to *simInstance) {
		to.group.HandleHeartbeat(in.sim.now, ad.Heartbeat)
		to.updateView()
		to.steerer.HandleLoads(in.sim.now, in.id, loads)
	})
}

// sendToPeer runs f at a peer as if it received a message over the peer connection.
// A message is lost only if the peer cannot be reached or its backlog is full.
func (in *simInstance) sendToPeer(id string, f func(to *simInstance)) {
	for _, to := range in.sim.instances {
		if to.id == id && in.sim.reachable(in.location(), to.location()) {
			process := to.process
			in.sim.schedule(2*time.Millisecond, func() { to.receive(process, func() { f(to) }) })
		}
	}
}

func (in *simInstance) location() netLocation { return netLocation{dc: in.dc, isolated: in.isolated} }

// applySettings applies newer settings and notifies the oracle.
func (in *simInstance) applySettings(tree *jpsettings.Tree) {
	if tree == nil || in.settings != nil && in.settings.Version >= tree.Version {
		return
	}
	in.settings = tree
	in.handleOutcomes(in.steerer.ApplySettings(in.sim.now, tree, nil), nil, "")
	in.group.Monitor(in.steerer.Peers())
	in.sim.oracle.noteApplied()
}

// pollServers queries the load endpoints of the servers that the instance owns.
func (in *simInstance) pollServers() {
	process := in.process
	for _, os := range in.steerer.OwnedServers() {
		ms := in.sim.serverAt(os.Server.Addr())
		if ms.dead || !in.sim.reachable(in.location(), netLocation{dc: ms.dc}) {
			continue
		}
		rep := jpsteering.Report{Service: os.Service, Server: os.Server.Addr(), State: jpsteering.ReportWarm}
		for _, co := range ms.conns {
			if co.state == simOpen {
				rep.Connections++
			}
			if co.state == simOpen && !co.finSent {
				rep.InFlight++
			}
		}
		if in.sim.now.Before(ms.coldUntil) && !ms.alwaysReportsWarm {
			rep.State = jpsteering.ReportCold
		}
		in.sim.schedule(time.Duration(1+in.sim.rng.IntN(300))*time.Millisecond, func() {
			in.receive(process, func() { in.steerer.HandleReport(in.sim.now, rep) })
		})
	}
}

// receivePacket delivers a packet to the instance.
func (in *simInstance) receivePacket(pkt jpsteering.Packet) {
	process := in.process
	pkt.Arrived = in.sim.now
	in.receive(process, func() {
		in.handleOutcomes(in.steerer.HandlePacket(in.sim.now, pkt, nil), pkt.Inner, sendingServer(pkt))
	})
}

// sendingServer returns the address of the server that sent a packet, according to
// its relay header or outer source address.
func sendingServer(pkt jpsteering.Packet) string {
	if pkt.Relay.Kind == jppacket.RelayReply {
		return pkt.Relay.Server.String()
	}
	return pkt.Outer.String()
}

// handleOutcomes executes outcomes. inner is the packet that they result from and
// from its server. A packet to a caller that equals inner is one of that server.
func (in *simInstance) handleOutcomes(out []jpsteering.Outcome, inner []byte, from string) {
	sim := in.sim
	for _, oc := range out {
		pkt := bytes.Clone(oc.Packet)
		switch oc.Kind {
		case jpsteering.Drop:
			sim.dropCounts[oc.Reason]++
			if sim.traceLog != nil && inner != nil {
				var hd jppacket.Header
				_ = hd.Parse(inner)
				sim.trace("%s drops %d:%s %d of %s", in.id, oc.Reason, formatFlags(inner), max(hd.SourcePort, hd.DestinationPort), from)
			}
		case jpsteering.ToServer:
			ms := sim.serverAt(oc.Server.Addr())
			sim.oracle.checkToServer(in, ms, pkt)
			sim.send(in.location(), netLocation{dc: ms.dc}, func() { ms.receive(pkt) })
		case jpsteering.ToCaller:
			origin := ""
			if inner != nil && bytes.Equal(pkt, inner) {
				origin = from
			}
			in.sendToCaller(pkt, origin)
		case jpsteering.ToInstance:
			sim.trace("%s>%s relay %+v", in.id, oc.Instance, oc.Relay)
			for _, to := range sim.instances {
				if to.id == oc.Instance {
					sim.send(in.location(), to.location(), func() { to.receivePacket(jpsteering.Packet{Inner: pkt, Relay: oc.Relay}) })
				}
			}
		case jpsteering.NotifyInstance:
			in.sendToPeer(oc.Instance, func(to *simInstance) {
				to.handleOutcomes(to.steerer.HandleMoved(sim.now, in.id, oc.Message, nil), nil, "")
			})
		case jpsteering.Record:
			sim.eventCounts[oc.Reason]++
		}
	}
}

func (in *simInstance) sendToCaller(pkt []byte, origin string) {
	var hd jppacket.Header
	if hd.Parse(pkt) != nil {
		return
	}
	cl := in.sim.callerOf(hd.FlowFromServer())
	if cl == nil {
		return
	}
	in.sim.trace("%s>caller%s %d seq %d ack %d of %s", in.id, formatFlags(pkt), hd.DestinationPort, hd.Sequence, hd.Acknowledgement, origin)
	in.sim.oracle.checkToCaller(cl, &hd, origin)
	in.sim.send(in.location(), netLocation{dc: cl.dc}, func() { cl.receive(pkt) })
}

func dcName(dc int) string { return fmt.Sprint("dc", dc) }
