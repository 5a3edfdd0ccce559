package jpexperiment

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Sample holds the counters of all instances at one time.
type Sample struct {
	At        time.Time
	Instances map[string]Counters
}

// Counters are the counters of one instance since its start.
type Counters struct {
	ControlSent     float64 // bytes
	ControlReceived float64 // bytes
	Packets         float64 // sent, without notifications to instances
	Drops           map[string]float64
}

// sampleInterval exceeds the second that it takes until counters appear in the
// metrics.
const sampleInterval = 2 * time.Second

// sampleMetrics reads the metrics of all instances periodically until ctx ends.
func (rn *runner) sampleMetrics(ctx context.Context) {
	for {
		at := time.Now()
		sp := Sample{At: at, Instances: map[string]Counters{}}
		for _, in := range rn.cl.Instances {
			if ct, err := readMetrics(ctx, rn.cl.MetricsURL(in)); err == nil {
				sp.Instances[in.ID] = ct
			}
		}
		rn.mu.Lock()
		rn.run.Samples = append(rn.run.Samples, sp)
		rn.mu.Unlock()
		if sleep(ctx, time.Until(at.Add(sampleInterval))) != nil {
			return
		}
	}
}

// metricsTimeout is short, so that a paused instance does not delay reading the
// others.
const metricsTimeout = 500 * time.Millisecond

func readMetrics(ctx context.Context, url string) (Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Counters{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Counters{}, err
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

// parseMetrics parses the metrics of an instance in the Prometheus text format.
func parseMetrics(page io.Reader) (Counters, error) {
	ct := Counters{Drops: map[string]float64{}}
	sc := bufio.NewScanner(page)
	for sc.Scan() {
		name, rest, _ := strings.Cut(sc.Text(), "{")
		labels, number, ok := strings.Cut(rest, "} ")
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			continue
		}
		switch name {
		case "jacinthpass_control_sent_bytes_total":
			ct.ControlSent = value
		case "jacinthpass_control_received_bytes_total":
			ct.ControlReceived = value
		case "jacinthpass_outcomes_total":
			if !strings.Contains(labels, `outcome="tell"`) {
				ct.Packets += value
			}
		case "jacinthpass_drops_total":
			if value > 0 {
				ct.Drops[label(labels, "reason")] = value
			}
		}
	}
	return ct, sc.Err()
}

func label(labels, name string) string {
	_, rest, _ := strings.Cut(labels, name+`="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// counterIncrease sums the increase of a counter over the samples. A counter that
// decreases belongs to a new process, which counts from zero.
func counterIncrease(samples []Sample, id string, get func(Counters) float64) float64 {
	sum, last, seen := 0.0, 0.0, false
	for _, sp := range samples {
		ct, ok := sp.Instances[id]
		if !ok {
			continue
		}
		now := get(ct)
		switch {
		case !seen:
		case now < last:
			sum += now
		default:
			sum += now - last
		}
		last, seen = now, true
	}
	return sum
}
