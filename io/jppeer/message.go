package jppeer

import (
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsteering"
)

// The message types are those below, those in directory.go and jpsteering.Moved.

// Heartbeat is sent to each neighbour four times a second.
type Heartbeat struct {
	Member          jpmember.Heartbeat
	SettingsVersion uint64
	Loads           []jpsteering.Load
}

// SettingsRequest asks for the settings if they are newer than Version.
type SettingsRequest struct {
	Version uint64
}

// Settings carries the settings in force at the sender.
type Settings struct {
	Record jprollout.Record
}

// EventsRequest asks a peer for its own events since a time. The response repeats
// ID.
type EventsRequest struct {
	ID    uint64
	Since time.Time
}

// Events is the response to an EventsRequest.
type Events struct {
	ID     uint64
	Events []jpevent.Event
}
