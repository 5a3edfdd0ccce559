package jpstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"jacinthpass/core/jprollout"
)

// UnknownOutcomeError reports that a change was sent to the store and that its
// outcome could not be read back in time. Submitting it again with the same id is
// safe as long as fewer than jprollout.MaxChanges other changes have followed.
type UnknownOutcomeError struct {
	ChangeID string
	Err      error // of the last call
}

// Error returns the change and the cause.
func (uo *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: outcome of change %s is unknown, submit it again with the same id: %v", uo.ChangeID, uo.Err)
}

// Unwrap returns the cause.
func (uo *UnknownOutcomeError) Unwrap() error { return uo.Err }

// NotAppliedError reports that a change was not applied and will not be, because
// the store could not be used.
type NotAppliedError struct {
	ChangeID string
	Err      error
}

// Error returns the change and the cause.
func (na *NotAppliedError) Error() string {
	return fmt.Sprintf("store: change %s was not applied: %v", na.ChangeID, na.Err)
}

// Unwrap returns the cause.
func (na *NotAppliedError) Unwrap() error { return na.Err }

const (
	// submitTimeout applies if the caller sets no earlier deadline.
	submitTimeout = 10 * time.Second
	// Limits of the delay between attempts, which doubles each time. The store
	// responds in milliseconds, and all instances share its rate limits.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// maxAttempts bounds the attempts of one submission if concurrent changes
	// keep winning the swap.
	maxAttempts = 32
)

// Submit applies a change: it reads the record, replaces it by compare-and-swap
// and, if the response is lost, reads again to learn the outcome. It does not send
// a second write before the first is known to have had no effect, except for the
// identical compare-and-swap, which cannot apply twice. It returns a record that
// contains the change. If other changes followed, the record's version is higher
// than that of the change, which jprollout.AcceptedVersion returns.
//
// The error is that of jprollout.ApplyChange if the change is refused, a
// *NotAppliedError if the store could not be used, or an *UnknownOutcomeError.
func Submit(ctx context.Context, cl *Client, ch jprollout.Change) (jprollout.Record, error) {
	if err := ch.Validate(); err != nil {
		return jprollout.Record{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	sub := submission{client: cl, change: ch, now: time.Now()}
	retryDelay := minRetryDelay
	for range maxAttempts {
		rec, done, err := sub.attempt(ctx)
		if done {
			return rec, err
		}
		sub.lastErr = err
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return jprollout.Record{}, sub.finalError()
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return jprollout.Record{}, sub.finalError()
}

// submission is the state of one Submit.
type submission struct {
	client *Client
	change jprollout.Change
	now    time.Time // time of the change, the same in every attempt
	// writePending tells that a write based on version writeBase may have taken
	// effect or may still do so.
	writePending bool
	writeBase    uint64
	lastErr      error // error of the last attempt
}

var (
	errSwapConflict = errors.New("the record was changed concurrently")
	errNotListed    = errors.New("the record lists only later changes")
)

// attempt reads the record and, if the change is neither in it nor in conflict
// with it, tries one swap. It reports whether the submission has ended.
func (sub *submission) attempt(ctx context.Context) (rec jprollout.Record, done bool, err error) {
	read, index, err := sub.client.ReadSettings(ctx)
	if err != nil && !errors.Is(err, ErrNoSettings) {
		return sub.handleError(err)
	}
	switch sub.resolveEarlier(read) {
	case jprollout.Accepted:
		return read, true, nil
	case jprollout.Indeterminate:
		sub.lastErr = errNotListed
		return rec, true, sub.finalError()
	case jprollout.Conflicted:
		sub.writePending = false
	}
	next, err := jprollout.ApplyChange(sub.now, read, sub.change)
	if err != nil {
		// No write is pending: it would have been based on this record, for
		// which ApplyChange would have failed in that attempt as well.
		return rec, true, err
	}
	next = truncateFormer(next)
	swapped, err := sub.client.SwapSettings(ctx, index, next)
	switch {
	case swapped:
		return next, true, nil
	case err == nil:
		// The record has changed, possibly by an earlier attempt of this
		// submission. The next read shows which.
		return rec, false, errSwapConflict
	case !isRefused(err):
		sub.writePending, sub.writeBase = true, read.Version
	}
	return sub.handleError(err)
}

// resolveEarlier determines from the record whether an earlier attempt, or an
// earlier submission with the same id, took effect.
func (sub *submission) resolveEarlier(read jprollout.Record) jprollout.Resolution {
	if sub.writePending {
		return jprollout.Resolve(read, sub.change.ID, sub.writeBase)
	}
	return jprollout.Resolve(read, sub.change.ID, read.Version)
}

// handleError returns the results of an attempt that failed: the submission
// continues if the store was unreachable, and ends if it refused the call or if
// the stored record is invalid.
func (sub *submission) handleError(err error) (jprollout.Record, bool, error) {
	var invalid *RecordError
	if isRefused(err) || errors.As(err, &invalid) {
		sub.lastErr = err
		return jprollout.Record{}, true, sub.finalError()
	}
	return jprollout.Record{}, false, err
}

func isRefused(err error) bool {
	var re *RefusedError
	return errors.As(err, &re)
}

// finalError returns the error of a submission that ends without a result.
func (sub *submission) finalError() error {
	in := oops.In("store").With("change", sub.change.ID)
	if sub.writePending {
		return in.Wrap(&UnknownOutcomeError{sub.change.ID, sub.lastErr})
	}
	return in.Wrap(&NotAppliedError{sub.change.ID, sub.lastErr})
}
