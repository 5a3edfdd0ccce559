package jpdispatch

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

var urgentRoute = netip.MustParseAddrPort("198.18.0.2:443")

// fullRequests is the number of requests from which two servers with two slots are full for
// flows of the highest priority.
const fullRequests = 20

// admissionHarness is a dispatcher with a service of two servers.
type admissionHarness struct {
	*harness
	open  []Packet // SYNs of the flows with requests
	tags  []uint32
	acked uint32
}

func admissionRoutes() []jpdirectory.Route {
	desk := []jpdirectory.Target{{Service: "desk", Weight: 1}}
	return []jpdirectory.Route{
		{Address: route, Targets: desk, Priority: 2, TargetLatency: 600 * time.Millisecond},
		{Address: urgentRoute, Targets: desk, Priority: 1, TargetLatency: 600 * time.Millisecond},
	}
}

func newAdmissionHarness(tb testing.TB, requests int) *admissionHarness {
	ah := &admissionHarness{harness: newHarness(tb, deskServer(1, localDC), deskServer(2, localDC)), acked: 1000}
	ah.manifest(2, admissionRoutes()...)
	ah.request(at(0), ah.newSYN())
	ah.respond(at(30)) // shows the usual response time
	for range requests {
		syn := ah.newSYN()
		syn.Route = urgentRoute
		ah.request(at(30), syn)
	}
	ah.runTicks(at(100), at(200))
	return ah
}

// request opens a flow with a request.
func (ah *admissionHarness) request(now time.Time, syn Packet) {
	ah.tb.Helper()
	dc := ah.wantDecision(ah.Handle(now, syn), Forward, Placed)
	ah.begin(now, syn, dc.Server.Tag)
}

// begin sends the request of a flow that a server has got.
func (ah *admissionHarness) begin(now time.Time, syn Packet, tag uint32) {
	ah.Handle(now, nextPacket(syn, tag, 100))
	ah.open, ah.tags = append(ah.open, syn), append(ah.tags, tag)
}

// respond lets the first request end.
func (ah *admissionHarness) respond(now time.Time) {
	ah.acked += 100
	pk := nextPacket(ah.open[0], ah.tags[0], 0)
	pk.Ack, pk.Sequence = ah.acked, pk.Sequence+100
	ah.Handle(now, pk)
	ah.open, ah.tags = ah.open[1:], ah.tags[1:]
}

// arrive sends the SYN of a new flow to a route.
func (ah *admissionHarness) arrive(now time.Time, to netip.AddrPort) (Packet, Decision) {
	syn := ah.newSYN()
	syn.Route = to
	return syn, ah.Handle(now, syn)
}

func copyOf(syn Packet, no uint32) Packet {
	syn.Ack = no
	return syn
}

// wantReleased checks the ports and the outcomes of the waits that end.
func (ah *admissionHarness) wantReleased(now time.Time, outcome Outcome, reason Reason, syns ...Packet) []Released {
	ah.tb.Helper()
	list := ah.Release(now)
	var got, want []uint16
	for _, rl := range list {
		ah.wantDecision(rl.Decision, outcome, reason)
		got = append(got, rl.Key.CallerPort)
	}
	for _, syn := range syns {
		want = append(want, syn.Caller.Port())
	}
	if !slices.Equal(got, want) {
		ah.tb.Errorf("waits of ports %v end, want %v", got, want)
	}
	return list
}

// Guards against flows that are held while there is room, or placed while there is none,
// and against a less urgent one that is placed first.
func TestWaitForRoom(t *testing.T) {
	ah := newAdmissionHarness(t, fullRequests-1)
	syn := ah.newSYN()
	syn.Route = urgentRoute
	ah.request(at(200), syn)
	first, dc := ah.arrive(at(201), route)
	ah.wantDecision(dc, Wait, Waiting)
	urgent, dc := ah.arrive(at(202), urgentRoute)
	ah.wantDecision(dc, Wait, Waiting)
	ah.wantReleased(at(210), Drop, Waiting)
	ah.respond(at(220))
	list := ah.wantReleased(at(220), Forward, Placed, urgent)
	if len(list) == 1 && list[0].Decision.Waited != 18*time.Millisecond {
		t.Errorf("waited %v, want 18ms", list[0].Decision.Waited)
	}
	ah.begin(at(221), urgent, 1)
	ah.respond(at(230))
	ah.wantReleased(at(230), Drop, Waiting) // room is left for urgent ones
	for range 12 {
		ah.respond(at(240))
	}
	ah.wantReleased(at(240), Forward, Placed, first)
	if ah.Waiting() != 0 {
		t.Errorf("%d flows wait, want none", ah.Waiting())
	}
}

