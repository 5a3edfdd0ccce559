package jpstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"jacinthpass/core/jprollout"
)

// UnknownOutcomeError reports that a change was sent and that its outcome could
// not be read back in time. Submitting it again with the same id is safe as long
// as fewer than jprollout.MaxChanges other changes have followed.
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
	// Pauses between attempts. The store answers in milliseconds, and its rates
	// are shared by all instances.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// maxAttempts bounds the reads of one submission if other changes keep
	// coming first.
	maxAttempts = 32
)

// Submit applies a change: it reads the record, swaps it for the next one and, if
// the answer is lost, reads again to learn the outcome. It never sends a second
// write before the first is known to have no effect, except the identical
// compare-and-swap, which cannot apply twice. It returns a record that contains
// the change; its version is higher than the change's own, which
// jprollout.AcceptedAs tells, if other changes followed.
//
// The errors are those of jprollout.Next for a change that is refused, a
// *NotAppliedError if the store could not be used, and an *UnknownOutcomeError.
func Submit(ctx context.Context, cl *Client, ch jprollout.Change) (jprollout.Record, error) {
	if err := ch.Check(); err != nil {
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
	now    time.Time // of the change, the same in every attempt
	// writePending tells that a write on top of version base may have taken effect or
	// may still do so.
	writePending bool
	writeBase    uint64
	lastErr      error // of the last attempt
}

var (
	errSwapConflict = errors.New("other changes came first")
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
	case jprollout.Forgotten:
		sub.lastErr = errNotListed
		return rec, true, sub.finalError()
	case jprollout.Conflicted:
		sub.writePending = false
	}
	next, err := jprollout.Next(sub.now, read, sub.change)
	if err != nil {
		// A write in flight passed Next on this same record, so there is none.
		return rec, true, err
	}
	next = truncateFormer(next)
	swapped, err := sub.client.SwapSettings(ctx, index, next)
	switch {
	case swapped:
		return next, true, nil
	case err == nil:
		// The record has changed, possibly by an earlier attempt of this
		// submission; the next read tells.
		return rec, false, errSwapConflict
	case !isRefused(err):
		sub.writePending, sub.writeBase = true, read.Version
	}
	return sub.handleError(err)
}

// resolveEarlier returns what the record read tells about earlier attempts. Before the
// first attempt the change may be listed from an earlier submission.
func (sub *submission) resolveEarlier(read jprollout.Record) jprollout.Resolution {
	if sub.writePending {
		return jprollout.Resolve(read, sub.change.ID, sub.writeBase)
	}
	return jprollout.Resolve(read, sub.change.ID, read.Version)
}

// handleError continues the submission after an unreachable store and ends it after a
// refusal.
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
