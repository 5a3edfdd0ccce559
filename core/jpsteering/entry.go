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
	phaseRemote   phase = iota // another instance holds it; server says which
	phaseHalfOpen              // SYN passed on to the server
	phaseLocating              // server asked whether it holds the flow
	phaseAdopted               // server sent a packet; nothing of the caller seen yet
	phaseOpen
	phaseClosed // ended, kept for late packets
)

// Marks of an entry.
const (
	flagCallerFIN uint16 = 1 << iota
	flagServerFIN
	flagSlotReleased    // slot given back
	flagHomeNotified    // home knows where the flow is
	flagTimestamps      // TCP timestamps in use
	flagCounted         // in the server's admission counts
	flagResponsePending // first payload of the caller seen, response not yet
	flagSYNUnanswered   // unanswered handshake already counted
	flagLastFromServer  // the latest packet came from the server
	flagRemoteConfirmed // moved entry that more than one packet of the caller confirms, or the owner
	flagWasOpen         // the server has confirmed the flow at some time
)

// entry is what one instance keeps of a flow. Times are milliseconds since the
// Steerer's epoch, so that the entry stays small.
type flowEntry struct {
	server             *server
	callerSeen         uint32
	serverSeen         uint32
	dueAt              uint32 // next step of the current phase
	requestAt          uint32 // when the first payload of a request passed
	callerNext         uint32 // sequence number that the server expects from the caller
	serverNext         uint32 // sequence number that the caller expects from the server
	serverSentEnd      uint32 // sequence number after the last segment of the server
	callerTimestamp    uint32 // latest TCP timestamps
	serverTimestamp    uint32
	phase              phase
	flags              uint16
	probeRounds        uint8
	unansweredSegments uint8 // segments of one end since the other was last seen
}

func (en *flowEntry) has(mark uint16) bool { return en.flags&mark != 0 }

// established tells whether the server has shown that it holds the flow.
func (en *flowEntry) established() bool { return en.phase == phaseOpen || en.phase == phaseAdopted }

// clock converts a time to the unit of the entries.
func (st *Steerer) millis(at time.Time) uint32 {
	return uint32(at.Sub(st.epoch) / time.Millisecond)
}

// due tells whether the entry's next step has been reached.
func (en *flowEntry) isDue(now uint32) bool { return int32(now-en.dueAt) >= 0 }

// add creates an entry. It returns nil if the table is full.
func (st *Steerer) addEntry(fl jppacket.Flow, sr *server, ph phase) *flowEntry {
	if ph == phaseHalfOpen && st.halfOpenEntries >= maxHalfOpen || ph == phaseRemote && st.remoteEntries >= maxRemote {
		return nil
	}
	en, err := st.flows.Add(fl)
	if err != nil {
		return nil
	}
	st.peakEntries = max(st.peakEntries, st.flows.Len())
	*en = flowEntry{server: sr, phase: ph}
	st.countPhase(ph, 1)
	return en
}

// count adds the flow to the admission counts of its server.
func (en *flowEntry) countFlow() {
	if en.has(flagCounted) {
		return
	}
	en.flags |= flagCounted
	en.server.admission.Open()
}

// setPhase changes the phase and keeps the numbers of bounded entries right.
func (st *Steerer) setPhase(en *flowEntry, ph phase) {
	st.countPhase(en.phase, -1)
	st.countPhase(ph, 1)
	en.phase = ph
	if ph == phaseOpen {
		en.flags |= flagWasOpen
	}
}

func (st *Steerer) countPhase(ph phase, by int) {
	switch ph {
	case phaseHalfOpen:
		st.halfOpenEntries += by
	case phaseRemote:
		st.remoteEntries += by
	}
}

// moveAway keeps the entry of an established flow as a note of its place.
func (st *Steerer) markRemote(en *flowEntry) {
	st.setPhase(en, phaseRemote)
	en.flags |= flagRemoteConfirmed
}

// release gives the flow's slot back once its response is complete.
func (st *Steerer) releaseSlot(en *flowEntry) {
	if !en.has(flagCounted) || en.has(flagSlotReleased) {
		return
	}
	en.flags |= flagSlotReleased
	en.server.admission.Release()
}

// discount takes the flow out of its server's admission counts.
func (st *Steerer) uncountFlow(en *flowEntry) {
	if !en.has(flagCounted) {
		return
	}
	st.releaseSlot(en)
	en.flags &^= flagCounted | flagSlotReleased
	en.server.admission.Close()
	en.server.countDeparture()
}

// finish marks the flow as ended. Its entry stays a little for late packets. If
// the server has not ended the flow itself, it may still be busy with it: a cold
// server then has the flow in its counts until the entry is removed.
func (st *Steerer) closeEntry(now uint32, en *flowEntry, byServer bool) {
	if byServer || !en.server.admission.Cold() {
		st.uncountFlow(en)
	}
	st.setPhase(en, phaseClosed)
	en.dueAt = now + uint32(closedTimeout/time.Millisecond)
}

