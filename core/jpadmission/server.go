// Package jpadmission decides whether a backend server may take another flow.
package jpadmission

import (
	"slices"
	"time"

	"jacinthpass/core/jpsettings"
)

// Verdict is the admission decision on a new flow.
type Verdict uint8

// Verdicts. Only Admit accepts the flow.
const (
	Admit        Verdict = iota
	AboveSoftCap         // at the soft cap but below the hard limits
	Full                 // at a hard limit, or in the pause after a refusal without load
	Unconfirmed          // the server's state or its ownership is not certain enough
	Draining             // the server takes no new flows
	Unresponsive         // the server does not answer handshakes
)

const (
	// rampSteps is the number of doublings between the cold and the full limits.
	rampSteps = 4
	// A server that resets resetsForRestart established flows within resetWindow
	// is taken to have restarted.
	resetWindow      = time.Second
	resetsForRestart = 3
	// unresponsiveThreshold is the number of consecutive unanswered handshakes or
	// probes after which a server is unresponsive. From then on it gets one flow
	// or probe per trialInterval.
	unresponsiveThreshold = 3
	trialInterval         = 2 * time.Second
	// deadTimeout is how long a server must be unresponsive to count as dead. It
	// is longer than a restart of the network of the server's host takes.
	deadTimeout = 10 * time.Second
	// deadEvidenceTTL is how long an unanswered probe proves that a dead server
	// is still dead. Afterwards another probe is needed: the path to the server
	// may have recovered without any packet that showed it.
	deadEvidenceTTL = 3 * time.Second
	// abandonedTTL is how long a handshake that was moved to another server still
	// counts at a cold server, which may only have been paused and may accept the
	// handshake later. It equals the time after which a server counts as dead.
	abandonedTTL = deadTimeout
	// reportedCountsTTL is how long after a takeover the counts of the load
	// endpoint are used for flows that the new owner has not seen. Afterwards the
	// owner's own count is more reliable than an endpoint that lags or reports
	// wrong counts.
	reportedCountsTTL = 30 * time.Second
	// reportTimeout is how long a new owner waits for the first report. The
	// server is then treated as cold, because nothing shows that it is warm.
	reportTimeout = 5 * time.Second
	// ownershipOverlap is how long after a takeover instances with an older
	// membership view may still regard the previous owner as the owner.
	ownershipOverlap = 3 * time.Second
	// refusalPause is how long a server that refuses a flow although it has no
	// load gets no new flows.
	refusalPause = time.Second
	// shedCapInterval is the time after which the cap that a refusal has set
	// rises by one.
	shedCapInterval = 500 * time.Millisecond
)

// Conditions holds what the admission of a new flow depends on besides the state of
// the server.
type Conditions struct {
	Confirmed       bool    // no other instance can own the server now
	TakeoverSettled bool    // the takeover is long enough ago for flows of the previous owner to be known
	ApplySoftCap    bool    // reject flows above the soft cap
	MeanFlows       float64 // mean load of the service's servers
}

// Server holds the load and admission state of one backend server at the instance
// that owns it. The zero value admits no flows until TakeOver is called.
type Server struct {
	Limits   jpsettings.Limits
	Kind     jpsettings.Kind
	Draining bool // according to the settings
	Flows    int  // open flows, including half-open ones
	Requests int  // flows whose response is not complete

	stateKnown          bool
	assumeColdAt        time.Time // end of the wait for the first report
	stage               int       // stage of the slow start: 0 is cold, rampSteps is warm
	stageUntil          time.Time // end of the current stage
	reportedCold        bool
	reportedDraining    bool
	untrackedFlows      int       // estimated open flows that the owner has not seen
	untrackedRequests   int       // estimated requests that the owner has not seen
	overlapUntil        time.Time // end of the time in which the previous owner may open flows
	flowsAtReport       int       // Flows at the latest report
	requestsAtReport    int       // Requests at the latest report
	reportedCountsUntil time.Time // end of the use of reported counts
	shedCap             int       // limit after a refusal, 0 if none
	shedCapRaiseAt      time.Time // next rise of shedCap
	refusalPauseUntil   time.Time // end of the pause after a refusal without load
	resetCount          int
	resetWindowEnd      time.Time
	unansweredCount     int
	nextTrialAt         time.Time
	deadAt              time.Time   // when an unresponsive server counts as dead
	lastUnansweredAt    time.Time   // latest unanswered handshake or probe
	abandonedExpiries   []time.Time // when each handshake that a cold server may still accept stops counting
	unconfirmed         bool        // the ownership was not confirmed at the latest new flow
	unconfirmedCap      int         // limit while unconfirmed
	latency             latencyTracker
}

