package jpdispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jacinthpass/core/jpdirectory"
)

// playSession is a caller with a number of requests, one after another.
type playSession struct {
	kind   *playKind
	rng    *rand.Rand // of its own, so that callers ask for the same whatever is decided
	caller netip.Addr
	centre int
	left   int
	flow   *playFlow // open and kept, or nil
	next   time.Time
}

// playRequest is a request with its tries.
type playRequest struct {
	*playSession
	begun     time.Time
	work      time.Duration
	tries     int
	runs      int
	done      bool
	refusedAt time.Time // its latest refusal
}

// playFlow is a flow of a caller.
type playFlow struct {
	syn      Packet
	in       *playInstance
	server   *playServer // that opened it
	request  *playRequest
	received uint32 // sequence number of the latest request that its server got
	sent     uint32
	answered uint32
	ended    bool
}

// startSessions starts callers at a kind's rate.
func (pl *loadPlay) startSessions(kd *playKind) {
	rate := pl.rate * kd.share * pl.factor[kd.Name] / float64(kd.long)
	pl.after(time.Duration(pl.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		pl.startSession(kd, kd.long)
		pl.startSessions(kd)
	})
}

func (pl *loadPlay) startSession(kd *playKind, requests int) {
	pl.sessions++
	rng := rand.New(rand.NewPCG(pl.seed, pl.sessions))
	ss := &playSession{kind: kd, rng: rng, centre: rng.IntN(len(pl.centres)), left: requests, next: pl.now}
	host := rng.IntN(playHosts * pl.size / len(pl.centres))
	ss.caller = netip.AddrFrom4([4]byte{100, byte(64 + ss.centre), byte(host >> 8), byte(host)})
	pl.nextRequest(ss)
}

// nextRequest starts the next request of a session at its time.
func (pl *loadPlay) nextRequest(ss *playSession) {
	if ss.left == 0 {
		pl.closeFlow(ss.flow)
		return
	}
	ss.left--
	pl.after(max(ss.next.Sub(pl.now), 0), func() {
		ss.next = ss.next.Add(randomTime(ss.rng, playGap/2, playGap*3/2))
		mean := float64(ss.kind.work) / math.Exp(ss.kind.sigma*ss.kind.sigma/2)
		rq := &playRequest{playSession: ss, begun: pl.now, work: time.Duration(mean * math.Exp(ss.kind.sigma*ss.rng.NormFloat64()))}
		pl.result.of(ss.kind).asked += pl.counted(rq)
		pl.pending += pl.counted(rq)
		pl.after(ss.kind.Timeout, func() { pl.finish(rq, "failed") })
		pl.try(rq)
	})
}

// try sends a request on the session's flow or on a new one.
func (pl *loadPlay) try(rq *playRequest) {
	if rq.done {
		return
	}
	rq.tries++
	if fl := rq.flow; fl != nil {
		fl.request = rq
		pl.sendRequest(fl, rq, rq.tries)
		return
	}
	pl.flows++
	caller := netip.AddrPortFrom(rq.caller, uint16(1024+pl.flows%60_000))
	local := pl.centres[rq.centre]
	syn := Packet{Caller: caller, Route: rq.kind.Address, Flags: SYN, Sequence: uint32(pl.flows) * 2654435769}
	fl := &playFlow{syn: syn, in: local[flowHash(syn, 0)%uint64(len(local))], request: rq, received: syn.Sequence, answered: 1000}
	rq.flow = fl
	for no, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		pl.after(delay, func() {
			if fl.server == nil && !fl.ended {
				syn.Ack = uint32(no)
				pl.send(fl, syn)
			}
		})
	}
	pl.after(playGiveUp, func() {
		if fl.server == nil && !fl.ended {
			fl.ended = true
			pl.retry(rq, fl, "failed")
		}
	})
}

// retry repeats a request on a new flow, or ends it.
func (pl *loadPlay) retry(rq *playRequest, fl *playFlow, outcome string) {
	if rq.flow == fl {
		rq.flow = nil
	}
	if rq.done || rq.tries >= playTries {
		pl.finish(rq, outcome)
		return
	}
	pl.after(playRetry, func() { pl.try(rq) })
}

func (pl *loadPlay) opened(fl *playFlow, sr *playServer) {
	if fl.ended || fl.server != nil {
		return
	}
	fl.server = sr
	pl.sendRequest(fl, fl.request, fl.request.tries)
}

// sendRequest sends the packet of a request, again while it is not answered.
func (pl *loadPlay) sendRequest(fl *playFlow, rq *playRequest, try int) {
	fl.sent += 300
	pk := Packet{
		Caller: fl.syn.Caller, Route: fl.syn.Route, Flags: ACK, Tag: tagOf(fl.server.cfg.Number), Sequence: fl.syn.Sequence + fl.sent - 299,
		Ack: fl.answered, Length: 300, Request: fmt.Sprint(fl.sent),
	}
	for _, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		pl.after(delay, func() {
			if fl.request == rq && rq.tries == try && !fl.ended && !rq.done {
				pl.send(fl, pk)
			}
		})
	}
}

// responded handles the response to a request, which may say that it was not run.
func (pl *loadPlay) responded(fl *playFlow, rq *playRequest, run bool) {
	if fl.ended || fl.request != rq {
		return
	}
	fl.request = nil
	fl.answered += 400
	pl.send(fl, Packet{
		Caller: fl.syn.Caller, Route: fl.syn.Route, Flags: ACK, Tag: tagOf(fl.server.cfg.Number), Sequence: fl.syn.Sequence + fl.sent + 1, Ack: fl.answered,
	})
	if !run {
		pl.closeFlow(fl)
		pl.retry(rq, fl, "rejected")
		return
	}
	pl.finish(rq, "")
}

