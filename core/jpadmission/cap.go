package jpadmission

import "time"

// softCapMargin is the share of the mean load by which the soft cap exceeds it.
const softCapMargin = 0.05

// SoftCap is the bounded-load limit for a server of a service with the given
// mean (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads).
// It is at least 1, so that an idle server is always below it.
func SoftCap(mean float64) float64 {
	return max(mean*(1+softCapMargin), 1)
}

// RetryBudget limits the retries of a service to a share of its new flows, so that
// retries don't add much load to a service whose servers refuse flows.
type RetryBudget struct {
	Percent int // allowed retries per 100 new flows

	tokens   int       // in hundredths of a retry
	refillAt time.Time // when the tokens are next raised to the minimum
}

// In hundredths of a retry.
const (
	tokensPerRetry  = 100
	minBudgetTokens = 3 * tokensPerRetry // allows a service three retries per second regardless of its new flows
	maxBudgetTokens = 20 * tokensPerRetry
)

// Deposit adds the tokens of a new flow.
func (rb *RetryBudget) Deposit() {
	rb.tokens = min(rb.tokens+rb.Percent, maxBudgetTokens)
}

// TryWithdraw reports whether a retry is allowed, and takes its tokens if so.
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
