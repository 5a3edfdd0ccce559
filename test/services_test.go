package test

import (
	"strings"
	"testing"

	"jacinthpass/io/jpoperator"
)

// wantServers checks guarantee G2: only servers of one service answered, whose names
// have a common prefix.
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

// TestServicesStayApart guards guarantee G2: no packet reaches a server of another
// service, also while two services exchange their addresses, some instances still have
// the old settings, and packets are duplicated and delayed. The servers accept the
// addresses of all services, so that a misrouted request is answered and counted.
func TestServicesStayApart(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 200, "--ask-every", "1s")
	reads := bd.startRequests("reads", derwent.reads, 40)
	orders := bd.startRequests("orders", derwent.orders, 40)
	unrouted := bd.startRequests("no-service", derwent.reads, 20, "--service", "10.80.0.9:443", "--connect-timeout", "1s")
	bd.addFault(impairedNetwork)
	reads.awaitServed(50)
	wantServers(reads, reads.finish().Requests.ByServer, "ca-")

	bd.must(bd.swapAddresses())
	bd.sleep(settingsBound)
	moved := bd.startRequests("moved", derwent.stream, 40) // to 10.80.0.1, now the address of the catalogue
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

// TestMovedAddressThenReplaced guards guarantee G1: established connections do not
// break when the address of their service has moved to another one and instances take
// over that never had the previous settings.
func TestMovedAddressThenReplaced(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 200)
	bd.must(bd.swapAddresses())
	st.awaitAlerts()
	bd.replaceInstances(bd.InstancesIn("hobart")[1], bd.InstancesIn("devonport")[0])
	st.awaitAlerts()
	bd.sleep(silentConnectionTimeout) // until then a connection whose packets are dropped stays open
	st.wantNoBrokenConnections()
}

// swapAddresses exchanges the addresses of the order desk and the catalogue.
func (bd *testbed) swapAddresses() error {
	swap := strings.NewReplacer("address = 10.80.0.1\n", "address = 10.80.0.2\n", "address = 10.80.0.2\n", "address = 10.80.0.1\n")
	text := swap.Replace(string(bd.Cluster.Settings()))
	_, err := bd.Operator(bd.InstancesIn("hobart")[0]).Apply(bd.ctx, jpoperator.Change{Text: []byte(text)})
	return err
}
