package test

import (
	"testing"
)

// TestExamples guards against example settings of either user whose cluster does not
// serve all requests and keep all connections in the absence of faults.
func TestExamples(t *testing.T) {
	for _, dep := range []deployment{derwent, popravek} {
		t.Run(dep.name, func(t *testing.T) {
			bd := startTestbed(t, dep, options{warm: true})
			st := bd.startStanding("standing", dep.stream, 300, "--ask-every", "1s")
			reads := bd.startRequests("reads", dep.reads, 60)
			orders := bd.startRequests("orders", dep.orders, 60)
			reads.awaitServed(100)
			orders.awaitServed(100)
			st.awaitAlerts()
			bd.wantServedOnce(reads, orders)
			st.wantNoBrokenConnections()
			rs := st.results().Standing
			if rs.Answered == 0 {
				t.Error("no request on a standing connection was answered")
			}
		})
	}
}
