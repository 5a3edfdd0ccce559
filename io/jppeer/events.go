package jppeer

import (
	"time"

	"jacinthpass/core/jpevent"
)

type wireEventsRequest struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Since int64 // nanoseconds since 1970
}

// wireEvents is an Events on the wire.
type wireEvents struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Events []wireEvent
}

type wireEvent struct {
	_        struct{} `cbor:",toarray"`
	At       int64    // nanoseconds since 1970
	Instance string
	Part     string
	Name     string
	Subject  string
	Detail   string
}

func eventsRequestToWire(er EventsRequest) wireEventsRequest {
	return wireEventsRequest{ID: er.ID, Since: timeToWire(er.Since)}
}

func eventsRequestFromWire(wire wireEventsRequest) (EventsRequest, error) {
	return EventsRequest{ID: wire.ID, Since: time.Unix(0, wire.Since)}, nil
}

// timeToWire returns a time as nanoseconds since 1970, and 0 for the zero time, for
// which the result of UnixNano is undefined.
func timeToWire(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func eventsToWire(ev Events) wireEvents {
	wire := wireEvents{ID: ev.ID, Events: make([]wireEvent, 0, len(ev.Events))}
	for _, one := range ev.Events {
		wire.Events = append(wire.Events, wireEvent{
			At:       timeToWire(one.At),
			Instance: one.Instance,
			Part:     one.Part,
			Name:     one.Name,
			Subject:  one.Subject,
			Detail:   one.Detail,
		})
	}
	return wire
}

func eventsFromWire(wire wireEvents) (Events, error) {
	ev := Events{ID: wire.ID}
	for _, one := range wire.Events {
		ev.Events = append(ev.Events, jpevent.Event{
			At:       time.Unix(0, one.At),
			Instance: one.Instance,
			Part:     one.Part,
			Name:     one.Name,
			Subject:  one.Subject,
			Detail:   one.Detail,
		})
	}
	return ev, nil
}
