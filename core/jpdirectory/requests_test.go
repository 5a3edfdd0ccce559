package jpdirectory

import (
	"testing"
	"time"
)

// testProgress returns the progress at a revision of the first era, or the zero one.
func testProgress(number uint64) Progress {
	if number == 0 {
		return Progress{}
	}
	return Progress{Revision: rv(number)}
}

// Guards against starting instances that repeatedly request all records from their
// peers while they read the store themselves.
func TestRequestLimiter(t *testing.T) {
	type step struct {
		at              time.Duration
		failed          bool // the read of the store has just failed
		responded       bool // the store has just responded
		known, reported uint64
		remote          bool // the peer is in another data centre
		want            bool
	}
	rows := []struct {
		name  string
		steps []step
	}{
		{"nothing new", []step{{at: 0, known: 5, reported: 5}, {at: time.Second, known: 5, reported: 4}}},
		{"changes", []step{
			{at: 0, known: 5, reported: 6, want: true},
			{at: 200 * time.Millisecond, known: 5, reported: 6},
			{at: 300 * time.Millisecond, known: 5, reported: 6, want: true},
		}},
		{"read of the store is slow", []step{
			{at: 100 * time.Millisecond, reported: 6},
			{at: 400 * time.Millisecond, reported: 6, want: true},
			{at: 1300 * time.Millisecond, reported: 6},
			{at: 1400 * time.Millisecond, reported: 6, want: true},
		}},
		{"read of the store fails", []step{
			{at: 0, reported: 6},
			{at: 10 * time.Millisecond, failed: true, reported: 6, remote: true, want: true},
		}},
		{"another data centre, while the store does not respond", []step{
			{at: 0, failed: true, known: 5, reported: 6, remote: true, want: true},
			{at: 400 * time.Millisecond, responded: true, known: 6, reported: 7, remote: true},
		}},
		{"another data centre, while peers of this one help", []step{
			{at: 0, known: 5, reported: 6, remote: true},
			{at: 400 * time.Millisecond, known: 5, reported: 7, remote: true},
			{at: 450 * time.Millisecond, known: 6, reported: 7, remote: true},
			{at: 900 * time.Millisecond, known: 6, reported: 7, remote: true},
			{at: 910 * time.Millisecond, known: 6, reported: 7, want: true},
		}},
		{"another data centre, without help", []step{
			{at: 0, known: 5, reported: 6, remote: true},
			{at: 499 * time.Millisecond, known: 5, reported: 6, remote: true},
			{at: 500 * time.Millisecond, known: 5, reported: 6, remote: true, want: true},
		}},
	}
	for _, row := range rows {
		rl := NewRequestLimiter(start)
		for _, st := range row.steps {
			if st.failed {
				rl.StoreReadFailed()
			}
			if st.responded {
				rl.StoreResponded()
			}
			if got := rl.Allow(start.Add(st.at), testProgress(st.known), testProgress(st.reported), !st.remote); got != st.want {
				t.Errorf("%s: request after %v: %t, want %t", row.name, st.at, got, st.want)
			}
		}
	}
}
