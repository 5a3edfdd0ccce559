package jpexperiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthpass/core/jpsettings"
	"jacinthpass/lab/jpcaller"
)

// Row holds the measurements of one run. Its field names are keys of details.json.
type Row struct {
	Scenario    string
	Way         string
	Seed        uint64
	Flows       int           // attempted
	Broken      int           // established connections and requests that ended without an answer
	Unexcused   int           // broken flows that no event allows to break
	Refused     int           // connection refused, so no request was executed
	Unanswered  int           // no answer to the SYN, so nothing was sent
	Unknown     int           // requests without an answer after the handshake; it is unknown whether they were executed
	Wrong       int           // answers or alerts with wrong content, out of order or of another flow
	Repeated    int           // executions after the first of requests that must not be repeated
	Overloads   int           // times that a cold server was overloaded
	Connections float64       // maximum divided by mean of the servers' open connections, 0 if there are none
	Requests    float64       // maximum divided by mean of the requests that servers executed
	ServedMin   float64       // lowest share of new flows served in one second, 0 to 1
	ServedMean  float64       // share of new flows served over the whole run
	ControlMax  float64       // control bytes sent per second by the instance that sends most
	ControlMean float64       // control bytes sent per second, mean over the instances
	P50, P99    time.Duration // latency of requests
	Packets     float64       // sent per second by all instances together
}

// minFlows is the lowest number of flows for a second to count in ServedMin.
const minFlows = 20

// Measure computes the row of a run.
func Measure(rn *Run) Row {
	row := Row{Scenario: rn.Scenario.Name, Way: rn.SteeringMethod, Seed: rn.Scenario.Seed}
	for ix := range rn.Results {
		row.addResults(&rn.Results[ix])
	}
	for _, br := range rn.Breaks() {
		row.Broken++
		if !br.Excused {
			row.Unexcused++
		}
	}
	for _, sr := range rn.Servers {
		row.Overloads += sr.Stats.Overloads
	}
	row.Repeated = rn.repeatedExecutions()
	row.Connections, row.Requests = rn.imbalance()
	row.setServed(rn.PerSecond())
	row.setControlTraffic(rn)
	row.P50, row.P99 = rn.latency()
	return row
}

func (row *Row) addResults(rs *jpcaller.Results) {
	sd, rq := &rs.Standing, &rs.Requests
	row.Flows += sd.Attempted + rq.Attempted
	row.Refused += sd.Refused + rq.Refused
	row.Unanswered += sd.Unanswered + rq.Unanswered
	row.Unknown += rq.Unknown
	row.Wrong += sd.Wrong + rq.Wrong
}

// Break is an established flow that ended without an answer or was interrupted.
type Break struct {
	At      time.Time
	Server  string // empty if unknown
	Excused bool   // an event allows it to break
	Ending  jpcaller.Ending
}

// Breaks returns the broken flows of a run.
func (rn *Run) Breaks() []Break {
	servers := map[uint64]string{}
	for _, sr := range rn.Servers {
		for _, ex := range sr.Executions {
			servers[ex.ID] = sr.Name
		}
	}
	var list []Break
	for ix := range rn.Results {
		for _, ends := range [][]jpcaller.Ending{rn.Results[ix].Standing.Endings, rn.Results[ix].Requests.Endings} {
			for _, end := range ends {
				if !isBreak(end.Kind) {
					continue
				}
				if end.Server == "" {
					end.Server = servers[end.ID]
				}
				since, ok := rn.BreaksAllowedSince[end.Server]
				list = append(list, Break{end.At, end.Server, ok && end.At.After(since), end})
			}
		}
	}
	return list
}

func isBreak(kind string) bool {
	return kind != jpcaller.Refused && kind != jpcaller.Unanswered && kind != jpcaller.Overtime
}

