package jpsteering

import (
	"time"

	"jacinthpass/core/jppacket"
)

// AdmittedNow tells whether the flow was admitted at this moment. A SYN of a
// flow that was admitted before may go to the server again without it.
func (st *Steerer) AdmittedNow(now time.Time, fl jppacket.Flow) bool {
	en := st.flows.Get(fl)
	return en != nil && en.phase == phaseHalfOpen && en.serverSeen == 0 && en.dueAt == st.millis(now.Add(halfOpenTimeout))
}
