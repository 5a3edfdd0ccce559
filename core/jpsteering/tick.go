package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jppacket"
)

const (
	sweepTicks    = 20 // ticks in which each entry is visited once
	minSweepCells = 64 // cells visited in a tick at least
)

// Tick performs the periodic work: probes, retries, expiry of entries and updates of
// load estimates. It must be called every 100 ms.
func (st *Steerer) Tick(now time.Time, out []Outcome) []Outcome {
	st.notePause(now)
	st.expireDenials(now)
	for _, sv := range st.services {
		sv.updateMean(now)
	}
	out = st.tickOwned(now, out)
	out = st.retryLocateProbes(now, out)
	out = st.resendProbes(now, out)
	out = st.offerWaiting(now, out)
	return st.sweep(now, out)
}

// notePause records the end of a pause of the process.
func (st *Steerer) notePause(now time.Time) {
	if st.wasPaused(now) {
		st.resumedAt = now
		for _, sr := range st.servers {
			sr.entriesComplete = false
			if sr.confirmationLapsedAt.IsZero() {
				sr.confirmationLapsedAt = st.lastTick
			}
		}
	}
	st.lastTick = now
}

// tickOwned advances the slow start of owned servers and checks that this instance is
// confirmed as their owner.
func (st *Steerer) tickOwned(now time.Time, out []Outcome) []Outcome {
	for _, sr := range st.servers {
		if !sr.owned {
			continue
		}
		sr.entriesComplete = st.knowsAllFlows(now, sr)
		st.checkConfirmationLapse(now, sr)
		if sr.admission.Tick(now) {
			out = append(out, Outcome{Kind: Record, Reason: EventWarm, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
		}
	}
	return out
}

// checkConfirmationLapse treats the end of a period without confirmation like a
// takeover: this instance considered itself the owner, but another one may have acted
// as the owner too.
func (st *Steerer) checkConfirmationLapse(now time.Time, sr *server) {
	confirmed := st.ownerConfirmed(now, sr)
	if !confirmed {
		sr.lastUnconfirmed = now
	}
	if !confirmed || st.isolated(sr) {
		if sr.confirmationLapsedAt.IsZero() {
			sr.confirmationLapsedAt = now
		}
		return
	}
	if !sr.confirmationLapsedAt.IsZero() && now.Sub(sr.confirmationLapsedAt) >= maxConfirmationLapse {
		sr.settledAt = now.Add(settleTime)
		sr.admission.TakeOver(now, sr.admission.Cold())
	}
	sr.confirmationLapsedAt = time.Time{}
}

// HandleReport handles a response of an owned server's load endpoint.
func (st *Steerer) HandleReport(now time.Time, rep Report) {
	sr := st.serverOf(rep.Service, rep.Server)
	if sr == nil || !sr.owned || rep.State == ReportFailed {
		return
	}
	sr.admission.HandleReport(now, rep.InFlight, rep.Connections, rep.State == ReportCold, rep.State == ReportDraining)
}

func (st *Steerer) serverOf(name string, ad netip.Addr) *server {
	sv := st.byName[name]
	if sv == nil {
		return nil
	}
	return sv.current.byAddress[ad]
}

// sweep visits a part of the flow entries.
func (st *Steerer) sweep(now time.Time, out []Outcome) []Outcome {
	// Sweep visits cells, empty ones included; there are peakEntries of them.
	count := st.peakEntries/sweepTicks + minSweepCells
	nowMs := st.millis(now)
	st.flows.Sweep(count, func(fl jppacket.Flow, en *flowEntry) bool {
		keep := true
		out, keep = st.visit(now, nowMs, fl, en, out)
		if !keep {
			st.releaseEntry(fl, en)
		}
		return keep
	})
	return out
}

// visit performs the periodic work of one entry and reports whether to keep the entry.
func (st *Steerer) visit(now time.Time, nowMs uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) ([]Outcome, bool) {
	switch en.phase {
	case phaseRemote:
		limit := remoteTimeout
		switch {
		case en.has(flagCallerFIN):
			limit = closedTimeout
		case !en.has(flagRemoteConfirmed) && st.remoteEntries > remoteHighWater:
			limit = halfOpenTimeout
		}
		return out, nowMs-en.callerSeen < uint32(limit/time.Millisecond)
	case phaseHalfOpen:
		late := nowMs-en.callerSeen >= uint32(synAnswerTimeout/time.Millisecond) && now.Sub(st.resumedAt) >= synAnswerTimeout
		if !en.has(flagSYNUnanswered) && en.serverSeen == 0 && late {
			en.flags |= flagSYNUnanswered
			out = st.recordUnanswered(now, en.server, out)
		}
		if en.isDue(nowMs) && en.probeRounds < idleProbeTries && en.has(flagCounted) && en.server.admission.Cold() {
			// The server may hold the flow: another instance that considers itself
			// the owner may have completed the handshake.
			en.probeRounds++
			en.dueAt = nowMs + uint32(idleProbeInterval/time.Millisecond)
			return append(out, probeForServer(fl, en)), true
		}
		return out, !en.isDue(nowMs)
	case phaseClosed:
		return out, !en.isDue(nowMs)
	case phaseAdopted:
		return st.visitAdopted(nowMs, fl, en, out)
	case phaseLocating:
		return out, st.heldPackets[fl] != nil
	}
	if !en.server.serves(now) {
		// The new owner tracks the flow; packets that still arrive here are relayed.
		st.uncountFlow(en)
		st.markRemote(en)
		return out, true
	}
	if fl.Protocol != protocolTCP {
		return out, en.idleMs(nowMs) < uint32(udpIdleTimeout/time.Millisecond)
	}
	return st.visitOpen(now, nowMs, fl, en, out)
}
