// Package jpspeed learns how many requests each backend server takes well, from the
// times of its responses that instances observe.
//
// Response times are compared within one route of one service, so that requests of the
// same kind meet. Each is turned into the logarithm of its ratio to the usual time of
// its route (Usual). The ratios of a server, from this instance and its peers, are
// collected in an Estimate, and Update derives from the estimates of a service's
// servers by which factor each is slower than the others.
package jpspeed

import "math"

const (
	// maxSlowness bounds ratios and beliefs. A server keeps at least this part of the
	// flows of an equal one, so that its recovery is seen.
	maxSlowness = 16

	// minRatio is the ratio as which faster responses count. A server that fails a part
	// of its requests at once and is slow with the others must not look usual.
	minRatio = 0.5
)

// Summary is what one instance has observed of a server since its last report.
type Summary struct {
	Slowness float64 // mean response time over the usual one of the same routes, 0 without samples
	Samples  int
}

// boundedLog returns the logarithm of a ratio within the bounds of ratios.
func boundedLog(ratio float64) float64 {
	return math.Log(min(max(ratio, minRatio), maxSlowness))
}
