package jpspeed

import (
	"math"
	"time"
)

const (
	// minUsualSamples is the number of responses from which the usual time is known.
	minUsualSamples = 20

	// usualMemory is the number of responses over which the usual time is averaged.
	usualMemory = 200

	// maxDeviation bounds the effect of a response on the usual time, in logarithms, so
	// that a few slow servers don't move it.
	maxDeviation = 1
)

// Usual is the usual response time of the requests of one route to one service, as one
// instance observes it. The zero value knows none.
type Usual struct {
	log       float64 // mean of the logarithms of the seconds, deviations bounded
	deviation float64 // mean absolute deviation from it
	samples   int     // up to usualMemory
}

// Time returns the usual response time, 0 if it is not known.
func (us *Usual) Time() time.Duration {
	if us.samples < minUsualSamples {
		return 0
	}
	return time.Duration(math.Exp(us.log) * float64(time.Second))
}

// Ratio returns a response time over the usual one, 0 if that is not known.
func (us *Usual) Ratio(took time.Duration) float64 {
	usual := us.Time()
	if usual <= 0 {
		return 0
	}
	return float64(took) / float64(usual)
}

// Add adds the time of a response.
func (us *Usual) Add(took time.Duration) {
	value := math.Log(max(took, 100*time.Microsecond).Seconds())
	if us.samples == 0 {
		us.log = value
	}
	us.samples = min(us.samples+1, usualMemory)
	gain := 1 / float64(us.samples)
	step := min(max(value-us.log, -maxDeviation), maxDeviation)
	us.log += gain * step
	us.deviation += gain * (math.Abs(step) - us.deviation)
}

// Spread returns the standard deviation of the logarithms of response times, 0 if not
// known. It holds for a normal distribution with the observed mean deviation.
func (us *Usual) Spread() float64 {
	if us.samples < minUsualSamples {
		return 0
	}
	return us.deviation * math.Sqrt(math.Pi/2)
}
