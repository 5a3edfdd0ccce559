package jpdispatch

import "time"

// CheckCause says what led to the check of a server.
type CheckCause uint8

// Causes of checks.
const (
	HandshakeOverdue CheckCause = iota // no packet followed a SYN
	SYNRepeated                        // a caller repeated its SYN
	DataRepeated                       // a caller repeated data
	SilentServerUsed                   // a packet arrived for a silent server
	SilentCheckDue                     // a silent server may have recovered
	EntryRemoved                       // the server left the directory and still has flows
	PeerReport                         // a peer has found it silent, or alive again
	FlowRefused                        // a flow was refused because all servers are silent
	CheckRepeated                      // the check before was inconclusive
)

var checkCauseNames = []string{
	HandshakeOverdue: "handshake_overdue", SYNRepeated: "syn_repeated", DataRepeated: "data_repeated",
	SilentServerUsed: "silent_server_used", SilentCheckDue: "silent_check_due", EntryRemoved: "entry_removed",
	PeerReport: "peer_report", FlowRefused: "flow_refused",
	CheckRepeated: "check_repeated",
}

// String returns the name of the cause in logs, in snake case.
func (cc CheckCause) String() string { return checkCauseNames[cc] }

// Check asks for connection attempts to a server, see Attempts. References show
// whether this instance's own link works.
type Check struct {
	Server     Endpoint
	Cause      CheckCause
	References []Endpoint // other servers; none if this instance knows no other
}

// CheckResult is the result of a check.
type CheckResult uint8

// Results of checks.
const (
	CheckInconclusive CheckResult = iota // no answer, but too few confirmed timeouts
	CheckAnswered                        // the server's host accepts connections
	CheckRefused                         // the host refused the connection
	CheckTimedOut                        // attempts timed out, and references answered
	checkResultCount
)

// CheckResults is the number of values of CheckResult.
const CheckResults = int(checkResultCount)

var checkResultNames = [CheckResults]string{
	CheckInconclusive: "inconclusive", CheckAnswered: "answered", CheckRefused: "refused", CheckTimedOut: "timed_out",
}

// String returns the name of the result in logs, in snake case.
func (cr CheckResult) String() string { return checkResultNames[cr] }

// beginCheck returns a check of a server and records that it is running.
func (ds *Dispatcher) beginCheck(sr *server, cause CheckCause) Check {
	sr.checking = true
	return Check{Server: sr.endpoint(), Cause: cause, References: ds.references(sr)}
}

// references returns the servers that show whether this instance's link works:
// the one in its data centre and the one in another data centre that were last
// seen alive. Servers that left the directory are used only in place of others.
func (ds *Dispatcher) references(suspect *server) []Endpoint {
	var local, remote *server
	for _, sr := range ds.servers {
		if sr == suspect || sr.silent || sr.cfg.Address == suspect.cfg.Address {
			continue
		}
		best := &remote
		if sr.cfg.DataCentre == ds.dataCentre {
			best = &local
		}
		if *best == nil || sr.present && !(*best).present || sr.present == (*best).present && sr.aliveAt.After((*best).aliveAt) {
			*best = sr
		}
	}
	var list []Endpoint
	for _, sr := range []*server{local, remote} {
		if sr != nil {
			list = append(list, sr.endpoint())
		}
	}
	return list
}

// checkUnanswered returns a check of the server if it has shown no sign of life
// since sentAt and no check is running or was done lately. A retransmission alone
// doesn't prove a failure: a caller also repeats a request that is queued at a
// busy server.
func (ds *Dispatcher) checkUnanswered(now time.Time, sr *server, sentAt time.Time, cause CheckCause) Check {
	if sr.aliveAt.After(sentAt) || sr.checking || now.Before(sr.nextCheckAt) {
		return Check{}
	}
	return ds.beginCheck(sr, cause)
}

// noteSYN records that a SYN was sent to the server.
func (sr *server) noteSYN(now time.Time) {
	if sr.synAt.IsZero() {
		sr.synAt = now
	}
}

// handshakeOverdue reports whether a SYN to the server has not been followed by
// a packet of an open flow in time. The host of a crashed server refuses new
// flows at once; its load stays low, and without this test it would get all new
// flows.
func (sr *server) handshakeOverdue(now time.Time) bool {
	return !sr.synAt.IsZero() && now.Sub(sr.synAt) >= handshakeTimeout
}

// Silence says how the result of a check has changed what is known of a server.
type Silence uint8

// Values of Silence.
const (
	SilenceUnchanged Silence = iota
	SilenceBegan             // the server counts as silent from now on
	SilenceEnded             // the server answers again
)

// HandleCheckResult handles the result of a check that began at a time. A failure
// is inconclusive if this instance was paused during the check, and a timeout also if
// a caller has acknowledged new data of the server since.
func (ds *Dispatcher) HandleCheckResult(now, began time.Time, server Endpoint, result CheckResult) Silence {
	sr := ds.serversByTag[server.Tag]
	if sr == nil || sr.cfg.ID != server.ID || sr.cfg.Address != server.Address {
		return SilenceUnchanged
	}
	sr.checking, sr.inconclusive = false, false
	wasSilent := sr.silent
	switch {
	case result == CheckAnswered:
		ds.noteAlive(now, sr)
		sr.nextCheckAt = now.Add(checkInterval)
	case result == CheckInconclusive || !began.After(ds.evidenceSince) || result == CheckTimedOut && sr.aliveAt.After(began):
		sr.nextCheckAt = now.Add(inconclusiveCheckDelay)
		sr.synAt = time.Time{}
		sr.inconclusive = true
	default:
		if result == CheckTimedOut {
			ds.noteTimeout(now, sr)
		}
		sr.silent, sr.checkFailedAt = true, now
		sr.nextCheckAt = now.Add(ds.silentCheckDelay(sr))
	}
	switch {
	case sr.silent && !wasSilent:
		return SilenceBegan
	case !sr.silent && wasSilent:
		return SilenceEnded
	}
	return SilenceUnchanged
}

// DueChecks returns the servers that have to be checked now:
//   - servers that left the directory and still have flows, because these flows
//     are reset if the check fails and go on if it succeeds;
//   - servers that didn't answer a SYN;
//   - silent servers, which may have recovered;
//   - servers with flows whose latest check was inconclusive.
func (ds *Dispatcher) DueChecks(now time.Time) []Check {
	var list []Check
	for _, sr := range ds.servers {
		if sr.checking || now.Before(sr.nextCheckAt) {
			continue
		}
		switch {
		case !sr.present && !ds.addressTaken(sr) && sr.trackedFlows > 0:
			list = append(list, ds.beginCheck(sr, EntryRemoved))
		case sr.present && sr.silent:
			list = append(list, ds.beginCheck(sr, SilentCheckDue))
		case sr.present && sr.handshakeOverdue(now):
			list = append(list, ds.beginCheck(sr, HandshakeOverdue))
		case sr.present && sr.inconclusive && sr.trackedFlows > 0:
			list = append(list, ds.beginCheck(sr, CheckRepeated))
		}
	}
	return list
}
