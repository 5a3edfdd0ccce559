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
	SoftFull             // above the soft cap; the hard limits have room
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
	resetsWindow = time.Second
	resetsToCold = 3
	// unansweredToClose handshakes without an answer, one after another, mark
	// a server unresponsive. One flow each trialInterval is then let through.
	unansweredToClose = 3
	trialInterval     = 2 * time.Second
	// deadAfter is longer than a restart of a server's host network takes.
	deadAfter = 10 * time.Second
	// deathTrust is how long an unanswered probe proves that a dead server is
	// still dead. Afterwards it is asked again: the path to it may have been
	// broken and mended without any packet that showed it.
	deathTrust = 3 * time.Second
	// abandonedTime is how long a handshake that went on with another server
	// counts at a cold one, which may only have been paused. It is the time
	// after which a server counts as dead.
	abandonedTime = deadAfter
	// reportTrust is how long after a takeover the load endpoint's counts
	// stand in for flows that the new owner has not seen yet. Afterwards the
	// owner's own count is better than an endpoint that lags or misleads.
	reportTrust = 30 * time.Second
	// reportWait is how long a new owner waits for the first report. The
	// server then starts cold, because nothing shows that it is warm.
	reportWait = 5 * time.Second
	// foreignTime covers the time for which instances with an older view may
	// still regard the previous owner as the owner.
	foreignTime = 3 * time.Second
	// refusalPause closes a server that refuses flows although it has none.
	refusalPause = time.Second
	// shedRecovery is the time after which a shed's cap rises by one.
	shedRecovery = 500 * time.Millisecond
)

// Demand describes the conditions under which a new flow asks for admission.
type Demand struct {
	Confirmed bool    // no other instance can own the server now
	Settled   bool    // the takeover is long enough ago
	Soft      bool    // apply the soft cap
	Mean      float64 // mean flows of the service's servers
}

// Server holds what the owner of one backend server knows of its load. The
// zero value is an unknown server: it takes nothing until Reset is called.
type Server struct {
	Limits   jpsettings.Limits
	Kind     jpsettings.Kind
	Drains   bool // by settings
	Flows    int  // open flows, half-open ones included
	Requests int  // flows whose response is not complete

	known          bool
	knownFrom      time.Time // when to go on without a report
	stage          int       // 0 cold, rampSteps and above warm
	stageUntil     time.Time // end of the current stage
	reportedCold   bool
	reportedDrain  bool
	foreignFlows   int       // open flows that the owner has not seen
	foreignBusy    int       // requests that the owner has not seen
	foreignUntil   time.Time // until then the previous owner may open flows
	flowsBefore    int       // Flows at the previous report
	requestsBefore int       // Requests at the previous report
	trustUntil     time.Time // end of trust in reported counts
	shedCap        int       // 0 if none
	shedUntil      time.Time // next rise of shedCap
	refusesUntil   time.Time // end of the pause after a refusal without load
	resets         int
	resetsUntil    time.Time
	unanswered     int
	nextTrial      time.Time
	deadFrom       time.Time   // when an unresponsive server counts as dead
	unansweredAt   time.Time   // the latest
	abandoned      []time.Time // ends of handshakes that a cold server may still accept
	unconfirmed    bool        // since the latest new flow
	unconfirmedCap int
	latency        latency
}

