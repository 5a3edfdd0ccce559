package jpslope

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jphealth"
)

const pollDuration = 5 * time.Second

// measurePolls measures the CPU time of polling a load endpoint, of client and server
// together, over connections that stay open.
func measurePolls() ([]Measurement, error) {
	var out []Measurement
	for _, servers := range []int{6, 100} {
		out = append(out, pollCost(servers))
	}
	return out, nil
}

func pollCost(servers int) Measurement {
	load := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"in_flight": 1, "connections": 512, "state": "warm"}`)
	})
	var reports atomic.Int64
	po := jphealth.New(func(rep jpsteering.Report) {
		if rep.State == jpsteering.ReportWarm {
			reports.Add(1)
		}
	})
	var list []jpsteering.OwnedServer
	for no := range servers {
		endpoint := httptest.NewServer(load)
		defer endpoint.Close()
		list = append(list, jpsteering.OwnedServer{
			Service: "service", Server: netip.AddrPortFrom(serverAddress(no), 5555), LoadURL: endpoint.URL,
		})
	}
	po.SetServers(list)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { po.Run(ctx) })
	time.Sleep(2 * jphealth.Interval)
	before, start := reports.Load(), cpuTime()
	time.Sleep(pollDuration)
	used := cpuTime() - start
	return Measurement{"poll of a load endpoint", fmt.Sprintf("%d servers", servers), float64(used) / float64(reports.Load()-before) / 1e3, "µs"}
}
