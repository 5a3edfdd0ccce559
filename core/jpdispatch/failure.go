package jpdispatch

import (
	"slices"
	"time"
)

const (
	// stuckThreshold is how long a request waits for its answer before it counts
	// against its server. Answers take 70 ms at the 99th percentile; one whose
	// acknowledgement was lost, or is delayed until a second packet, is
	// retransmitted after 200 ms.
	stuckThreshold = 500 * time.Millisecond

	// failureWindow is how long a request that its caller gave up counts against
	// the server. Afterwards the server gets new flows again.
	failureWindow = 5 * time.Second

	// failureWeight is the load of an unanswered request, in flows. A caller that
	// gives up a request also closes its flow; with a weight of 1, the server
	// would get a new flow for each one that it fails.
	failureWeight = 4

	// maxFailures bounds the unanswered requests that count at a time. At the
	// bound, a server with two slots ranks behind servers that have up to 32
	// more flows per slot.
	maxFailures = 16
)

// A server may hang or fail part of its requests although its host answers
// checks and its health state is good. Unanswered requests reveal this. They do
// not exclude the server but add to its load, here and, through the reported
// loads, at the peers, so that new flows go to other servers that have room.
// Open flows stay at the server, because it may still answer.

// noteStuck counts a flow at its server once its request is overdue.
func (ds *Dispatcher) noteStuck(now time.Time, fl *flow) {
	if fl.server != nil && fl.awaitingAnswer && !fl.stuck && ds.answerOverdue(now, fl) {
		fl.stuck = true
		fl.server.stuckFlows++
	}
}

// answerOverdue reports whether the flow's request has waited for its answer for
// stuckThreshold, and was sent after the latest pause of this instance.
func (ds *Dispatcher) answerOverdue(now time.Time, fl *flow) bool {
	return now.Sub(fl.sentAt) >= stuckThreshold && fl.sentAt.After(ds.evidenceSince)
}

// clearWaiting records that no request of the flow awaits an answer any more.
func (fl *flow) clearWaiting() {
	fl.awaitingAnswer = false
	fl.endRequest()
	if fl.stuck {
		fl.stuck = false
		fl.server.stuckFlows--
	}
}

// noteGivenUp records that the flow ends. A request that is overdue then counts
// as given up by the caller.
func (ds *Dispatcher) noteGivenUp(now time.Time, fl *flow) {
	if sr := fl.server; sr != nil && fl.awaitingAnswer && ds.answerOverdue(now, fl) && len(sr.failureExpiries) < maxFailures {
		sr.failureExpiries = append(sr.failureExpiries, now.Add(failureWindow))
	}
	fl.clearWaiting()
}

// localLoad returns the load that this instance has observed itself, in flows:
// active flows plus the weighted unanswered requests.
func (sr *server) localLoad(now time.Time) int {
	sr.failureExpiries = slices.DeleteFunc(sr.failureExpiries, func(end time.Time) bool { return !now.Before(end) })
	return sr.activeFlows + failureWeight*min(sr.stuckFlows+len(sr.failureExpiries), maxFailures)
}

// FailingChange reports that a server has started or stopped counting as failing.
type FailingChange struct {
	Server  string // id
	Failing bool
	Stuck   int // flows whose requests are overdue
	GivenUp int // requests given up by callers within failureWindow
}

// FailingChanges returns the changes since the last call.
func (ds *Dispatcher) FailingChanges(now time.Time) []FailingChange {
	var list []FailingChange
	for _, sr := range ds.servers {
		if sr.stuckFlows == 0 && len(sr.failureExpiries) == 0 && !sr.reportedFailing {
			continue
		}
		failing := sr.present && sr.localLoad(now) > sr.activeFlows
		if failing != sr.reportedFailing {
			sr.reportedFailing = failing
			list = append(list, FailingChange{Server: sr.cfg.ID, Failing: failing, Stuck: sr.stuckFlows, GivenUp: len(sr.failureExpiries)})
		}
	}
	return list
}
