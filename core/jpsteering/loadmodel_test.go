package jpsteering_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jptable"
)

// loadModel models a service whose owners receive the loads of some of the other
// owners only. They place flows below the soft cap, which depends on the mean load
// that they estimate from these loads.
type loadModel struct {
	table         *jptable.Table
	ownerOf       []int   // owner of each server
	serversOf     [][]int // servers of each owner
	heardOwners   [][]int // owners whose loads each owner receives
	loads         []int
	reportedLoads []int // loads at the last exchange
	means         []float64
	flowServers   []uint16 // server of each open flow
	random        *rand.Rand
	ownWeight     float64 // weight of the mean of received loads, against the means that peers estimate; 1 without gossip

	offers, placements int
}

const modelInstances = 580

func newLoadModel(servers int, hears func(owners int) []int, gossip float64) *loadModel {
	mm := &loadModel{ownWeight: gossip, random: rand.New(rand.NewPCG(1, 2))}
	sv := jpsettings.Service{Name: "desk"}
	places := map[int]int{}
	for no := range servers {
		sv.Servers = append(sv.Servers, jpsettings.Server{Name: fmt.Sprint("s", no)})
		id := mm.random.IntN(modelInstances)
		if _, ok := places[id]; !ok {
			places[id] = len(mm.serversOf)
			mm.serversOf = append(mm.serversOf, nil)
		}
		mm.ownerOf = append(mm.ownerOf, places[id])
		mm.serversOf[places[id]] = append(mm.serversOf[places[id]], no)
	}
	mm.table = jptable.Build(&sv)
	mm.loads, mm.reportedLoads = make([]int, servers), make([]int, servers)
	mm.means = make([]float64, len(mm.serversOf))
	for ow := range mm.serversOf {
		var list []int
		for _, offset := range hears(len(mm.serversOf)) {
			list = append(list, (ow+offset+len(mm.serversOf))%len(mm.serversOf))
		}
		mm.heardOwners = append(mm.heardOwners, list)
	}
	return mm
}

// exchangeLoads sends all loads and estimates the means.
func (mm *loadModel) exchangeLoads() {
	copy(mm.reportedLoads, mm.loads)
	next := make([]float64, len(mm.means))
	for ow := range mm.serversOf {
		total, count, means := 0, 0, 0.
		for _, from := range append([]int{ow}, mm.heardOwners[ow]...) {
			for _, sr := range mm.serversOf[from] {
				total += mm.reportedLoads[sr]
				count++
			}
			means += mm.means[from]
		}
		mean := float64(total) / float64(count)
		means /= float64(len(mm.heardOwners[ow]) + 1)
		next[ow] = mm.ownWeight*mean + (1-mm.ownWeight)*means
	}
	mm.means = next
}

// placeFlow opens a flow at the first of four ranks that is below the soft cap,
// or else at the first rank.
func (mm *loadModel) placeFlow() {
	row := mm.table.Row(mm.random.Uint64())
	mm.placements++
	for _, sr := range row[:4] {
		mm.offers++
		if float64(mm.loads[sr]) < jpadmission.SoftCap(mm.means[mm.ownerOf[sr]]) {
			mm.openFlow(sr)
			return
		}
	}
	mm.offers++
	mm.openFlow(row[0])
}

func (mm *loadModel) openFlow(sr uint16) {
	mm.loads[sr]++
	mm.flowServers = append(mm.flowServers, sr)
}

// endRandomFlow ends an open flow chosen at random.
func (mm *loadModel) endRandomFlow() {
	ix := mm.random.IntN(len(mm.flowServers))
	mm.loads[mm.flowServers[ix]]--
	mm.flowServers[ix] = mm.flowServers[len(mm.flowServers)-1]
	mm.flowServers = mm.flowServers[:len(mm.flowServers)-1]
}

// run opens flows up to a mean load per server, then replaces as many flows as
// are open three times. It returns the largest and the mean imbalance during the
// last of these times. Imbalance is the largest load divided by the mean.
func (mm *loadModel) run(load int) (worst, mean float64) {
	const rounds = 20 // exchanges of loads while all flows are replaced once
	total := load * len(mm.loads)
	for no := range 4 * total {
		if no%(total/rounds) == 0 {
			mm.exchangeLoads()
			if no >= 3*total {
				got := float64(slices.Max(mm.loads)) / float64(load)
				worst = max(worst, got)
				mean += got / rounds
			}
		}
		if len(mm.flowServers) >= total {
			mm.endRandomFlow()
		}
		mm.placeFlow()
	}
	return worst, mean
}

// nearestOwners returns a function that lists the offsets of the count nearest
// owners, or of all if there are fewer.
func nearestOwners(count int) func(int) []int {
	return func(owners int) []int {
		var list []int
		for no := range min(count, owners-1) {
			distance := no/2 + 1
			if no%2 == 1 {
				distance = -distance
			}
			list = append(list, distance)
		}
		return list
	}
}

// powerOfTwoOffsets returns the offsets 1, 2, 4, 8, ... in both directions.
func powerOfTwoOffsets(owners int) []int {
	var list []int
	for dist := 1; dist <= owners/2; dist *= 2 {
		list = append(list, dist, -dist)
	}
	return list
}

// BenchmarkSampledMean compares the imbalance of a large service for several
// choices of the owners from which each owner receives loads, and for a mean that
// is spread by gossip.
func BenchmarkSampledMean(b *testing.B) {
	rows := []struct {
		name   string
		hears  func(owners int) []int
		gossip float64
	}{
		{"all", nearestOwners(modelInstances), 1},
		{"nearest 8", nearestOwners(8), 1},
		{"nearest 16", nearestOwners(16), 1},
		{"nearest 24", nearestOwners(24), 1},
		{"powers of 2", powerOfTwoOffsets, 1},
		{"powers of 2, gossip", powerOfTwoOffsets, 0.2},
	}
	for _, servers := range []int{100, 1000} {
		for _, load := range []int{20, 200} {
			for _, row := range rows {
				b.Run(fmt.Sprintf("servers=%d/load=%d/%s", servers, load, row.name), func(b *testing.B) {
					var worst, mean float64
					var mm *loadModel
					for b.Loop() {
						mm = newLoadModel(servers, row.hears, row.gossip)
						worst, mean = mm.run(load)
					}
					b.ReportMetric(mean, "mean")
					b.ReportMetric(worst, "largest")
					b.ReportMetric(float64(mm.offers)/float64(mm.placements), "offers/flow")
					b.ReportMetric(float64(len(mm.heardOwners[0])), "heard")
				})
			}
		}
	}
}
