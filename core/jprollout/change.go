package jprollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"jacinthpass/core/jpsettings"
)

// settingsName is the file name in errors about texts from the store.
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
	// InForce is the record in force at the instance that submits the change. It takes
	// the place of a stored record of a lower version: the store was restored from a copy
	// and has lost it, and instances would ignore a version that they know.
	InForce Record
}

// Edit sets one key.
type Edit struct {
	Section string
	Key     string
	Value   string
}

// ConflictError reports a change that was not applied because it is based on
// another version than the one in the store.
type ConflictError struct {
	Base    uint64 // of the change
	Version uint64 // in the store
	Author  string // of the version in the store
}

func (ce *ConflictError) Error() string {
	return fmt.Sprintf("conflict: change is based on version %d, the store holds version %d by %q", ce.Base, ce.Version, ce.Author)
}

// ChangeError reports an invalid change.
type ChangeError struct {
	Problem string
}

func (ce *ChangeError) Error() string { return "change: " + ce.Problem }

// Limits of the id and the author of a change, in bytes. They keep Changes and
// Author of a Record small compared to the store's limit for a value.
const (
	maxChangeID = 64
	maxAuthor   = 128
)

// Validate returns a *ChangeError if the change is invalid.
func (ch Change) Validate() error {
	switch {
	case ch.ID == "" || len(ch.ID) > maxChangeID:
		return &ChangeError{fmt.Sprintf("id must have 1 to %d bytes", maxChangeID)}
	case !utf8.ValidString(ch.ID) || !utf8.ValidString(ch.Author):
		// Encoding as JSON replaces invalid UTF-8, so the id would not be found.
		return &ChangeError{"id and author must be valid UTF-8"}
	case len(ch.Author) > maxAuthor:
		return &ChangeError{fmt.Sprintf("author must have at most %d bytes", maxAuthor)}
	case (len(ch.Text) == 0) == (len(ch.Edits) == 0):
		return &ChangeError{"either a text or edits are required"}
	}
	return nil
}

// ApplyChange returns the record that results from a change at the time now to
// the stored record, which is the zero Record if the store holds none. The error
// is a *ConflictError, a *ChangeError, or that of jpsettings for an invalid text.
func ApplyChange(now time.Time, stored Record, ch Change) (Record, error) {
	if err := ch.Validate(); err != nil {
		return Record{}, err
	}
	if ch.InForce.Version > stored.Version {
		stored = ch.InForce
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

// newText returns the text that results from the change to the old text, and its
// tree if it is valid.
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

// Resolution is the outcome of a write whose response was lost, as determined
// from a later read.
type Resolution uint8

// Resolutions of a write.
const (
	// Accepted: the write took effect.
	Accepted Resolution = iota
	// Retry: the write has not taken effect, but may still do so. The same
	// compare-and-swap can be sent again, because it cannot take effect twice.
	Retry
	// Conflicted: another change was applied first; the write can never take effect.
	Conflicted
	// Indeterminate: the record no longer lists the change that followed base,
	// because too many came later, or its version is below base.
	Indeterminate
)

// Resolve returns the outcome of writing a change on top of version base, given
// the stored record as read after the write was sent.
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

// AcceptedVersion returns the version that an accepted change resulted in, and
// false if the change was not accepted or if MaxChanges changes followed it.
func AcceptedVersion(stored Record, changeID string) (uint64, bool) {
	for i, id := range stored.Changes {
		if later := uint64(len(stored.Changes) - 1 - i); id == changeID && later < stored.Version {
			return stored.Version - later, true
		}
	}
	return 0, false
}
