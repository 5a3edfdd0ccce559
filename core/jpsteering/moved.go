package jpsteering

import (
	"time"
)

// HandleMoved records which server, owned by the instance from, holds a flow whose
// home server this instance owns.
func (st *Steerer) HandleMoved(now time.Time, from string, mv Moved, out []Outcome) []Outcome {
	key := serviceKey{mv.Flow.Service, mv.Flow.ServicePort, mv.Flow.Protocol}
	sv := st.services[key]
	if sv == nil {
		return out
	}
	sr := sv.serverAt(mv.Server)
	if sr == nil || sr.owned || sr.owner != from {
		return out
	}
	en := st.flows.Get(mv.Flow)
	if en == nil {
		en = st.addEntry(mv.Flow, sr, phaseRemote)
		if en == nil {
			return out
		}
	}
	if en.phase == phaseRemote {
		en.server = sr
		en.callerSeen = st.millis(now)
		en.flags |= flagRemoteConfirmed
	}
	return out
}

// notifyHome tells the owner of the flow's home server, once per entry, that a server
// of this instance holds the flow.
func (pk *packetContext) notifyHome(en *flowEntry) {
	st := pk.st
	home := pk.service.homeServer(pk.flow)
	if en.has(flagHomeNotified) || home == nil || home.owner == "" || home.owner == st.self {
		return
	}
	if !pk.now.Before(st.movedWindowEnds) {
		st.movedWindowEnds = pk.now.Add(time.Second)
		st.movedSent = 0
	}
	if st.movedSent >= maxMovedPerSecond {
		return
	}
	st.movedSent++
	en.flags |= flagHomeNotified
	pk.out = append(pk.out, Outcome{
		Kind: NotifyInstance, Instance: home.owner,
		Message: Moved{Flow: pk.flow, Server: en.server.cfg.Address.Addr()},
	})
}