// Reset starts the record of a server that the owner took over at now. A cold
// server begins with its cold limits, another one with its full limits as soon
// as a report has come. The counts stay, they belong to flows that still exist.
func (sv *Server) Reset(now time.Time, cold bool) {
	limits, kind, drains := sv.Limits, sv.Kind, sv.Drains
	flows, requests := sv.Flows, sv.Requests
	*sv = Server{Limits: limits, Kind: kind, Drains: drains, Flows: flows, Requests: requests}
	sv.flowsBefore, sv.requestsBefore = flows, requests
	sv.trustUntil = now.Add(reportTrust)
	sv.foreignUntil = now.Add(foreignTime)
	sv.knownFrom = now.Add(reportWait)
	sv.stage = rampSteps
	if cold {
		sv.known = true
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
func (sv *Server) Known() bool { return sv.known }

// Responsive tells whether the server answered its last handshakes.
func (sv *Server) Responsive() bool { return sv.unanswered < unansweredToClose }

// Report takes in an answer of the load endpoint. Endpoints may lag or
// mislead, so a report can only take room away: it never ends a cold start
// that the owner saw itself, and its counts matter only after a takeover.
func (sv *Server) Report(now time.Time, inFlight, connections int, cold, draining bool) {
	sv.known = true
	if cold && !sv.reportedCold && sv.stage >= rampSteps {
		sv.TurnCold(now)
	}
	sv.reportedCold = cold
	sv.reportedDrain = draining
	// A report lags, so it may lack flows that the owner opened since the
	// previous one. Only those that it must contain are taken off.
	flows := max(connections-min(sv.Flows, sv.flowsBefore), 0)
	busy := max(inFlight-min(sv.Requests, sv.requestsBefore), 0)
	if now.After(sv.foreignUntil) {
		// Nobody else opens flows any more, so their number can only fall. A
		// higher estimate counts flows that came and went between two reports.
		flows, busy = min(flows, sv.foreignFlows), min(busy, sv.foreignBusy)
	}
	sv.foreignFlows, sv.foreignBusy = flows, busy
	sv.flowsBefore = sv.Flows
	sv.requestsBefore = sv.Requests
}

// Shed notes that the server refused a handshake: it takes no more than what
// it runs now until the cap has risen again.
func (sv *Server) Shed(now time.Time) {
	sv.shedCap = max(sv.Load(), 1)
	sv.shedUntil = now.Add(shedRecovery)
	if sv.Cold() {
		// A cold server that refuses has not begun to warm up yet.
		sv.TurnCold(now)
	}
	if sv.Load() == 0 {
		// It refuses although it has nothing to do, so another flow would only
		// use up the service's retries.
		sv.refusesUntil = now.Add(refusalPause)
	}
}

// ResetSeen notes a reset of an established flow by the server. It reports
// whether the server counts as restarted and so as cold.
func (sv *Server) ResetSeen(now time.Time) bool {
	if now.After(sv.resetsUntil) {
		sv.resets = 0
		sv.resetsUntil = now.Add(resetsWindow)
	}
	sv.resets++
	if sv.resets < resetsToCold {
		return false
	}
	sv.resets = 0
	sv.abandoned = nil // lost in the restart
	sv.TurnCold(now)
	return true
}

// Abandon notes that a handshake, which the server has not answered, goes on
// with another server. It is called before the flow leaves the counts.
func (sv *Server) Abandon(now time.Time) {
	if sv.Cold() {
		sv.abandoned = append(sv.abandoned, now.Add(abandonedTime))
	}
}

// Unanswered notes a handshake or probe that the server did not answer in
// time. It reports whether the server has just become unresponsive.
func (sv *Server) Unanswered(now time.Time) bool {
	sv.unanswered++
	sv.unansweredAt = now
	if sv.unanswered < unansweredToClose {
		return false
	}
	if sv.unanswered == unansweredToClose {
		sv.TurnCold(now)
		sv.nextTrial = now.Add(trialInterval)
		sv.deadFrom = now.Add(deadAfter)
		return true
	}
	return false
}

// Dead tells whether the server has been unresponsive for so long that its
// flows are taken for lost.
func (sv *Server) Dead(now time.Time) bool {
	return !sv.Responsive() && !now.Before(sv.deadFrom) && now.Sub(sv.unansweredAt) <= deathTrust
}

// Trial reports whether an unresponsive server may be sent a handshake or a
// probe now, and counts it.
func (sv *Server) Trial(now time.Time) bool {
	if now.Before(sv.nextTrial) {
		return false
	}
	sv.nextTrial = now.Add(trialInterval)
	return true
}

// Answered notes a packet from the server.
func (sv *Server) Answered() { sv.unanswered = 0 }

// Tick moves the slow start on. It reports whether the server became warm.
func (sv *Server) Tick(now time.Time) bool {
	sv.abandoned = slices.DeleteFunc(sv.abandoned, func(end time.Time) bool { return !now.Before(end) })
	if !sv.known && !sv.knownFrom.IsZero() && !now.Before(sv.knownFrom) {
		sv.known = true
		sv.TurnCold(now)
	}
	if sv.shedCap > 0 && now.After(sv.shedUntil) {
		sv.shedCap++
		sv.shedUntil = now.Add(shedRecovery)
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
func (sv *Server) Ask(now time.Time, dm Demand) Verdict {
	if sv.Drains || sv.reportedDrain {
		return Draining
	}
	if !sv.Responsive() && !sv.Trial(now) {
		return Unresponsive
	}
	if !sv.known {
		return Unconfirmed
	}
	if sv.Cold() && !(dm.Confirmed && dm.Settled) {
		return Unconfirmed
	}
	sv.limitUnconfirmed(now, dm.Confirmed)
	load := sv.Observed(now)
	if now.Before(sv.refusesUntil) || load >= sv.limit() || sv.connections(now) >= sv.Limits.Connections {
		return Full
	}
	if dm.Soft && float64(load) >= SoftCap(dm.Mean) {
		return SoftFull
	}
	return Admit
}

// Room tells whether a new flow would be admitted under the hard limits.
func (sv *Server) Room(now time.Time) bool {
	if sv.Drains || sv.reportedDrain || !sv.known || !sv.Responsive() || now.Before(sv.refusesUntil) {
		return false
	}
	return sv.Observed(now) < sv.limit() && sv.connections(now) < sv.Limits.Connections
}

// Bears tells whether a cold server has room for a flow that it has accepted
// without being in the owner's counts. Other servers bear it in any case.
func (sv *Server) Bears() bool { return !sv.Cold() || sv.Load() < sv.hardLimit() }

// Open counts a flow. It occupies a slot if the service is one of requests.
func (sv *Server) Open() {
	sv.Flows++
	sv.Requests++
}

// Release frees the slot of a flow whose answer is complete.
func (sv *Server) Release() {
	if sv.Requests > 0 {
		sv.Requests--
	}
}

// Close ends the count of a flow whose slot was released before.
func (sv *Server) Close() {
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
func (sv *Server) Observed(now time.Time) int {
	load := sv.Load() + len(sv.abandoned)
	if now.After(sv.trustUntil) {
		return load
	}
	if sv.Kind == jpsettings.Request {
		return load + sv.foreignBusy
	}
	return load + sv.foreignFlows
}

func (sv *Server) connections(now time.Time) int {
	flows := sv.Flows + len(sv.abandoned)
	if now.After(sv.trustUntil) {
		return flows
	}
	return flows + sv.foreignFlows
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
func (sv *Server) limitUnconfirmed(now time.Time, confirmed bool) {
	if confirmed {
		sv.unconfirmed = false
		return
	}
	if sv.unconfirmed {
		return
	}
	load := sv.Observed(now)
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
