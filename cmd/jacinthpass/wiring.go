package main

import (
	"jacinthpass/core/jpsettings"
	"jacinthpass/io/jpinstance"
)

// Variables, so that tests of the commands can replace them.
var (
	// runInstance runs an instance until its planned stop is complete. The end of the
	// context starts the planned stop.
	runInstance = jpinstance.Run

	// parseSettings checks a settings text. The error lists all problems, one per line.
	parseSettings = func(name string, text []byte) error {
		_, err := jpsettings.Parse(name, text)
		return err
	}
)
