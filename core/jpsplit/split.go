// Package jpsplit divides the new flows of a route between services. Weights rule while
// every service has room. Where one is full, the flows that it can't take spill to the
// others, as far as these keep room for their own callers.
//
// The package does no I/O and reads no clock.
package jpsplit

// Share is the part of a route's new flows that a target gets by its weight. A target
// without a positive weight gets none, spilled ones neither.
type Share[K comparable] struct {
	Target K
	Weight int
}

// Draw says where a flow lies among all flows. Equal draws get equal targets as long as
// weights and loads stay the same.
type Draw struct {
	Weight uint64  // selects the target by weight; any value
	Spill  float64 // decides whether and to where it spills; from 0 to below 1
}

// Choice is the target of a flow. From is the target that it has by weight; they differ
// if the flow was spilled.
type Choice[K comparable] struct {
	Target, From K
}

// Spilled reports whether the flow goes elsewhere than its weight says.
func (ch Choice[K]) Spilled() bool { return ch.Target != ch.From }

// ByWeight returns the target that a flow has by weight alone, or false if no weight is
// positive.
func ByWeight[K comparable](shares []Share[K], position uint64) (target K, ok bool) {
	total := 0
	for _, sh := range shares {
		total += max(sh.Weight, 0)
	}
	if total == 0 {
		return target, false
	}
	rest := int(position % uint64(total))
	for _, sh := range shares {
		if rest -= max(sh.Weight, 0); rest < 0 {
			return sh.Target, true
		}
	}
	return target, false
}

// Select returns the target of a new flow, or false if no weight is positive.
func (sp *Spill[K]) Select(shares []Share[K], dr Draw) (Choice[K], bool) {
	from, ok := ByWeight(shares, dr.Weight)
	if !ok {
		return Choice[K]{}, false
	}
	limit := 0.0
	for _, sh := range shares {
		if sh.Weight <= 0 || sh.Target == from {
			continue
		}
		if limit += sp.Fraction(from, sh.Target); dr.Spill < limit {
			return Choice[K]{Target: sh.Target, From: from}, true
		}
	}
	return Choice[K]{Target: from, From: from}, true
}
