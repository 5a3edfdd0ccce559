package jpinstance

import (
	"testing"
	"time"

	"jacinthpass/core/jpsteering"
)

// Guards against a flood of refused flows that displaces other events in the
// timeline, and against events that use up the limit of another kind or service.
func TestEventLimiter(t *testing.T) {
	var el eventLimiter
	now := time.Unix(1_790_000_000, 0)
	refused := eventKind{jpsteering.EventRefused, "order_desk"}
	allowed := 0
	for range 1000 {
		if el.allow(now, refused) {
			allowed++
		}
	}
	rows := []struct {
		name string
		got  bool
		want bool
	}{
		{"same kind, same second", el.allow(now.Add(999*time.Millisecond), refused), false},
		{"other kind", el.allow(now, eventKind{jpsteering.EventTakeover, "order_desk"}), true},
		{"other service", el.allow(now, eventKind{jpsteering.EventRefused, "catalogue"}), true},
		{"next second", el.allow(now.Add(time.Second), refused), true},
	}
	for _, row := range rows {
		if row.got != row.want {
			t.Errorf("%s: allowed %t", row.name, row.got)
		}
	}
	for range 2 * maxFlowEventsPerSecond {
		if !el.allow(now, eventKind{jpsteering.EventTakeover, "order_desk"}) {
			t.Fatal("event of a server was omitted")
		}
	}
	if allowed != maxFlowEventsPerSecond {
		t.Errorf("%d events were allowed in one second", allowed)
	}
}
