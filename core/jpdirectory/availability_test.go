package jpdirectory

import (
	"testing"
	"time"
)

// Guards against an outage of the store that goes unnoticed because an observation from
// before it reaches further back than the latest one.
func TestStoreUpSince(t *testing.T) {
	span := func(from, to int) Availability { return Availability{atSecond(from), atSecond(to)} }
	rows := []struct {
		name         string
		currentAt    int
		observations []Availability
		want         int
	}{
		{"none", 31, nil, 31},
		{"one", 31, []Availability{span(5, 31)}, 5},
		{"before and after an outage", 31, []Availability{span(5, 27), span(30, 31)}, 30},
		{"the other order", 31, []Availability{span(30, 31), span(5, 27)}, 30},
		{"overlapping", 31, []Availability{span(5, 30), span(29, 31)}, 5},
		{"overlapping in a chain", 31, []Availability{span(5, 10), span(29, 31), span(9, 29)}, 5},
		{"of a peer that has just started", 31, []Availability{span(31, 31), span(5, 30)}, 31},
		{"directory newer than all", 31, []Availability{span(5, 29)}, 31},
		{"directory slightly newer", 31, []Availability{span(5, 30)}, 5},
	}
	for _, row := range rows {
		if got := StoreUpSince(atSecond(row.currentAt), row.observations); !got.Equal(atSecond(row.want)) {
			t.Errorf("%s: up since %v, want %v", row.name, got.Sub(start), time.Duration(row.want)*time.Second)
		}
	}
}
