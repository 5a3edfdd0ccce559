package jpcaller

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"

	"jacinthpass/lab/jpmessage"
)

// readBuffer is the size in bytes of the buffer of each connection. It is small
// because a process holds thousands of connections.
const readBuffer = 512

// addStanding starts n more standing connections at the rate of conf.Ramp.
func (cl *Callers) addStanding(n int) {
	if n <= 0 {
		return
	}
	cl.mu.Lock()
	first := cl.standingCount
	cl.standingCount += n
	cl.mu.Unlock()
	begin := time.Now()
	cl.standingWG.Go(func() {
		for i := range n {
			if cl.conf.Ramp > 0 {
				at := begin.Add(time.Duration(float64(i) / cl.conf.Ramp * float64(time.Second)))
				if !sleepUntil(cl.arrivalsCtx, at) {
					return
				}
			}
			stream := uint64(first + i + 16)
			cl.standingWG.Go(func() { cl.maintainStanding(cl.newRand(stream)) })
		}
	})
}

// maintainStanding runs a standing connection. If conf.Reopen is set, it opens a
// new one whenever it ends.
func (cl *Callers) maintainStanding(rng *rand.Rand) {
	for {
		cl.runStanding(rng)
		if !cl.conf.Reopen || !sleepUntil(cl.arrivalsCtx, time.Now().Add(reopenDelay)) {
			return
		}
	}
}

// standingConn is one standing connection.
type standingConn struct {
	cl           *Callers
	tcp          *gonet.TCPConn
	ending       Ending
	ctx          context.Context
	fail         context.CancelCauseFunc
	answers      chan jpmessage.Reply
	lastSequence uint64
	lastAlert    time.Time // at first the time at which reading starts
}

// breakError is the reason why a standing connection broke.
type breakError struct{ kind, detail string }

func (br breakError) Error() string {
	return br.kind + ": " + br.detail
}

func (cl *Callers) runStanding(rng *rand.Rand) {
	attemptedAt := time.Now()
	cl.results.update(func(res *Results) {
		res.Standing.Attempted++
		cl.results.secondFor(attemptedAt).Connects++
	})
	sd := &standingConn{cl: cl, ending: Ending{ID: cl.lastID.Add(1)}, answers: make(chan jpmessage.Reply, 1)}
	tc, local, err := cl.dial()
	sd.ending.Caller = local.String()
	if err != nil {
		if cl.ctx.Err() == nil {
			sd.recordNotOpened(classifyDialError(err), err.Error())
		}
		return
	}
	sd.tcp = tc
	sd.ctx, sd.fail = context.WithCancelCause(cl.ctx)
	stop := context.AfterFunc(sd.ctx, func() { tc.Close() })
	defer stop()
	defer sd.fail(nil)
	if br, ok := sd.subscribe(); !ok {
		if cl.ctx.Err() == nil {
			sd.recordNotOpened(br.kind, br.detail)
		}
		return
	}
	cl.results.update(func(res *Results) {
		res.Standing.Established++
		res.Standing.Open++
		res.Standing.ByServer[sd.ending.Server]++
		cl.results.secondFor(attemptedAt).Established++
	})
	asksDone := make(chan struct{})
	go func() {
		defer close(asksDone)
		sd.runAsks(rng)
	}()
	sd.read()
	<-asksDone
	sd.recordEnd()
}

// recordNotOpened counts a connection that failed before it was established.
func (sd *standingConn) recordNotOpened(kind, detail string) {
	sd.ending.Kind, sd.ending.Detail = kind, detail
	sd.cl.results.update(func(res *Results) {
		switch kind {
		case Refused:
			res.Standing.Refused++
		case Unanswered:
			res.Standing.Unanswered++
		default:
			sd.countBroken(res)
		}
		appendEnding(&res.Standing.Endings, sd.ending)
	})
}

func (sd *standingConn) countBroken(res *Results) {
	res.Standing.Broken++
	if sd.ending.Kind == Wrong {
		res.Standing.Wrong++
	}
}

// recordEnd counts the end of an established connection.
func (sd *standingConn) recordEnd() {
	cause := context.Cause(sd.ctx)
	br, ok := cause.(breakError)
	sd.cl.results.update(func(res *Results) {
		res.Standing.Open--
		res.Standing.ByServer[sd.ending.Server]--
		if !ok {
			return
		}
		sd.ending.Kind, sd.ending.Detail = br.kind, br.detail
		sd.countBroken(res)
		appendEnding(&res.Standing.Endings, sd.ending)
	})
}

