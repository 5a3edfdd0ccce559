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

// BenchmarkRamp reports the largest over mean of open connections over the 14
// servers of 7 instances after 800 connections have opened, at several rates.
// Each instance tells its loads twice a second.
func BenchmarkRamp(b *testing.B) {
	for _, rate := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			sum, worst, runs := 0.0, 0.0, 0
			for b.Loop() {
				for seed := range uint64(8) {
					got := ramp(b, seed, rate)
					sum, worst, runs = sum+got, max(worst, got), runs+1
				}
			}
			b.ReportMetric(sum/float64(runs), "max/mean")
			b.ReportMetric(worst, "worst")
		})
	}
}

// ramp opens 800 connections and returns the largest over mean.
func ramp(b *testing.B, seed uint64, rate int) float64 {
	const instances, servers, flows = 7, 14, 800
	rg := newRigOf(b, jpsettings.Stream, instances, 0)
	for ix := range servers {
		sc := rg.server(ix, ix%instances)
		sc.Limits.Connections = 2000
		rg.sv.Servers = append(rg.sv.Servers, sc)
	}
	rg.apply()
	rg.wait(30 * time.Second) // the servers are new, and start cold
	rg.report()
	rg.wait(30 * time.Second)
	rg.loads()
	random := rand.New(rand.NewPCG(seed, 0))
	fl := rg.flow()
	next := rg.now
	for num := range flows {
		for at := next; !rg.now.Add(100 * time.Millisecond).After(at); {
			step := int(rg.now.Sub(start) / (100 * time.Millisecond) % 5)
			rg.wait(100 * time.Millisecond)
			for ix, mb := range rg.members {
				if ix%5 == step {
					rg.tell(mb.ID)
				}
			}
		}
		next = next.Add(time.Second / time.Duration(rate))
		binary.BigEndian.PutUint32(fl.Caller[:], random.Uint32())
		fl.CallerPort = uint16(num + 1024)
		id := rg.members[random.IntN(instances)].ID
		rg.log = nil
		rg.send(id, fromCaller(fl, syn, callerISN, 0, 0))
		if len(rg.log) == 0 {
			continue // waits for room
		}
		_, server, _ := strings.Cut(rg.log[len(rg.log)-1], ">")
		if server, ok := strings.CutSuffix(server, " SYN"); ok {
			rg.reply(id, server, fromServer(fl, syn|ack, serverISN, callerISN+1, 0))
			rg.send(id, fromCaller(fl, ack, callerISN+1, serverISN+1, 0))
		}
	}
	largest, total := 0, 0
	for _, st := range rg.insts {
		for _, ss := range st.Status(rg.now) {
			largest, total = max(largest, ss.Flows), total+ss.Flows
		}
	}
	if total < flows*9/10 {
		b.Fatalf("%d flows open", total)
	}
	return float64(largest) * servers / float64(total)
}

// tell gives the loads of one instance to all others.
func (rg *rig) tell(from string) {
	for id, other := range rg.insts {
		if id != from {
			other.HandleLoads(rg.now, from, rg.insts[from].Loads(rg.now))
		}
	}
}
