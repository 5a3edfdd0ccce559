// Package jpadmission decides whether a backend server may take another flow.
package jpadmission

import (
	"slices"
	"time"

	"jacinthpass/core/jpsettings"
)

// Verdict is the answer to a new flow.
type Verdict uint8

// Verdicts. Only Admit lets the flow in.
const (
	Admit        Verdict = iota
	AboveSoftCap         // above the soft cap; the hard limits have room
	Full                 // at a hard limit
	Unconfirmed          // another instance might own the server
	Draining             // takes no new flows
	Unresponsive         // does not answer handshakes
)

const (
	// rampSteps is the number of doublings between the cold and the full limits.
	rampSteps = 4
	// resetsWindow and resetsToCold: a server that resets this many
	// established flows in this time has restarted.
	resetWindow      = time.Second
	resetsForRestart = 3
	// unansweredToClose handshakes without an answer, one after another, mark
	// a server unresponsive. One flow each trialInterval is then let through.
	unresponsiveThreshold = 3
	trialInterval         = 2 * time.Second
	// deadAfter is longer than a restart of a server's host network takes.
	deadTimeout = 10 * time.Second
	// deathTrust is how long an unanswered probe proves that a dead server is
	// still dead. Afterwards it is asked again: the path to it may have been
	// broken and mended without any packet that showed it.
	deadEvidenceTTL = 3 * time.Second
	// abandonedTime is how long a handshake that went on with another server
	// counts at a cold one, which may only have been paused. It is the time
	// after which a server counts as dead.
	abandonedTTL = deadTimeout
	// reportTrust is how long after a takeover the load endpoint's counts
	// stand in for flows that the new owner has not seen yet. Afterwards the
	// owner's own count is better than an endpoint that lags or misleads.
	reportedCountsTTL = 30 * time.Second
	// reportWait is how long a new owner waits for the first report. The
	// server then starts cold, because nothing shows that it is warm.
	reportTimeout = 5 * time.Second
	// foreignTime covers the time for which instances with an older view may
	// still regard the previous owner as the owner.
	ownershipOverlap = 3 * time.Second
	// refusalPause closes a server that refuses flows although it has none.
	refusalPause = time.Second
	// shedRecovery is the time after which a shed's cap rises by one.
	shedCapInterval = 500 * time.Millisecond
)

// Demand describes the conditions under which a new flow asks for admission.
type Conditions struct {
	Confirmed       bool    // no other instance can own the server now
	TakeoverSettled bool    // the takeover is long enough ago
	ApplySoftCap    bool    // apply the soft cap
	MeanFlows       float64 // mean flows of the service's servers
}

// Server holds what the owner of one backend server knows of its load. The
// zero value is an unknown server: it takes nothing until Reset is called.
type Server struct {
	Limits   jpsettings.Limits
	Kind     jpsettings.Kind
	Draining bool // by settings
	Flows    int  // open flows, half-open ones included
	Requests int  // flows whose response is not complete

	stateKnown          bool
	assumeColdAt        time.Time // when to go on without a report
	stage               int       // 0 cold, rampSteps and above warm
	stageUntil          time.Time // end of the current stage
	reportedCold        bool
	reportedDraining    bool
	untrackedFlows      int       // open flows that the owner has not seen
	untrackedRequests   int       // requests that the owner has not seen
	overlapUntil        time.Time // until then the previous owner may open flows
	flowsAtReport       int       // Flows at the previous report
	requestsAtReport    int       // Requests at the previous report
	reportedCountsUntil time.Time // end of trust in reported counts
	shedCap             int       // 0 if none
	shedCapRaiseAt      time.Time // next rise of shedCap
	refusalPauseUntil   time.Time // end of the pause after a refusal without load
	resetCount          int
	resetWindowEnd      time.Time
	unansweredCount     int
	nextTrialAt         time.Time
	deadAt              time.Time   // when an unresponsive server counts as dead
	lastUnansweredAt    time.Time   // the latest
	abandonedExpiries   []time.Time // ends of handshakes that a cold server may still accept
	unconfirmed         bool        // since the latest new flow
	unconfirmedCap      int
	latency             latencyTracker
}

