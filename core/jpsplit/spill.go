package jpsplit

import "time"

const (
	// fullAt is the number of requests for each slot above which flows spill to other
	// targets. A part of the requests is on its way to a slot or back, so that slots are
	// free up to a little more. From overfullAt on the spilled part grows at its greatest
	// rate.
	fullAt     = 0.9
	overfullAt = 1.4

	// openTo is the number of requests for each slot up to which a target takes spilled
	// flows. The rest is for the peaks of its own callers.
	openTo = 0.8

	// steepness weighs the room of a target against the need of another one. It is below
	// the value at which loads of half a second ago make the spilled part swing.
	steepness = 2

	// settlingTime is the time in which a target that is overfull passes on all its flows
	// if others have room, and retentionTime the one in which a spilled part that nothing
	// asks for any more would go back by itself. It damps what long flows do, which load
	// a target for seconds after they were placed.
	settlingTime  = 2 * time.Second
	retentionTime = 4 * settlingTime

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
	total := sp.totalDemand(loads)
	for _, from := range loads {
		sum := 0.0
		for _, to := range loads {
			if to.Target != from.Target {
				sum += sp.adjustPair(elapsed, loads, from, to, total)
			}
		}
		for _, to := range loads {
			if sum > 1 {
				sp.fractions[pair[K]{from.Target, to.Target}] /= sum
			}
		}
	}
	for _, ld := range loads {
		sp.closed[ld.Target] = ld.Slots <= 0
	}
}

// adjustPair adjusts what one target passes to another, and returns it.
func (sp *Spill[K]) adjustPair(elapsed time.Duration, loads []Load[K], from, to Load[K], total float64) float64 {
	key := pair[K]{from.Target, to.Target}
	part := sp.fractions[key]
	need := from.need()
	if need > 0 {
		need *= shareOfRoom(loads, from, to)
	}
	room := from.roomIn(to) / total
	if room > 0 {
		room *= shareOfNeed(loads, from, to)
	}
	switch {
	case from.Slots <= 0 && !sp.closed[from.Target]:
		part = max(min(need, room), 0)
	case from.unknown() || to.unknown() && from.Slots > 0:
		part = 0
	default:
		part -= part * elapsed.Seconds() / retentionTime.Seconds()
		part += min(need, steepness*room) * elapsed.Seconds() / settlingTime.Seconds()
	}
	part = min(max(part, 0), 1)
	sp.fractions[key] = part
	return part
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

// need returns how much a target needs to pass on flows, up to 1, or can take its own back,
// down to -1.
func (ld Load[K]) need() float64 {
	if ld.Slots <= 0 {
		return 1
	}
	return min(max((ld.Requests/ld.Slots-fullAt)/(overfullAt-fullAt), -1), 1)
}

// roomIn returns how many requests of a target another one may take, negative if it has
// too many. One of unknown load helps only a target that can take nothing, and then as if
// it were empty.
func (ld Load[K]) roomIn(to Load[K]) float64 {
	switch {
	case to.unknown() && ld.Slots > 0:
		return 0
	case to.unknown():
		return openTo * to.Slots
	}
	return openTo*to.Slots - to.Requests
}

// shareOfRoom returns which part of all rooms for the requests of a target another one has.
func shareOfRoom[K comparable](loads []Load[K], from, to Load[K]) float64 {
	rooms := 0.0
	for _, ld := range loads {
		if ld.Target != from.Target {
			rooms += max(from.roomIn(ld), 0)
		}
	}
	if rooms == 0 {
		return 0
	}
	return max(from.roomIn(to), 0) / rooms
}

// shareOfNeed returns which part of the room in a target another one may take, by the needs
// of all.
func shareOfNeed[K comparable](loads []Load[K], from, to Load[K]) float64 {
	needs := 0.0
	for _, ld := range loads {
		if ld.Target != to.Target {
			needs += max(ld.need(), 0)
		}
	}
	if needs == 0 {
		return 1
	}
	return max(from.need(), 0) / needs
}
