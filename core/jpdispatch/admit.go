package jpdispatch

import (
	"time"

	"jacinthpass/core/jpdirectory"
)

// admit decides whether a new flow may be placed now. If not, it returns the decision
// on the SYN and true.
func (ds *Dispatcher) admit(_ time.Time, _ *jpdirectory.Route, _ *service, _ Packet, _ *flow) (Decision, bool) {
	return Decision{}, false
}
