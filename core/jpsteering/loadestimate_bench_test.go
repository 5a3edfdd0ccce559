package jpsteering_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpsettings"
)

// BenchmarkRamp reports the imbalance after 800 connections have been opened at
// several rates: the largest number of connections at one of 14 servers, divided
// by the mean. Each of the 7 instances sends its loads twice a second. The
// metric max/mean is the average over the seeds, worst the largest value.
func BenchmarkRamp(b *testing.B) {
	for _, rate := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			sum, worst, runs := 0.0, 0.0, 0
			for b.Loop() {
				for seed := range uint64(8) {
					got := rampImbalance(b, seed, rate)
					sum, worst, runs = sum+got, max(worst, got), runs+1
				}
			}
			b.ReportMetric(sum/float64(runs), "max/mean")
			b.ReportMetric(worst, "worst")
		})
	}
}

// rampImbalance opens 800 connections at rate connections per second and returns
// the largest number at one server divided by the mean.
func rampImbalance(b *testing.B, seed uint64, rate int) float64 {
	const instances, servers, flows = 7, 14, 800
	hn := newSizedHarness(b, jpsettings.Stream, instances, 0)
	for ix := range servers {
		sc := hn.serverConfig(ix, ix%instances)
		sc.Limits.Connections = 2000
		hn.service.Servers = append(hn.service.Servers, sc)
	}
	hn.applySettings()
	hn.advance(30 * time.Second) // past the cold start of the new servers
	hn.reportWarm()
	hn.advance(30 * time.Second)
	hn.exchangeLoads()
	random := rand.New(rand.NewPCG(seed, 0))
	fl := hn.newFlow()
	next := hn.now
	for num := range flows {
		for at := next; !hn.now.Add(100 * time.Millisecond).After(at); {
			step := int(hn.now.Sub(testStart) / (100 * time.Millisecond) % 5)
			hn.advance(100 * time.Millisecond)
			for ix, mb := range hn.members {
				if ix%5 == step {
					hn.sendLoads(mb.ID)
				}
			}
		}
		next = next.Add(time.Second / time.Duration(rate))
		binary.BigEndian.PutUint32(fl.Caller[:], random.Uint32())
		fl.CallerPort = uint16(num + 1024)
		id := hn.members[random.IntN(instances)].ID
		hn.log = nil
		hn.sendFromFabric(id, callerSegment(fl, syn, callerISN, 0, 0))
		if len(hn.log) == 0 {
			continue // no server has room yet; the SYN is held
		}
		_, server, _ := strings.Cut(hn.log[len(hn.log)-1], ">")
		if server, ok := strings.CutSuffix(server, " SYN"); ok {
			hn.sendFromServer(id, server, serverSegment(fl, syn|ack, serverISN, callerISN+1, 0))
			hn.sendFromFabric(id, callerSegment(fl, ack, callerISN+1, serverISN+1, 0))
		}
	}
	largest, total := 0, 0
	for _, st := range hn.instances {
		for _, ss := range st.Status(hn.now) {
			largest, total = max(largest, ss.Flows), total+ss.Flows
		}
	}
	if total < flows*9/10 {
		b.Fatalf("only %d flows are open", total)
	}
	return float64(largest) * servers / float64(total)
}

// sendLoads sends the loads of one instance to all others.
func (hn *harness) sendLoads(from string) {
	for id, other := range hn.instances {
		if id != from {
			other.HandleLoads(hn.now, from, hn.instances[from].Loads(hn.now))
		}
	}
}
