package test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpcluster"
)

// fabricUpdateDelay is the time after which the fabric stops forwarding packets to an
// instance that leaves or has crashed.
const fabricUpdateDelay = time.Second

// replaceInstances makes planned stops of instances at the same time, waits until they
// have exited and starts them again.
func (bd *testbed) replaceInstances(list ...*jpcluster.Instance) {
	bd.t.Helper()
	for _, in := range list {
		bd.must(bd.RegisterInstance(bd.ctx, in, true))
		bd.must(in.Signal(syscall.SIGTERM))
	}
	bd.sleep(fabricUpdateDelay)
	bd.must(bd.SetFabric(bd.ctx, slices.DeleteFunc(bd.RunningInstances(), func(in *jpcluster.Instance) bool {
		return slices.Contains(list, in)
	})))
	for _, in := range list {
		bd.await(awaitTimeout, func() string {
			if in.Running() {
				return in.ID + " still runs after a planned stop"
			}
			return ""
		})
		bd.must(bd.UnregisterInstance(bd.ctx, in))
		bd.must(bd.StartInstance(bd.ctx, in))
	}
	bd.must(bd.AwaitMembers(bd.ctx, awaitTimeout))
	bd.must(bd.SetFabric(bd.ctx, bd.RunningInstances()))
}

// killInstance kills an instance. The fabric still forwards packets to it for
// fabricUpdateDelay.
func (bd *testbed) killInstance(in *jpcluster.Instance) {
	bd.t.Helper()
	bd.must(in.Kill())
	bd.sleep(fabricUpdateDelay)
	bd.must(bd.SetFabric(bd.ctx, bd.RunningInstances()))
}

// restartInstance starts a killed instance again and adds it to the fabric when all
// instances see each other as alive.
func (bd *testbed) restartInstance(in *jpcluster.Instance) {
	bd.t.Helper()
	bd.must(bd.StartInstance(bd.ctx, in))
	bd.must(bd.AwaitMembers(bd.ctx, awaitTimeout))
	bd.must(bd.SetFabric(bd.ctx, bd.RunningInstances()))
}

// TestEstablishedRolling guards guarantees G1 and G9: no connection breaks and no
// request is interrupted while all instances are replaced, at most two at a time.
func TestEstablishedRolling(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 400, "--ask-every", "2s")
	reads := bd.startRequests("reads", derwent.reads, 30, "--work", "50ms")
	orders := bd.startRequests("orders", derwent.orders, 30, "--work", "50ms")
	hobart, launceston, devonport := bd.InstancesIn("hobart"), bd.InstancesIn("launceston"), bd.InstancesIn("devonport")
	for _, round := range [][]*jpcluster.Instance{
		{hobart[0]}, {hobart[1], launceston[0]}, {hobart[2], devonport[0]}, {launceston[1], devonport[1]},
	} {
		bd.replaceInstances(round...)
		// Fails here because the next round discards the timelines of the instances that
		// it replaces.
		if rs := st.results().Standing; rs.Broken != 0 {
			t.Fatalf("%d of %d connections broken when %s stopped: %s", rs.Broken, rs.Established, round[0].ID, summariseEndings(rs.Endings))
		}
	}
	st.awaitAlerts()
	st.wantNoBrokenConnections()
	bd.wantServedOnce(reads, orders)
}

// TestEstablishedInstanceFails guards against connections that break when an instance
// is killed, restarted, paused and resumed, or cut off from the network, and when one
// is killed while the store is slow and its list of instances is outdated.
func TestEstablishedInstanceFails(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	// The faults follow each other within a few seconds, so a request can lose several
	// TCP retransmissions, whose intervals double (6.4 s, then 12.8 s). That delays its
	// answer by more than 10 s but does not break the connection.
	st := bd.startStanding("standing", derwent.stream, 400, "--ask-every", "2s", "--answer-timeout", "30s")
	failing := bd.InstancesIn("hobart")[0]
	steps := []struct {
		name string
		act  func()
	}{
		{"killed", func() { bd.killInstance(failing); st.awaitAlerts() }},
		{"restarted", func() { bd.restartInstance(failing); st.awaitAlerts() }},
		{"paused", func() {
			bd.must(failing.Pause())
			bd.sleep(4 * time.Second)
			bd.must(failing.Resume())
			bd.must(bd.AwaitMembers(bd.ctx, awaitTimeout))
			st.awaitAlerts()
		}},
		{"cut off", func() {
			bd.addFault(isolationFault("isolated", failing))
			bd.sleep(4 * time.Second)
			bd.removeFault("isolated")
			bd.must(bd.AwaitMembers(bd.ctx, awaitTimeout))
			st.awaitAlerts()
		}},
		{"killed with a lagging list and a slow store", func() {
			bd.setStoreFaults(map[string]any{"lag": "30s", "delay": "500ms"})
			bd.killInstance(bd.InstancesIn("launceston")[0])
			st.awaitAlerts()
		}},
	}
	for _, step := range steps {
		step.act()
		if broken := st.results().Standing; broken.Broken != 0 {
			t.Errorf("%s: %d of %d connections broken, want 0: %s", step.name, broken.Broken, broken.Established, summariseEndings(broken.Endings))
			return
		}
	}
}

