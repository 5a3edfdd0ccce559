package jpdispatch

import "time"

const (
	// AttemptTimeout bounds one connection attempt of a check. It is far above the
	// round trip of 2 ms between data centres.
	AttemptTimeout = 60 * time.Millisecond

	// ReferenceDelay is the time without an answer after which the references of an
	// attempt are dialed, and ReferenceTimeout how long they may take. What remains
	// of AttemptTimeout then exceeds all differences between round trips.
	ReferenceDelay   = 20 * time.Millisecond
	ReferenceTimeout = 20 * time.Millisecond

	// failureThreshold is the number of confirmed timeouts after which a check
	// fails; one is not enough because the network loses single packets. maxAttempts
	// bounds all attempts.
	failureThreshold = 2
	maxAttempts      = 6
)

// AttemptOutcome is the outcome of one connection attempt of a check.
type AttemptOutcome uint8

// Outcomes of attempts. A timeout is confirmed if a reference that was dialed after
// the server answered well before the attempt ended. The packets of both queue in
// the same order on this instance's link, so the server's answer can't be delayed
// there.
const (
	AttemptInconclusive AttemptOutcome = iota // a local error, or a timeout that is not confirmed
	AttemptAnswered
	AttemptRefused
	AttemptTimedOut // confirmed
)

// Attempts holds the attempts of one check so far.
type Attempts struct{ made, timedOut int }

// Add adds an attempt. It returns the result of the check and whether that is final.
func (as *Attempts) Add(outcome AttemptOutcome) (result CheckResult, final bool) {
	as.made++
	switch outcome {
	case AttemptAnswered:
		return CheckAnswered, true
	case AttemptRefused:
		return CheckRefused, true
	case AttemptTimedOut:
		as.timedOut++
	}
	if as.timedOut == failureThreshold {
		return CheckTimedOut, true
	}
	return CheckInconclusive, as.made == maxAttempts
}