// forget ends everything that the Steerer holds for the flow but its entry.
func (st *Steerer) releaseEntry(fl jppacket.Flow, en *flowEntry) {
	st.uncountFlow(en)
	st.setPhase(en, phaseClosed)
	delete(st.heldPackets, fl)
}

func (st *Steerer) removeEntry(fl jppacket.Flow, en *flowEntry) {
	st.releaseEntry(fl, en)
	st.flows.Remove(fl)
}

// trackCaller notes a packet from the caller.
func (st *Steerer) trackCaller(now uint32, en *flowEntry, hd *jppacket.Header) {
	en.callerSeen = now
	if hd.Protocol != uint8(jpsettings.TCP) {
		return
	}
	if hd.HasTimestamps {
		en.flags |= flagTimestamps
		en.callerTimestamp = hd.TimestampValue
	}
	updateExpected(&en.callerNext, &en.serverNext, hd)
	if hd.Payload > 0 && !en.has(flagResponsePending) && en.requestAt == 0 {
		en.flags |= flagResponsePending
		en.requestAt = now
	}
	if en.has(flagLastFromServer) {
		en.flags &^= flagLastFromServer
		en.unansweredSegments = 0
	}
	en.countUnanswered(hd)
	if hd.Flags&jppacket.FIN != 0 {
		en.flags |= flagCallerFIN
	}
	st.handleClose(now, en, hd, false)
}

// trackServer notes a packet from the server.
func (st *Steerer) trackServer(now uint32, en *flowEntry, hd *jppacket.Header) (took time.Duration) {
	en.serverSeen = now
	if hd.Protocol != uint8(jpsettings.TCP) {
		return 0
	}
	if hd.HasTimestamps {
		en.flags |= flagTimestamps
		en.serverTimestamp = hd.TimestampValue
	}
	updateExpected(&en.serverNext, &en.callerNext, hd)
	if sent := hd.End(); hd.Flags&jppacket.RST == 0 && (en.serverSentEnd == 0 || int32(sent-en.serverSentEnd) > 0) {
		en.serverSentEnd = sent
	}
	if hd.Payload > 0 && en.has(flagResponsePending) {
		en.flags &^= flagResponsePending
		took = time.Duration(now-en.requestAt) * time.Millisecond
	}
	if !en.has(flagLastFromServer) {
		en.flags |= flagLastFromServer
		en.unansweredSegments = 0
	}
	en.countUnanswered(hd)
	if hd.Flags&jppacket.FIN != 0 {
		en.flags |= flagServerFIN
		st.releaseSlot(en)
	}
	st.handleClose(now, en, hd, true)
	return took
}

// afterSegment ends the flow on a reset or when both ends have closed.
func (st *Steerer) handleClose(now uint32, en *flowEntry, hd *jppacket.Header, fromServer bool) {
	both := flagCallerFIN | flagServerFIN
	if en.phase == phaseClosed {
		if en.flags&both == both && en.server.owned {
			// The ends repeat what was lost until both have closed.
			en.dueAt = now + uint32(closedTimeout/time.Millisecond)
		}
		return
	}
	reset := hd.Flags&jppacket.RST != 0
	switch {
	case en.flags&both == both, reset && en.acceptsReset(hd, fromServer):
		st.closeEntry(now, en, fromServer || en.has(flagServerFIN))
	case reset:
		// The sender may still have lost the flow. Probes tell.
		en.unansweredSegments = unansweredToProbe
	}
}

// accepts tells whether the receiver of a reset takes it for one of this
// connection, and not of another one with the same ports.
func (en *flowEntry) acceptsReset(hd *jppacket.Header, fromServer bool) bool {
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
func (en *flowEntry) countUnanswered(hd *jppacket.Header) {
	if (hd.Payload > 0 || hd.Flags&(jppacket.SYN|jppacket.FIN) != 0) && en.unansweredSegments < 255 {
		en.unansweredSegments++
	}
}

// expect notes which sequence numbers the two ends of a flow expect next, from
// a segment of one of them. What an end acknowledges counts, not what the other
// has sent: a probe that acknowledges data on the way would make its sender
// believe that the data arrived.
func updateExpected(own, other *uint32, hd *jppacket.Header) {
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
		Confirmed: st.ownerConfirmed(now, sr) && !st.wasPaused(now) && (sr.confirmationLapsedAt.IsZero() || st.isolated(sr)),
		Settled:   !now.Before(sr.settledAt),
		Soft:      soft,
		Mean:      sr.service.loadEstimate.meanAt(now),
	}
}
