package jpdispatch

import "jacinthpass/core/jpdirectory"

// accepts reports whether the caller of an open flow accepts a reset. It ignores those
// whose sequence numbers are too far from its last acknowledgement.
func accepts(fl *simFlow, rs ResetPacket) bool {
	distance := int32(rs.Sequence - fl.packet.Ack)
	return max(distance, -distance) <= 76_800
}

// verifyReset fails the test if a flow is reset although its server is alive and no
// manifest has dropped its route.
func (sm *simulation) verifyReset(in *simInstance, fl *simFlow, reason Reason) {
	if fl.server.alive && !fl.routeDropped && !sm.maySuspect(in, fl.server.cfg.DataCentre) {
		sm.tb.Errorf("%v: a flow of %s, which is alive, was reset: %v; %s", sm.now.Sub(at(0)), fl.server.cfg.ID, reason, sm.describe(in, fl))
	}
}

// knownEntry returns the entry of a server in the directory of an instance, or nil.
func (sm *simulation) knownEntry(in *simInstance, id string) *jpdirectory.Server {
	for _, rc := range in.directory.Since(jpdirectory.Progress{}).Records {
		if rc.Server != nil && rc.Key.Name == id {
			return rc.Server
		}
	}
	return nil
}

// verifyCounts compares the counts that an instance keeps for each server with its
// flow table.
func (sm *simulation) verifyCounts(in *simInstance) {
	type counts struct{ flows, entries, held, requests, stuck int }
	want := map[*server]counts{}
	in.Dispatcher.flows.Sweep(1<<20, func(_ FlowKey, fl *flow) bool {
		if fl.server != nil {
			ct := want[fl.server]
			ct.entries++
			if fl.active {
				ct.flows++
			}
			if fl.state == opening || fl.state == open {
				ct.held++
			}
			if fl.requesting {
				ct.requests++
			}
			if fl.stuck {
				ct.stuck++
			}
			want[fl.server] = ct
		}
		return true
	})
	for _, sr := range in.Dispatcher.servers {
		if got := (counts{sr.activeFlows, sr.trackedFlows, sr.heldFlows, sr.requests, sr.stuckFlows}); got != want[sr] {
			sm.tb.Errorf("%v: counts of %s are %+v, want %+v by the flow table", sm.now.Sub(at(0)), sr.cfg.ID, got, want[sr])
		}
	}
}
