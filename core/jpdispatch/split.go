package jpdispatch

import (
	"time"

	"jacinthpass/core/jpdirectory"
)

// selectService returns the name of the service that gets a new flow of a route.
func (ds *Dispatcher) selectService(_ time.Time, rt *jpdirectory.Route, pk Packet) string {
	return pickService(rt, pk)
}

// pickService selects a service of the route by weight. Retransmissions of a SYN
// get the same service.
func pickService(rt *jpdirectory.Route, pk Packet) string {
	total := 0
	for _, tg := range rt.Targets {
		total += max(tg.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	position := int(flowHash(pk, 0) % uint64(total))
	for _, tg := range rt.Targets {
		if position -= max(tg.Weight, 0); position < 0 {
			return tg.Service
		}
	}
	return ""
}
