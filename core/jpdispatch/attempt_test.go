package jpdispatch

import "testing"

// Guards against a check that fails on timeouts that say nothing about the server.
func TestAttempts(t *testing.T) {
	rows := []struct {
		name     string
		outcomes []AttemptOutcome
		want     CheckResult
	}{
		{"answered at once", []AttemptOutcome{AttemptAnswered}, CheckAnswered},
		{"refused after a timeout", []AttemptOutcome{AttemptTimedOut, AttemptRefused}, CheckRefused},
		{"one lost packet", []AttemptOutcome{AttemptTimedOut, AttemptAnswered}, CheckAnswered},
		{"congestion, then one lost packet", []AttemptOutcome{AttemptInconclusive, AttemptTimedOut, AttemptAnswered}, CheckAnswered},
		{"no host", []AttemptOutcome{AttemptTimedOut, AttemptTimedOut}, CheckTimedOut},
		{"no host, after congestion", []AttemptOutcome{AttemptInconclusive, AttemptTimedOut, AttemptTimedOut}, CheckTimedOut},
		{"congestion for all attempts", []AttemptOutcome{0, 0, 0, 0, 0, 0}, CheckInconclusive},
		{"one confirmed timeout of six attempts", []AttemptOutcome{0, 0, 0, 0, 0, AttemptTimedOut}, CheckInconclusive},
	}
	for _, row := range rows {
		var as Attempts
		for ix, outcome := range row.outcomes {
			result, final := as.Add(outcome)
			if last := ix == len(row.outcomes)-1; final != last || final && result != row.want {
				t.Errorf("%s, attempt %d: %v, final: %t; want %v after %d", row.name, ix+1, result, final, row.want, len(row.outcomes))
			}
		}
	}
}
