// Package jpevent defines the events of the timeline and stores the latest ones
// of an instance.
package jpevent

import "time"

// Event is one thing that happened on one instance.
type Event struct {
	At       time.Time
	Instance string
	Part     string // part of the program, the same as the prefix of its log lines
	Name     string // in snake case, for instance server_turned_cold
	Subject  string // affected server, service or instance
	Detail   string
}
