package jpdispatch

import (
	"slices"
	"time"
)

const (
	// stuckTime is how long a request waits before it counts against its server.
	// Answers take 70 ms at the 99th percentile; one whose acknowledgement was
	// lost, or waits for a second packet, is repeated after 200 ms.
	stuckThreshold = 500 * time.Millisecond

	// failureTime is how long a request counts that its caller gave up. After
	// it, the server is tried again.
	failureWindow = 5 * time.Second

	// failureFlows is what such a request counts for, in flows. A caller that
	// gives up a request leaves with its flow; if that counted for no more than
	// one, the server would get as many new flows as it fails.
	failureWeight = 4

	// maxFailures bounds those that count at a time. With them a server of two
	// slots is behind one with 32 flows a slot more.
	maxFailures = 16
)

// A server may hang, or fail a part of its requests, although its host answers
// checks and its health is good. What shows it is requests without an answer.
// They do not exclude the server but weigh as flows, here and, told with the
// loads, at the peers, so that new flows go to others as far as these have room.
// Open flows stay: their servers may still answer.

// noteStuck counts a request that has waited for long.
func (ds *Dispatcher) noteStuck(now time.Time, fl *flow) {
	if fl.server != nil && fl.awaitingAnswer && !fl.stuck && ds.answerOverdue(now, fl) {
		fl.stuck = true
		fl.server.stuckFlows++
	}
}

// overdue tells whether an answer is missing that the server should have given.
func (ds *Dispatcher) answerOverdue(now time.Time, fl *flow) bool {
	return now.Sub(fl.sentAt) >= stuckThreshold && fl.sentAt.After(ds.evidenceSince)
}

// answered notes that no request of the flow waits any more.
func (fl *flow) clearWaiting() {
	fl.awaitingAnswer = false
	if fl.stuck {
		fl.stuck = false
		fl.server.stuckFlows--
	}
}

// giveUp notes that the caller ends the flow, perhaps because of a request that
// got no answer.
func (ds *Dispatcher) noteGivenUp(now time.Time, fl *flow) {
	if sr := fl.server; sr != nil && fl.awaitingAnswer && ds.answerOverdue(now, fl) && len(sr.failureExpiries) < maxFailures {
		sr.failureExpiries = append(sr.failureExpiries, now.Add(failureWindow))
	}
	fl.clearWaiting()
}

// burden returns the load that this instance knows of by itself: active flows
// and, more heavily, requests without an answer.
func (sr *server) localLoad(now time.Time) int {
	sr.failureExpiries = slices.DeleteFunc(sr.failureExpiries, func(end time.Time) bool { return !now.Before(end) })
	return sr.activeFlows + failureWeight*min(sr.stuckFlows+len(sr.failureExpiries), maxFailures)
}

// Judgement tells that a server began or ceased to count as failing.
type FailingChange struct {
	Server  string // id
	Failing bool
	Stuck   int // flows whose requests have waited for long
	GivenUp int // requests that callers gave up lately
}

// Judgements returns the changes since the last call.
func (ds *Dispatcher) FailingChanges(now time.Time) []FailingChange {
	var list []FailingChange
	for _, sr := range ds.servers {
		failing := sr.present && sr.localLoad(now) > sr.activeFlows
		if failing != sr.reportedFailing {
			sr.reportedFailing = failing
			list = append(list, FailingChange{Server: sr.cfg.ID, Failing: failing, Stuck: sr.stuckFlows, GivenUp: len(sr.failureExpiries)})
		}
	}
	return list
}