// repeatedExecutions counts executions after the first of requests that must not be
// repeated, on the same server or on several.
func (rn *Run) repeatedExecutions() int {
	tree, err := jpsettings.Parse("settings", rn.Scenario.Settings)
	if err != nil {
		return 0
	}
	repeatable := map[string]bool{}
	for _, sv := range tree.Services {
		repeatable[sv.Name] = sv.Repeatable
	}
	seen := map[uint64]bool{}
	sum := 0
	for _, sr := range rn.Servers {
		if repeatable[sr.Service] {
			continue
		}
		for _, ex := range sr.Executions {
			sum += ex.Count
			seen[ex.ID] = true
		}
	}
	return sum - len(seen)
}

// imbalance returns the maximum divided by the mean of the open connections and of
// the executed requests, for the service with the highest value. It includes only
// servers that no event changed.
func (rn *Run) imbalance() (connections, requests float64) {
	open, executed := map[string][]int{}, map[string][]int{}
	for _, sr := range rn.Servers {
		if sr.Unchanged {
			open[sr.Service] = append(open[sr.Service], sr.Stats.Connections)
			executed[sr.Service] = append(executed[sr.Service], len(sr.Executions))
		}
	}
	for _, ld := range rn.Scenario.Loads {
		if ld.Standing > 0 {
			connections = max(connections, maxOverMean(open[ld.Service]))
		}
		if ld.Rate > 0 {
			requests = max(requests, maxOverMean(executed[ld.Service]))
		}
	}
	return connections, requests
}

func maxOverMean(list []int) float64 {
	sum, largest := 0, 0
	for _, value := range list {
		sum += value
		largest = max(largest, value)
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(len(list)) / float64(sum)
}

// Second counts the new flows in one second of a run, and those that were served.
type Second struct {
	Offset int // seconds after the start of the load
	Flows  int
	Served int
}

// Share returns the share of the second's flows that were served, 0 to 1.
func (sc Second) Share() float64 { return float64(sc.Served) / float64(max(sc.Flows, 1)) }

// PerSecond returns the counts of each second over all services.
func (rn *Run) PerSecond() []Second {
	list := make([]Second, int(rn.Scenario.Duration/time.Second)+1)
	for ix := range list {
		list[ix].Offset = ix
	}
	for ix := range rn.Results {
		for _, sc := range rn.Results[ix].Seconds {
			at := int(sc.Unix - rn.LoadStart.Unix())
			if at >= 0 && at < len(list) {
				list[at].Flows += sc.Attempted + sc.Connects
				list[at].Served += sc.Served + sc.Established
			}
		}
	}
	return list
}

func (row *Row) setServed(list []Second) {
	flows, served := 0, 0
	row.ServedMin = 1
	for _, sc := range list {
		flows += sc.Flows
		served += sc.Served
		if sc.Flows >= minFlows {
			row.ServedMin = min(row.ServedMin, sc.Share())
		}
	}
	row.ServedMean = Second{Flows: flows, Served: served}.Share()
}

func (row *Row) setControlTraffic(rn *Run) {
	if len(rn.Samples) < 2 {
		return
	}
	seconds := rn.Samples[len(rn.Samples)-1].At.Sub(rn.Samples[0].At).Seconds()
	ids := map[string]bool{}
	for _, sp := range rn.Samples {
		for id := range sp.Instances {
			ids[id] = true
		}
	}
	for id := range ids {
		rate := counterIncrease(rn.Samples, id, func(ct Counters) float64 { return ct.ControlSent }) / seconds
		row.ControlMax = max(row.ControlMax, rate)
		row.ControlMean += rate / float64(len(ids))
		row.Packets += counterIncrease(rn.Samples, id, func(ct Counters) float64 { return ct.Packets }) / seconds
	}
}

// latency returns the median and the 99th percentile of the latency of all requests.
func (rn *Run) latency() (p50, p99 time.Duration) {
	var sum *hdrhistogram.Histogram
	for ix := range rn.Results {
		hg, err := hdrhistogram.Decode(rn.Results[ix].Requests.Latency.Encoded)
		if err != nil || hg.TotalCount() == 0 {
			continue
		}
		if sum == nil {
			sum = hg
			continue
		}
		sum.Merge(hg)
	}
	if sum == nil {
		return 0, 0
	}
	quantile := func(q float64) time.Duration { return time.Duration(sum.ValueAtQuantile(q)) * time.Microsecond }
	return quantile(50), quantile(99)
}
