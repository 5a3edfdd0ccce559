package jpexperiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"jacinthpass/lab/jpcaller"
	"jacinthpass/lab/jpserver"
)

var testLoadStart = time.Unix(1000, 0)

func testRun() Run {
	at := func(seconds int) time.Time { return testLoadStart.Add(time.Duration(seconds) * time.Second) }
	return Run{
		Scenario: Scenario{
			Name: "test", Settings: []byte(testSettings), Duration: 20 * time.Second,
			Loads: []Load{{Service: "web", Standing: 4, Rate: 10}},
		},
		SteeringMethod: Owner, LoadStart: testLoadStart,
		BreaksAllowedSince: map[string]time.Time{"web-2": at(5)},
		Servers: []ServerResult{
			{Service: "web", Name: "web-1", Unchanged: true, Stats: jpserver.Stats{Connections: 3},
				Executions: []jpserver.Execution{{ID: 7, Count: 2}, {ID: 8, Count: 1}}},
			{Service: "web", Name: "web-2", Executions: []jpserver.Execution{{ID: 9, Count: 1}}},
			{Service: "web", Name: "web-3", Unchanged: true, Stats: jpserver.Stats{Connections: 1},
				Executions: []jpserver.Execution{{ID: 8, Count: 1}}},
		},
		Results: []jpcaller.Results{{
			Standing: jpcaller.Standing{Attempted: 4, Endings: []jpcaller.Ending{
				{Server: "web-2", Kind: jpcaller.Reset, At: at(4)}, // before breaks were allowed
				{Server: "web-2", Kind: jpcaller.Reset, At: at(6)},
				{Kind: jpcaller.Refused, At: at(6)},
			}},
			Requests: jpcaller.Requests{Attempted: 100, Unknown: 2, Endings: []jpcaller.Ending{
				{ID: 9, Kind: jpcaller.Silent, At: at(7)}, // executed on web-2
				{ID: 10, Kind: jpcaller.Silent, At: at(7)},
			}},
			Seconds: []jpcaller.Second{{Unix: 1001, Attempted: 50, Served: 40}, {Unix: 1002, Attempted: 50, Served: 50}},
		}},
	}
}

// Guards against counting a break as allowed before an event allows it, and against
// missing repeated executions on different servers.
func TestMeasure(t *testing.T) {
	rn := testRun()
	row := Measure(&rn)
	if row.Broken != 4 || row.Unexcused != 2 {
		t.Errorf("%d broken flows, %d of them not allowed; want 4, 2", row.Broken, row.Unexcused)
	}
	if row.Repeated != 2 {
		t.Errorf("%d repeated executions, want 2: request 7 on one server, 8 on two", row.Repeated)
	}
	if row.Connections != 1.5 || row.ServedMin != 0.8 || row.ServedMean != 0.9 {
		t.Errorf("connection imbalance %v, share served: minimum %v, mean %v; want 1.5, 0.8, 0.9", row.Connections, row.ServedMin, row.ServedMean)
	}
}

// Guards against a negative increase when an instance restarts and its counters
// start from zero.
func TestCounterIncrease(t *testing.T) {
	var samples []Sample
	for _, page := range []string{"100", "150", "", "20", "30"} {
		sp := Sample{Instances: map[string]Counters{}}
		if page != "" {
			text := `jacinthpass_control_sent_bytes_total{instance_id="h"} ` + page + "\nother 5\n"
			sp.Instances["h"], _ = parseMetrics(strings.NewReader(text))
		}
		samples = append(samples, sp)
	}
	if sum := counterIncrease(samples, "h", func(ct Counters) float64 { return ct.ControlSent }); sum != 80 {
		t.Errorf("increase %v, want 80", sum)
	}
}

// Guards against rows with fewer cells than the header, and against added latency
// that is computed against a run of another scenario.
func TestTable(t *testing.T) {
	rows := []Row{
		{Scenario: "a", Way: Owner, P50: 12 * time.Millisecond},
		{Scenario: "a", Way: Hash, P50: 10 * time.Millisecond},
		{Scenario: "b", Way: Owner, P50: 30 * time.Millisecond},
	}
	var sb strings.Builder
	if err := WriteCSV(&sb, rows); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(sb.String()), "\n")
	for ix, want := range []string{"added p50", ",2.0,", ",-,", ",-,"} {
		if !strings.Contains(lines[ix], want) || strings.Count(lines[ix], ",") < len(columns)-1 {
			t.Errorf("line %d: %s", ix, lines[ix])
		}
	}
	sb.Reset()
	if err := WriteMarkdown(&sb, rows); err != nil || strings.Count(sb.String(), "\n") != len(rows)+2 {
		t.Errorf("Markdown %q, %v", sb.String(), err)
	}
}

// Guards against an error when a run has no broken flows.
func TestWritePlot(t *testing.T) {
	rn := testRun()
	noBreaks := rn
	noBreaks.SteeringMethod, noBreaks.Results = Hash, nil
	path := filepath.Join(t.TempDir(), "plot.png")
	if err := WritePlot(path, []Run{rn, noBreaks}); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Size() < 1000 {
		t.Errorf("plot: %v, %v", info, err)
	}
}
