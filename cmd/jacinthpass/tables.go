package main

import (
	"fmt"
	"io"
	"net/netip"
	"sort"
	"strings"
	"text/tabwriter"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/io/jpoperator"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// table writes rows with aligned columns.
type table struct {
	tw *tabwriter.Writer
}

func newTable(out io.Writer, headings ...any) table {
	tb := table{tw: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	tb.row(headings...)
	return tb
}

// row adds one row. The last cell is not padded.
func (tb table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = orDash(fmt.Sprint(cell))
	}
	fmt.Fprintln(tb.tw, strings.Join(texts, "\t"))
}

// orDash returns "-" for an empty text, so that every cell is visible.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func printValues(out io.Writer, vals []jpoperator.Value) error {
	tb := newTable(out, "SECTION", "KEY", "VALUE", "SET BY", "LINE")
	for _, val := range vals {
		tb.row(val.Section, val.Key, val.Value, val.Level, lineText(val.Line))
	}
	return tb.tw.Flush()
}

func lineText(line int) string {
	if line == 0 {
		return ""
	}
	return fmt.Sprint(line)
}

func printEvents(out io.Writer, evs []jpevent.Event) error {
	tb := newTable(out, "TIME", "INSTANCE", "PART", "EVENT", "SUBJECT", "DETAIL")
	for _, ev := range evs {
		tb.row(ev.At.UTC().Format("2006-01-02T15:04:05.000Z"), ev.Instance, ev.Part, ev.Name, ev.Subject, ev.Detail)
	}
	return tb.tw.Flush()
}

func printStatus(out io.Writer, st jpoperator.Status) error {
	for _, print := range []func(io.Writer, jpoperator.Status) error{printSummary, printMembers, printOwned, printDrops} {
		if err := print(out, st); err != nil {
			return err
		}
	}
	return nil
}

func printSummary(out io.Writer, st jpoperator.Status) error {
	state := "running"
	if st.Leaving {
		state = "leaving"
	}
	tb := newTable(out, "INSTANCE", "DATA CENTRE", "STATE", "SETTINGS", "FLOWS", "CAPACITY")
	tb.row(st.ID, st.DataCentre, state, st.SettingsVersion, st.FlowEntries, st.FlowCapacity)
	return tb.tw.Flush()
}

func printMembers(out io.Writer, st jpoperator.Status) error {
	fmt.Fprintln(out)
	tb := newTable(out, "MEMBER", "DATA CENTRE", "STATE", "LISTED", "OPERATOR")
	for _, mb := range st.Members {
		tb.row(mb.ID, mb.DataCentre, jpoperator.MemberStateName(mb.State), yesNo(mb.Listed), operatorText(mb))
	}
	return tb.tw.Flush()
}

func operatorText(mb jpmember.Member) string {
	if mb.Addresses.Operator == (netip.AddrPort{}) {
		return ""
	}
	return mb.Addresses.Operator.String()
}

func printOwned(out io.Writer, st jpoperator.Status) error {
	if len(st.Owned) == 0 {
		return nil
	}
	fmt.Fprintln(out)
	tb := newTable(out, "OWNED SERVER", "SERVICE", "FLOWS", "LIMIT", "REQUESTS", "LIMIT", "STATE")
	for _, sv := range st.Owned {
		tb.row(sv.Server, sv.Service,
			sv.Flows, limitText(sv.ConnectionLimit, sv.Connections),
			sv.Requests, limitText(sv.RequestLimit, sv.Slots),
			stateText(sv))
	}
	return tb.tw.Flush()
}

// limitText returns the current limit and, if it differs, the limit of a warm server.
func limitText(now, warm int) string {
	if now == warm {
		return fmt.Sprint(now)
	}
	return fmt.Sprintf("%d of %d", now, warm)
}

func stateText(sv jpoperator.OwnedServer) string {
	states := []string{string(sv.State)}
	if sv.Draining {
		states = append(states, "draining")
	}
	if !sv.Responding {
		states = append(states, "not responding")
	}
	return strings.Join(states, ", ")
}

func printDrops(out io.Writer, st jpoperator.Status) error {
	if len(st.Drops) == 0 {
		return nil
	}
	fmt.Fprintln(out)
	tb := newTable(out, "DROPPED PACKETS", "COUNT")
	reasons := make([]string, 0, len(st.Drops))
	for reason := range st.Drops {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		tb.row(reason, st.Drops[reason])
	}
	return tb.tw.Flush()
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
