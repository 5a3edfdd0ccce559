package jpsteering

import (
	"math"
	"testing"
	"time"
)

// Guards against a flow whose times wrap around, 49.7 days after the start of the
// instance: the latest packet must win although its number is lower, and no time
// may look unset.
func TestTimesWrapAround(t *testing.T) {
	rows := []struct {
		name                   string
		callerSeen, serverSeen uint32
		nowMs, want            uint32
	}{
		{"before", 1000, 2000, 5000, 3000},
		{"caller seen after", 10, math.MaxUint32 - 89_999, 20, 10},
		{"server seen after", math.MaxUint32 - 89_999, 10, 20, 10},
		{"both seen before", math.MaxUint32 - 9, math.MaxUint32 - 19, 10, 20},
	}
	for _, row := range rows {
		en := &flowEntry{callerSeen: row.callerSeen, serverSeen: row.serverSeen}
		if idle := en.idleMs(row.nowMs); idle != row.want {
			t.Errorf("%s: idle for %d ms, want %d", row.name, idle, row.want)
		}
	}
	st := &Steerer{epoch: time.Unix(1_790_000_000, 0)}
	if ms := st.millis(st.epoch.Add((math.MaxUint32 + 1) * time.Millisecond)); ms == 0 {
		t.Error("the time of the wrap-around equals the value of unset times")
	}
}
