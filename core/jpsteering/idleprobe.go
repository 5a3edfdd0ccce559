package jpsteering

import (
	"time"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

// A flow is probed before its idle_probe time has passed if one end has sent
// unansweredToProbe segments and the other end has sent nothing for unansweredTime.
const (
	unansweredToProbe = 3
	unansweredTime    = time.Second
)

// requestIdleProbe is the idle time after which a request that occupies a slot is
// probed. If only the previous owner of its server saw the end of the request, the
// slot would otherwise stay occupied for idle_probe, and the server would get fewer
// flows than it has room for.
const requestIdleProbe = 5 * time.Second

// A probe is resent within its round as long as an end has not answered, because the
// network may lose packets: with 10% loss on each of the three hops to an end and
// back, one probe in four goes unanswered. Linux answers the probes of a connection at
// most once every 500 ms.
const (
	probeRepeatInterval = 600 * time.Millisecond
	maxProbedFlows      = 4096 // flows whose probes are resent at the same time
)

// probedFlow is an open flow whose probes an end may not have answered yet.
type probedFlow struct {
	flow      jppacket.Flow
	nextProbe uint32 // when probes are resent next, in milliseconds since the Steerer's epoch
}

// visitOpen detects flows that one end, or a device on the path, no longer tracks. It
// probes both ends of an idle or stuck flow; an end that does not answer idleProbeTries
// rounds has lost the flow.
func (st *Steerer) visitOpen(now time.Time, nowMs uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) ([]Outcome, bool) {
	if en.probeRounds == 0 {
		return st.startProbes(nowMs, fl, en, out), true
	}
	if !en.isDue(nowMs) {
		return out, true
	}
	probingSince := en.dueAt - uint32(en.probeRounds)*uint32(idleProbeInterval/time.Millisecond)
	callerAnswered := int32(en.callerSeen-probingSince) >= 0
	serverAnswered := int32(en.serverSeen-probingSince) >= 0
	if callerAnswered && serverAnswered {
		en.probeRounds = 0
		en.unansweredSegments = 0
		return out, true
	}
	if !st.answersReliable(now.Add(-time.Duration(nowMs-probingSince)*time.Millisecond), en.server) {
		en.probeRounds = 0
		return st.probeBothEnds(nowMs, fl, en, out), true
	}
	if en.probeRounds >= idleProbeTries && !st.mayEndSilentFlow(now, en.server, callerAnswered) {
		en.probeRounds = 0
		en.unansweredSegments = 0
		en.callerSeen = nowMs
		return out, true
	}
	if en.probeRounds >= idleProbeTries {
		if !serverAnswered {
			out = st.recordUnanswered(now, en.server, out)
		}
		out = st.resetBoth(fl, en, out)
		out = append(out, Outcome{Kind: Record, Reason: EventFlowSilent, Service: en.server.service.cfg.Name, Server: en.server.cfg.Address})
		st.closeEntry(nowMs, en, false)
		return out, true
	}
	return st.probeBothEnds(nowMs, fl, en, out), true
}

// visitAdopted probes the server of an adopted flow to find out whether it holds the flow.
func (st *Steerer) visitAdopted(nowMs uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) ([]Outcome, bool) {
	if !en.isDue(nowMs) {
		return out, true
	}
	if en.probeRounds >= idleProbeTries {
		return out, false
	}
	en.probeRounds++
	en.dueAt = nowMs + uint32(idleProbeInterval/time.Millisecond)
	return append(out, probeForServer(fl, en)), true
}

// answersReliable reports whether the answers to all probes sent since a time must
// have reached this instance. They may not if the process was paused or cut off, or if
// another instance owned the server.
func (st *Steerer) answersReliable(since time.Time, sr *server) bool {
	return !since.Before(st.resumedAt) && !since.Before(st.membersStableSince) && !since.Before(sr.lastUnconfirmed)
}

// mayEndSilentFlow reports whether an end that did not answer can be assumed to have
// lost the flow. Otherwise it may be on the other side of a partition, or another
// instance may own the server by now and get the answers.
func (st *Steerer) mayEndSilentFlow(now time.Time, sr *server, callerAnswered bool) bool {
	if !st.ownerConfirmed(now, sr) {
		return false
	}
	return !st.partitioned || callerAnswered && st.inOwnDataCentre(sr) && !st.isolated(sr)
}

// startProbes starts probing a flow that has been idle for long enough or that one end
// keeps retransmitting on.
func (st *Steerer) startProbes(nowMs uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	limit := en.server.cfg.Limits.IdleProbe
	if en.server.service.cfg.Kind == jpsettings.Request && !en.has(flagSlotReleased) {
		limit = min(limit, requestIdleProbe)
	}
	idle := uint32(limit / time.Millisecond)
	bothIdle := nowMs-en.callerSeen >= idle && nowMs-en.serverSeen >= idle
	sinceAnswer := nowMs - en.callerSeen
	if !en.has(flagLastFromServer) {
		sinceAnswer = nowMs - en.serverSeen
	}
	retransmitting := en.unansweredSegments >= unansweredToProbe && sinceAnswer >= uint32(unansweredTime/time.Millisecond)
	if !bothIdle && !retransmitting {
		return out
	}
	if en.callerNext == 0 || en.serverNext == 0 {
		return out
	}
	return st.probeBothEnds(nowMs, fl, en, out)
}

// probeBothEnds starts a round of probes with a keepalive segment to each end, sent
// with the other end's address.
func (st *Steerer) probeBothEnds(nowMs uint32, fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	en.probeRounds++
	en.dueAt = nowMs + uint32(idleProbeInterval/time.Millisecond)
	if len(st.probedFlows) < maxProbedFlows {
		st.probedFlows = append(st.probedFlows, probedFlow{fl, nowMs + uint32(probeRepeatInterval/time.Millisecond)})
	}
	return append(out, probeForServer(fl, en), probeForCaller(fl, en))
}

// resendProbes resends probes to ends that have not answered since probing began.
func (st *Steerer) resendProbes(now time.Time, out []Outcome) []Outcome {
	nowMs := st.millis(now)
	list := st.probedFlows[:0]
	for _, pf := range st.probedFlows {
		en := st.flows.Get(pf.flow)
		if en == nil || en.phase != phaseOpen || en.probeRounds == 0 || en.isDue(nowMs) || en.server.cfg.Out {
			continue
		}
		probingSince := en.dueAt - uint32(en.probeRounds)*uint32(idleProbeInterval/time.Millisecond)
		callerAnswered := int32(en.callerSeen-probingSince) >= 0
		serverAnswered := int32(en.serverSeen-probingSince) >= 0
		if callerAnswered && serverAnswered {
			continue
		}
		if int32(nowMs-pf.nextProbe) >= 0 {
			pf.nextProbe += uint32(probeRepeatInterval / time.Millisecond)
			if !serverAnswered {
				out = append(out, probeForServer(pf.flow, en))
			}
			if !callerAnswered {
				out = append(out, probeForCaller(pf.flow, en))
			}
		}
		list = append(list, pf)
	}
	st.probedFlows = list
	return out
}

func probeForCaller(fl jppacket.Flow, en *flowEntry) Outcome {
	return Outcome{Kind: ToCaller, Packet: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: fl.Service, SourcePort: fl.ServicePort, Destination: fl.Caller, DestinationPort: fl.CallerPort,
		Flags: jppacket.ACK, Sequence: en.serverNext - 1, Acknowledgement: en.callerNext,
		HasTimestamps: en.has(flagTimestamps), TimestampValue: en.serverTimestamp, TimestampEcho: en.callerTimestamp,
	})}
}

func probeForServer(fl jppacket.Flow, en *flowEntry) Outcome {
	return Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: jppacket.AppendSegment(nil, jppacket.Segment{
		Source: fl.Caller, SourcePort: fl.CallerPort, Destination: fl.Service, DestinationPort: fl.ServicePort,
		Flags: jppacket.ACK, Sequence: en.callerNext - 1, Acknowledgement: en.serverNext,
		HasTimestamps: en.has(flagTimestamps), TimestampValue: en.callerTimestamp, TimestampEcho: en.serverTimestamp,
	})}
}
