package jpevent

import (
	"fmt"
	"testing"
	"time"
)

func at(sec int) time.Time {
	return time.Unix(int64(sec), 0)
}

func ExampleMerge() {
	hobart := []Event{{At: at(1), Instance: "h-1", Name: "takeover"}, {At: at(3), Instance: "h-1", Name: "warm"}}
	devonport := []Event{{At: at(1), Instance: "d-1", Name: "takeover"}, {At: at(2), Instance: "d-1", Name: "shed"}}
	for _, ev := range Merge(hobart, devonport) {
		fmt.Println(ev.At.Unix(), ev.Instance, ev.Name)
	}
	// Output:
	// 1 d-1 takeover
	// 1 h-1 takeover
	// 2 d-1 shed
	// 3 h-1 warm
}

// Guards against a log that grows without bound, and against losing or reordering
// the latest events when the ring buffer wraps.
func TestLogSince(t *testing.T) {
	rows := []struct {
		added, since, want int
	}{
		{0, 0, 0},
		{10, 0, 10},
		{10, 9, 1},
		{MaxEvents, 0, MaxEvents},
		{MaxEvents + 100, 0, MaxEvents},
		{MaxEvents + 100, MaxEvents, 100},
	}
	for _, row := range rows {
		var lg Log
		for sec := range row.added {
			lg.Add(Event{At: at(sec)})
		}
		events := lg.Since(at(row.since))
		if len(events) != row.want {
			t.Errorf("%+v: %d events", row, len(events))
		}
		for n, ev := range events {
			if want := at(row.added - row.want + n); !ev.At.Equal(want) {
				t.Fatalf("%+v: event %d is of %v, want %v", row, n, ev.At, want)
			}
		}
	}
}

// Guards against an order that differs between calls, and against events of the
// same time in the wrong order.
func TestMergeTies(t *testing.T) {
	var list []Event
	for n := range 100 {
		list = append(list, Event{At: at(1), Instance: "i", Name: fmt.Sprint(n)})
	}
	for n, ev := range Merge(list[:50], list[50:]) {
		if ev.Name != fmt.Sprint(n) {
			t.Fatalf("place %d has event %s", n, ev.Name)
		}
	}
}
