package jpdispatch

import (
	"slices"
	"time"
)

const (
	// stuckTime is how long a request waits before it counts against its server.
	// Answers take 70 ms at the 99th percentile; one whose acknowledgement was
	// lost, or waits for a second packet, is repeated after 200 ms.
	stuckTime = 500 * time.Millisecond

	// failureTime is how long a request counts that its caller gave up. After
	// it, the server is tried again.
	failureTime = 5 * time.Second

	// failureFlows is what such a request counts for, in flows. A caller that
	// gives up a request leaves with its flow; if that counted for no more than
	// one, the server would get as many new flows as it fails.
	failureFlows = 4

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
	if fl.server != nil && fl.waiting && !fl.stuck && ds.overdue(now, fl) {
		fl.stuck = true
		fl.server.stuck++
	}
}

// overdue tells whether an answer is missing that the server should have given.
func (ds *Dispatcher) overdue(now time.Time, fl *flow) bool {
	return now.Sub(fl.sentAt) >= stuckTime && fl.sentAt.After(ds.evidence)
}

// answered notes that no request of the flow waits any more.
func (fl *flow) answered() {
	fl.waiting = false
	if fl.stuck {
		fl.stuck = false
		fl.server.stuck--
	}
}

// giveUp notes that the caller ends the flow, perhaps because of a request that
// got no answer.
func (ds *Dispatcher) giveUp(now time.Time, fl *flow) {
	if sr := fl.server; sr != nil && fl.waiting && ds.overdue(now, fl) && len(sr.failures) < maxFailures {
		sr.failures = append(sr.failures, now.Add(failureTime))
	}
	fl.answered()
}

// burden returns the load that this instance knows of by itself: active flows
// and, more heavily, requests without an answer.
func (sr *server) burden(now time.Time) int {
	sr.failures = slices.DeleteFunc(sr.failures, func(end time.Time) bool { return !now.Before(end) })
	return sr.flows + failureFlows*min(sr.stuck+len(sr.failures), maxFailures)
}

// Judgement tells that a server began or ceased to count as failing.
type Judgement struct {
	Server  string // id
	Failing bool
	Stuck   int // flows whose requests have waited for long
	GivenUp int // requests that callers gave up lately
}

// Judgements returns the changes since the last call.
func (ds *Dispatcher) Judgements(now time.Time) []Judgement {
	var list []Judgement
	for _, sr := range ds.servers {
		failing := sr.present && sr.burden(now) > sr.flows
		if failing != sr.failing {
			sr.failing = failing
			list = append(list, Judgement{Server: sr.cfg.ID, Failing: failing, Stuck: sr.stuck, GivenUp: len(sr.failures)})
		}
	}
	return list
}