// Reset starts the record of a server that the owner took over at now. A cold
// server begins with its cold limits, another one with its full limits as soon
// as a report has come. The counts stay, they belong to flows that still exist.
func (sv *Server) TakeOver(now time.Time, cold bool) {
	limits, kind, drains := sv.Limits, sv.Kind, sv.Draining
	flows, requests := sv.Flows, sv.Requests
	*sv = Server{Limits: limits, Kind: kind, Draining: drains, Flows: flows, Requests: requests}
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

// TurnCold puts the server back to its cold limits.
func (sv *Server) TurnCold(now time.Time) {
	sv.stage = 0
	sv.stageUntil = now.Add(sv.Limits.ColdDuration)
}

// Cold tells whether the server is below its full limits.
func (sv *Server) Cold() bool { return sv.stage < rampSteps || sv.reportedCold }

// Known tells whether the server's state is known well enough to admit flows.
func (sv *Server) StateKnown() bool { return sv.stateKnown }

// Responsive tells whether the server answered its last handshakes.
func (sv *Server) Responsive() bool { return sv.unansweredCount < unresponsiveThreshold }

// Report takes in an answer of the load endpoint. Endpoints may lag or
// mislead, so a report can only take room away: it never ends a cold start
// that the owner saw itself, and its counts matter only after a takeover.
func (sv *Server) HandleReport(now time.Time, inFlight, connections int, cold, draining bool) {
	sv.stateKnown = true
	if cold && !sv.reportedCold && sv.stage >= rampSteps {
		sv.TurnCold(now)
	}
	sv.reportedCold = cold
	sv.reportedDraining = draining
	// A report lags, so it may lack flows that the owner opened since the
	// previous one. Only those that it must contain are taken off.
	flows := max(connections-min(sv.Flows, sv.flowsAtReport), 0)
	busy := max(inFlight-min(sv.Requests, sv.requestsAtReport), 0)
	if now.After(sv.overlapUntil) {
		// Nobody else opens flows any more, so their number can only fall. A
		// higher estimate counts flows that came and went between two reports.
		flows, busy = min(flows, sv.untrackedFlows), min(busy, sv.untrackedRequests)
	}
	sv.untrackedFlows, sv.untrackedRequests = flows, busy
	sv.flowsAtReport = sv.Flows
	sv.requestsAtReport = sv.Requests
}

// Shed notes that the server refused a handshake: it takes no more than what
// it runs now until the cap has risen again.
func (sv *Server) HandleRefusal(now time.Time) {
	sv.shedCap = max(sv.Load(), 1)
	sv.shedCapRaiseAt = now.Add(shedCapInterval)
	if sv.Cold() {
		// A cold server that refuses has not begun to warm up yet.
		sv.TurnCold(now)
	}
	if sv.Load() == 0 {
		// It refuses although it has nothing to do, so another flow would only
		// use up the service's retries.
		sv.refusalPauseUntil = now.Add(refusalPause)
	}
}

// ResetSeen notes a reset of an established flow by the server. It reports
// whether the server counts as restarted and so as cold.
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
	sv.abandonedExpiries = nil // lost in the restart
	sv.TurnCold(now)
	return true
}

// Abandon notes that a handshake, which the server has not answered, goes on
// with another server. It is called before the flow leaves the counts.
func (sv *Server) HandleAbandoned(now time.Time) {
	if sv.Cold() {
		sv.abandonedExpiries = append(sv.abandonedExpiries, now.Add(abandonedTTL))
	}
}

// Unanswered notes a handshake or probe that the server did not answer in
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

// Dead tells whether the server has been unresponsive for so long that its
// flows are taken for lost.
func (sv *Server) Dead(now time.Time) bool {
	return !sv.Responsive() && !now.Before(sv.deadAt) && now.Sub(sv.lastUnansweredAt) <= deadEvidenceTTL
}

// Trial reports whether an unresponsive server may be sent a handshake or a
// probe now, and counts it.
func (sv *Server) AllowTrial(now time.Time) bool {
	if now.Before(sv.nextTrialAt) {
		return false
	}
	sv.nextTrialAt = now.Add(trialInterval)
	return true
}

// Answered notes a packet from the server.
func (sv *Server) HandleAnswer() { sv.unansweredCount = 0 }

// Tick moves the slow start on. It reports whether the server became warm.
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

// Ask decides on a new flow. The caller counts an admitted flow with Open.
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

// Room tells whether a new flow would be admitted under the hard limits.
func (sv *Server) HasRoom(now time.Time) bool {
	if sv.Draining || sv.reportedDraining || !sv.stateKnown || !sv.Responsive() || now.Before(sv.refusalPauseUntil) {
		return false
	}
	return sv.ObservedLoad(now) < sv.limit() && sv.connections(now) < sv.Limits.Connections
}

// Bears tells whether a cold server has room for a flow that it has accepted
// without being in the owner's counts. Other servers bear it in any case.
func (sv *Server) CanAbsorb() bool { return !sv.Cold() || sv.Load() < sv.hardLimit() }

// Open counts a flow. It occupies a slot if the service is one of requests.
func (sv *Server) OpenFlow() {
	sv.Flows++
	sv.Requests++
}

// Release frees the slot of a flow whose answer is complete.
func (sv *Server) CompleteRequest() {
	if sv.Requests > 0 {
		sv.Requests--
	}
}

// Close ends the count of a flow whose slot was released before.
func (sv *Server) CloseFlow() {
	if sv.Flows > 0 {
		sv.Flows--
	}
}

// Allowance is the number of flows, or of requests, that the server may have
// at its current stage.
func (sv *Server) Allowance() int { return sv.hardLimit() }

// Load is the number of open flows, or of occupied slots for a service of requests.
func (sv *Server) Load() int {
	if sv.Kind == jpsettings.Request {
		return sv.Requests
	}
	return sv.Flows
}

// Observed is Load with the abandoned handshakes and the flows that only the
// load endpoint knows of.
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

// hardLimit is the limit at the current stage of the cold start.
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

// limit is the hard limit lowered by a shed or by a missing confirmation.
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

// limitUnconfirmed lets an owner without a confirmation use half of the free
// room: two instances that both think they own the server then share it.
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

// Stage is the part of the cold start that a server is in.
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
