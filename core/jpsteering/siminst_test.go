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

var anyAddress = netip.AddrFrom4([4]byte{192, 0, 2, 254})

// simInst is one instance: a process with a Steerer and a Group.
type simInst struct {
	w        *world
	id       string
	dc       int
	st       *jpsteering.Steerer
	gr       *jpmember.Group
	up       bool
	process  int  // counts restarts
	cut      bool // from everything
	paused   time.Time
	inbox    []func()
	tree     *jpsettings.Tree
	stopped  time.Time // when it last died, left or was cut off
	withdraw bool      // the fabric sends it nothing any more
	leaving  bool
	listed   bool
}

func (in *simInst) start() {
	w := in.w
	in.process++
	in.up, in.withdraw, in.leaving, in.inbox, in.tree = true, false, false, nil, nil
	in.paused = time.Time{}
	in.st = jpsteering.New(in.id, w.now)
	in.gr = jpmember.NewGroup(jpmember.Member{ID: in.id, DataCentre: dcName(in.dc), Incarnation: uint64(w.now.UnixNano())}, w.now)
	in.gr.HandleList(w.now, w.list())
	in.update()
	in.apply(w.tree)
	in.every(50*time.Millisecond, func() {
		for _, ad := range in.gr.Tick(w.now) {
			in.heartbeat(ad)
		}
		in.update()
	})
	in.every(100*time.Millisecond, func() { in.handle(in.st.Tick(w.now, nil), nil, "") })
	in.every(time.Second, in.poll)
	in.every(1500*time.Millisecond, func() { in.gr.HandleList(w.now, w.list()); in.update() })
}

// every runs f repeatedly while the process runs and is not paused.
func (in *simInst) every(interval time.Duration, f func()) {
	process := in.process
	var again func()
	again = func() {
		if !in.up || in.process != process {
			return
		}
		if !in.w.now.Before(in.paused) {
			f()
		}
		in.w.after(interval, again)
	}
	in.w.after(time.Duration(in.w.rng.Int64N(int64(interval))), again)
}

// receive runs f in the process, after a pause if it is paused.
func (in *simInst) receive(process int, f func()) {
	switch {
	case !in.up || in.process != process:
	case in.w.now.Before(in.paused):
		if len(in.inbox) < 300 {
			in.inbox = append(in.inbox, f)
		}
	default:
		f()
	}
}

func (in *simInst) pause(dur time.Duration) {
	in.paused = in.w.now.Add(dur)
	process := in.process
	// Timers that are due at the same moment may run before or after.
	in.w.after(dur+time.Duration(in.w.rng.IntN(120))*time.Millisecond, func() {
		if in.process == process && in.up && !in.w.now.Before(in.paused) {
			inbox := in.inbox
			in.inbox = nil
			for _, f := range inbox {
				f()
			}
		}
	})
}

// update hands the group's news to the Steerer.
func (in *simInst) update() {
	now := in.w.now
	if view, changed := in.gr.View(); changed {
		in.handle(in.st.ApplyView(now, view, nil), nil, "")
		in.gr.Want(in.st.Peers())
	}
	for _, cf := range in.gr.Confirmations(now) {
		in.st.HandleConfirmation(cf.Peer, cf.Until)
	}
}

func (in *simInst) heartbeat(ad jpmember.Addressed) {
	loads := in.st.Loads(in.w.now)
	in.toPeer(ad.To, func(to *simInst) {
		to.gr.HandleHeartbeat(in.w.now, ad.Heartbeat)
		to.update()
		to.st.HandleLoads(in.w.now, in.id, loads)
	})
}

// toPeer uses the connection to a peer, which loses nothing unless it breaks.
func (in *simInst) toPeer(id string, f func(to *simInst)) {
	for _, to := range in.w.insts {
		if to.id == id && in.w.reach(in.place(), to.place()) {
			process := to.process
			in.w.after(2*time.Millisecond, func() { to.receive(process, func() { f(to) }) })
		}
	}
}

func (in *simInst) place() place { return place{dc: in.dc, cut: in.cut} }

