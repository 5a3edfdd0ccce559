package jpexperiment

import (
	"encoding/json"
	"os"
	"time"

	"jacinthpass/lab/jpserver"
)

// details are the measurements of a run that the table omits, for diagnosis. The
// field names are the keys of details.json.
type details struct {
	Row      Row
	Began    time.Time
	Events   []string
	Problems []string
	Breaks   []Break
	Seconds  []Second
	Drops    map[string]float64 // sum over all instances, by reason
	Control  map[string]float64 // control bytes sent per second, by instance
	Received map[string]float64 // control bytes received per second, by instance
	Servers  []jpserver.Stats
	Refusals map[string]int // endings that are not breaks, by service, kind and second
}

// WriteDetails writes the details of a run as JSON.
func WriteDetails(path string, rn *Run) error {
	dt := details{
		Row: Measure(rn), Began: rn.LoadStart, Breaks: rn.Breaks(), Seconds: rn.PerSecond(),
		Drops: map[string]float64{}, Control: map[string]float64{}, Received: map[string]float64{},
		Refusals: map[string]int{},
	}
	for _, mk := range rn.Executed {
		dt.Events = append(dt.Events, mk.At.Sub(rn.LoadStart).Round(time.Millisecond).String()+" "+mk.Event.String())
	}
	for _, err := range rn.EventErrors {
		dt.Problems = append(dt.Problems, err.Error())
	}
	for _, sr := range rn.Servers {
		dt.Servers = append(dt.Servers, sr.Stats)
	}
	dt.addCounters(rn)
	for ix := range rn.Results {
		rs := &rn.Results[ix]
		for _, end := range append(rs.Standing.Endings, rs.Requests.Endings...) {
			if !isBreak(end.Kind) {
				dt.Refusals[rs.Name+" "+end.Kind+" at "+end.At.Sub(rn.LoadStart).Truncate(time.Second).String()]++
			}
		}
	}
	text, err := json.MarshalIndent(dt, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

func (dt *details) addCounters(rn *Run) {
	if len(rn.Samples) < 2 {
		return
	}
	last := rn.Samples[len(rn.Samples)-1]
	seconds := last.At.Sub(rn.Samples[0].At).Seconds()
	for id, ct := range last.Instances {
		dt.Control[id] = counterIncrease(rn.Samples, id, func(ct Counters) float64 { return ct.ControlSent }) / seconds
		dt.Received[id] = counterIncrease(rn.Samples, id, func(ct Counters) float64 { return ct.ControlReceived }) / seconds
		for why, count := range ct.Drops {
			dt.Drops[why] += count
		}
	}
}
