// Package jprollout decides how versions of the settings reach every instance
// and how an uncertain write to the store is resolved.
package jprollout

import "jacinthpass/core/jpsettings"

// Record is the value that the store keeps for the settings.
type Record struct {
	Version  uint64   // rises by one with each accepted change
	ChangeID string   // of the last change
	Changes  []string // ids of the last accepted changes, newest last
	Author   string
	Text     []byte // INI text
	// Former lists the servers that had service addresses before, those that
	// lost them last first. It is nil in records from before the field existed.
	Former []jpsettings.FormerServer
}

// MaxChanges bounds Record.Changes.
const MaxChanges = 32
