package jpdirectory

import "time"

// Availability is an observation of the store by one instance: it answered without
// interruption from UpSince to ConfirmedAt.
type Availability struct {
	UpSince     time.Time
	ConfirmedAt time.Time
}

// maxUnobserved is by how much a directory may be newer than what is known of the store's
// availability. A peer's status follows its update within the status interval.
const maxUnobserved = 1500 * time.Millisecond

// StoreUpSince returns the time since which the store has answered without interruption
// until currentAt, the latest time at which a directory was up to date. It starts from
// the observation that was confirmed last, because one that ended earlier says nothing
// of an outage since then, and joins those that overlap.
func StoreUpSince(currentAt time.Time, observations []Availability) time.Time {
	var known Availability
	for _, av := range observations {
		if av.ConfirmedAt.After(known.ConfirmedAt) || av.ConfirmedAt.Equal(known.ConfirmedAt) && av.UpSince.After(known.UpSince) {
			known = av
		}
	}
	if known.ConfirmedAt.IsZero() || currentAt.Sub(known.ConfirmedAt) > maxUnobserved {
		return currentAt
	}
	for joined := true; joined; {
		joined = false
		for _, av := range observations {
			if av.UpSince.Before(known.UpSince) && !av.ConfirmedAt.Before(known.UpSince) {
				known.UpSince, joined = av.UpSince, true
			}
		}
	}
	return known.UpSince
}
