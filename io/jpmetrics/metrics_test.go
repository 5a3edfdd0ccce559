package jpmetrics

import (
	"context"
	"net/http/httptest"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jacinthpass/core/jpsteering"
)

func scrape(mt *Metrics) string {
	rec := httptest.NewRecorder()
	mt.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	return rec.Body.String()
}

// Guards against counts that are lost, counted twice or exported under the wrong
// name, also with several instances in one process.
func TestPage(t *testing.T) {
	defer goleak.VerifyNone(t)
	mt, other := New("hob-1", "hobart"), New("hob-2", "hobart")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, each := range []*Metrics{mt, other} {
		go func() {
			each.run(ctx, 10*time.Millisecond)
			done <- struct{}{}
		}()
	}
	for range 3 {
		mt.CountOutcome(jpsteering.ToServer, jpsteering.ReasonNone)
		time.Sleep(15 * time.Millisecond)
	}
	mt.CountOutcome(jpsteering.Drop, jpsteering.DropHops)
	mt.CountOutcome(jpsteering.Record, jpsteering.EventShed)
	mt.CountControlSent(700)
	mt.CountControlReceived(800)
	mt.CountRefused(PeerInterface, 2)
	mt.CountRefused(RelayInterface, 3)
	mt.SetFlows(12)
	mt.SetOwnedServers(4)
	mt.SetSettingsVersion(9)
	cancel()
	<-done
	<-done
	text := scrape(mt)
	for _, want := range []string{
		`outcomes_total{data_centre="hobart",instance_id="hob-1",outcome="to_server"} 3`,
		`outcomes_total{data_centre="hobart",instance_id="hob-1",outcome="to_caller"} 0`,
		`drops_total{data_centre="hobart",instance_id="hob-1",reason="hops"} 1`,
		`events_total{data_centre="hobart",event="shed",instance_id="hob-1"} 1`,
		`control_sent_bytes_total{data_centre="hobart",instance_id="hob-1"} 700`,
		`control_received_bytes_total{data_centre="hobart",instance_id="hob-1"} 800`,
		`drops_total{data_centre="hobart",instance_id="hob-1",reason="unknown_sender"} 3`,
		`refused_connections_total{data_centre="hobart",instance_id="hob-1",interface="peer"} 2`,
		`refused_connections_total{data_centre="hobart",instance_id="hob-1",interface="operator"} 0`,
		`flows{data_centre="hobart",instance_id="hob-1"} 12`,
		`owned_servers{data_centre="hobart",instance_id="hob-1"} 4`,
		`settings_version{data_centre="hobart",instance_id="hob-1"} 9`,
	} {
		if !strings.Contains(text, "\njacinthpass_"+want+"\n") {
			t.Errorf("page has no %s:\n%s", want, text)
		}
	}
	if drops := mt.Drops(); !reflect.DeepEqual(drops, map[string]uint64{"hops": 1, "unknown_sender": 3}) {
		t.Errorf("Drops = %v", drops)
	}
	if drops := other.Drops(); len(drops) != 0 {
		t.Errorf("Drops of the other instance = %v", drops)
	}
}

// Guards against a reason without a name, which would not be exported.
func TestReasonNames(t *testing.T) {
	for reason := jpsteering.DropMalformed; reason <= jpsteering.EventUnresponsive; reason++ {
		if name := ReasonName(reason); regexp.MustCompile(`\d`).MatchString(name) {
			t.Errorf("reason %d has the name %q", reason, name)
		}
	}
}

// Guards against names that the documentation for operators does not explain.
func TestNamesAreDocumented(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, rn := range append(dropNames, eventNames...) {
		if !strings.Contains(string(text), "`"+rn.name+"`") {
			t.Errorf("%s is not in docs/OPERATIONS.md", rn.name)
		}
	}
}

// Guards against memory allocation for each packet.
func TestCountOutcomeDoesNotAllocate(t *testing.T) {
	mt := New("hob-1", "hobart")
	if n := testing.AllocsPerRun(100, func() { mt.CountOutcome(jpsteering.Drop, jpsteering.DropHops) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkCountOutcome(b *testing.B) {
	mt := New("hob-1", "hobart")
	for b.Loop() {
		mt.CountOutcome(jpsteering.ToServer, jpsteering.ReasonNone)
	}
}