// TestEstablishedServers guards against connections that break when backend servers
// are added, drained or removed from the settings, and against a crashed server whose
// failure breaks connections of other servers.
func TestEstablishedServers(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 400)
	op := bd.Operator(bd.Instances[0])
	section := "\n[region.tasmania.launceston.order_desk.od-%[1]d]\naddress = 127.%[2]d.2.%[1]d:5555\nload = http://127.%[2]d.2.%[1]d:8080/load\n"
	text := string(bd.Cluster.Settings())
	for no := range 4 {
		text += fmt.Sprintf(section, 20+no, secondOctet+4)
	}
	bd.must(bd.StartServers(bd.ctx, []byte(text)))
	_, err := op.Apply(bd.ctx, jpoperator.Change{Text: []byte(text)})
	bd.must(err)
	_, err = op.SetServer(bd.ctx, derwent.stream, "od-1", true, "test")
	bd.must(err)
	st.awaitAlerts()
	st.wantNoBrokenConnections()

	current, err := op.Settings(bd.ctx)
	bd.must(err)
	sectionStart := strings.Index(string(current.Text), "[region.tasmania.devonport.order_desk.od-3]")
	sectionEnd := sectionStart + 1 + strings.Index(string(current.Text[sectionStart+1:]), "[region")
	_, err = op.Apply(bd.ctx, jpoperator.Change{Text: slices.Concat(current.Text[:sectionStart], current.Text[sectionEnd:])})
	bd.must(err)
	st.awaitAlerts()
	// The restarted instance has never had settings that contain the removed server.
	bd.replaceInstances(bd.InstancesIn("devonport")[0])
	st.awaitAlerts()
	st.wantNoBrokenConnections()

	failed := bd.Server("od-2")
	connections := st.results().Standing.ByServer["od-2"]
	bd.must(failed.Kill())
	bd.await(awaitTimeout, func() string {
		if rs := st.results().Standing; rs.Broken < connections {
			return fmt.Sprintf("%d of the killed server's %d connections ended", rs.Broken, connections)
		}
		return ""
	})
	st.awaitAlerts()
	for _, end := range st.results().Standing.Endings {
		if end.Server != "od-2" {
			t.Errorf("connection at %s ended although only od-2 was killed: %+v", end.Server, end)
		}
	}
}

// TestInstanceListWrong guards against broken connections and interrupted requests
// while the instance list is wrong: it contains a killed instance and two that never
// ran, one of them with the addresses of a running instance, and a running instance
// is missing. An instance starts with that list.
func TestInstanceListWrong(t *testing.T) {
	bd := startTestbed(t, derwent, options{warm: true})
	st := bd.startStanding("standing", derwent.stream, 200, "--ask-every", "2s", "--answer-timeout", "30s")
	killed, unlisted := bd.InstancesIn("hobart")[0], bd.InstancesIn("launceston")[0]
	nonexistent := []jpmember.Listed{killed.Listed, bd.InstancesIn("devonport")[0].Listed}
	ad := &nonexistent[0].Addresses // replaced by addresses on which nothing listens
	for _, ap := range []*netip.AddrPort{&ad.Traffic, &ad.Relay, &ad.Peer, &ad.Operator} {
		*ap = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, secondOctet, 1, 88}), ap.Port())
	}
	for ix, id := range []string{"hobart-8", "devonport-8"} {
		nonexistent[ix].ID = id
		bd.must(bd.RegisterInstance(bd.ctx, &jpcluster.Instance{ID: id, Listed: nonexistent[ix]}, false))
	}
	bd.must(bd.UnregisterInstance(bd.ctx, unlisted))
	bd.killInstance(killed) // its entry stays in the list
	st.awaitAlerts()
	reads := bd.startRequests("reads", derwent.reads, 30)
	orders := bd.startRequests("orders", derwent.orders, 30)
	bd.replaceInstances(bd.InstancesIn("devonport")[0])
	orders.awaitServed(100)
	st.awaitAlerts()
	st.wantNoBrokenConnections()
	bd.wantServedOnce(reads, orders)
}
