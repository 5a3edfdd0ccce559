package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jppacket"
)

const (
	sweepShare   = 20 // ticks in which every entry is visited once
	sweepMinimum = 64
)

// Tick does what is due at now. It is to be called every 100 ms.
func (st *Steerer) Tick(now time.Time, out []Outcome) []Outcome {
	st.notePause(now)
	st.forgetDenied(now)
	for _, sv := range st.services {
		sv.computeMean(now)
	}
	out = st.tickOwned(now, out)
	out = st.retryProbes(now, out)
	out = st.repeatProbes(now, out)
	out = st.offerWaiting(now, out)
	return st.sweep(now, out)
}

// notePause notes when the process was last paused.
func (st *Steerer) notePause(now time.Time) {
	if st.wasPaused(now) {
		st.resumed = now
		for _, sr := range st.servers {
			sr.complete = false
			if sr.lapsed.IsZero() {
				sr.lapsed = st.lastTick
			}
		}
	}
	st.lastTick = now
}

// tickOwned moves slow starts on and notes owners that are not confirmed.
func (st *Steerer) tickOwned(now time.Time, out []Outcome) []Outcome {
	for _, sr := range st.servers {
		if !sr.mine {
			continue
		}
		sr.complete = st.knowsAll(now, sr)
		st.watchLapse(now, sr)
		if sr.admission.Tick(now) {
			out = append(out, Outcome{Kind: Record, Reason: EventWarm, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
		}
	}
	return out
}

// watchLapse treats the end of a time without a confirmation like a takeover: this
// instance was the owner in its own eyes, but another one may have been it too.
func (st *Steerer) watchLapse(now time.Time, sr *server) {
	confirmed := st.confirmed(now, sr)
	if !confirmed {
		sr.unsure = now
	}
	if !confirmed || st.isolated(sr) {
		if sr.lapsed.IsZero() {
			sr.lapsed = now
		}
		return
	}
	if !sr.lapsed.IsZero() && now.Sub(sr.lapsed) >= lapseLimit {
		sr.settled = now.Add(settleAfter)
		sr.admission.TakeOver(now, sr.admission.Cold())
	}
	sr.lapsed = time.Time{}
}

// HandleReport takes in the answer of an owned server's load endpoint.
func (st *Steerer) HandleReport(now time.Time, rep Report) {
	sr := st.serverOf(rep.Service, rep.Server)
	if sr == nil || !sr.mine || rep.State == ReportFailed {
		return
	}
	sr.admission.HandleReport(now, rep.InFlight, rep.Connections, rep.State == ReportCold, rep.State == ReportDraining)
}

func (st *Steerer) serverOf(name string, ad netip.Addr) *server {
	sv := st.byName[name]
	if sv == nil {
		return nil
	}
	return sv.lineup.byAddress[ad]
}

// sweep visits a part of the flow entries and does what is due for them.
func (st *Steerer) sweep(now time.Time, out []Outcome) []Outcome {
	// Sweep visits cells, of which there are as many as there were entries.
	count := st.peak/sweepShare + sweepMinimum
	clock := st.clock(now)
	st.flows.Sweep(count, func(fl jppacket.Flow, en *entry) bool {
		keep := true
		out, keep = st.visit(now, clock, fl, en, out)
		if !keep {
			st.forget(fl, en)
		}
		return keep
	})
	return out
}

// visit does what is due for one entry and tells whether to keep it.
func (st *Steerer) visit(now time.Time, clock uint32, fl jppacket.Flow, en *entry, out []Outcome) ([]Outcome, bool) {
	switch en.phase {
	case phaseMoved:
		limit := movedTimeout
		switch {
		case en.has(markCallerFIN):
			limit = closedLinger
		case !en.has(markFollowed) && st.moved > crowdedMoved:
			limit = halfOpenTimeout
		}
		return out, clock-en.callerSeen < uint32(limit/time.Millisecond)
	case phaseHalfOpen:
		late := clock-en.callerSeen >= uint32(synAnswer/time.Millisecond) && now.Sub(st.resumed) >= synAnswer
		if !en.has(markUnanswered) && en.serverSeen == 0 && late {
			en.marks |= markUnanswered
			out = st.noteUnanswered(now, en.server, out)
		}
		if en.reached(clock) && en.probes < idleTries && en.has(markCounted) && en.server.admission.Cold() {
			// The server may hold the flow: another instance that thinks it owns
			// the server may have completed the handshake.
			en.probes++
			en.due = clock + uint32(idleInterval/time.Millisecond)
			return append(out, probeForServer(fl, en)), true
		}
		return out, !en.reached(clock)
	case phaseClosed:
		return out, !en.reached(clock)
	case phaseAdopted:
		return st.visitAdopted(clock, fl, en, out)
	case phaseLocating:
		return out, st.held[fl] != nil
	}
	if !en.server.serves(now) {
		// The new owner tracks the flow; packets that still come here are relayed.
		st.discount(en)
		st.moveAway(en)
		return out, true
	}
	if fl.Protocol != protocolTCP {
		return out, clock-max(en.callerSeen, en.serverSeen) < uint32(udpTimeout/time.Millisecond)
	}
	return st.visitOpen(now, clock, fl, en, out)
}
