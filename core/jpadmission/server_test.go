package jpadmission

import (
	"fmt"
	"testing"
	"time"

	"jacinthpass/core/jpsettings"
)

var start = time.Unix(1_790_000_000, 0)

var limits = jpsettings.Limits{
	Slots: 8, Connections: 100, ColdSlots: 1, ColdConnections: 10,
	ColdDuration: 8 * time.Second, RetryPercent: 10,
}

var confirmed = Conditions{Confirmed: true, TakeoverSettled: true}

// secondsAfterStart returns the time that many seconds after start.
func secondsAfterStart(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newWarmServer returns a server after a takeover and a report that it is warm.
func newWarmServer(kind jpsettings.Kind) *Server {
	sv := &Server{Limits: limits, Kind: kind}
	sv.TakeOver(start, false)
	sv.HandleReport(start, 0, 0, false, false)
	return sv
}

// admitUntilRefused opens flows until one is not admitted, and returns their number.
func admitUntilRefused(sv *Server, now time.Time, cn Conditions) int {
	for count := range 1000 {
		if sv.Decide(now, cn) != Admit {
			return count
		}
		sv.OpenFlow()
	}
	return 1000
}

// Guards against a slow start that begins before the server's own: a server that
// refuses everything for a while turns cold when that ends, which may be at any time
// until the next flow.
func TestColdFromEndOfPause(t *testing.T) {
	sv := newWarmServer(jpsettings.Stream)
	sv.TurnCold(start)
	sv.HandleRefusal(start)
	if sv.Tick(secondsAfterStart(8.9)); sv.Stage() != Cold {
		t.Errorf("stage %d 8.9 s after a refusal without load, want %d", sv.Stage(), Cold)
	}
	if sv.Tick(secondsAfterStart(9)); sv.Stage() != SlowStart {
		t.Errorf("stage %d 9 s after a refusal without load, want %d", sv.Stage(), SlowStart)
	}
}

// Guards against flows that are admitted in a state that does not allow them.
func TestDecide(t *testing.T) {
	tests := []struct {
		name  string
		setup func(sv *Server)
		cn    Conditions
		want  Verdict
	}{
		{"warm", func(*Server) {}, confirmed, Admit},
		{"never taken over", func(sv *Server) { *sv = Server{Limits: limits} }, confirmed, Unconfirmed},
		{"taken over, no report yet", func(sv *Server) { sv.TakeOver(start, false) }, confirmed, Unconfirmed},
		{"draining by settings", func(sv *Server) { sv.Draining = true }, confirmed, Draining},
		{"draining by report", func(sv *Server) { sv.HandleReport(start, 0, 0, false, true) }, confirmed, Draining},
		{"cold", func(sv *Server) { sv.TurnCold(start) }, confirmed, Admit},
		{"cold, unconfirmed", func(sv *Server) { sv.TurnCold(start) }, Conditions{TakeoverSettled: true}, Unconfirmed},
		{"cold, just taken over", func(sv *Server) { sv.TurnCold(start) }, Conditions{Confirmed: true}, Unconfirmed},
		{"warm, just taken over", func(*Server) {}, Conditions{Confirmed: true}, Admit},
		{"reported cold and full", func(sv *Server) { sv.HandleReport(start, 1, 0, true, false) }, confirmed, Full},
		{"untracked requests", func(sv *Server) { sv.HandleReport(start, 8, 0, false, false) }, confirmed, Full},
		{"untracked connections", func(sv *Server) { sv.HandleReport(start, 0, 100, false, false) }, confirmed, Full},
		{"above the soft cap", func(sv *Server) { sv.OpenFlow(); sv.OpenFlow() }, Conditions{Confirmed: true, TakeoverSettled: true, ApplySoftCap: true, MeanFlows: 1}, AboveSoftCap},
		{"idle server below the soft cap", func(*Server) {}, Conditions{Confirmed: true, TakeoverSettled: true, ApplySoftCap: true}, Admit},
	}
	for _, tt := range tests {
		sv := newWarmServer(jpsettings.Request)
		tt.setup(sv)
		if got := sv.Decide(start, tt.cn); got != tt.want {
			t.Errorf("%s: verdict %d, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a cold server that may exceed its cold limits, and against a slow
// start that is skipped or never ends.
func TestSlowStart(t *testing.T) {
	for _, kind := range []jpsettings.Kind{jpsettings.Request, jpsettings.Stream} {
		want := []int{1, 1, 2, 4, 8, 8, 8}
		if kind == jpsettings.Stream {
			want = []int{10, 10, 20, 40, 80, 100, 100}
		}
		sv := newWarmServer(kind)
		sv.TurnCold(start)
		warmed := 0
		for ix, seconds := range []float64{0, 7.9, 8, 9, 10, 11, 60} {
			if sv.Tick(secondsAfterStart(seconds)) {
				warmed++
			}
			if got := sv.Allowance(); got != want[ix] {
				t.Errorf("kind %d after %v s: allowance %d, want %d", kind, seconds, got, want[ix])
			}
		}
		if warmed != 1 || sv.Stage() != Warm {
			t.Errorf("kind %d: became warm %d times, stage %d", kind, warmed, sv.Stage())
		}
	}
}

// Guards against reports that raise limits: only the owner's own observation ends a
// slow start, and a report that the server is cold prolongs it.
func TestMisleadingReports(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	sv.TurnCold(start)
	sv.HandleReport(secondsAfterStart(1), 0, 0, false, false)
	if got := admitUntilRefused(sv, secondsAfterStart(1), confirmed); got != 1 {
		t.Errorf("%d flows admitted to a cold server that is reported as warm, want 1", got)
	}
	sv = newWarmServer(jpsettings.Request)
	sv.HandleReport(start, 0, 0, true, false)
	for seconds := range 30 {
		sv.Tick(secondsAfterStart(float64(seconds)))
	}
	if sv.Stage() != Cold {
		t.Error("slow start began while the server is reported as cold")
	}
	sv.HandleReport(secondsAfterStart(30), 0, 0, false, false)
	if sv.Tick(secondsAfterStart(30)); sv.Stage() != SlowStart || sv.Allowance() != 2 {
		t.Errorf("stage %d, allowance %d after the last cold report", sv.Stage(), sv.Allowance())
	}
	sv = newWarmServer(jpsettings.Request)
	sv.HandleReport(secondsAfterStart(31), 8, 100, false, false)
	if got := admitUntilRefused(sv, secondsAfterStart(31), confirmed); got != 8 {
		t.Errorf("%d flows admitted after counts are no longer used, want 8", got)
	}
}

// Guards against a new owner that overlooks flows of the previous one: a reported
// count that does not include the owner's latest flows must not hide them.
func TestUntrackedFlows(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	sv.HandleReport(start, 5, 5, false, false)
	for range 2 {
		sv.OpenFlow()
	}
	sv.HandleReport(secondsAfterStart(1), 5, 5, false, false) // does not include the owner's two flows yet
	if got := admitUntilRefused(sv, secondsAfterStart(1), confirmed); got != 1 {
		t.Errorf("%d more flows admitted, want 1", got)
	}
	for range 3 {
		sv.CompleteRequest()
		sv.CloseFlow()
	}
	sv.HandleReport(secondsAfterStart(2), 0, 0, false, false)
	if got := admitUntilRefused(sv, secondsAfterStart(2), confirmed); got != 8 {
		t.Errorf("%d flows admitted after the untracked ones ended, want 8", got)
	}
}

// Guards against an owner that takes its own short flows for those of the previous
// owner: a lagging report includes flows that have ended since.
func TestOwnFlowsAreNotUntracked(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	sv.HandleReport(start, 0, 0, false, false)
	sv.HandleReport(secondsAfterStart(4), 7, 7, false, false) // 7 flows of the owner began and ended in between
	if got := admitUntilRefused(sv, secondsAfterStart(4), confirmed); got != 8 {
		t.Errorf("%d flows admitted, want 8", got)
	}
}

// Guards against a server that gets no flows because its load endpoint does not
// answer.
func TestNoReport(t *testing.T) {
	sv := &Server{Limits: limits, Kind: jpsettings.Request}
	sv.TakeOver(start, false)
	if sv.Tick(secondsAfterStart(4)); sv.StateKnown() {
		t.Error("state of the server known without a report")
	}
	if sv.Tick(secondsAfterStart(5)); sv.Stage() != Cold || admitUntilRefused(sv, secondsAfterStart(5), confirmed) != 1 {
		t.Error("server without reports is not treated as cold")
	}
}

// Guards against two owners that both fill a warm server: each may use half of the
// free capacity, and calls in between must not change this.
func TestUnconfirmed(t *testing.T) {
	tests := []struct{ kind, load, want int }{
		{int(jpsettings.Request), 0, 4},
		{int(jpsettings.Request), 3, 2},
		{int(jpsettings.Request), 7, 0},
		{int(jpsettings.Stream), 20, 40},
	}
	for _, tt := range tests {
		sv := newWarmServer(jpsettings.Kind(tt.kind))
		for range tt.load {
			sv.OpenFlow()
		}
		got := 0
		for range 5 {
			got += admitUntilRefused(sv, start, Conditions{TakeoverSettled: true})
			sv.HasRoom(start)
		}
		if got != tt.want {
			t.Errorf("kind %d, load %d: %d flows admitted unconfirmed, want %d", tt.kind, tt.load, got, tt.want)
		}
		if sv.Decide(start, confirmed) != Admit {
			t.Errorf("kind %d, load %d: cap remains after the confirmation", tt.kind, tt.load)
		}
	}
}

// Guards against overload after a refusal and against a cap that never rises.
func TestRefusalCapsServer(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	for range 5 {
		sv.OpenFlow()
	}
	sv.CompleteRequest()
	sv.CloseFlow()
	sv.HandleRefusal(start)
	if sv.Cold() || sv.Decide(start, confirmed) != Full {
		t.Error("a refusal must cap a warm server and not turn it cold")
	}
	sv.Tick(secondsAfterStart(0.6))
	if got := admitUntilRefused(sv, secondsAfterStart(0.6), confirmed); got != 1 {
		t.Errorf("%d flows admitted after the first rise, want 1", got)
	}
	for seconds := range 10 {
		sv.Tick(secondsAfterStart(1 + float64(seconds)))
	}
	if got := admitUntilRefused(sv, secondsAfterStart(11), confirmed); got != 3 {
		t.Errorf("%d flows admitted after the cap ended, want 3", got)
	}
}

// Guards against a slow start that is timed from the start of a long restart: the
// server refuses flows at first, and its load endpoint does not answer.
func TestColdFromLastRefusal(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	sv.TurnCold(start)
	end := sv.Limits.ColdDuration
	sv.HandleRefusal(start.Add(end * 3 / 4))
	sv.Tick(start.Add(end * 3 / 2))
	if sv.Stage() != Cold {
		t.Errorf("stage %d after a refusal by the cold server, want cold", sv.Stage())
	}
	sv.Tick(start.Add(end * 2))
	if sv.Stage() != SlowStart {
		t.Errorf("stage %d after the cold duration since the last refusal, want slow start", sv.Stage())
	}
}

// Guards against a server that refuses every flow and uses up the retry budget of
// its service.
func TestRefusalWithoutLoad(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	sv.HandleRefusal(start)
	if got := sv.Decide(secondsAfterStart(0.9), confirmed); got != Full || sv.HasRoom(secondsAfterStart(0.9)) {
		t.Errorf("verdict %d, room %v within the pause after a refusal without load", got, sv.HasRoom(secondsAfterStart(0.9)))
	}
	if got := sv.Decide(secondsAfterStart(1), confirmed); got != Admit {
		t.Errorf("verdict %d after the pause", got)
	}
}

// Guards against new flows to an unresponsive server, against a server that stays
// unresponsive after an answer, and against a server that counts as dead by an old
// probe.
func TestUnresponsive(t *testing.T) {
	sv := newWarmServer(jpsettings.Request)
	for count := 1; count <= 4; count++ {
		if unresponsive := sv.HandleUnanswered(start); unresponsive != (count == 3) {
			t.Errorf("unanswered handshake %d: became unresponsive: %v", count, unresponsive)
		}
	}
	if got := sv.Decide(secondsAfterStart(1), confirmed); got != Unresponsive {
		t.Errorf("verdict %d for an unresponsive server", got)
	}
	if sv.Decide(secondsAfterStart(2), confirmed) != Admit || sv.Decide(secondsAfterStart(2.1), confirmed) != Unresponsive {
		t.Error("want one trial every 2 s")
	}
	sv.HandleUnanswered(secondsAfterStart(9))
	if sv.Dead(secondsAfterStart(9.9)) || !sv.Dead(secondsAfterStart(10)) {
		t.Error("want the server dead after 10 s")
	}
	if sv.Dead(secondsAfterStart(13)) {
		t.Error("dead by a probe that is 4 s old")
	}
	sv.HandleAnswer()
	if !sv.Responsive() || sv.Dead(secondsAfterStart(20)) || sv.Stage() != Cold {
		t.Error("a server that answers again must be responsive and cold")
	}
}

// Guards against a restart or lost caches that the load endpoint does not report,
// and against single resets or slow responses that turn a server cold.
func TestTurnsCold(t *testing.T) {
	resets := func(seconds ...float64) func(sv *Server) bool {
		return func(sv *Server) (cold bool) {
			for _, sec := range seconds {
				cold = cold || sv.HandleReset(secondsAfterStart(sec))
			}
			return cold
		}
	}
	// took handles responses with the given times to the first byte, which arrive
	// step seconds apart.
	took := func(step float64, milliseconds ...int) func(sv *Server) bool {
		return func(sv *Server) (cold bool) {
			for at, ms := range milliseconds {
				cold = cold || sv.HandleResponse(secondsAfterStart(step*float64(at)), time.Duration(ms)*time.Millisecond)
			}
			return cold
		}
	}
	tests := []struct {
		name  string
		steps func(sv *Server) bool
		want  bool
	}{
		{"2 resets", resets(0, 0), false},
		{"3 resets", resets(0, 0, 1), true},
		{"3 resets in 3 s", resets(0, 1.5, 3), false},
		{"slow 3 times in 1 s", took(0.5, 10, 41, 50, 45), true},
		{"slow many times in a stall of 0.9 s", took(0.1, 10, 900, 800, 700, 600, 500, 400, 300, 200, 100), false},
		{"slow 2 times in 1 s", took(1, 10, 41, 50), false},
		{"slow, not in a row", took(1, 10, 41, 11, 50, 50), false},
		{"slow, below 20 ms", took(1, 1, 20, 20, 20), false},
	}
	for _, tt := range tests {
		sv := newWarmServer(jpsettings.Request)
		if got := tt.steps(sv); got != tt.want || sv.Cold() != tt.want {
			t.Errorf("%s: returned %v, cold %v, want %v", tt.name, got, sv.Cold(), tt.want)
		}
	}
}

// Guards against counts that drift when the kind of a service changes.
func TestKindChange(t *testing.T) {
	sv := newWarmServer(jpsettings.Stream)
	sv.OpenFlow()
	sv.Kind = jpsettings.Request
	sv.OpenFlow()
	sv.CompleteRequest()
	if sv.Load() != 1 {
		t.Errorf("%d requests counted, want 1", sv.Load())
	}
	sv.CompleteRequest()
	sv.CloseFlow()
	sv.CloseFlow()
	if sv.Flows != 0 || sv.Requests != 0 {
		t.Errorf("%d flows and %d requests remain, want none", sv.Flows, sv.Requests)
	}
}

// Guards against retries that multiply the load of a service that refuses flows,
// and against a service that may not retry at all.
func TestRetryBudget(t *testing.T) {
	rb := RetryBudget{Percent: 10}
	take := func(seconds float64) (count int) {
		for rb.TryWithdraw(secondsAfterStart(seconds)) {
			count++
		}
		return count
	}
	if got := take(0); got != 3 {
		t.Errorf("%d retries in the first second, want 3", got)
	}
	for range 100 {
		rb.Deposit()
	}
	if got := take(0.5); got != 10 {
		t.Errorf("%d retries for 100 flows, want 10", got)
	}
	for range 1000 {
		rb.Deposit()
	}
	if got := take(1); got != 20 {
		t.Errorf("%d retries at once, want at most 20", got)
	}
}

func ExampleServer_Decide() {
	sv := Server{Limits: jpsettings.Limits{Slots: 2, Connections: 100, ColdSlots: 1, ColdDuration: time.Second}, Kind: jpsettings.Request}
	sv.TakeOver(start, true)
	for range 2 {
		verdict := sv.Decide(start, Conditions{Confirmed: true, TakeoverSettled: true})
		fmt.Println(verdict == Admit)
		sv.OpenFlow()
	}
	// Output:
	// true
	// false
}

// Guards against overload of a cold server that was paused: it accepts handshakes
// that were moved to other servers in addition to new ones.
func TestAbandonedHandshakesCount(t *testing.T) {
	sv := &Server{Limits: jpsettings.Limits{ColdConnections: 2, Connections: 100, ColdDuration: time.Minute}}
	now := time.Unix(1_790_000_000, 0)
	sv.TakeOver(now, true)
	cn := Conditions{Confirmed: true, TakeoverSettled: true}
	for range 2 {
		sv.OpenFlow()
		sv.HandleAbandoned(now)
		sv.CompleteRequest()
		sv.CloseFlow()
	}
	if got := sv.Decide(now, cn); got != Full {
		t.Errorf("verdict %v with two abandoned handshakes, want %v", got, Full)
	}
	now = now.Add(abandonedTTL)
	sv.Tick(now)
	if got := sv.Decide(now, cn); got != Admit {
		t.Errorf("verdict %v after their expiry, want %v", got, Admit)
	}
}
