package jpdispatch

import (
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// cutCallers plays the callers of a data centre whose servers are out and that is
// cut off from the others for some seconds: 100 new flows a second, each with the
// copies of its SYN after 200 and 600 ms.
type cutCallers struct {
	*harness
	cut      bool
	pending  []pendingCheck
	checks   int
	answered map[int]int // flows that reached a server, by the second in which they began
	refused  map[int]int // flows refused at their first SYN
	waiting  map[int]int // flows whose callers wait in vain
}

func (cc *cutCallers) handle(now time.Time, pk Packet) Decision {
	dc := cc.Handle(now, pk)
	if dc.Check.Server.ID != "" {
		cc.begin(now, dc.Check)
	}
	return dc
}

func (cc *cutCallers) begin(now time.Time, check Check) {
	cc.checks++
	cc.pending = append(cc.pending, pendingCheck{check, now})
}

// endChecks ends the checks that began 120 ms ago, or at once if servers answer.
func (cc *cutCallers) endChecks(now time.Time) {
	pending := cc.pending
	cc.pending = nil
	for _, pc := range pending {
		switch {
		case !cc.cut:
			cc.HandleCheckResult(now, pc.began, pc.check.Server, CheckAnswered)
		case now.Sub(pc.began) >= 120*time.Millisecond:
			cc.HandleCheckResult(now, pc.began, pc.check.Server, CheckTimedOut)
		default:
			cc.pending = append(cc.pending, pc)
		}
	}
}

// open plays one flow. Its caller waits if its SYN and the copies are sent to a
// server that is cut off.
func (cc *cutCallers) open(now time.Time, second int) {
	syn := cc.newSYN()
	dc := cc.handle(now, syn)
	switch {
	case dc.Outcome == Refuse:
		cc.refused[second]++
	case dc.Outcome == Forward && !cc.cut:
		cc.handle(now.Add(4*time.Millisecond), nextPacket(syn, dc.Server.Tag, 100))
		cc.answered[second]++
	default:
		cc.waiting[second]++
	}
}

// Guards against callers that wait for servers which are known to be unreachable,
// the load of a data centre that is emptied and cut off at the same time: on
// trouble-1 of the large deployment 265 requests waited until their deadlines. They
// are refused at once, and accepted again soon after the cut has healed.
func TestCallersOfCutDataCentre(t *testing.T) {
	servers := []jpdirectory.Server{deskServer(1, localDC)}
	for no := range 150 {
		servers = append(servers, deskServer(no+2, dataCentreName(no%3)))
	}
	cc := &cutCallers{
		harness:  newHarness(t, servers...),
		answered: map[int]int{}, refused: map[int]int{}, waiting: map[int]int{},
	}
	cc.setDataCentreOut(at(0), localDC, true)
	for ms := 0; ms < 10_000; ms += 10 {
		now := at(ms)
		cc.cut = ms >= 2000 && ms < 7000
		cc.endChecks(now)
		if ms%100 == 0 {
			cc.setFresh(now)
			cc.Tick(now)
			for _, check := range cc.DueChecks(now) {
				cc.begin(now, check)
			}
		}
		cc.open(now, ms/1000)
	}
	for second := range 10 {
		answered, refused, waiting := cc.answered[second], cc.refused[second], cc.waiting[second]
		var met bool
		switch {
		case second < 2 || second > 7:
			met = answered == 100
		case second == 2: // until the data centres count as unreachable
			met = refused >= 50
		case second == 7: // until the check of a refused flow is answered
			met = answered >= 60 && waiting == 0
		default:
			met = refused == 100
		}
		if !met {
			t.Errorf("second %d: %d answered, %d refused at once, %d waited in vain", second, answered, refused, waiting)
		}
	}
	// Flows that were placed before lead to a check of their servers each.
	if cc.checks > 100 {
		t.Errorf("%d checks in 10 s", cc.checks)
	}
}

// Guards against a refusal that is not true: the SYN was sent to a server, which may
// open the flow, before all servers were found silent.
func TestNoRefusalAfterSYN(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC))
	syn := hn.newSYN()
	dc := hn.wantDecision(hn.Handle(at(0), syn), Forward, Placed)
	hn.HandleCheckResult(at(150), at(30), dc.Server, CheckTimedOut)
	hn.wantDecision(hn.Handle(at(200), syn), Forward, Known)
	hn.wantDecision(hn.Handle(at(200), hn.newSYN()), Refuse, Unreachable)
}
