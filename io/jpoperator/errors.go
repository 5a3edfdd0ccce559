package jpoperator

import (
	"fmt"
	"strings"
)

// Problem is one problem in the settings.
type Problem struct {
	File    string
	Line    int    // 0 if the problem has no line
	Key     string // section and key as in "[region.tasmania] slots", may be empty
	Message string
}

// String returns the problem as one line, as in "FILE:LINE: KEY: MESSAGE".
func (pb Problem) String() string {
	var sb strings.Builder
	sb.WriteString(pb.File)
	if pb.Line > 0 {
		fmt.Fprintf(&sb, ":%d", pb.Line)
	}
	sb.WriteString(": ")
	if pb.Key != "" {
		sb.WriteString(pb.Key + ": ")
	}
	sb.WriteString(pb.Message)
	return sb.String()
}

// InvalidError says that the settings were not applied because they are not valid.
type InvalidError struct {
	Problems []Problem // every problem of the settings
}

// Error lists all problems, one per line.
func (er *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("settings not applied: %d problem(s)", len(er.Problems))}
	for _, pb := range er.Problems {
		lines = append(lines, pb.String())
	}
	return strings.Join(lines, "\n")
}

// ConflictError says that a change was not applied because it is based on another
// version than that of the settings.
type ConflictError struct {
	Base    uint64
	Current uint64
}

func (er *ConflictError) Error() string {
	return fmt.Sprintf("change not applied: it is based on version %d, the settings have version %d", er.Base, er.Current)
}

// ChangeOutcome tells whether a change took effect although the store did not confirm
// it.
type ChangeOutcome string

// Outcomes of a change.
const (
	NotApplied     ChangeOutcome = "not_applied"
	OutcomeUnknown ChangeOutcome = "unknown"
)

// StoreError says that the platform's store did not confirm a change.
type StoreError struct {
	Outcome ChangeOutcome
	Cause   string // short text, may be empty
}

func (er *StoreError) Error() string {
	text := "store unavailable: the change was not applied"
	if er.outcome() == OutcomeUnknown {
		text = "store unavailable: it is unknown whether the change was applied"
	}
	if er.Cause != "" {
		text += " (" + er.Cause + ")"
	}
	return text
}

// outcome returns NotApplied if it is set, and OutcomeUnknown for any other value.
func (er *StoreError) outcome() ChangeOutcome {
	if er.Outcome == NotApplied {
		return NotApplied
	}
	return OutcomeUnknown
}

// Kinds of names in an UnknownNameError.
const (
	KindDataCentre = "data centre"
	KindService    = "service"
	KindServer     = "server"
)

// UnknownNameError says that the settings contain nothing of this kind and name.
type UnknownNameError struct {
	Kind string // one of the Kind constants
	Name string
}

func (er *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %q", er.Kind, er.Name)
}

// RequestError says that the instance refused a request. Nothing was changed.
type RequestError struct {
	Status  int // HTTP status code
	Message string
}

func (er *RequestError) Error() string {
	return fmt.Sprintf("call refused (status %d): %s", er.Status, er.Message)
}

// NotSentError says that the instance did not receive the request: no connection was
// made, or the instance refused the certificate. The request can be sent to another
// instance.
type NotSentError struct {
	Address string
	Err     error
}

func (er *NotSentError) Error() string {
	return fmt.Sprintf("no connection to instance %s: %v", er.Address, er.Err)
}

// Unwrap returns the cause.
func (er *NotSentError) Unwrap() error { return er.Err }

// LostResponseError says that a request was sent and no valid response arrived. A change
// may have been applied and must not be sent a second time.
type LostResponseError struct {
	Address string
	Change  bool // the request was a change
	Err     error
}

func (er *LostResponseError) Error() string {
	text := fmt.Sprintf("no valid answer from instance %s: %v", er.Address, er.Err)
	if er.Change {
		text += "; it is unknown whether the change was applied"
	}
	return text
}

// Unwrap returns the cause.
func (er *LostResponseError) Unwrap() error { return er.Err }