// TakeOver initializes the state of a server that this instance owns from now on.
// A cold server starts with its cold limits, a warm one with its full limits after
// the first report. Flows and Requests stay, because their flows still exist.
func (sv *Server) TakeOver(now time.Time, cold bool) {
	limits, kind, draining := sv.Limits, sv.Kind, sv.Draining
	flows, requests := sv.Flows, sv.Requests
	*sv = Server{Limits: limits, Kind: kind, Draining: draining, Flows: flows, Requests: requests}
	sv.flowsAtReport, sv.requestsAtReport = flows, requests
	sv.reportedCountsUntil = now.Add(reportedCountsTTL)
	sv.overlapUntil = now.Add(ownershipOverlap)
	sv.assumeColdAt = now.Add(reportTimeout)
	sv.stage = rampSteps
	if cold {
		sv.stateKnown = true
		sv.TurnCold(now)
	}
}

// TurnCold restarts the server's slow start at its cold limits.
func (sv *Server) TurnCold(now time.Time) {
	sv.stage = 0
	sv.stageUntil = now.Add(sv.Limits.ColdDuration)
}

// Cold reports whether the server is below its full limits, that is cold or in its
// slow start.
func (sv *Server) Cold() bool { return sv.stage < rampSteps || sv.reportedCold }

// StateKnown reports whether the server's state is known well enough to admit flows.
func (sv *Server) StateKnown() bool { return sv.stateKnown }

// Responsive reports whether fewer than unresponsiveThreshold consecutive handshakes
// and probes of the server are unanswered.
func (sv *Server) Responsive() bool { return sv.unansweredCount < unresponsiveThreshold }

// HandleReport handles a report of the load endpoint. Endpoints may lag or report
// wrong values, so a report can only reduce what is admitted: it never ends a slow
// start that the owner observed itself, and its counts are used only after a
// takeover.
func (sv *Server) HandleReport(now time.Time, inFlight, connections int, cold, draining bool) {
	sv.stateKnown = true
	if cold && !sv.reportedCold && sv.stage >= rampSteps {
		sv.TurnCold(now)
	}
	sv.reportedCold = cold
	sv.reportedDraining = draining
	// A report lags, so it may not include flows that the owner opened since the
	// previous report. Only flows that it must include are subtracted.
	flows := max(connections-min(sv.Flows, sv.flowsAtReport), 0)
	requests := max(inFlight-min(sv.Requests, sv.requestsAtReport), 0)
	if now.After(sv.overlapUntil) {
		// No other instance opens flows any more, so their number can only
		// decrease. A higher estimate includes flows of this owner that began and
		// ended between two reports.
		flows, requests = min(flows, sv.untrackedFlows), min(requests, sv.untrackedRequests)
	}
	sv.untrackedFlows, sv.untrackedRequests = flows, requests
	sv.flowsAtReport = sv.Flows
	sv.requestsAtReport = sv.Requests
}

// HandleRefusal handles a handshake that the server refused. It caps the server at
// its current load; the cap then rises over time.
func (sv *Server) HandleRefusal(now time.Time) {
	sv.shedCap = max(sv.Load(), 1)
	sv.shedCapRaiseAt = now.Add(shedCapInterval)
	refusesUntil := now
	if sv.Load() == 0 {
		// It refuses flows although it has no load, so another flow would only
		// use up the service's retry budget.
		sv.refusalPauseUntil = now.Add(refusalPause)
		refusesUntil = sv.refusalPauseUntil
	}
	if sv.Cold() {
		// A cold server that refuses flows has not started to warm up yet, and may
		// not do so before the next flow.
		sv.TurnCold(refusesUntil)
	}
}

