package jpsplit

import (
	"math"
	"time"
)

const (
	// fullAt is the number of requests for each slot above which flows spill to other
	// targets, and at overfullAt all spill that others can take. A part of the requests
	// is on its way to a slot or back, so that slots are free up to about overfullAt;
	// beyond it queues grow too fast for reports that are half a second old.
	fullAt     = 0.8
	overfullAt = 1.1

	// openTo is the number of requests for each slot up to which a target takes spilled
	// flows, at most fullAt so that no two targets exchange flows. The more it is filled
	// by its own callers, the less it takes.
	openTo = 0.8

	// steepness is the number of requests that a target takes for each that it lacks
	// up to openTo. It is below the value at which estimates of half a second ago make
	// the spilled part swing.
	steepness = 2

	// settlingTime is the time constant with which the spilled part follows the loads.
	settlingTime = 2 * time.Second

	// maxStep bounds the time that one adjustment counts, so that a pause of the
	// process doesn't pass for a long look at one load.
	maxStep = settlingTime / 4
)

// Load is what an instance knows of the load of a target, over all instances.
type Load[K comparable] struct {
	Target   K
	Requests float64 // at work or waiting
	Slots    float64 // requests that can be at work at a time; 0 if it can take no flow now
	Known    bool    // whether Requests is recent enough to act on
}

type pair[K comparable] struct{ from, to K }

// Spill holds which part of its flows each target of a split passes to the others. It
// is not safe for concurrent use.
type Spill[K comparable] struct {
	fractions  map[pair[K]]float64
	demands    map[K]float64 // requests at work, of a target without slots when it last had some
	closed     map[K]bool    // targets without slots
	adjustedAt time.Time
}

// New returns a Spill by which all flows go by weight.
func New[K comparable]() *Spill[K] {
	return &Spill[K]{fractions: map[pair[K]]float64{}, demands: map[K]float64{}, closed: map[K]bool{}}
}

// Fraction returns the part of the flows of from by weight that goes to another target.
func (sp *Spill[K]) Fraction(from, to K) float64 { return sp.fractions[pair[K]{from, to}] }

// Closed reports whether a target had no slots at the latest adjustment.
func (sp *Spill[K]) Closed(target K) bool { return sp.closed[target] }

// Adjust moves the spilled parts towards what the loads ask for. It is to be called
// several times in settlingTime, with the loads of all targets of the split.
func (sp *Spill[K]) Adjust(now time.Time, loads []Load[K]) {
	elapsed := min(max(now.Sub(sp.adjustedAt), 0), maxStep)
	sp.adjustedAt = now
	weight := 1 - math.Exp(-elapsed.Seconds()/settlingTime.Seconds())
	total := sp.totalDemand(loads)
	for _, from := range loads {
		justClosed := from.Slots <= 0 && !sp.closed[from.Target]
		for _, to := range loads {
			key := pair[K]{from.Target, to.Target}
			room := room(loads, from, to) / total
			pressure := from.pressure() * shareOfRoom(loads, from, to)
			switch {
			case justClosed:
				sp.fractions[key] = min(pressure, room)
			case from.unknown() || to.unknown() && from.Slots > 0:
				delete(sp.fractions, key)
			case pressure > 0 || sp.fractions[key] > 0:
				sp.fractions[key] += weight * (min(pressure, steepness*room) - sp.fractions[key])
			}
		}
	}
	for _, ld := range loads {
		sp.closed[ld.Target] = ld.Slots <= 0
	}
}

// totalDemand returns how many requests the targets work on, and those that a closed one
// did before. The rooms of targets are measured by it.
func (sp *Spill[K]) totalDemand(loads []Load[K]) float64 {
	total := 0.0
	for _, ld := range loads {
		if ld.Slots > 0 && ld.Known {
			sp.demands[ld.Target] = min(ld.Requests, ld.Slots)
		}
		total += sp.demands[ld.Target]
	}
	return max(total, 1)
}

// unknown reports whether the load of a target that takes flows is not known.
func (ld Load[K]) unknown() bool { return ld.Slots > 0 && !ld.Known }

// pressure returns which part of the flows of a target should go elsewhere, from 0 to 1.
func (ld Load[K]) pressure() float64 {
	switch {
	case ld.Slots <= 0:
		return 1
	case !ld.Known:
		return 0
	}
	return min(max((ld.Requests/ld.Slots-fullAt)/(overfullAt-fullAt), 0), 1)
}

// room returns how many requests of one target another one may take. If several targets
// need its room, they share it by their pressures.
func room[K comparable](loads []Load[K], from, to Load[K]) float64 {
	pressures := 0.0
	for _, ld := range loads {
		if ld.Target != to.Target {
			pressures += ld.pressure()
		}
	}
	if pressures == 0 {
		return 0
	}
	return roomFor(from, to) * from.pressure() / pressures
}

// roomFor returns how many requests of another target a target may take. One of unknown
// load helps only one that can take nothing, and then as if it were empty.
func roomFor[K comparable](from, to Load[K]) float64 {
	switch {
	case from.Target == to.Target || to.unknown() && from.Slots > 0:
		return 0
	case to.unknown():
		return openTo * to.Slots
	}
	return max(openTo*to.Slots-to.Requests, 0)
}

// shareOfRoom returns which part of the room for the requests of a target another one has.
func shareOfRoom[K comparable](loads []Load[K], from, to Load[K]) float64 {
	rooms := 0.0
	for _, ld := range loads {
		rooms += roomFor(from, ld)
	}
	if rooms == 0 {
		return 0
	}
	return roomFor(from, to) / rooms
}
