package jpdirectory

import (
	"testing"
	"time"
)

// Guards against ages that peers state being taken for younger than they are, because the
// message waited on its way.
func TestTransits(t *testing.T) {
	type message struct{ sent, received, want time.Duration }
	const sec, ms = time.Second, time.Millisecond
	for _, ts := range []struct {
		name     string
		messages []message
	}{
		{"steady", []message{{sec, 5 * sec, 0}, {1500 * ms, 5500 * ms, 0}}},
		{"one waited", []message{{sec, 5 * sec, 0}, {1500 * ms, 8 * sec, 2500 * ms}, {4500 * ms, 8500 * ms, 0}}},
		{"the first one waited", []message{{sec, 8 * sec, 0}, {4500 * ms, 8500 * ms, 0}, {5 * sec, 12 * sec, 3 * sec}}},
		{"overtaken by a later one", []message{{sec, 5 * sec, 0}, {4 * sec, 8 * sec, 0}, {1500 * ms, 8 * sec, 2500 * ms}}},
		{"the sender was suspended", []message{{sec, 5 * sec, 0}, {1500 * ms, 9500 * ms, 4 * sec}, {9 * sec, 17 * sec, 4 * sec}, {14 * sec, 22 * sec, 4 * sec}, {24 * sec, 32 * sec, 0}}},
		{"the receiver was suspended", []message{{9 * sec, 10 * sec, 0}, {14 * sec, 11 * sec, 0}, {15 * sec, 12500 * ms, 500 * ms}}},
		{"the sender started again", []message{{60 * sec, 5 * sec, 0}, {sec, 9 * sec, 0}, {2 * sec, 11 * sec, sec}}},
		{"one waited after a long time", []message{{sec, 5 * sec, 0}, {30 * sec, 34 * sec, 0}, {31 * sec, 38 * sec, 3 * sec}}},
	} {
		var transits Transits[string]
		start := time.Unix(1_790_000_000, 0)
		for ix, ms := range ts.messages {
			if got := transits.Delay(start.Add(ms.received), "i-1", ms.sent); got != ms.want {
				t.Errorf("%s: message %d was %v on its way, want %v", ts.name, ix, got, ms.want)
			}
			transits.Expire(start.Add(ms.received))
		}
	}
}
