package jpdispatch

import (
	"fmt"
	"slices"
	"time"

	"jacinthpass/core/jpdirectory"
)

// registerRestarted writes the entry of a server that has restarted with its id, late
// if the writes of servers are lost.
func (sm *simulation) registerRestarted(previous, next *simServer) {
	if !sm.play.late {
		previous.listed = false
		sm.setListed(next, true)
		return
	}
	// Without writes the old entry lapses, unless the store has paused its leases.
	delay := sm.randomTime(0, 6000)
	if delay > simEntryTTL && sm.playRng.IntN(2) == 0 {
		sm.schedule(simEntryTTL, func() {
			if previous.listed {
				sm.setListed(previous, false)
			}
		})
	}
	sm.schedule(delay, func() {
		previous.listed = false
		sm.register(next)
	})
}

// register writes the entry of a server that is alive, once the store is available.
func (sm *simulation) register(sr *simServer) {
	switch {
	case !sr.alive || sr.listed:
	case !sm.storeUp():
		sm.schedule(simStep, func() { sm.register(sr) })
	default:
		sm.setListed(sr, true)
	}
}

// lapseEntry lets the entry of a server lapse because its writes are lost; it
// registers again later.
func (sm *simulation) lapseEntry() {
	sr := sm.pickServer()
	if sr == nil {
		return
	}
	sm.setListed(sr, false)
	sm.schedule(sm.randomTime(100, 6000-int(simEntryTTL.Milliseconds())), func() { sm.register(sr) })
}

// writeFalseEntry does what another writer may do: it overwrites the entry of a server,
// which writes it again within a heartbeat, or adds one with the address of a server.
func (sm *simulation) writeFalseEntry() {
	sr := sm.pickServer()
	if sr == nil {
		return
	}
	kind := sm.playRng.IntN(4)
	next := sr.cfg
	switch kind {
	case 0:
		next.Started = time.Time{}
	case 1:
		next.Started = sm.now.Add(-sm.randomTime(0, 60_000))
	case 2:
		sm.lastID++
		next.ID, next.Number = fmt.Sprintf("i-%d", sm.lastID), uint64(sm.lastID)
		sm.schedule(simEntryTTL, func() {
			sm.putRecord(jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: next.ID}})
		})
	}
	rc := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: next.ID}, Server: &next}
	if kind == 3 {
		rc.Server = nil // unreadable
	}
	sm.note("store: another writer, kind %d, of %s", kind, sr.cfg.ID)
	sm.putRecord(rc)
	if next.ID == sr.cfg.ID {
		sm.schedule(sm.randomTime(100, 770), func() { sm.rewrite(sr) })
	}
}

// rewrite writes the entry of a server again, once the store is available.
func (sm *simulation) rewrite(sr *simServer) {
	switch {
	case !sr.alive || !sr.listed:
	case !sm.storeUp():
		sm.schedule(simStep, func() { sm.rewrite(sr) })
	default:
		sm.setListed(sr, true)
	}
}

// usedPort is the port of a flow that its caller has closed.
type usedPort struct {
	port     uint16
	closedAt time.Time
}

// pickPort returns the port of a new flow: a new one, or that of a flow that its
// caller has closed within 20 s.
func (sm *simulation) pickPort() uint16 {
	sm.usedPorts = slices.DeleteFunc(sm.usedPorts, func(up usedPort) bool { return sm.now.Sub(up.closedAt) > 20*time.Second })
	if len(sm.usedPorts) > 0 && sm.playRng.IntN(2) == 0 {
		ix := sm.playRng.IntN(len(sm.usedPorts))
		port := sm.usedPorts[ix].port
		sm.usedPorts = slices.Delete(sm.usedPorts, ix, ix+1)
		return port
	}
	return uint16(1024 + sm.opened)
}

// closeFlow closes a flow with a FIN through a random instance.
func (sm *simulation) closeFlow() {
	if len(sm.flows) == 0 {
		return
	}
	fl := sm.flows[sm.playRng.IntN(len(sm.flows))]
	_, in := sm.pickInstance(sm.playRng.IntN(len(sm.instances)))
	if in == nil {
		return
	}
	packet := fl.packet
	packet.Flags |= FIN
	packet.Length = 0
	sm.checkServer(in, in.Handle(sm.now, packet).Check)
	sm.flows = slices.DeleteFunc(sm.flows, func(other *simFlow) bool { return other == fl })
	sm.usedPorts = append(sm.usedPorts, usedPort{fl.packet.Caller.Port(), sm.now})
}

// simOpening is an attempt to open a flow.
type simOpening struct {
	syn    Packet
	flow   *simFlow // once it is open
	copies uint32
	ended  bool
}

// openWithCopies sends a SYN, and copies until the first answer, each through the
// same or, if that is played, another instance.
func (sm *simulation) openWithCopies(syn Packet, number int) {
	op := &simOpening{syn: syn}
	sm.sendSYN(op, number)
	for _, wait := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		sm.schedule(wait, func() {
			if op.flow != nil || op.ended {
				return
			}
			op.copies++
			if sm.play.copiesElsewhere && sm.playRng.IntN(3) == 0 {
				number = sm.playRng.IntN(len(sm.instances))
			}
			sm.sendSYN(op, number)
		})
	}
}

// sendSYN sends a SYN or a copy. The answer takes 4 ms to 700 ms, as that of a server
// that has been paused.
func (sm *simulation) sendSYN(op *simOpening, number int) {
	number, in := sm.pickInstance(number)
	if in == nil {
		return
	}
	syn := op.syn
	syn.Ack = op.copies
	dc := in.Handle(sm.now, syn)
	sm.checkServer(in, dc.Check)
	if dc.Outcome == Refuse {
		op.ended = true
	}
	if dc.Outcome != Forward {
		return
	}
	sr := sm.serverAt(dc.Server.Address)
	if sr == nil || sr.cfg.Number != dc.Server.Number || !sm.reaches(in, sr.cfg.DataCentre) {
		return
	}
	delay := sm.randomTime(0, 100)
	if sm.playRng.IntN(2) == 0 {
		delay = sm.randomTime(0, 700)
	}
	sm.schedule(delay, func() { sm.receiveAnswer(op, sr, dc.Server.Tag, number) })
}

// receiveAnswer opens the flow at the server whose SYN+ACK is the first. A later one
// leaves its tag with the caller, until the flow's server answers again.
func (sm *simulation) receiveAnswer(op *simOpening, sr *simServer, tag uint32, number int) {
	switch {
	case op.ended || !sr.alive:
	case op.flow != nil:
		op.flow.packet.Tag = tag
	default:
		packet := nextPacket(op.syn, tag, 0)
		packet.Ack = sm.playRng.Uint32()
		op.flow = &simFlow{packet: packet, server: sr, instance: number, due: sm.now}
		sm.flows = append(sm.flows, op.flow)
		sm.sendPacket(op.flow)
		op.flow.packet.Length = 100
	}
}