// HandleReset handles a reset of an established flow by the server. It reports
// whether the server is taken to have restarted, and is therefore cold.
func (sv *Server) HandleReset(now time.Time) bool {
	if now.After(sv.resetWindowEnd) {
		sv.resetCount = 0
		sv.resetWindowEnd = now.Add(resetWindow)
	}
	sv.resetCount++
	if sv.resetCount < resetsForRestart {
		return false
	}
	sv.resetCount = 0
	sv.abandonedExpiries = nil // the restart has ended these handshakes
	sv.TurnCold(now)
	return true
}

// HandleAbandoned handles a handshake that the server has not answered and that is
// moved to another server. It must be called before the flow is uncounted.
func (sv *Server) HandleAbandoned(now time.Time) {
	if sv.Cold() {
		sv.abandonedExpiries = append(sv.abandonedExpiries, now.Add(abandonedTTL))
	}
}

// HandleUnanswered handles a handshake or probe that the server did not answer in
// time. It reports whether the server has just become unresponsive.
func (sv *Server) HandleUnanswered(now time.Time) bool {
	sv.unansweredCount++
	sv.lastUnansweredAt = now
	if sv.unansweredCount < unresponsiveThreshold {
		return false
	}
	if sv.unansweredCount == unresponsiveThreshold {
		sv.TurnCold(now)
		sv.nextTrialAt = now.Add(trialInterval)
		sv.deadAt = now.Add(deadTimeout)
		return true
	}
	return false
}

// Dead reports whether the server has been unresponsive for so long that its flows
// are regarded as lost.
func (sv *Server) Dead(now time.Time) bool {
	return !sv.Responsive() && !now.Before(sv.deadAt) && now.Sub(sv.lastUnansweredAt) <= deadEvidenceTTL
}

// AllowTrial reports whether an unresponsive server may be sent a handshake or a
// probe now. If so, the next one is allowed after trialInterval.
func (sv *Server) AllowTrial(now time.Time) bool {
	if now.Before(sv.nextTrialAt) {
		return false
	}
	sv.nextTrialAt = now.Add(trialInterval)
	return true
}

// HandleAnswer handles any packet from the server, which makes it responsive.
func (sv *Server) HandleAnswer() { sv.unansweredCount = 0 }

// Tick advances the slow start and expires old state. It reports whether the server
// has just become warm.
func (sv *Server) Tick(now time.Time) bool {
	sv.abandonedExpiries = slices.DeleteFunc(sv.abandonedExpiries, func(end time.Time) bool { return !now.Before(end) })
	if !sv.stateKnown && !sv.assumeColdAt.IsZero() && !now.Before(sv.assumeColdAt) {
		sv.stateKnown = true
		sv.TurnCold(now)
	}
	if sv.shedCap > 0 && now.After(sv.shedCapRaiseAt) {
		sv.shedCap++
		sv.shedCapRaiseAt = now.Add(shedCapInterval)
		if sv.shedCap >= sv.hardLimit() {
			sv.shedCap = 0
		}
	}
	if sv.stage >= rampSteps || now.Before(sv.stageUntil) {
		return false
	}
	if sv.stage == 0 && (sv.reportedCold || !sv.Responsive()) {
		return false
	}
	sv.stage++
	sv.stageUntil = now.Add(sv.Limits.ColdDuration / 8)
	return sv.stage == rampSteps
}

// Decide decides on a new flow. The calling code counts an admitted flow with
// OpenFlow.
func (sv *Server) Decide(now time.Time, cn Conditions) Verdict {
	if sv.Draining || sv.reportedDraining {
		return Draining
	}
	if !sv.Responsive() && !sv.AllowTrial(now) {
		return Unresponsive
	}
	if !sv.stateKnown {
		return Unconfirmed
	}
	if sv.Cold() && !(cn.Confirmed && cn.TakeoverSettled) {
		return Unconfirmed
	}
	sv.updateUnconfirmedCap(now, cn.Confirmed)
	load := sv.ObservedLoad(now)
	if now.Before(sv.refusalPauseUntil) || load >= sv.limit() || sv.connections(now) >= sv.Limits.Connections {
		return Full
	}
	if cn.ApplySoftCap && float64(load) >= SoftCap(cn.MeanFlows) {
		return AboveSoftCap
	}
	return Admit
}

