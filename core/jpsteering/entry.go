package jpsteering

import (
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// phase is how far a flow has come.
type phase uint8

const (
	phaseMoved    phase = iota // another instance holds it; server says which
	phaseHalfOpen              // SYN passed on to the server
	phaseLocating              // server asked whether it holds the flow
	phaseAdopted               // server sent a packet; nothing of the caller seen yet
	phaseOpen
	phaseClosed // ended, kept for late packets
)

// Marks of an entry.
const (
	markCallerFIN uint16 = 1 << iota
	markServerFIN
	markReleased   // slot given back
	markTold       // home knows where the flow is
	markTimestamps // TCP timestamps in use
	markCounted    // in the server's admission counts
	markAsked      // first payload of the caller seen, response not yet
	markUnanswered // unanswered handshake already counted
	markFromServer // the latest packet came from the server
	markFollowed   // moved entry that more than one packet of the caller confirms, or the owner
	markOpened     // the server has confirmed the flow at some time
)

// entry is what one instance keeps of a flow. Times are milliseconds since the
// Steerer's epoch, so that the entry stays small.
type entry struct {
	server     *server
	callerSeen uint32
	serverSeen uint32
	due        uint32 // next step of the current phase
	asked      uint32 // when the first payload of a request passed
	callerNext uint32 // sequence number that the server expects from the caller
	serverNext uint32 // sequence number that the caller expects from the server
	serverSent uint32 // sequence number after the last segment of the server
	callerTime uint32 // latest TCP timestamps
	serverTime uint32
	phase      phase
	marks      uint16
	probes     uint8
	repeats    uint8 // segments of one end since the other was last seen
}

func (en *entry) has(mark uint16) bool { return en.marks&mark != 0 }

// established tells whether the server has shown that it holds the flow.
func (en *entry) established() bool { return en.phase == phaseOpen || en.phase == phaseAdopted }

// clock converts a time to the unit of the entries.
func (st *Steerer) clock(at time.Time) uint32 {
	return uint32(at.Sub(st.epoch) / time.Millisecond)
}

// due tells whether the entry's next step has been reached.
func (en *entry) reached(now uint32) bool { return int32(now-en.due) >= 0 }

// add creates an entry. It returns nil if the table is full.
func (st *Steerer) add(fl jppacket.Flow, sr *server, ph phase) *entry {
	if ph == phaseHalfOpen && st.halfOpen >= maxHalfOpen || ph == phaseMoved && st.moved >= maxMoved {
		return nil
	}
	en, err := st.flows.Add(fl)
	if err != nil {
		return nil
	}
	st.peak = max(st.peak, st.flows.Len())
	*en = entry{server: sr, phase: ph}
	st.countPhase(ph, 1)
	return en
}

// count adds the flow to the admission counts of its server.
func (en *entry) count() {
	if en.has(markCounted) {
		return
	}
	en.marks |= markCounted
	en.server.admission.Open()
}

// setPhase changes the phase and keeps the numbers of bounded entries right.
func (st *Steerer) setPhase(en *entry, ph phase) {
	st.countPhase(en.phase, -1)
	st.countPhase(ph, 1)
	en.phase = ph
	if ph == phaseOpen {
		en.marks |= markOpened
	}
}

func (st *Steerer) countPhase(ph phase, by int) {
	switch ph {
	case phaseHalfOpen:
		st.halfOpen += by
	case phaseMoved:
		st.moved += by
	}
}

// moveAway keeps the entry of an established flow as a note of its place.
func (st *Steerer) moveAway(en *entry) {
	st.setPhase(en, phaseMoved)
	en.marks |= markFollowed
}

// release gives the flow's slot back once its response is complete.
func (st *Steerer) release(en *entry) {
	if !en.has(markCounted) || en.has(markReleased) {
		return
	}
	en.marks |= markReleased
	en.server.admission.Release()
}

// discount takes the flow out of its server's admission counts.
func (st *Steerer) discount(en *entry) {
	if !en.has(markCounted) {
		return
	}
	st.release(en)
	en.marks &^= markCounted | markReleased
	en.server.admission.Close()
	en.server.departed()
}

// finish marks the flow as ended. Its entry stays a little for late packets. If
// the server has not ended the flow itself, it may still be busy with it: a cold
// server then has the flow in its counts until the entry is removed.
func (st *Steerer) finish(now uint32, en *entry, byServer bool) {
	if byServer || !en.server.admission.Cold() {
		st.discount(en)
	}
	st.setPhase(en, phaseClosed)
	en.due = now + uint32(closedLinger/time.Millisecond)
}

// forget ends everything that the Steerer holds for the flow but its entry.
func (st *Steerer) forget(fl jppacket.Flow, en *entry) {
	st.discount(en)
	st.setPhase(en, phaseClosed)
	delete(st.held, fl)
}

func (st *Steerer) remove(fl jppacket.Flow, en *entry) {
	st.forget(fl, en)
	st.flows.Remove(fl)
}

// trackCaller notes a packet from the caller.
func (st *Steerer) trackCaller(now uint32, en *entry, hd *jppacket.Header) {
	en.callerSeen = now
	if hd.Protocol != uint8(jpsettings.TCP) {
		return
	}
	if hd.HasTimestamps {
		en.marks |= markTimestamps
		en.callerTime = hd.TimestampValue
	}
	expect(&en.callerNext, &en.serverNext, hd)
	if hd.PayloadLength > 0 && !en.has(markAsked) && en.asked == 0 {
		en.marks |= markAsked
		en.asked = now
	}
	if en.has(markFromServer) {
		en.marks &^= markFromServer
		en.repeats = 0
	}
	en.countSegment(hd)
	if hd.Flags&jppacket.FIN != 0 {
		en.marks |= markCallerFIN
	}
	st.afterSegment(now, en, hd, false)
}

// trackServer notes a packet from the server.
func (st *Steerer) trackServer(now uint32, en *entry, hd *jppacket.Header) (took time.Duration) {
	en.serverSeen = now
	if hd.Protocol != uint8(jpsettings.TCP) {
		return 0
	}
	if hd.HasTimestamps {
		en.marks |= markTimestamps
		en.serverTime = hd.TimestampValue
	}
	expect(&en.serverNext, &en.callerNext, hd)
	if sent := hd.NextSequence(); hd.Flags&jppacket.RST == 0 && (en.serverSent == 0 || int32(sent-en.serverSent) > 0) {
		en.serverSent = sent
	}
	if hd.PayloadLength > 0 && en.has(markAsked) {
		en.marks &^= markAsked
		took = time.Duration(now-en.asked) * time.Millisecond
	}
	if !en.has(markFromServer) {
		en.marks |= markFromServer
		en.repeats = 0
	}
	en.countSegment(hd)
	if hd.Flags&jppacket.FIN != 0 {
		en.marks |= markServerFIN
		st.release(en)
	}
	st.afterSegment(now, en, hd, true)
	return took
}

// afterSegment ends the flow on a reset or when both ends have closed.
func (st *Steerer) afterSegment(now uint32, en *entry, hd *jppacket.Header, fromServer bool) {
	both := markCallerFIN | markServerFIN
	if en.phase == phaseClosed {
		if en.marks&both == both && en.server.mine {
			// The ends repeat what was lost until both have closed.
			en.due = now + uint32(closedLinger/time.Millisecond)
		}
		return
	}
	reset := hd.Flags&jppacket.RST != 0
	switch {
	case en.marks&both == both, reset && en.accepts(hd, fromServer):
		st.finish(now, en, fromServer || en.has(markServerFIN))
	case reset:
		// The sender may still have lost the flow. Probes tell.
		en.repeats = repeatsToProbe
	}
}

// accepts tells whether the receiver of a reset takes it for one of this
// connection, and not of another one with the same ports.
func (en *entry) accepts(hd *jppacket.Header, fromServer bool) bool {
	next := en.callerNext
	if fromServer {
		next = en.serverNext
		if en.phase == phaseHalfOpen && hd.Flags&jppacket.ACK != 0 && hd.Acknowledgement == en.callerNext {
			return true // the answer to a SYN has no sequence number of its own
		}
	}
	return next == 0 || hd.Sequence-next <= maxWindow
}

// countSegment counts segments that the other end has to answer.
func (en *entry) countSegment(hd *jppacket.Header) {
	if (hd.PayloadLength > 0 || hd.Flags&(jppacket.SYN|jppacket.FIN) != 0) && en.repeats < 255 {
		en.repeats++
	}
}

// expect notes which sequence numbers the two ends of a flow expect next, from
// a segment of one of them. What an end acknowledges counts, not what the other
// has sent: a probe that acknowledges data on the way would make its sender
// believe that the data arrived.
func expect(own, other *uint32, hd *jppacket.Header) {
	if hd.Flags&jppacket.RST != 0 {
		return
	}
	if hd.Flags&jppacket.SYN != 0 {
		*own = hd.Sequence + 1
	}
	if hd.Flags&jppacket.ACK != 0 && (*other == 0 || int32(hd.Acknowledgement-*other) > 0) {
		*other = hd.Acknowledgement
	}
}

// demand describes a server's situation for the admission of a flow.
func (st *Steerer) demand(now time.Time, sr *server, soft bool) jpadmission.Demand {
	return jpadmission.Demand{
		Confirmed: st.confirmed(now, sr) && !st.wasPaused(now) && (sr.lapsed.IsZero() || st.isolated(sr)),
		Settled:   !now.Before(sr.settled),
		Soft:      soft,
		Mean:      sr.service.balance.meanAt(now),
	}
}
