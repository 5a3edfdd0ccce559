package jprollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"jacinthpass/core/jpsettings"
)

// settingsName stands for the file name in the errors of texts from the store.
const settingsName = "settings"

// Change is a change that an operator submits: either a whole text or edits.
type Change struct {
	ID     string // unique; a change that is submitted twice is applied once
	Author string
	Name   string // file name for errors, "settings" if empty
	// Base is the version that the change was made from. For a whole text it
	// must be the version in the store, 0 if the store holds none. Edits with
	// Base 0 apply to any version.
	Base  uint64
	Text  []byte // whole new text, if Edits is empty
	Edits []Edit
}

// Edit sets one key.
type Edit struct {
	Section string
	Key     string
	Value   string
}

// ConflictError reports that a change was made from another version than the one
// in the store. It was not applied.
type ConflictError struct {
	Base    uint64 // of the change
	Version uint64 // in the store
	Author  string // of the version in the store
}

// Error returns both versions.
func (ce *ConflictError) Error() string {
	return fmt.Sprintf("conflict: change is based on version %d, the store holds version %d by %q", ce.Base, ce.Version, ce.Author)
}

// ChangeError reports a change that is incomplete.
type ChangeError struct {
	Problem string
}

// Error returns the problem.
func (ce *ChangeError) Error() string { return "change: " + ce.Problem }

// Bounds of the parts of a record other than the text, in bytes. They keep the
// list of changes small against the store's limit.
const (
	maxChangeID = 64
	maxAuthor   = 128
)

// Validate returns a *ChangeError if the change is incomplete.
func (ch Change) Validate() error {
	switch {
	case ch.ID == "" || len(ch.ID) > maxChangeID:
		return &ChangeError{fmt.Sprintf("id must have 1 to %d bytes", maxChangeID)}
	case !utf8.ValidString(ch.ID) || !utf8.ValidString(ch.Author):
		// The record's JSON form would change them, and the id would not be found.
		return &ChangeError{"id and author must be valid UTF-8"}
	case len(ch.Author) > maxAuthor:
		return &ChangeError{fmt.Sprintf("author must have at most %d bytes", maxAuthor)}
	case (len(ch.Text) == 0) == (len(ch.Edits) == 0):
		return &ChangeError{"either a text or edits are required"}
	}
	return nil
}

// ApplyChange returns the record that the change makes of the record read, which is the
// zero Record if the store holds none. The time is that of the change. The error is a *ConflictError, a
// *ChangeError, or that of jpsettings for a faulty text.
func ApplyChange(now time.Time, stored Record, ch Change) (Record, error) {
	if err := ch.Validate(); err != nil {
		return Record{}, err
	}
	anyBase := len(ch.Edits) > 0 && ch.Base == 0
	if !anyBase && ch.Base != stored.Version {
		return Record{}, &ConflictError{ch.Base, stored.Version, stored.Author}
	}
	text, tree, err := ch.newText(stored.Text)
	if err != nil {
		return Record{}, err
	}
	changes := append(slices.Clone(stored.Changes), ch.ID)
	return Record{
		Version:  stored.Version + 1,
		ChangeID: ch.ID,
		Changes:  changes[max(0, len(changes)-MaxChanges):],
		Author:   ch.Author,
		Text:     text,
		Former:   nextFormer(now, stored, tree),
	}, nil
}

// newText returns the text that the change makes of the old one, and its tree, if
// it is valid.
func (ch Change) newText(old []byte) ([]byte, *jpsettings.Tree, error) {
	text := ch.Text
	if len(ch.Edits) > 0 {
		text = old
	}
	for _, ed := range ch.Edits {
		var err error
		if text, err = jpsettings.Edit(text, ed.Section, ed.Key, ed.Value); err != nil {
			return nil, nil, err
		}
	}
	tree, err := jpsettings.Parse(cmp.Or(ch.Name, settingsName), text)
	return text, tree, err
}

// Resolution is what a later read tells about a write whose answer was lost.
type Resolution uint8

// Resolutions of a write.
const (
	// Accepted: the write took effect.
	Accepted Resolution = iota
	// SendAgain: the write has not taken effect, but may still do so. The same
	// compare-and-swap can be sent again, because it cannot apply twice.
	Retry
	// Conflicted: another change came first; the write can never take effect.
	Conflicted
	// Forgotten: so many changes came later that the record no longer tells.
	Indeterminate
)

// Resolve tells what became of the write of a change on top of version base,
// given a record that was read after the write was sent.
func Resolve(stored Record, changeID string, base uint64) Resolution {
	if _, ok := AcceptedVersion(stored, changeID); ok {
		return Accepted
	}
	switch {
	case stored.Version == base:
		return Retry
	case stored.Version > base && stored.Version-base <= uint64(len(stored.Changes)):
		return Conflicted
	}
	return Indeterminate
}

// AcceptedVersion returns the version as which a change was accepted. It is not found
// if the change was not accepted, or if MaxChanges changes came later.
func AcceptedVersion(stored Record, changeID string) (uint64, bool) {
	for i, id := range stored.Changes {
		if later := uint64(len(stored.Changes) - 1 - i); id == changeID && later < stored.Version {
			return stored.Version - later, true
		}
	}
	return 0, false
}