// subscribe requests alerts and checks the answer.
func (sd *standingConn) subscribe() (breakError, bool) {
	req := jpmessage.Request{
		Kind: jpmessage.Subscribe, ID: sd.ending.ID, Caller: sd.ending.Caller,
		AlertMicros: sd.cl.conf.AlertEvery.Microseconds(),
	}
	enc := jpmessage.Encode(req)
	sd.tcp.SetDeadline(time.Now().Add(sd.cl.conf.AnswerTimeout))
	defer sd.tcp.SetDeadline(time.Time{})
	var rep jpmessage.Reply
	err := jpmessage.Write(sd.tcp, enc)
	if err == nil {
		_, err = jpmessage.Read(sd.tcp, &rep)
	}
	if err != nil {
		return breakError{classifyReadError(err), err.Error()}, false
	}
	sd.ending.Server = rep.Server
	kind, detail := checkReply(req, enc, rep)
	return breakError{kind, detail}, kind == ""
}

// read checks alerts and passes answers to askOnce, until the connection ends.
func (sd *standingConn) read() {
	rd := bufio.NewReaderSize(sd.tcp, readBuffer)
	sd.lastAlert = time.Now()
	for {
		if sd.cl.conf.AlertEvery > 0 {
			sd.tcp.SetReadDeadline(time.Now().Add(sd.cl.conf.SilentAfter))
		}
		var rep jpmessage.Reply
		if _, err := jpmessage.Read(rd, &rep); err != nil {
			sd.fail(breakError{classifyReadError(err), err.Error()})
			return
		}
		if err := sd.handle(rep); err != nil {
			sd.fail(err)
			return
		}
	}
}

func (sd *standingConn) handle(rep jpmessage.Reply) error {
	if rep.Server != sd.ending.Server {
		return breakError{Wrong, "message from server " + rep.Server}
	}
	if rep.Kind != jpmessage.Alert {
		select {
		case sd.answers <- rep:
			return nil
		default:
			return breakError{Wrong, "answer without a request"}
		}
	}
	if rep.ID != sd.ending.ID || rep.Sequence != sd.lastSequence+1 {
		return breakError{Wrong, fmt.Sprintf("alert %d for id %d after alert %d for id %d", rep.Sequence, rep.ID, sd.lastSequence, sd.ending.ID)}
	}
	sd.lastSequence = rep.Sequence
	now := time.Now()
	sd.cl.results.update(func(res *Results) {
		res.Standing.Alerts++
		recordDuration(sd.cl.results.alertGap, now.Sub(sd.lastAlert))
	})
	sd.lastAlert = now
	return nil
}

// runAsks sends requests over the connection at random intervals, one at a time.
func (sd *standingConn) runAsks(rng *rand.Rand) {
	if sd.cl.conf.AskEvery <= 0 {
		return
	}
	for {
		pause := time.Duration(rng.ExpFloat64() * float64(sd.cl.conf.AskEvery))
		if !sleepUntil(sd.ctx, time.Now().Add(pause)) {
			return
		}
		if err := sd.askOnce(); err != nil {
			sd.fail(err)
			return
		}
	}
}

func (sd *standingConn) askOnce() error {
	req := jpmessage.Request{
		Kind: jpmessage.Ask, ID: sd.cl.lastID.Add(1), Caller: sd.ending.Caller,
		Size: sd.cl.conf.Size, WorkMicros: sd.cl.conf.Work.Microseconds(),
	}
	enc := jpmessage.Encode(req)
	sd.cl.results.update(func(res *Results) { res.Standing.Asks++ })
	timer := time.NewTimer(sd.cl.conf.AnswerTimeout)
	defer timer.Stop()
	if err := jpmessage.Write(sd.tcp, enc); err != nil {
		return breakError{classifyReadError(err), err.Error()}
	}
	select {
	case rep := <-sd.answers:
		if kind, detail := checkReply(req, enc, rep); kind != "" {
			return breakError{kind, detail}
		}
	case <-timer.C:
		return breakError{Silent, "no answer to a request"}
	case <-sd.ctx.Done():
		return nil
	}
	sd.cl.results.update(func(res *Results) { res.Standing.Answered++ })
	return nil
}
