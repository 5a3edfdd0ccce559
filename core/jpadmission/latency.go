package jpadmission

import "time"

const (
	slowFactor          = 4                     // a response is slow above this multiple of the average time
	minSlowTime         = 20 * time.Millisecond // no response is slow up to this time
	slowResponsesToCold = 3                     // consecutive slow responses after which a server counts as cold
	minSlowSpan         = time.Second           // minimum time from the first to the last of them; one stall delays many responses
	latencyWeight       = 0.1                   // weight of a new response time in the moving average
)

// latencyTracker keeps a moving average of the time to the first byte of a
// response. It detects a server that has lost its caches and responds slowly while
// its load endpoint still reports it as warm.
type latencyTracker struct {
	average   time.Duration
	slowCount int
	slowSince time.Time
}

// observe adds one response time and reports whether the server appears to be cold.
func (lt *latencyTracker) observe(now time.Time, took time.Duration) bool {
	if lt.average == 0 {
		lt.average = took
		return false
	}
	if took > minSlowTime && took > slowFactor*lt.average {
		if lt.slowCount == 0 {
			lt.slowSince = now
		}
		lt.slowCount++
		return lt.slowCount >= slowResponsesToCold && now.Sub(lt.slowSince) >= minSlowSpan
	}
	lt.slowCount = 0
	lt.average += time.Duration(latencyWeight * float64(took-lt.average))
	return false
}

// HandleResponse handles the time to the first byte of a response. It reports
// whether the server has just become cold.
func (sv *Server) HandleResponse(now time.Time, took time.Duration) bool {
	if sv.Cold() || !sv.latency.observe(now, took) {
		return false
	}
	sv.latency.slowCount = 0
	sv.TurnCold(now)
	return true
}
