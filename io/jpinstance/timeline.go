package jpinstance

import (
	"context"
	"time"

	"jacinthpass/io/jpoperator"
)

// Timeline returns the events of all instances at or after since, sorted by time.
func (in *Instance) Timeline(ctx context.Context, since time.Time) (jpoperator.Timeline, error) {
	in.control.mu.Lock()
	view := in.control.view
	in.control.mu.Unlock()
	events, missing := in.timeline.Collect(ctx, view, since)
	return jpoperator.Timeline{Events: events, Missing: missing}, nil
}
