package jpadmission

import "time"

const (
	slowFactor          = 4                     // times the usual response time that count as slow
	minSlowTime         = 20 * time.Millisecond // below this no response counts as slow
	slowResponsesToCold = 3                     // slow responses, one after another, that mark a cold server
	minSlowSpan         = time.Second           // between the first and the last of them: one stall delays many responses
	latencyWeight       = 0.1                   // weight of a new response time in the usual one
)

// latency keeps the usual time to the first byte of a response. A server that
// lost its caches answers slowly while its load endpoint still reports it warm.
type latencyTracker struct {
	average   time.Duration
	slowCount int
	slowSince time.Time
}

// observe takes in one response time and reports whether the server looks cold.
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

// Responded notes the time to the first byte of a response. It reports whether
// the server has just turned cold.
func (sv *Server) HandleResponse(now time.Time, took time.Duration) bool {
	if sv.Cold() || !sv.latency.observe(now, took) {
		return false
	}
	sv.latency.slowCount = 0
	sv.TurnCold(now)
	return true
}
