package jpsteering

import (
	"time"
)

// HandleMoved notes where a flow is held whose home is here.
func (st *Steerer) HandleMoved(now time.Time, from string, mv Moved, out []Outcome) []Outcome {
	key := serviceKey{mv.Flow.Service, mv.Flow.ServicePort, mv.Flow.Protocol}
	sv := st.services[key]
	if sv == nil {
		return out
	}
	sr := sv.find(mv.Server)
	if sr == nil || sr.mine || sr.owner != from {
		return out
	}
	en := st.flows.Get(mv.Flow)
	if en == nil {
		en = st.add(mv.Flow, sr, phaseMoved)
		if en == nil {
			return out
		}
	}
	if en.phase == phaseMoved {
		en.server = sr
		en.callerSeen = st.clock(now)
		en.marks |= markFollowed
	}
	return out
}

// tellHome tells the home of a flow once that the flow is held here.
func (pk *passage) tellHome(en *entry) {
	st := pk.st
	home := pk.service.home(pk.flow)
	if en.has(markTold) || home == nil || home.owner == "" || home.owner == st.self {
		return
	}
	if !pk.now.Before(st.toldEnds) {
		st.toldEnds = pk.now.Add(time.Second)
		st.told = 0
	}
	if st.told >= maxTold {
		return
	}
	st.told++
	en.marks |= markTold
	pk.out = append(pk.out, Outcome{
		Kind: Tell, Instance: home.owner,
		Message: Moved{Flow: pk.flow, Server: en.server.cfg.Address.Addr()},
	})
}
