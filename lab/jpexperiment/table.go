package jpexperiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"time"
)

// columns are the columns of a table. The added latency is the difference from the
// run of the same scenario with the hash method, which keeps no state and steers
// each packet independently.
var columns = []struct {
	name string
	cell func(row, hash *Row) string
}{
	{"scenario", func(row, _ *Row) string { return row.Scenario }},
	{"way", func(row, _ *Row) string { return row.Way }},
	{"seed", func(row, _ *Row) string { return fmt.Sprint(row.Seed) }},
	{"flows", func(row, _ *Row) string { return fmt.Sprint(row.Flows) }},
	{"broken", func(row, _ *Row) string { return fmt.Sprint(row.Broken) }},
	{"broken, not allowed", func(row, _ *Row) string { return fmt.Sprint(row.Unexcused) }},
	{"refused", func(row, _ *Row) string { return fmt.Sprint(row.Refused) }},
	{"unanswered", func(row, _ *Row) string { return fmt.Sprint(row.Unanswered) }},
	{"unknown", func(row, _ *Row) string { return fmt.Sprint(row.Unknown) }},
	{"wrong", func(row, _ *Row) string { return fmt.Sprint(row.Wrong) }},
	{"repeated", func(row, _ *Row) string { return fmt.Sprint(row.Repeated) }},
	{"overloads", func(row, _ *Row) string { return fmt.Sprint(row.Overloads) }},
	{"connections max/mean", func(row, _ *Row) string { return ratio(row.Connections) }},
	{"requests max/mean", func(row, _ *Row) string { return ratio(row.Requests) }},
	{"served min %", func(row, _ *Row) string { return percent(row.ServedMin) }},
	{"served mean %", func(row, _ *Row) string { return percent(row.ServedMean) }},
	{"control max B/s", func(row, _ *Row) string { return fmt.Sprintf("%.0f", row.ControlMax) }},
	{"control mean B/s", func(row, _ *Row) string { return fmt.Sprintf("%.0f", row.ControlMean) }},
	{"p50 ms", func(row, _ *Row) string { return millis(row.P50) }},
	{"p99 ms", func(row, _ *Row) string { return millis(row.P99) }},
	{"added p50 ms", func(row, hash *Row) string {
		return addedLatency(row, hash, func(rw *Row) time.Duration { return rw.P50 })
	}},
	{"added p99 ms", func(row, hash *Row) string {
		return addedLatency(row, hash, func(rw *Row) time.Duration { return rw.P99 })
	}},
	{"packets/s", func(row, _ *Row) string { return fmt.Sprintf("%.0f", row.Packets) }},
}

func ratio(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value)
}

func percent(share float64) string { return fmt.Sprintf("%.2f", 100*share) }

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }

func addedLatency(row, hash *Row, get func(*Row) time.Duration) string {
	if hash == nil || row == hash {
		return "-"
	}
	return millis(get(row) - get(hash))
}

// tableCells returns the header and the rows of a table.
func tableCells(rows []Row) [][]string {
	var header []string
	for _, co := range columns {
		header = append(header, co.name)
	}
	list := [][]string{header}
	for ix := range rows {
		var line []string
		hash := hashRow(rows, rows[ix].Scenario)
		for _, co := range columns {
			line = append(line, co.cell(&rows[ix], hash))
		}
		list = append(list, line)
	}
	return list
}

func hashRow(rows []Row, scenario string) *Row {
	for ix := range rows {
		if rows[ix].Way == Hash && rows[ix].Scenario == scenario {
			return &rows[ix]
		}
	}
	return nil
}

// WriteMarkdown writes rows as a Markdown table.
func WriteMarkdown(out io.Writer, rows []Row) error {
	var sb strings.Builder
	for ix, line := range tableCells(rows) {
		fmt.Fprintf(&sb, "| %s |\n", strings.Join(line, " | "))
		if ix == 0 {
			fmt.Fprintf(&sb, "|%s\n", strings.Repeat("---|", len(line)))
		}
	}
	_, err := io.WriteString(out, sb.String())
	return err
}

// WriteCSV writes rows as comma-separated values with a header.
func WriteCSV(out io.Writer, rows []Row) error {
	return csv.NewWriter(out).WriteAll(tableCells(rows))
}