// Guards against flows that wait although their routes ask for no latency, and against
// waits on a guess.
func TestNoWait(t *testing.T) {
	rows := []struct {
		name    string
		prepare func(ah *admissionHarness)
		copies  uint32
	}{
		{"no latency target", func(ah *admissionHarness) {
			ah.manifest(3, jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}})
		}, 0},
		{"peers that have not reported", func(ah *admissionHarness) {
			ah.SetPosition(Position{Count: 5, LocalCount: 5})
		}, 0},
		{"copy whose first transmission came elsewhere", func(*admissionHarness) {}, 1},
		{"stopping", func(ah *admissionHarness) { ah.StopWaiting() }, 0},
	}
	for _, row := range rows {
		ah := newAdmissionHarness(t, fullRequests)
		row.prepare(ah)
		ah.wantDecision(ah.Handle(at(200), copyOf(ah.newSYN(), row.copies)), Forward, Placed)
	}
}

// Guards against a flow that is placed or refused here after the routers have moved it to
// another instance, and against a copy that is placed beside its first transmission.
func TestCopiesOfWaitingSYN(t *testing.T) {
	ah := newAdmissionHarness(t, fullRequests)
	syn, dc := ah.arrive(at(200), route)
	ah.wantDecision(dc, Wait, Waiting)
	lost, _ := ah.arrive(at(200), route)
	for range 12 {
		ah.respond(at(390))
	}
	// The copies are due at any moment.
	ah.wantReleased(at(390), Drop, Waiting)
	ah.wantDecision(ah.Handle(at(400), copyOf(syn, 1)), Wait, Waiting)
	if ah.Waiting() != 2 {
		t.Errorf("%d flows wait, want 2", ah.Waiting())
	}
	ah.wantReleased(at(401), Forward, Placed, syn)
	ah.wantReleased(at(520), Drop, Stale, lost)
	ah.wantDecision(ah.Handle(at(800), copyOf(lost, 2)), Forward, Placed)
}

// Guards against a caller's new flow that is taken for an earlier one from the same port.
func TestPortReusedWhileWaiting(t *testing.T) {
	ah := newAdmissionHarness(t, fullRequests)
	syn, _ := ah.arrive(at(200), route)
	syn.Sequence += 5000
	ah.wantDecision(ah.Handle(at(250), syn), Wait, Waiting)
	ah.wantReleased(at(260), Drop, Waiting)
	for range 12 {
		ah.respond(at(300))
	}
	list := ah.wantReleased(at(300), Forward, Placed, syn)
	if len(list) == 1 && list[0].Packet.Sequence != syn.Sequence {
		t.Error("the flow that the caller has given up was placed")
	}
}

// Guards against waits that outlast what they wait for.
func TestEndOfWaits(t *testing.T) {
	rows := []struct {
		name    string
		at      int
		prepare func(ah *admissionHarness, now time.Time)
		outcome Outcome
		reason  Reason
	}{
		{"route removed", 300, func(ah *admissionHarness, now time.Time) {
			ah.manifest(3, admissionRoutes()[1])
			ah.setFresh(now)
		}, Refuse, NoRoute},
		{"all servers gone", 300, func(ah *admissionHarness, now time.Time) {
			ah.remove(now, "i-1")
			ah.remove(now, "i-2")
		}, Refuse, NoServer},
		{"latency target dropped", 300, func(ah *admissionHarness, _ time.Time) {
			routes := admissionRoutes()
			routes[0].TargetLatency = 0
			ah.manifest(3, routes...)
		}, Forward, Placed},
		{"peers silent", 300, func(ah *admissionHarness, _ time.Time) {
			ah.SetPosition(Position{Count: 5, LocalCount: 5})
		}, Forward, Placed},
		{"process paused", 350, func(ah *admissionHarness, now time.Time) { ah.NotePause(now) }, Drop, Stale},
		{"planned stop", 300, func(ah *admissionHarness, _ time.Time) { ah.StopWaiting() }, Forward, Placed},
		{"too late", 775, func(ah *admissionHarness, _ time.Time) {}, Refuse, Overloaded},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			ah := newAdmissionHarness(t, fullRequests)
			syn, _ := ah.arrive(at(200), route)
			if row.at > 400 {
				ah.wantDecision(ah.Handle(at(400), copyOf(syn, 1)), Wait, Waiting)
			}
			ah.runTicks(at(300), at(row.at))
			row.prepare(ah, at(row.at))
			ah.wantReleased(at(row.at), row.outcome, row.reason, syn)
			if ah.Waiting() != 0 {
				t.Errorf("%d flows wait, want none", ah.Waiting())
			}
		})
	}
}