func (pl *loadPlay) closeFlow(fl *playFlow) {
	if fl == nil || fl.ended {
		return
	}
	fl.ended = true
	if fl.server != nil {
		pl.send(fl, Packet{
			Caller: fl.syn.Caller, Route: fl.syn.Route, Flags: ACK | FIN, Tag: tagOf(fl.server.cfg.Number), Sequence: fl.syn.Sequence + fl.sent + 1, Ack: fl.answered,
		})
	}
}

// reset handles a reset of a flow.
func (pl *loadPlay) reset(fl *playFlow, reason Reason) {
	if fl.ended {
		return
	}
	fl.ended = true
	rq := fl.request
	switch {
	case rq == nil:
	case fl.server == nil:
		rq.refusedAt = pl.now
		pl.retry(rq, fl, "refused")
	case rq.kind.Kind == jpdirectory.Unrepeatable:
		pl.finish(rq, "failed")
	default:
		pl.retry(rq, fl, "failed")
	}
}

// send sends a packet to an instance of the caller's data centre.
func (pl *loadPlay) send(fl *playFlow, pk Packet) {
	in := fl.in
	if in.frozen && pl.now.Sub(in.frozenSince) > time.Second {
		ring := pl.centres[in.centre]
		in = ring[(slices.Index(ring, in)+1)%len(ring)]
	}
	sentAt := pl.now
	handle := func() {
		dc := in.Handle(pl.now, pk)
		pl.check(in, dc.Check)
		pl.act(in, fl, pk, dc, sentAt)
		pl.release(in)
	}
	pl.after(playHop, func() {
		if in.frozen {
			pk.ArrivedAfter = in.frozenSince
			if len(in.held) < 200 {
				in.held = append(in.held, handle)
			}
			return
		}
		handle()
	})
}

// release ends waits of an instance, and again soon while there are others.
func (pl *loadPlay) release(in *playInstance) {
	for _, rl := range in.Release(pl.now) {
		if act := in.waiting[rl.Key]; act != nil {
			delete(in.waiting, rl.Key)
			act(rl.Decision)
		}
	}
	if in.Waiting() == 0 || in.releasing {
		return
	}
	in.releasing = true
	pl.after(playRelease, func() {
		in.releasing = false
		if !in.frozen {
			pl.release(in)
		}
	})
}

// act takes the action that an instance has decided on.
func (pl *loadPlay) act(in *playInstance, fl *playFlow, pk Packet, dc Decision, sentAt time.Time) {
	switch dc.Outcome {
	case Forward:
		pl.after(playHop, func() { pl.receive(pl.byTag[dc.Server.Tag], fl, pk) })
	case Wait:
		in.waiting[keyOf(pk)] = func(dc Decision) { pl.act(in, fl, pk, dc, sentAt) }
	case Refuse:
		pl.result.refusals++
		pl.result.refusalWait = max(pl.result.refusalWait, pl.now.Sub(sentAt)-playHop)
		if dc.Reason == Overloaded && pl.roomFor(fl) {
			pl.result.refusedFree++
		}
		pl.after(playHop, func() { pl.reset(fl, dc.Reason) })
	case Reset:
		pl.result.resets[dc.Reason]++
		pl.after(playHop, func() { pl.reset(fl, dc.Reason) })
	case Drop:
		pl.result.drops[dc.Reason]++
	}
}

// roomFor reports whether a server that may take a flow has had a free slot for a while.
func (pl *loadPlay) roomFor(fl *playFlow) bool {
	return slices.ContainsFunc(pl.servers, func(sr *playServer) bool {
		target := func(tg jpdirectory.Target) bool { return tg.Service == sr.cfg.Service && tg.Weight > 0 }
		return slices.ContainsFunc(fl.request.kind.Targets, target) && sr.cfg.DataCentre == dataCentreName(fl.in.centre) &&
			!sr.down && !pl.now.Before(sr.cfg.WarmAt) && sr.busy < sr.cfg.Slots && pl.now.Sub(sr.freeSince) > playFreeFor
	})
}

// counted returns 1 for a request that is begun in the time that the result is about.
func (pl *loadPlay) counted(rq *playRequest) int {
	if rq.begun.Before(at(0).Add(playLead)) || !rq.begun.Before(at(0).Add(playLead+pl.length)) {
		return 0
	}
	return 1
}

// finish ends a request, without a response if an outcome is given.
func (pl *loadPlay) finish(rq *playRequest, outcome string) {
	if rq.done {
		return
	}
	rq.done = true
	if outcome != "" {
		pl.closeFlow(rq.flow)
		rq.flow = nil
	} else if rq.left == 0 || rq.kind.long == 1 {
		pl.closeFlow(rq.flow)
	}
	defer pl.nextRequest(rq.playSession)
	if pl.counted(rq) == 0 {
		return
	}
	pl.pending--
	kr, latency := pl.result.of(rq.kind), pl.now.Sub(rq.begun)
	switch outcome {
	case "":
		kr.tries += rq.tries
		kr.latencies = append(kr.latencies, latency)
		if latency <= rq.kind.TargetLatency {
			kr.inTime++
			pl.result.work += rq.work
		} else {
			kr.late++
		}
	case "refused":
		kr.refused++
	default:
		kr.failed++
	}
}
