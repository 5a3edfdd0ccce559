package jpsteering

import (
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// phase is the state of a flow entry.
type phase uint8

const (
	phaseRemote   phase = iota // tracked by another instance, the owner of server
	phaseHalfOpen              // SYN forwarded to the server, handshake not complete
	phaseLocating              // probing server for the flow
	phaseAdopted               // created from a packet of the server; none of the caller seen yet
	phaseOpen
	phaseClosed // ended; kept for late packets
)

// Flags of a flowEntry.
const (
	flagCallerFIN uint16 = 1 << iota
	flagServerFIN
	flagSlotReleased    // the flow no longer occupies a request slot
	flagHomeNotified    // owner of the home server was notified of where the flow is held
	flagTimestamps      // TCP timestamps option in use
	flagCounted         // included in the server's admission counts
	flagResponsePending // caller has sent payload, server has not responded yet
	flagSYNUnanswered   // unanswered handshake was counted against the server
	flagLastFromServer  // the last packet came from the server
	flagRemoteConfirmed // remote entry confirmed by a later packet of the caller or by the owner
	flagWasOpen         // the server has confirmed the flow (TCP)
)

// flowEntry is the state that an instance keeps for a flow. Times are milliseconds
// since the Steerer's epoch, which keeps the entry small.
type flowEntry struct {
	server             *server
	callerSeen         uint32
	serverSeen         uint32
	dueAt              uint32 // next action or expiry in the current phase
	requestAt          uint32 // when the caller's first payload was forwarded
	callerNext         uint32 // next sequence number that the server expects from the caller
	serverNext         uint32 // next sequence number that the caller expects from the server
	serverSentEnd      uint32 // sequence number after the server's highest segment
	callerTimestamp    uint32 // last TCP timestamp value of each end
	serverTimestamp    uint32
	phase              phase
	flags              uint16
	probeRounds        uint8 // rounds since probing began, 0 if the flow is not probed
	unansweredSegments uint8 // segments of one end since the other end's last packet
}

func (en *flowEntry) has(flag uint16) bool { return en.flags&flag != 0 }

// established reports whether the server is known to hold the flow.
func (en *flowEntry) established() bool { return en.phase == phaseOpen || en.phase == phaseAdopted }

// millis converts a time to milliseconds since the Steerer's epoch, which wrap
// around after 49.7 days. It never returns 0, which stands for a time that is not
// set.
func (st *Steerer) millis(at time.Time) uint32 {
	return max(uint32(at.Sub(st.epoch)/time.Millisecond), 1)
}

// idleMs returns the milliseconds since the flow's last packet in either direction.
func (en *flowEntry) idleMs(nowMs uint32) uint32 {
	return min(nowMs-en.callerSeen, nowMs-en.serverSeen)
}

// isDue reports whether dueAt has been reached.
func (en *flowEntry) isDue(nowMs uint32) bool { return int32(nowMs-en.dueAt) >= 0 }

// addEntry creates an entry. It returns nil if the table, or the phase's share of
// it, is full.
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

// countFlow adds the flow to the admission counts of its server.
func (en *flowEntry) countFlow() {
	if en.has(flagCounted) {
		return
	}
	en.flags |= flagCounted
	en.server.admission.OpenFlow()
}

// setPhase changes the phase and updates the counts of half-open and remote entries.
func (st *Steerer) setPhase(en *flowEntry, ph phase) {
	st.countPhase(en.phase, -1)
	st.countPhase(ph, 1)
	en.phase = ph
	if ph == phaseOpen {
		en.flags |= flagWasOpen
	}
}

func (st *Steerer) countPhase(ph phase, delta int) {
	switch ph {
	case phaseHalfOpen:
		st.halfOpenEntries += delta
	case phaseRemote:
		st.remoteEntries += delta
	}
}

// markRemote turns the entry of an established flow into a remote entry.
func (st *Steerer) markRemote(en *flowEntry) {
	st.setPhase(en, phaseRemote)
	en.flags |= flagRemoteConfirmed
}

// releaseSlot frees the flow's request slot once its response is complete.
func (st *Steerer) releaseSlot(en *flowEntry) {
	if !en.has(flagCounted) || en.has(flagSlotReleased) {
		return
	}
	en.flags |= flagSlotReleased
	en.server.admission.CompleteRequest()
}

// uncountFlow removes the flow from its server's admission counts.
func (st *Steerer) uncountFlow(en *flowEntry) {
	if !en.has(flagCounted) {
		return
	}
	st.releaseSlot(en)
	en.flags &^= flagCounted | flagSlotReleased
	en.server.admission.CloseFlow()
	en.server.countDeparture()
}

// closeEntry marks the flow as ended and keeps its entry for closedTimeout to
// handle late packets. If the server has not ended the flow itself, it may still be
// processing it, so the flow counts against a cold server until the entry is
// removed.
func (st *Steerer) closeEntry(nowMs uint32, en *flowEntry, byServer bool) {
	if byServer || !en.server.admission.Cold() {
		st.uncountFlow(en)
	}
	st.setPhase(en, phaseClosed)
	en.dueAt = nowMs + uint32(closedTimeout/time.Millisecond)
}

// releaseEntry ends the flow's admission counts and held packet, but leaves its entry
// in the table.
func (st *Steerer) releaseEntry(fl jppacket.Flow, en *flowEntry) {
	st.uncountFlow(en)
	st.setPhase(en, phaseClosed)
	delete(st.heldPackets, fl)
}

func (st *Steerer) removeEntry(fl jppacket.Flow, en *flowEntry) {
	st.releaseEntry(fl, en)
	st.flows.Remove(fl)
}

// trackCaller updates the entry from a packet of the caller.
func (st *Steerer) trackCaller(nowMs uint32, en *flowEntry, hd *jppacket.Header) {
	en.callerSeen = nowMs
	if hd.Protocol != uint8(jpsettings.TCP) {
		return
	}
	if hd.HasTimestamps {
		en.flags |= flagTimestamps
		en.callerTimestamp = hd.TimestampValue
	}
	updateExpected(&en.callerNext, &en.serverNext, hd)
	if hd.PayloadLength > 0 && !en.has(flagResponsePending) && en.requestAt == 0 {
		en.flags |= flagResponsePending
		en.requestAt = nowMs
	}
	if en.has(flagLastFromServer) {
		en.flags &^= flagLastFromServer
		en.unansweredSegments = 0
	}
	en.countUnanswered(hd)
	if hd.Flags&jppacket.FIN != 0 {
		en.flags |= flagCallerFIN
	}
	st.handleClose(nowMs, en, hd, false)
}

// trackServer updates the entry from a packet of the server. It returns the time to
// the first byte of a response, or 0 if the packet does not begin one.
func (st *Steerer) trackServer(nowMs uint32, en *flowEntry, hd *jppacket.Header) (took time.Duration) {
	en.serverSeen = nowMs
	if hd.Protocol != uint8(jpsettings.TCP) {
		return 0
	}
	if hd.HasTimestamps {
		en.flags |= flagTimestamps
		en.serverTimestamp = hd.TimestampValue
	}
	updateExpected(&en.serverNext, &en.callerNext, hd)
	if sent := hd.NextSequence(); hd.Flags&jppacket.RST == 0 && (en.serverSentEnd == 0 || int32(sent-en.serverSentEnd) > 0) {
		en.serverSentEnd = sent
	}
	if hd.PayloadLength > 0 && en.has(flagResponsePending) {
		en.flags &^= flagResponsePending
		took = time.Duration(nowMs-en.requestAt) * time.Millisecond
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
	st.handleClose(nowMs, en, hd, true)
	return took
}

// handleClose closes the entry on a reset or when both ends have sent a FIN.
func (st *Steerer) handleClose(nowMs uint32, en *flowEntry, hd *jppacket.Header, fromServer bool) {
	both := flagCallerFIN | flagServerFIN
	if en.phase == phaseClosed {
		if en.flags&both == both && en.server.owned {
			// The ends retransmit lost segments until both have closed.
			en.dueAt = nowMs + uint32(closedTimeout/time.Millisecond)
		}
		return
	}
	reset := hd.Flags&jppacket.RST != 0
	switch {
	case en.flags&both == both, reset && en.acceptsReset(hd, fromServer):
		st.closeEntry(nowMs, en, fromServer || en.has(flagServerFIN))
	case reset:
		// The receiver ignores the reset, but its sender may have lost the flow.
		// Probes find out.
		en.unansweredSegments = unansweredToProbe
	}
}

// acceptsReset reports whether the receiver of a reset accepts it for this
// connection, rather than ignoring it as one of an earlier connection with the
// same ports.
func (en *flowEntry) acceptsReset(hd *jppacket.Header, fromServer bool) bool {
	next := en.callerNext
	if fromServer {
		next = en.serverNext
		if en.phase == phaseHalfOpen && hd.Flags&jppacket.ACK != 0 && hd.Acknowledgement == en.callerNext {
			return true // a RST that answers a SYN has sequence number 0
		}
	}
	return next == 0 || hd.Sequence-next <= maxWindow
}

// countUnanswered counts a segment that the other end has to acknowledge.
func (en *flowEntry) countUnanswered(hd *jppacket.Header) {
	if (hd.PayloadLength > 0 || hd.Flags&(jppacket.SYN|jppacket.FIN) != 0) && en.unansweredSegments < 255 {
		en.unansweredSegments++
	}
}

// updateExpected updates the sequence numbers that the two ends of a flow expect
// next, from a segment of one of them. They follow what an end has acknowledged and
// not what the other has sent: a probe that acknowledges data in transit would make
// the sender of the data believe that it arrived.
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

// admissionConditions returns the conditions under which a server is asked to admit a flow.
func (st *Steerer) admissionConditions(now time.Time, sr *server, soft bool) jpadmission.Conditions {
	return jpadmission.Conditions{
		Confirmed:       st.ownerConfirmed(now, sr) && !st.wasPaused(now) && (sr.confirmationLapsedAt.IsZero() || st.isolated(sr)),
		TakeoverSettled: !now.Before(sr.settledAt),
		ApplySoftCap:    soft,
		MeanFlows:       sr.service.loadEstimate.meanAt(now),
	}
}
