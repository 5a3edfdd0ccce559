package jpadmission

import "time"

// Weights of a new response time below and above the usual one. Load only makes
// responses slower, so the usual time follows the fast ones.
const (
	fasterWeight = 0.1
	slowerWeight = 0.002
)

// UsualTime is the usual response time of a service without queueing. The zero value
// knows none.
type UsualTime struct{ time time.Duration }

// Add adds a response time.
func (ut *UsualTime) Add(took time.Duration) {
	weight := fasterWeight
	switch {
	case ut.time == 0:
		weight = 1
	case took > ut.time:
		weight = slowerWeight
	}
	ut.time += time.Duration(weight * float64(took-ut.time))
}

// Get returns the usual response time, 0 if it is not known.
func (ut *UsualTime) Get() time.Duration { return ut.time }
