package jpdirectory

import "time"

const (
	// maxOvertaken is by how much a message may be older than one that was received
	// before it, on another connection. Connections that carry nothing for as long end.
	maxOvertaken = 5 * time.Second

	// transitWindow is for how long a message counts as one that may have been the
	// fastest of its peer. Clocks drift apart by a millisecond at most in it.
	transitWindow = 10 * time.Second
)

// Transits measures for how long messages of peers have been on their way, by how much they
// took longer than the fastest one of the same peer. Each carries the reading of a clock of
// its sender that is never set, such as the time since the start of the process. Clocks of
// different machines need not agree. K identifies peers.
//
// The first message of a peer counts as the fastest one, so its delay is not noticed.
//
// A sender that has been suspended or has started again seems slower for up to twice
// transitWindow, so that what it says counts as older than it is.
type Transits[K comparable] struct {
	peers map[K]*transit
}

type transit struct {
	start          time.Time // of the receiver's readings
	lowest         time.Duration
	previousLowest time.Duration // of the window before
	windowEnd      time.Time
	lastReading    time.Duration
	lastReceivedAt time.Time
}

// Delay returns for how long a message received now was on its way, not counting what the
// fastest one takes. reading is that of the sender's clock.
func (ts *Transits[K]) Delay(now time.Time, peer K, reading time.Duration) time.Duration {
	if ts.peers == nil {
		ts.peers = map[K]*transit{}
	}
	tr := ts.peers[peer]
	if tr == nil || reading < tr.lastReading-maxOvertaken {
		tr = &transit{start: now, lowest: -reading, previousLowest: -reading, windowEnd: now.Add(transitWindow)}
		ts.peers[peer] = tr
	}
	tr.lastReading, tr.lastReceivedAt = max(tr.lastReading, reading), now
	difference := now.Sub(tr.start) - reading
	if !now.Before(tr.windowEnd) {
		tr.previousLowest, tr.lowest, tr.windowEnd = tr.lowest, difference, now.Add(transitWindow)
	}
	tr.lowest = min(tr.lowest, difference)
	return difference - min(tr.lowest, tr.previousLowest)
}

// Expire forgets peers that have not been heard for a while.
func (ts *Transits[K]) Expire(now time.Time) {
	for peer, tr := range ts.peers {
		if now.Sub(tr.lastReceivedAt) >= 2*transitWindow {
			delete(ts.peers, peer)
		}
	}
}
