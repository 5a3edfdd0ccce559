// Package jpspeed learns how many requests each backend server takes well, from the
// times of its responses that instances observe.
package jpspeed

// Summary is what one instance has observed of a server since its last report.
type Summary struct {
	Slowness float64 // mean response time over the usual one of the same routes, 0 without samples
	Samples  int
}
