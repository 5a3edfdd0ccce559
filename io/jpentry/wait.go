package jpentry

import (
	"context"
	"slices"
	"time"

	"jacinthpass/core/jpdispatch"
)

// releaseInterval is the time between two calls of Dispatcher.Release while flows wait
// and no packets arrive.
const releaseInterval = 10 * time.Millisecond

// keepWaiting keeps the SYN of a flow that waits. The caller holds mu.
func (en *Entry) keepWaiting(pk jpdispatch.Packet, data []byte) {
	en.waiting[jpdispatch.KeyOf(pk)] = slices.Clone(data)
	select {
	case en.flowsWait <- struct{}{}:
	default:
	}
}

// releasedSYN is a flow that waits no more, with the SYN that was kept.
type releasedSYN struct {
	jpdispatch.Released
	data []byte
}

// takeReleased returns the flows that wait no more. The caller holds mu.
func (en *Entry) takeReleased(now time.Time) []releasedSYN {
	released := en.dispatcher.Release(now)
	list := make([]releasedSYN, 0, len(released))
	for _, rl := range released {
		list = append(list, releasedSYN{rl, en.waiting[rl.Key]})
	}
	// A key may be released twice: a caller has reused its port for a flow that waited too.
	for _, rl := range released {
		delete(en.waiting, rl.Key)
	}
	return list
}

// finishReleased carries out the decisions on flows that wait no more.
func (en *Entry) finishReleased(list []releasedSYN) {
	if len(list) == 0 {
		return
	}
	en.mu.Lock()
	revision, age := en.directory.Revision(), time.Since(en.directory.CurrentAt())
	en.mu.Unlock()
	headroom := en.platform.Codec.Headroom()
	for _, rl := range list {
		dc := rl.Decision
		en.metrics.countRelease(dc)
		en.logDecision(rl.Packet, dc, revision, age)
		switch dc.Outcome {
		case jpdispatch.Forward:
			datagram := slices.Concat(make([]byte, headroom), rl.data)
			en.platform.Codec.ToServer(datagram, dc.Server)
			en.send(datagram, dc.Server.Address)
		case jpdispatch.Refuse:
			en.sendReset(dc.Reset)
		}
		if dc.Check.Server.ID != "" {
			en.checkServer(dc.Check)
		}
	}
}

// runReleases ends the waits of flows until ctx ends. It does nothing while none waits.
func (en *Entry) runReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.flowsWait:
		}
		for waiting := true; waiting && ctx.Err() == nil; {
			sleep(ctx, releaseInterval)
			now := time.Now()
			en.mu.Lock()
			en.observe(now)
			released := en.takeReleased(now)
			waiting = en.dispatcher.Waiting() > 0
			en.mu.Unlock()
			en.finishReleased(released)
		}
	}
}

// Outcomes of waits, the first index of metrics.waits.
const (
	waitBegun = iota
	waitPlaced
	waitRefused // at once, or after a wait
	waitDropped
	waitOutcomes
)

var waitOutcomeNames = [waitOutcomes]string{
	waitBegun: "begun", waitPlaced: "placed", waitRefused: "refused", waitDropped: "dropped",
}

// priorityLabels bounds the priorities that the metrics tell apart; the last one stands for
// all lower ones.
const priorityLabels = 8

// countWait counts the begin of a wait, or a refusal instead.
func (mt *metrics) countWait(pk jpdispatch.Packet, dc jpdispatch.Decision) {
	switch {
	case dc.Outcome == jpdispatch.Wait && pk.Ack == 0:
		mt.waits[waitBegun][priorityLabel(dc)].Add(1)
	case dc.Outcome == jpdispatch.Refuse && dc.Reason == jpdispatch.Overloaded:
		mt.waits[waitRefused][priorityLabel(dc)].Add(1)
	}
}

// countRelease counts the end of a wait.
func (mt *metrics) countRelease(dc jpdispatch.Decision) {
	mt.countDecision(dc)
	mt.waitTime.Add(int64(dc.Waited))
	outcome := waitDropped
	switch dc.Outcome {
	case jpdispatch.Forward:
		outcome = waitPlaced
	case jpdispatch.Refuse:
		outcome = waitRefused
	}
	mt.waits[outcome][priorityLabel(dc)].Add(1)
}

func priorityLabel(dc jpdispatch.Decision) int { return min(max(dc.Priority, 0), priorityLabels-1) }