// HasRoom reports whether the hard limits allow a new flow.
func (sv *Server) HasRoom(now time.Time) bool {
	if sv.Draining || sv.reportedDraining || !sv.stateKnown || !sv.Responsive() || now.Before(sv.refusalPauseUntil) {
		return false
	}
	return sv.ObservedLoad(now) < sv.limit() && sv.connections(now) < sv.Limits.Connections
}

// CanAbsorb reports whether the server can take a flow that it has accepted without
// being counted by the owner. A server that is not cold always can.
func (sv *Server) CanAbsorb() bool { return !sv.Cold() || sv.Load() < sv.hardLimit() }

// OpenFlow counts a flow. If the service is one of requests, the flow occupies a
// slot.
func (sv *Server) OpenFlow() {
	sv.Flows++
	sv.Requests++
}

// CompleteRequest frees the slot of a flow whose response is complete.
func (sv *Server) CompleteRequest() {
	if sv.Requests > 0 {
		sv.Requests--
	}
}

// CloseFlow uncounts a flow. Its slot must have been freed by CompleteRequest.
func (sv *Server) CloseFlow() {
	if sv.Flows > 0 {
		sv.Flows--
	}
}

// Allowance returns the number of flows, or of requests, that the server may have
// at its current stage.
func (sv *Server) Allowance() int { return sv.hardLimit() }

// Load returns the number of open flows, or of occupied slots if the service is one
// of requests.
func (sv *Server) Load() int {
	if sv.Kind == jpsettings.Request {
		return sv.Requests
	}
	return sv.Flows
}

// ObservedLoad returns Load plus the abandoned handshakes and the flows or requests
// that only the load endpoint has reported.
func (sv *Server) ObservedLoad(now time.Time) int {
	load := sv.Load() + len(sv.abandonedExpiries)
	if now.After(sv.reportedCountsUntil) {
		return load
	}
	if sv.Kind == jpsettings.Request {
		return load + sv.untrackedRequests
	}
	return load + sv.untrackedFlows
}

func (sv *Server) connections(now time.Time) int {
	flows := sv.Flows + len(sv.abandonedExpiries)
	if now.After(sv.reportedCountsUntil) {
		return flows
	}
	return flows + sv.untrackedFlows
}

// hardLimit returns the limit at the current stage of the slow start.
func (sv *Server) hardLimit() int {
	cold, full := sv.Limits.ColdConnections, sv.Limits.Connections
	if sv.Kind == jpsettings.Request {
		cold, full = sv.Limits.ColdSlots, sv.Limits.Slots
	}
	switch {
	case sv.stage == 0 || sv.reportedCold:
		return min(cold, full)
	case sv.stage < rampSteps:
		return min(cold<<sv.stage, full)
	}
	return full
}

// limit returns the hard limit, lowered by the cap after a refusal and by the cap
// of an unconfirmed owner.
func (sv *Server) limit() int {
	limit := sv.hardLimit()
	if sv.shedCap > 0 {
		limit = min(limit, sv.shedCap)
	}
	if sv.unconfirmed {
		limit = min(limit, sv.unconfirmedCap)
	}
	return limit
}

// updateUnconfirmedCap lets an owner whose ownership is not confirmed use half of
// the free capacity. If two instances both regard themselves as the owner, they
// then share it.
func (sv *Server) updateUnconfirmedCap(now time.Time, confirmed bool) {
	if confirmed {
		sv.unconfirmed = false
		return
	}
	if sv.unconfirmed {
		return
	}
	load := sv.ObservedLoad(now)
	sv.unconfirmedCap = load + max(sv.limit()-load, 0)/2
	sv.unconfirmed = true
}

// Stage is the stage of a server's slow start.
type Stage uint8

// Stages.
const (
	Warm Stage = iota
	Cold
	SlowStart
)

// Stage returns the server's stage.
func (sv *Server) Stage() Stage {
	switch {
	case sv.stage == 0 || sv.reportedCold:
		return Cold
	case sv.stage < rampSteps:
		return SlowStart
	}
	return Warm
}
