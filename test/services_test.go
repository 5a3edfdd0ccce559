package test

import (
	"strings"
	"testing"

	"jacinthpass/io/jpoperator"
)

// wantServers checks that only servers of one service answered (G2).
func wantServers(ld *loadGenerator, byServer map[string]int, prefix string) {
	ld.bd.t.Helper()
	if len(byServer) == 0 {
		ld.bd.t.Errorf("%s: no server answered", ld.name)
	}
	for name, count := range byServer {
		if !strings.HasPrefix(name, prefix) {
			ld.bd.t.Errorf("%s: %d answers from %s, want only from %s*", ld.name, count, name, prefix)
		}
	}
}

// TestServicesStayApart guards against packets that reach another service (G2),
// also when two services exchange their addresses, instances with old and new
// settings meet, and packets are duplicated and late. Every server of the lab
// accepts all addresses, so that it would answer.
func TestServicesStayApart(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 200, "--ask-every", "1s")
	reads := bd.startRequests("reads", derwent.reads, 40)
	orders := bd.startRequests("orders", derwent.orders, 40)
	unrouted := bd.startRequests("nowhere", derwent.reads, 20, "--service", "10.80.0.9:443", "--connect-timeout", "1s")
	bd.addFault(impairedNetwork)
	reads.awaitServed(50)
	wantServers(reads, reads.finish().Requests.ByServer, "ca-")

	bd.must(bd.swapAddresses())
	bd.sleep(settingsBound)
	moved := bd.startRequests("moved", derwent.stream, 40) // to 10.80.0.1, the catalogue's now
	moved.awaitServed(50)
	st.awaitAlerts()
	wantServers(moved, moved.finish().Requests.ByServer, "ca-")
	wantServers(st, st.results().Standing.ByServer, "od-")
	wantServers(orders, orders.finish().Requests.ByServer, "or-")
	st.wantNoBrokenConnections()
	if rq := unrouted.finish().Requests; rq.Served+rq.Unknown != 0 {
		t.Errorf("%d requests to an address without a service got a connection", rq.Served+rq.Unknown)
	}
}

// TestMovedAddressThenReplaced guards against established connections that
// break when their service's address has moved and instances that never saw the
// former settings take over (G1).
func TestMovedAddressThenReplaced(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 200)
	bd.must(bd.swapAddresses())
	st.awaitAlerts()
	bd.replaceInstances(bd.InstancesIn("hobart")[1], bd.InstancesIn("devonport")[0])
	st.awaitAlerts()
	bd.sleep(silentConnectionTimeout) // a connection whose packets are dropped ends only then
	st.wantNoBrokenConnections()
}

// swapAddresses exchanges the addresses of two services.
func (bd *testbed) swapAddresses() error {
	swap := strings.NewReplacer("address = 10.80.0.1\n", "address = 10.80.0.2\n", "address = 10.80.0.2\n", "address = 10.80.0.1\n")
	text := swap.Replace(string(bd.Cluster.Settings()))
	_, err := bd.Operator(bd.InstancesIn("hobart")[0]).Apply(bd.ctx, jpoperator.Change{Text: []byte(text)})
	return err
}
