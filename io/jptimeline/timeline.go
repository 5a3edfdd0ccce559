// Package jptimeline stores the events of an instance and requests those of its
// peers.
package jptimeline

import (
	"context"
	"slices"
	"sync"
	"time"

	"jacinthpass/core/jpevent"
	"jacinthpass/core/jpmember"
	"jacinthpass/io/jppeer"
)

// ResponseTimeout is how long peers may take to respond to a request for events.
const ResponseTimeout = 2 * time.Second

// Timeline holds the events of one instance and its pending requests to peers. It is
// safe for concurrent use.
type Timeline struct {
	instance string
	send     func(peer string, msg any) error

	mu      sync.Mutex
	log     jpevent.Log
	lastID  uint64
	pending map[uint64]chan response
}

// response holds the events that a peer has sent.
type response struct {
	from   string
	events []jpevent.Event
}

// New returns the timeline of an instance. It sends messages to peers with send.
func New(instance string, send func(peer string, msg any) error) *Timeline {
	return &Timeline{instance: instance, send: send, pending: map[uint64]chan response{}}
}

// Add adds an event with the current time.
func (tl *Timeline) Add(part, name, subject, detail string) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.log.Add(jpevent.Event{
		At: time.Now(), Instance: tl.instance, Part: part, Name: name, Subject: subject, Detail: detail,
	})
}

// Collect returns the events of all instances since a time, sorted by time, and the
// ids of the instances whose events are missing: peers that did not respond within
// ResponseTimeout, and dead peers that are still listed, which may be on the other
// side of a partition. No request is sent to dead peers.
func (tl *Timeline) Collect(ctx context.Context, view jpmember.View, since time.Time) (events []jpevent.Event, missing []string) {
	queried, missing := tl.selectPeers(view)
	own, responses := tl.requestEvents(queried, since)
	ctx, cancel := context.WithTimeout(ctx, ResponseTimeout)
	defer cancel()
	lists := [][]jpevent.Event{own}
	responded := map[string]bool{}
	for len(responded) < len(queried) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case rs := <-responses:
			responded[rs.from] = true
			lists = append(lists, rs.events)
		}
	}
	for _, id := range queried {
		if !responded[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return jpevent.Merge(lists...), missing
}

func (tl *Timeline) selectPeers(view jpmember.View) (queried, missing []string) {
	for _, mb := range view.Members {
		switch {
		case mb.ID == tl.instance:
		case mb.State != jpmember.Dead:
			queried = append(queried, mb.ID)
		case mb.Listed:
			missing = append(missing, mb.ID)
		}
	}
	return queried, missing
}

// requestEvents requests the events of peers and returns those of this instance.
func (tl *Timeline) requestEvents(peers []string, since time.Time) ([]jpevent.Event, chan response) {
	responses := make(chan response, len(peers))
	tl.mu.Lock()
	tl.lastID++
	id := tl.lastID
	tl.pending[id] = responses
	own := tl.log.Since(since)
	tl.mu.Unlock()
	time.AfterFunc(ResponseTimeout, func() {
		tl.mu.Lock()
		defer tl.mu.Unlock()
		delete(tl.pending, id)
	})
	for _, peer := range peers {
		_ = tl.send(peer, jppeer.EventsRequest{ID: id, Since: since}) // a peer without a response is reported as missing
	}
	return own, responses
}

// HandleRequest responds to a peer's request for events.
func (tl *Timeline) HandleRequest(from string, rq jppeer.EventsRequest) {
	tl.mu.Lock()
	events := tl.log.Since(rq.Since)
	tl.mu.Unlock()
	_ = tl.send(from, jppeer.Events{ID: rq.ID, Events: events}) // on an error, the peer reports this instance as missing
}

// HandleResponse handles a peer's response. It is ignored if no request with its id
// is pending.
func (tl *Timeline) HandleResponse(from string, ev jppeer.Events) {
	tl.mu.Lock()
	responses := tl.pending[ev.ID]
	tl.mu.Unlock()
	if responses == nil {
		return
	}
	select {
	case responses <- response{from, ev.Events}:
	default:
	}
}
