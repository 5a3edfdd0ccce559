package jpdispatch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against estimates that count requests or slots which are not there: of servers
// that take no flows, from before a pause, or of instances that are not heard.
func TestFullness(t *testing.T) {
	const peers = 3
	hear := func(hn *harness, now time.Time, loads ...Load) {
		for peer := range peers {
			hn.HandleLoads(now, fmt.Sprint(peer), loads)
		}
	}
	request := func(hn *harness) Packet {
		syn, sr := hn.open(at(0))
		first := nextPacket(syn, sr.Tag, 20)
		hn.Handle(at(4), first)
		return first
	}
	for _, tc := range []struct {
		name     string
		play     func(hn *harness)
		slots    float64
		requests float64
		own      float64
		guess    bool
	}{
		{"nothing heard", func(hn *harness) { request(hn) }, 4, 4, 1, true},
		{"peers heard", func(hn *harness) {
			request(hn)
			hear(hn, at(1), Load{Tag: 1, Requests: 1.5}, Load{Tag: 2, Requests: 0.5}, Load{Tag: 3, Requests: 7})
		}, 4, 7, 1, false},
		{"own response", func(hn *harness) {
			answer := request(hn)
			answer.Ack, answer.Length = answer.Ack+500, 0
			hn.Handle(at(34), answer)
			hear(hn, at(40))
		}, 4, 0, 0, false},
		{"peers have left", func(hn *harness) { hear(hn, at(-1600), Load{Tag: 1, Requests: 1}) }, 4, 0, 0, true},
		{"a server has just become cold", func(hn *harness) {
			sr := deskServer(1, localDC)
			sr.WarmAt = at(5000)
			request(hn)
			request(hn)
			hn.server(at(0), sr)
			hear(hn, at(1), Load{Tag: 1, Requests: 2})
		}, 2, 1, 1, false},
		{"only the other data centre can serve", func(hn *harness) {
			hn.setDataCentreOut(at(0), localDC, true)
			request(hn)
			hear(hn, at(1), Load{Tag: 3, Requests: 1})
		}, 2, 8, 1, true},
		{"reports that have waited during a pause", func(hn *harness) {
			hear(hn, at(-400), Load{Tag: 1, Requests: 1})
			hn.NotePause(at(-300))
			hear(hn, at(1), Load{Tag: 1, Requests: 1})
		}, 4, 0, 0, true},
		{"reports after a pause", func(hn *harness) {
			hn.NotePause(at(-600))
			hear(hn, at(1), Load{Tag: 1, Requests: 1})
		}, 4, 3, 0, false},
		{"a new manifest", func(hn *harness) {
			hear(hn, at(1), Load{Tag: 1, Requests: 1})
			hn.manifest(2, *hn.routes[route])
		}, 4, 3, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, remoteDC))
			hn.SetPosition(Position{Count: 8, LocalCount: 4})
			tc.play(hn)
			es, ok := hn.Fullness(at(100), "desk")
			if !ok || es.Slots != tc.slots || es.Requests != tc.requests || es.Own != tc.own || es.Guess != tc.guess {
				t.Errorf("estimate is %+v, want %g slots, %g requests, %g own and guess %t", es, tc.slots, tc.requests, tc.own, tc.guess)
			}
		})
	}
}

// Guards against reports of moments instead of averages, and of flows without requests.
func TestReportedRequests(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	hn.Loads()
	syn, sr := hn.open(at(0))
	hn.Handle(at(10), nextPacket(syn, sr.Tag, 20))
	hn.runTicks(at(100), at(200))
	answer := nextPacket(syn, sr.Tag, 0)
	answer.Ack += 500
	hn.Handle(at(250), answer)
	hn.runTicks(at(300), at(400))
	if got := hn.Loads(); len(got) != 1 || got[0] != (Load{Tag: 1, Flows: 1, Held: 1, Requests: 0.5, Begun: 1}) {
		t.Errorf("loads are %+v", got)
	}
	hn.runTicks(at(500), at(600))
	if got := hn.Loads(); got[0].Requests != 0 {
		t.Errorf("requests of an earlier report are in %+v", got)
	}
}

// Guards against services that look full because of callers that have gone: SYNs that no
// server has accepted, and requests without a response.
func TestOverdueRequestsEnd(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	hn.Handle(at(0), hn.newSYN())
	syn, sr := hn.open(at(0))
	hn.Handle(at(5), nextPacket(syn, sr.Tag, 20))
	for _, tc := range []struct{ from, to, want int }{{0, 100, 2}, {200, 300, 1}, {400, 500, 1}, {600, 700, 0}} {
		hn.runTicks(at(tc.from), at(tc.to))
		if es, _ := hn.Fullness(at(tc.to), "desk"); es.Own != float64(tc.want) {
			t.Errorf("%g requests at %d ms, want %d", es.Own, tc.to, tc.want)
		}
	}
}
