package jpentry

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/core/jpmember"
)

// logTraffic logs the messages and bytes sent to peers since the start, by kind.
func (en *Entry) logTraffic() {
	stats := en.peers.Stats()
	keysAndValues := []any{"connections", stats.OutgoingConnections, "bytes", stats.ConnectionBytesWritten}
	for _, kind := range slices.Sorted(maps.Keys(stats.Written)) {
		if tr := stats.Written[kind]; tr.Messages > 0 {
			keysAndValues = append(keysAndValues, kind, tr.Messages, kind+"_bytes", tr.Bytes)
		}
	}
	klog.InfoS("peer: sent", keysAndValues...)
}

// logReset logs the reset of an open flow with the evidence for it. Resets have a
// limit of their own, so that lines about other packets don't displace them.
func (en *Entry) logReset(now time.Time, rs jpdispatch.ResetPacket, request string, revision jpdirectory.Revision, age time.Duration) {
	if !en.resetLineLimiter.allow(now) {
		return
	}
	ev := rs.Evidence
	klog.InfoS("dispatch: "+rs.Reason.String(), "outcome", "reset", "request", request, "caller", rs.Caller, "route", rs.Route,
		"server", rs.Server, "idle_ms", rs.Idle.Milliseconds(), "flow_seen_ms", elapsedMillis(now, ev.FlowSeenAt),
		"alive_ms", elapsedMillis(now, ev.ServerAliveAt), "check_failed_ms", elapsedMillis(now, ev.CheckFailedAt),
		"left_ms", elapsedMillis(now, ev.ServerLeftAt), "store_up_ms", elapsedMillis(now, ev.StoreUpSince),
		"revision", revision, "age_ms", age.Milliseconds())
}

// elapsedMillis returns the time since an event in milliseconds, or -1 if the event
// has not happened.
func elapsedMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// maxLinesPerUpdate bounds the log lines of one full update of the directory or one
// view of the membership. More changes are logged as one line with their number: a
// starting instance learns of all servers and instances at once, and the lines would
// delay its first packets.
const maxLinesPerUpdate = 16

// logMembers logs the instances whose state has changed and adds them to the
// timeline.
func (en *Entry) logMembers(before, after []jpmember.Member) {
	states := map[string]jpmember.State{}
	for _, mb := range before {
		states[mb.ID] = mb.State
	}
	var changed []jpmember.Member
	counts := make([]int, len(stateNames))
	for _, mb := range after {
		counts[mb.State]++
		if state, known := states[mb.ID]; !known || state != mb.State {
			changed = append(changed, mb)
			en.timeline.Add("member", "member_"+stateName(mb.State), mb.ID, "")
		}
	}
	if len(changed) > maxLinesPerUpdate {
		klog.InfoS("member: states", "changed", len(changed), "alive", counts[jpmember.Alive], "leaving", counts[jpmember.Leaving],
			"dead", counts[jpmember.Dead], "unknown", counts[jpmember.Unknown])
		return
	}
	for _, mb := range changed {
		klog.InfoS("member: state", "instance", mb.ID, "data_centre", mb.DataCentre, "state", stateName(mb.State))
	}
}

var stateNames = []string{
	jpmember.Unknown: "unknown", jpmember.Alive: "alive", jpmember.Leaving: "leaving", jpmember.Dead: "dead",
}

func stateName(st jpmember.State) string { return stateNames[st] }

// logRecordChanges logs the changed records of one update. Of a full update, it logs
// more than maxLinesPerUpdate servers as one line. The caller holds mu.
func (en *Entry) logRecordChanges(changed []jpdirectory.Record, full bool, source string) {
	servers := 0
	for _, rc := range changed {
		if rc.Key.Kind == jpdirectory.ServerRecord {
			servers++
		}
	}
	summarize := full && servers > maxLinesPerUpdate
	for _, rc := range changed {
		if !summarize || rc.Key.Kind != jpdirectory.ServerRecord {
			en.logRecordChange(rc, source)
		}
	}
	if summarize {
		klog.InfoS("directory: servers", "changed", servers, "known", en.dispatcher.Stats().Servers,
			"revision", en.directory.Revision(), "source", source)
	}
}

// logIgnored logs the records of an update from the store that the directory ignores. The
// caller holds mu.
func (en *Entry) logIgnored(up jpdirectory.Update) {
	ignored := en.directory.Ignored(up)
	if len(ignored) == 0 {
		return
	}
	en.metrics.ignoredRecords.Add(uint64(len(ignored)))
	for _, rc := range ignored[:min(len(ignored), maxLinesPerUpdate)] {
		keysAndValues := []any{"name", rc.Key.Name, "revision", rc.Revision, "ignored", len(ignored)}
		if rc.Manifest != nil {
			keysAndValues = append(keysAndValues, "version", rc.Manifest.Version)
		}
		klog.InfoS("directory: record ignored", keysAndValues...)
	}
}

// logRecordChange logs a changed record of the directory, unless it is that of a
// present instance, and adds changes of routes and data centres to the timeline.
func (en *Entry) logRecordChange(rc jpdirectory.Record, source string) {
	switch {
	case rc.Manifest != nil:
		klog.InfoS("directory: routes", "version", rc.Manifest.Version, "routes", len(rc.Manifest.Routes),
			"revision", rc.Revision, "source", source)
		en.timeline.Add("directory", "routes_changed", "", source)
	case rc.Server != nil:
		klog.InfoS("directory: server", "server", rc.Server.ID, "service", rc.Server.Service,
			"address", rc.Server.Address, "data_centre", rc.Server.DataCentre, "draining", rc.Server.Draining,
			"revision", rc.Revision, "source", source)
	case rc.Key.Kind == jpdirectory.DataCentreOutRecord:
		klog.InfoS("directory: data centre", "data_centre", rc.Key.Name, "out", rc.DataCentreOut,
			"revision", rc.Revision, "source", source)
		en.timeline.Add("directory", "data_centre_changed", rc.Key.Name, source)
	case rc.Removed():
		klog.InfoS("directory: removed", "name", rc.Key.Name, "revision", rc.Revision, "source", source)
	}
}
