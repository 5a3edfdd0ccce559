// Package jpcapacity estimates how full a service is, from what one instance and its
// peers observe of the requests at its servers.
package jpcapacity

import "time"

// Estimate says how full the servers are that an instance may give new flows of a
// service to.
type Estimate struct {
	Slots     float64   // requests that the servers work on at a time
	Requests  float64   // requests at work or waiting there, of all instances that use the servers
	Own       float64   // the part of Requests that came through this instance
	Instances float64   // number of instances that use the servers
	Seen      float64   // number of these that Requests is derived from, this one included
	OldestAt  time.Time // time of the oldest report that Requests is derived from

	// Guess reports that too few instances have been heard, as after a start or a
	// pause, that those that use the servers are not heard at all, as for servers in
	// another data centre, or that there are no slots. Requests is then derived from
	// the share that came through the instances heard. Nobody may be refused because
	// of it: Room leaves out all but Own.
	Guess bool
}

// Fill returns the number of requests for each slot, 0 without slots.
func (es Estimate) Fill() float64 {
	if es.Slots <= 0 {
		return 0
	}
	return es.Requests / es.Slots
}

// Room returns how many requests this instance may add until there are perSlot requests
// for each slot. While the service as a whole is below that, it is what is left for all
// instances; above, it is what is left of this instance's equal share. Of a guess, only
// the requests that came through this instance count. Without slots it is 0 and says
// nothing: cold servers may still take flows.
func (es Estimate) Room(perSlot float64) float64 {
	limit := perSlot * es.Slots
	if es.Guess {
		return max(limit-es.Own, 0)
	}
	if es.Requests < limit {
		return limit - es.Requests
	}
	return max(limit/max(es.Instances, 1)-es.Own, 0)
}
