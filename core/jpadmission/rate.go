package jpadmission

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which a rate is averaged.
	rateWindow = time.Second

	// minRateWeight is the part of rateWindow that must have been observed for the rate
	// to be known.
	minRateWeight = 0.4
)

// rate is the moving average of the number of events per second. Its clock runs only
// while events are possible.
type rate struct {
	sum    float64 // of the weights of the events
	weight float64 // observed part of the window, 0 to 1
	at     time.Time
}

// advance moves the clock to now. counting says whether events were possible since the
// last call.
func (rt *rate) advance(now time.Time, counting bool) {
	elapsed := now.Sub(rt.at)
	if elapsed <= 0 {
		return
	}
	rt.at = now
	if !counting {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	rt.sum *= keep
	rt.weight = rt.weight*keep + 1 - keep
}

func (rt *rate) add() { rt.sum++ }

// perSecond returns the highest rate at which so few events are likely, and whether enough
// was observed to know it.
func (rt *rate) perSecond() (float64, bool) {
	if rt.weight < minRateWeight {
		return 0, false
	}
	return (rt.sum + 2*math.Sqrt(rt.sum+1)) / (rt.weight * rateWindow.Seconds()), true
}
