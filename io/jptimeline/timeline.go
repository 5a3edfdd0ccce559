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
const AnswerTimeout = 2 * time.Second

// Timeline holds the events of one instance and the questions to its peers. It
// is safe for concurrent use.
type Timeline struct {
	instance string
	send     func(peer string, msg any) error

	mu      sync.Mutex
	log     jpevent.Log
	next    uint64
	answers map[uint64]chan answer
}

// answer is a peer's answer to a question for its events.
type answer struct {
	from   string
	events []jpevent.Event
}

// New returns the time line of an instance, which sends messages to peers.
func New(instance string, send func(peer string, msg any) error) *Timeline {
	return &Timeline{instance: instance, send: send, answers: map[uint64]chan answer{}}
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
	asked, missing := tl.peers(view)
	own, answers := tl.ask(asked, since)
	ctx, cancel := context.WithTimeout(ctx, AnswerTimeout)
	defer cancel()
	lists := [][]jpevent.Event{own}
	heard := map[string]bool{}
	for len(heard) < len(asked) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case an := <-answers:
			heard[an.from] = true
			lists = append(lists, an.events)
		}
	}
	for _, id := range asked {
		if !heard[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return jpevent.Merge(lists...), missing
}

func (tl *Timeline) peers(view jpmember.View) (asked, missing []string) {
	for _, mb := range view.Members {
		switch {
		case mb.ID == tl.instance:
		case mb.State != jpmember.Dead:
			asked = append(asked, mb.ID)
		case mb.Listed:
			missing = append(missing, mb.ID)
		}
	}
	return asked, missing
}

// ask asks peers for their events and returns those of this instance.
func (tl *Timeline) ask(peers []string, since time.Time) ([]jpevent.Event, chan answer) {
	answers := make(chan answer, len(peers))
	tl.mu.Lock()
	tl.next++
	id := tl.next
	tl.answers[id] = answers
	own := tl.log.Since(since)
	tl.mu.Unlock()
	time.AfterFunc(AnswerTimeout, func() {
		tl.mu.Lock()
		defer tl.mu.Unlock()
		delete(tl.answers, id)
	})
	for _, peer := range peers {
		_ = tl.send(peer, jppeer.EventsRequest{ID: id, Since: since}) // who does not answer is missing
	}
	return own, answers
}

// Answer answers a peer's question.
func (tl *Timeline) Answer(from string, rq jppeer.EventsRequest) {
	tl.mu.Lock()
	events := tl.log.Since(rq.Since)
	tl.mu.Unlock()
	_ = tl.send(from, jppeer.Events{ID: rq.ID, Events: events}) // the peer then lists us as missing
}

// Take takes in a peer's answer.
func (tl *Timeline) Take(from string, ev jppeer.Events) {
	tl.mu.Lock()
	answers := tl.answers[ev.ID]
	tl.mu.Unlock()
	if answers == nil {
		return
	}
	select {
	case answers <- answer{from, ev.Events}:
	default:
	}
}
