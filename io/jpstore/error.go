package jpstore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/samber/oops"
)

// ErrNoSettings reports that the store holds no settings yet.
var ErrNoSettings = errors.New("store: no settings yet")

// UnreachableError reports a call without a usable response. A write may have
// taken effect, or may still take effect later.
type UnreachableError struct {
	Operation string
	Err       error
}

// Error returns the operation and its cause.
func (ue *UnreachableError) Error() string {
	return fmt.Sprintf("store: %s: no usable response: %v", ue.Operation, ue.Err)
}

// Unwrap returns the cause.
func (ue *UnreachableError) Unwrap() error { return ue.Err }

// RefusedError reports a call that had no effect and that will not succeed if it
// is repeated unchanged.
type RefusedError struct {
	Operation string
	Status    int // HTTP status, 0 if the client rejected the call before sending it
	Problem   string
}

// Error returns the operation and the problem.
func (re *RefusedError) Error() string {
	return fmt.Sprintf("store: %s: refused: %s", re.Operation, re.Problem)
}

// RecordError reports that the value in the store is not a settings record.
type RecordError struct {
	Problem string
}

// Error returns the problem.
func (re *RecordError) Error() string { return "store: settings record: " + re.Problem }

// The constructors attach the operation as structured context for log lines and
// the operators' API. errors.As finds the typed error.

func newUnreachableError(operation string, err error) error {
	return oops.In("store").With("operation", operation).Wrap(&UnreachableError{operation, err})
}

func newRefusedError(operation string, status int, problem string) error {
	return oops.In("store").With("operation", operation).Wrap(&RefusedError{operation, status, problem})
}

// maxQuotedBody bounds the part of a response body that errors quote, in bytes.
const maxQuotedBody = 200

// checkStatus returns nil for the statuses that carry a result, 200 and 404.
// Status 5xx and 429 report a temporary condition; with 5xx a write may have
// taken effect.
func checkStatus(operation string, status int, body []byte) error {
	if status == http.StatusOK || status == http.StatusNotFound {
		return nil
	}
	problem := strings.TrimSpace(string(body[:min(len(body), maxQuotedBody)]))
	problem = fmt.Sprintf("%d %s: %s", status, http.StatusText(status), problem)
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return newUnreachableError(operation, errors.New(problem))
	}
	return newRefusedError(operation, status, problem)
}
