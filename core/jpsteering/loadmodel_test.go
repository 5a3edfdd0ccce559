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
	ownerOf       []int     // owner of each server
	serversOf     [][]int   // servers of each owner
	heardOwners   [][]int   // owners whose loads each owner receives
	loads         []int     // open flows at each server
	reportedLoads []int     // loads at the last exchange
	meanEstimates []float64 // by each owner, flows per server
	flowServers   []uint16  // server of each open flow
	rng           *rand.Rand
	ownWeight     float64 // weight of the mean of received loads, against the means that peers estimate; 1 without gossip

	offers, placements int // servers tried, flows placed
}

const modelInstances = 580 // instances among which the servers' owners are drawn

func newLoadModel(servers int, peerOffsets func(owners int) []int, ownWeight float64) *loadModel {
	lm := &loadModel{ownWeight: ownWeight, rng: rand.New(rand.NewPCG(1, 2))}
	sv := jpsettings.Service{Name: "desk"}
	places := map[int]int{}
	for no := range servers {
		sv.Servers = append(sv.Servers, jpsettings.Server{Name: fmt.Sprint("s", no)})
		id := lm.rng.IntN(modelInstances)
		if _, ok := places[id]; !ok {
			places[id] = len(lm.serversOf)
			lm.serversOf = append(lm.serversOf, nil)
		}
		lm.ownerOf = append(lm.ownerOf, places[id])
		lm.serversOf[places[id]] = append(lm.serversOf[places[id]], no)
	}
	lm.table = jptable.Build(&sv)
	lm.loads, lm.reportedLoads = make([]int, servers), make([]int, servers)
	lm.meanEstimates = make([]float64, len(lm.serversOf))
	for ow := range lm.serversOf {
		var list []int
		for _, offset := range peerOffsets(len(lm.serversOf)) {
			list = append(list, (ow+offset+len(lm.serversOf))%len(lm.serversOf))
		}
		lm.heardOwners = append(lm.heardOwners, list)
	}
	return lm
}

// exchangeLoads sends all loads and estimates the means.
func (lm *loadModel) exchangeLoads() {
	copy(lm.reportedLoads, lm.loads)
	next := make([]float64, len(lm.meanEstimates))
	for ow := range lm.serversOf {
		total, count, means := 0, 0, 0.
		for _, from := range append([]int{ow}, lm.heardOwners[ow]...) {
			for _, sr := range lm.serversOf[from] {
				total += lm.reportedLoads[sr]
				count++
			}
			means += lm.meanEstimates[from]
		}
		mean := float64(total) / float64(count)
		means /= float64(len(lm.heardOwners[ow]) + 1)
		next[ow] = lm.ownWeight*mean + (1-lm.ownWeight)*means
	}
	lm.meanEstimates = next
}

// placeFlow opens a flow at the first of four ranks that is below the soft cap,
// or else at the first rank.
func (lm *loadModel) placeFlow() {
	row := lm.table.Row(lm.rng.Uint64())
	lm.placements++
	for _, sr := range row[:4] {
		lm.offers++
		if float64(lm.loads[sr]) < jpadmission.SoftCap(lm.meanEstimates[lm.ownerOf[sr]]) {
			lm.openFlow(sr)
			return
		}
	}
	lm.offers++
	lm.openFlow(row[0])
}

func (lm *loadModel) openFlow(sr uint16) {
	lm.loads[sr]++
	lm.flowServers = append(lm.flowServers, sr)
}

// endRandomFlow ends an open flow chosen at random.
func (lm *loadModel) endRandomFlow() {
	ix := lm.rng.IntN(len(lm.flowServers))
	lm.loads[lm.flowServers[ix]]--
	lm.flowServers[ix] = lm.flowServers[len(lm.flowServers)-1]
	lm.flowServers = lm.flowServers[:len(lm.flowServers)-1]
}

// run opens flows up to a mean load per server, then replaces three times as many.
// It returns the largest and the mean imbalance, which is the largest load divided
// by the mean load, during the last third of the replacements.
func (lm *loadModel) run(load int) (worst, mean float64) {
	const rounds = 20 // exchanges of loads per third of the replacements
	total := load * len(lm.loads)
	for no := range 4 * total {
		if no%(total/rounds) == 0 {
			lm.exchangeLoads()
			if no >= 3*total {
				got := float64(slices.Max(lm.loads)) / float64(load)
				worst = max(worst, got)
				mean += got / rounds
			}
		}
		if len(lm.flowServers) >= total {
			lm.endRandomFlow()
		}
		lm.placeFlow()
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
		name        string
		peerOffsets func(owners int) []int
		ownWeight   float64
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
					var lm *loadModel
					for b.Loop() {
						lm = newLoadModel(servers, row.peerOffsets, row.ownWeight)
						worst, mean = lm.run(load)
					}
					b.ReportMetric(mean, "mean")
					b.ReportMetric(worst, "largest")
					b.ReportMetric(float64(lm.offers)/float64(lm.placements), "offers/flow")
					b.ReportMetric(float64(len(lm.heardOwners[0])), "heard")
				})
			}
		}
	}
}
