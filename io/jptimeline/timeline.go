// Package jptimeline keeps the events of an instance and asks its peers for
// theirs.
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

// AnswerTimeout is how long peers may take to answer.
const ResponseTimeout = 2 * time.Second

// Timeline holds the events of one instance and the questions to its peers. It
// is safe for concurrent use.
type Timeline struct {
	instance string
	send     func(peer string, msg any) error

	mu      sync.Mutex
	log     jpevent.Log
	lastID  uint64
	pending map[uint64]chan response
}

// answer is a peer's answer to a question for its events.
type response struct {
	from   string
	events []jpevent.Event
}

// New returns the time line of an instance, which sends messages to peers.
func New(instance string, send func(peer string, msg any) error) *Timeline {
	return &Timeline{instance: instance, send: send, pending: map[uint64]chan response{}}
}

// Add adds an event that happens now.
func (tl *Timeline) Add(part, name, subject, detail string) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.log.Add(jpevent.Event{
		At: time.Now(), Instance: tl.instance, Part: part, Name: name, Subject: subject, Detail: detail,
	})
}

// Collect returns the events of all instances in order of time, and the ids of
// those that did not answer. Peers that are dead are not asked; those of them
// that are listed are missing, perhaps beyond a partition.
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

// ask asks peers for their events and returns those of this instance.
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
		_ = tl.send(peer, jppeer.EventsRequest{ID: id, Since: since}) // who does not answer is missing
	}
	return own, responses
}

// Answer answers a peer's question.
func (tl *Timeline) HandleRequest(from string, rq jppeer.EventsRequest) {
	tl.mu.Lock()
	events := tl.log.Since(rq.Since)
	tl.mu.Unlock()
	_ = tl.send(from, jppeer.Events{ID: rq.ID, Events: events}) // the peer then lists us as missing
}

// Take takes in a peer's answer.
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
