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

// meanModel is a service whose owners know the loads of some servers only and
// place flows under the soft cap of the mean that they work out from them.
type loadModel struct {
	table         *jptable.Table
	ownerOf       []int   // of each server
	serversOf     [][]int // servers of each owner
	heardOwners   [][]int // owners that each owner hears
	loads         []int
	reportedLoads []int // as of the last round
	means         []float64
	flowServers   []uint16 // server of each open flow
	random        *rand.Rand
	ownWeight     float64 // weight of what an owner hears of loads itself, 1 without gossip

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

// round tells all loads and works out the means.
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

// place opens a flow: under the soft cap at the first four ranks, else at the first.
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

// end ends a flow drawn at random.
func (mm *loadModel) endRandomFlow() {
	ix := mm.random.IntN(len(mm.flowServers))
	mm.loads[mm.flowServers[ix]]--
	mm.flowServers[ix] = mm.flowServers[len(mm.flowServers)-1]
	mm.flowServers = mm.flowServers[:len(mm.flowServers)-1]
}

// run fills the service to a mean load and then replaces its flows three times.
// It returns the largest imbalance and its mean in the last third.
func (mm *loadModel) run(load int) (worst, mean float64) {
	const rounds = 20 // of loads told while the flows are replaced once
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

// nearest returns the distances of the nearest owners, or of all if there are few.
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

// powers returns the distances 1, 2, 4, 8, ... in both directions.
func powerOfTwoOffsets(owners int) []int {
	var list []int
	for dist := 1; dist <= owners/2; dist *= 2 {
		list = append(list, dist, -dist)
	}
	return list
}

// BenchmarkSampledMean compares the imbalance of a large service by the owners
// that each owner hears, and with a mean that is spread by gossip.
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
