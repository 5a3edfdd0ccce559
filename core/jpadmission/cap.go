package jpadmission

import "time"

// softShare is the load above the mean that the soft cap allows.
const softCapMargin = 0.05

// SoftCap is the bounded-load limit for a server of a service with the given
// mean (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads).
// It is at least 1, so that an idle server is always below it.
func SoftCap(mean float64) float64 {
	return max(mean*(1+softCapMargin), 1)
}

// Budget bounds the retries of a service to a share of its new flows, so that
// a service in trouble is not loaded further by its own retries.
type RetryBudget struct {
	Percent int // retries for each 100 new flows

	tokens   int       // hundredths of a retry
	refillAt time.Time // when the minimum is next added
}

// In hundredths of a retry.
const (
	tokensPerRetry  = 100
	minBudgetTokens = 3 * tokensPerRetry // that a service may make in each second in any case
	maxBudgetTokens = 20 * tokensPerRetry
)

// Earn counts a new flow.
func (rb *RetryBudget) Deposit() {
	rb.tokens = min(rb.tokens+rb.Percent, maxBudgetTokens)
}

// Take reports whether a retry is allowed, and counts it.
func (rb *RetryBudget) TryWithdraw(now time.Time) bool {
	if !now.Before(rb.refillAt) {
		rb.refillAt = now.Add(time.Second)
		rb.tokens = max(rb.tokens, minBudgetTokens)
	}
	if rb.tokens < tokensPerRetry {
		return false
	}
	rb.tokens -= tokensPerRetry
	return true
}