// Guards against a refusal that comes late although it was clear before, and against
// memory that a flood of SYNs takes: many flows arrive while one request ends every 20 ms.
func TestFloodOfSYNs(t *testing.T) {
	ah := newAdmissionHarness(t, fullRequests)
	waiting, refused, refusedUrgent := 0, 0, 0
	for ms := 200; ms < 1200; ms++ {
		for no := range 10 {
			to := route
			if no == 0 && ms%20 == 0 {
				to = urgentRoute
			}
			_, dc := ah.arrive(at(ms), to)
			if dc.Outcome == Refuse && to == urgentRoute {
				refusedUrgent++
			}
		}
		if ms%20 == 0 {
			ah.respond(at(ms))
		}
		if ms%100 == 0 {
			ah.runTicks(at(ms), at(ms))
		}
		for _, rl := range ah.Release(at(ms)) {
			switch {
			case rl.Decision.Outcome == Forward:
				ah.begin(at(ms), rl.Packet, rl.Decision.Server.Tag)
			case rl.Decision.Outcome == Refuse && rl.Packet.Route == urgentRoute:
				refusedUrgent++
			case rl.Decision.Outcome == Refuse:
				refused++
			}
		}
		waiting = max(waiting, ah.Waiting())
	}
	if waiting > maxWaiting || refused == 0 {
		t.Errorf("up to %d flows wait, %d were refused", waiting, refused)
	}
	if refusedUrgent > 0 {
		t.Errorf("%d flows of the highest priority were refused, want none", refusedUrgent)
	}
}

// Guards against flows that wait for a service to which no route leads them any more, while
// the new one is idle.
func TestWaitsFollowRoutes(t *testing.T) {
	ah := newAdmissionHarness(t, fullRequests)
	waiting, dc := ah.arrive(at(201), urgentRoute)
	ah.wantDecision(dc, Wait, Waiting)
	other := deskServer(3, localDC)
	other.Service = "catalogue"
	ah.server(at(205), other)
	routes := admissionRoutes()
	routes[1].Targets = []jpdirectory.Target{{Service: "catalogue", Weight: 1}}
	ah.manifest(3, routes...)
	list := ah.wantReleased(at(215), Forward, Placed, waiting)
	if len(list) == 1 && list[0].Decision.Server.ID != other.ID {
		t.Errorf("placed at %s, want %s", list[0].Decision.Server.ID, other.ID)
	}
}

// Guards against untrue refusals: a SYN that has waited in the socket until its copy was due
// may have been placed by another instance.
func TestNoRefusalAfterSocket(t *testing.T) {
	ah := newAdmissionHarness(t, fullRequests)
	for ah.Waiting() < maxWaiting {
		ah.arrive(at(201), urgentRoute)
	}
	for _, tc := range []struct {
		name         string
		arrivedAfter time.Time
		want         Outcome
	}{
		{"just arrived", at(210), Refuse},
		{"copy due", at(20), Drop},
	} {
		syn := ah.newSYN()
		syn.ArrivedAfter = tc.arrivedAfter
		if dc := ah.Handle(at(215), syn); dc.Outcome != tc.want || dc.Reason != Overloaded {
			t.Errorf("%s: %v for %v, want %v", tc.name, dc.Outcome, dc.Reason, tc.want)
		}
	}
}