// apply takes settings into force and tells the oracle.
func (in *simInst) apply(tree *jpsettings.Tree) {
	if tree == nil || in.tree != nil && in.tree.Version >= tree.Version {
		return
	}
	in.tree = tree
	in.handle(in.st.ApplySettings(in.w.now, tree, nil), nil, "")
	in.gr.Want(in.st.Peers())
	in.w.oracle.applied()
}

// poll asks the load endpoints of the servers that the instance owns.
func (in *simInst) poll() {
	process := in.process
	for _, os := range in.st.OwnedServers() {
		ms := in.w.serverAt(os.Server.Addr())
		if ms.dead || !in.w.reach(in.place(), place{dc: ms.dc}) {
			continue
		}
		rep := jpsteering.Report{Service: os.Service, Server: os.Server.Addr(), State: jpsteering.ReportWarm}
		for _, co := range ms.order {
			if co.state == simOpen {
				rep.Connections++
			}
			if co.state == simOpen && !co.finSent {
				rep.InFlight++
			}
		}
		if in.w.now.Before(ms.coldEnd) && !ms.lies {
			rep.State = jpsteering.ReportCold
		}
		in.w.after(time.Duration(1+in.w.rng.IntN(300))*time.Millisecond, func() {
			in.receive(process, func() { in.st.HandleReport(in.w.now, rep) })
		})
	}
}

// packet gives the instance a packet.
func (in *simInst) packet(pkt jpsteering.Packet) {
	process := in.process
	pkt.Arrived = in.w.now
	in.receive(process, func() {
		in.handle(in.st.HandlePacket(in.w.now, pkt, nil), pkt.Inner, serverOf(pkt))
	})
}

// serverOf returns the address of the server that a packet says it is from.
func serverOf(pkt jpsteering.Packet) string {
	if pkt.Relay.Kind == jppacket.RelayReply {
		return pkt.Relay.Server.String()
	}
	return pkt.Outer.String()
}

// handle carries outcomes out. A packet that is passed on unchanged comes from
// the given server.
func (in *simInst) handle(out []jpsteering.Outcome, inner []byte, from string) {
	w := in.w
	for _, oc := range out {
		pkt := bytes.Clone(oc.Packet)
		switch oc.Kind {
		case jpsteering.Drop:
			w.drops[oc.Reason]++
			if w.verbose != nil && inner != nil {
				var hd jppacket.Header
				_ = hd.Parse(inner)
				w.trace("%s drops %d:%s %d of %s", in.id, oc.Reason, flags(inner), max(hd.SourcePort, hd.DestinationPort), from)
			}
		case jpsteering.ToServer:
			ms := w.serverAt(oc.Server.Addr())
			w.oracle.toServer(in, ms, pkt)
			w.send(in.place(), place{dc: ms.dc}, func() { ms.input(pkt) })
		case jpsteering.ToCaller:
			origin := ""
			if inner != nil && bytes.Equal(pkt, inner) {
				origin = from
			}
			in.toCaller(pkt, origin)
		case jpsteering.ToInstance:
			w.trace("%s>%s relay %+v", in.id, oc.Instance, oc.Relay)
			for _, to := range w.insts {
				if to.id == oc.Instance {
					w.send(in.place(), to.place(), func() { to.packet(jpsteering.Packet{Inner: pkt, Relay: oc.Relay}) })
				}
			}
		case jpsteering.NotifyInstance:
			in.toPeer(oc.Instance, func(to *simInst) {
				to.handle(to.st.HandleMoved(w.now, in.id, oc.Message, nil), nil, "")
			})
		case jpsteering.Record:
			w.events[oc.Reason]++
		}
	}
}

func (in *simInst) toCaller(pkt []byte, origin string) {
	var hd jppacket.Header
	if hd.Parse(pkt) != nil {
		return
	}
	cl := in.w.callerOf(hd.FromServer())
	if cl == nil {
		return
	}
	in.w.trace("%s>caller%s %d seq %d ack %d of %s", in.id, flags(pkt), hd.DestinationPort, hd.Sequence, hd.Acknowledgement, origin)
	in.w.oracle.toCaller(cl, &hd, origin)
	in.w.send(in.place(), place{dc: cl.dc}, func() { cl.input(pkt) })
}

func dcName(dc int) string { return fmt.Sprint("dc", dc) }
