package jpsteering

import (
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// repeatsToProbe segments of one end for repeatsTime without any packet of the
// other start the probes of a flow before it has been idle for long.
const (
	unansweredToProbe = 3
	unansweredTime    = time.Second
)

// requestProbe is the idle time of a request that occupies a slot. If only the
// previous owner of its server saw the end of the request, the slot would else
// stay occupied for idle_probe, and the server would be passed over.
const requestIdleProbe = 5 * time.Second

// A probe is repeated within its interval as long as an end has not answered,
// because the network may lose packets: at a loss of 10% on each of the three
// hops to an end and back, one probe in four goes unanswered. Linux answers a
// connection's probes no more often than every 500 ms.
const (
	probeRepeatInterval = 600 * time.Millisecond
	maxProbedFlows      = 4096 // flows whose probes are repeated at a time
)

// repeat is an open flow with probes that an end may not have answered yet.
type probedFlow struct {
	flow      jppacket.Flow
	nextProbe uint32 // next probes
}

// visitOpen looks for open flows that one end, or something on the path, has
// lost. Both ends are probed; one that does not answer has lost the flow.
func (st *Steerer) visitOpen(now time.Time, clock uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) ([]Outcome, bool) {
	if en.probeRounds == 0 {
		return st.startProbes(clock, fl, en, out), true
	}
	if !en.isDue(clock) {
		return out, true
	}
	begun := en.dueAt - uint32(en.probeRounds)*uint32(idleProbeInterval/time.Millisecond)
	callerAnswered := int32(en.callerSeen-begun) >= 0
	serverAnswered := int32(en.serverSeen-begun) >= 0
	if callerAnswered && serverAnswered {
		en.probeRounds = 0
		en.unansweredSegments = 0
		return out, true
	}
	if !st.answersReliable(now.Add(-time.Duration(clock-begun)*time.Millisecond), en.server) {
		en.probeRounds = 0
		return st.probeBothEnds(clock, fl, en, out), true
	}
	if en.probeRounds >= idleProbeTries && !st.mayEndSilentFlow(now, en.server, callerAnswered) {
		en.probeRounds = 0
		en.unansweredSegments = 0
		en.callerSeen = clock
		return out, true
	}
	if en.probeRounds >= idleProbeTries {
		if !serverAnswered {
			out = st.recordUnanswered(now, en.server, out)
		}
		out = st.resetBoth(fl, en, out)
		out = append(out, Outcome{Kind: Record, Reason: EventFlowSilent, Service: en.server.service.cfg.Name, Server: en.server.cfg.Address})
		st.closeEntry(clock, en, false)
		return out, true
	}
	return st.probeBothEnds(clock, fl, en, out), true
}

// visitAdopted asks the server of an adopted flow whether it holds the flow.
func (st *Steerer) visitAdopted(clock uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) ([]Outcome, bool) {
	if !en.isDue(clock) {
		return out, true
	}
	if en.probeRounds >= idleProbeTries {
		return out, false
	}
	en.probeRounds++
	en.dueAt = clock + uint32(idleProbeInterval/time.Millisecond)
	return append(out, probeForServer(fl, en)), true
}

// sound tells whether answers to probes since a time must have come here. This
// process may have been paused or cut off, or another instance was the owner.
func (st *Steerer) answersReliable(since time.Time, sr *server) bool {
	return !since.Before(st.resumedAt) && !since.Before(st.membersStableSince) && !since.Before(sr.lastUnconfirmed)
}

// judges tells whether an end that did not answer has lost the flow. It may
// also be beyond a partition, or another instance may own the server by now and
// get the answers.
func (st *Steerer) mayEndSilentFlow(now time.Time, sr *server, callerAnswered bool) bool {
	if !st.ownerConfirmed(now, sr) {
		return false
	}
	return !st.partitioned || callerAnswered && st.inOwnDataCentre(sr) && !st.isolated(sr)
}

// startProbes begins probing when a flow was idle for long enough or one end
// keeps retransmitting.
func (st *Steerer) startProbes(clock uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	limit := en.server.cfg.Limits.IdleProbe
	if en.server.service.cfg.Kind == jpsettings.Request && !en.has(flagSlotReleased) {
		limit = min(limit, requestIdleProbe)
	}
	idle := uint32(limit / time.Millisecond)
	quiet := clock-en.callerSeen >= idle && clock-en.serverSeen >= idle
	silent := clock - en.callerSeen
	if !en.has(flagLastFromServer) {
		silent = clock - en.serverSeen
	}
	stuck := en.unansweredSegments >= unansweredToProbe && silent >= uint32(unansweredTime/time.Millisecond)
	if !quiet && !stuck {
		return out
	}
	if en.callerNext == 0 || en.serverNext == 0 {
		return out
	}
	return st.probeBothEnds(clock, fl, en, out)
}

// probeBoth begins an interval with a keepalive segment to each end in the other
// end's name.
func (st *Steerer) probeBothEnds(clock uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	en.probeRounds++
	en.dueAt = clock + uint32(idleProbeInterval/time.Millisecond)
	if len(st.probedFlows) < maxProbedFlows {
		st.probedFlows = append(st.probedFlows, probedFlow{fl, clock + uint32(probeRepeatInterval/time.Millisecond)})
	}
	return append(out, probeForServer(fl, en), probeForCaller(fl, en))
}

// repeatProbes sends probes again to ends that have not answered in this interval.
func (st *Steerer) resendProbes(now time.Time, out []Outcome) []Outcome {
	clock := st.millis(now)
	list := st.probedFlows[:0]
	for _, rp := range st.probedFlows {
		en := st.flows.Get(rp.flow)
		if en == nil || en.phase != phaseOpen || en.probeRounds == 0 || en.isDue(clock) || en.server.cfg.Out {
			continue
		}
		begun := en.dueAt - uint32(en.probeRounds)*uint32(idleProbeInterval/time.Millisecond)
		callerAnswered := int32(en.callerSeen-begun) >= 0
		serverAnswered := int32(en.serverSeen-begun) >= 0
		if callerAnswered && serverAnswered {
			continue
		}
		if int32(clock-rp.nextProbe) >= 0 {
			rp.nextProbe += uint32(probeRepeatInterval / time.Millisecond)
			if !serverAnswered {
				out = append(out, probeForServer(rp.flow, en))
			}
			if !callerAnswered {
				out = append(out, probeForCaller(rp.flow, en))
			}
		}
		list = append(list, rp)
	}
	st.probedFlows = list
	return out
}

func probeForCaller(fl jppacket.Flow, en *flowEntry) Outcome {
	return Outcome{Kind: ToCaller, Packet: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: fl.Service, SourcePort: fl.Port, Destination: fl.Caller, DestinationPort: fl.CallerAt,
		Flags: jppacket.ACK, Sequence: en.serverNext - 1, Acknowledgement: en.callerNext,
		HasTimestamps: en.has(flagTimestamps), TimestampValue: en.serverTimestamp, TimestampEcho: en.callerTimestamp,
	})}
}

func probeForServer(fl jppacket.Flow, en *flowEntry) Outcome {
	return Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: fl.Caller, SourcePort: fl.CallerAt, Destination: fl.Service, DestinationPort: fl.Port,
		Flags: jppacket.ACK, Sequence: en.callerNext - 1, Acknowledgement: en.serverNext,
		HasTimestamps: en.has(flagTimestamps), TimestampValue: en.callerTimestamp, TimestampEcho: en.serverTimestamp,
	})}
}
