// Package jprollout applies changes to the settings record in the store, selects
// the version of the settings in force on an instance, and resolves writes to the
// store whose outcome is unknown.
package jprollout

import "jacinthpass/core/jpsettings"

// Record is the value that the store keeps for the settings.
type Record struct {
	Version  uint64   // rises by one with each accepted change
	ChangeID string   // of the last change
	Changes  []string // ids of the last accepted changes, newest last
	Author   string
	Text     []byte // INI text
	// Former lists the servers that formerly served a service address, the most
	// recent first. It is nil in records written before the field existed.
	Former []jpsettings.FormerServer
}

// MaxChanges bounds Record.Changes.
const MaxChanges = 32
