package jpdirectory

import (
	"testing"
	"time"
)

// Guards against starting instances that fetch everything from their peers again
// and again while they read the store themselves.
func TestRequestLimiter(t *testing.T) {
	type step struct {
		at          time.Duration
		failed      bool // the own read, just before
		known, told uint64
		want        bool
	}
	rows := []struct {
		name  string
		steps []step
	}{
		{"nothing new", []step{{at: 0, known: 5, told: 5}, {at: time.Second, known: 5, told: 4}}},
		{"changes", []step{
			{at: 0, known: 5, told: 6, want: true},
			{at: 200 * time.Millisecond, known: 5, told: 6},
			{at: 300 * time.Millisecond, known: 5, told: 6, want: true},
		}},
		{"own read takes long", []step{
			{at: 100 * time.Millisecond, told: 6},
			{at: 400 * time.Millisecond, told: 6, want: true},
			{at: 1300 * time.Millisecond, told: 6},
			{at: 1400 * time.Millisecond, told: 6, want: true},
		}},
		{"own read fails", []step{
			{at: 0, told: 6},
			{at: 10 * time.Millisecond, failed: true, told: 6, want: true},
		}},
	}
	for _, row := range rows {
		rl := NewRequestLimiter(start)
		for _, st := range row.steps {
			if st.failed {
				rl.StoreReadFailed()
			}
			if got := rl.Allow(start.Add(st.at), st.known, st.told); got != st.want {
				t.Errorf("%s: request after %v: %t, want %t", row.name, st.at, got, st.want)
			}
		}
	}
}
