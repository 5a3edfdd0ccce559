package jpsteering

import (
	"time"

	"jacinthpass/core/jppacket"
)

// AdmittedNow reports whether the flow was admitted at now. A SYN forwarded
// without an admission is a retransmission of a flow admitted earlier.
func (st *Steerer) AdmittedNow(now time.Time, fl jppacket.Flow) bool {
	en := st.flows.Get(fl)
	return en != nil && en.phase == phaseHalfOpen && en.serverSeen == 0 && en.dueAt == st.millis(now.Add(halfOpenTimeout))
}
