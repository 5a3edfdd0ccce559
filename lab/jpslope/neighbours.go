package jpslope

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/io/jpstore"
	"jacinthpass/lab/jpstorestand"
)

// sampledInstances is the maximum number of instances whose neighbours are counted.
const sampledInstances = 12

// measureNeighbours counts the instances that an instance exchanges heartbeats with
// and the server loads that it sends them, as jpmember and jpsteering select them.
func measureNeighbours() ([]Measurement, error) {
	var out []Measurement
	for _, ft := range []Fleet{
		CurrentFleet, {72, 1100, 3300, 6, 0}, {290, 1100, 3300, 6, 0}, DesignFleet,
		{580, 1100, 3300, 6, 50}, {580, 1100, 3300, 6, 200}, {580, 1100, 3300, 6, 1000},
	} {
		list, err := ft.neighbourCounts()
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

func (ft Fleet) neighbourCounts() ([]Measurement, error) {
	tree, err := ft.tree(2)
	if err != nil {
		return nil, err
	}
	rows := ft.InstanceList()
	var owned, total, sent, most int
	sample := min(sampledInstances, len(rows))
	for ix := range sample {
		row := rows[ix*len(rows)/sample]
		st := ft.steerer(row.ID, tree)
		neighbours := ft.neighboursOf(row, st.Peers())
		owned += len(st.Loads(epoch))
		total += len(neighbours)
		most = max(most, len(neighbours))
		for _, loads := range st.LoadsByPeer(epoch) {
			sent += len(loads)
		}
	}
	size := ft.String()
	return []Measurement{
		{"owned servers", size, float64(owned) / float64(sample), ""},
		{"neighbours", size, float64(total) / float64(sample), ""},
		{"neighbours, most", size, float64(most), ""},
		{"loads told twice a second", size, float64(sent) / float64(sample), ""},
	}, nil
}

// neighboursOf returns the instances that an instance is connected to. The need is
// mutual, because voters, and owners of servers of the same services, monitor each
// other. So no instance connects to this one that it does not itself connect to.
func (ft Fleet) neighboursOf(row jpmember.Listed, wanted []string) []jpmember.Member {
	group := jpmember.NewGroup(jpmember.Member{ID: row.ID, DataCentre: row.DataCentre}, epoch)
	group.HandleList(epoch, ft.InstanceList())
	group.Monitor(wanted)
	return group.Neighbours()
}

// measureInstanceList measures the size of the platform's instance list and the cost
// of reading it.
func measureInstanceList() ([]Measurement, error) {
	var out []Measurement
	for _, ft := range []Fleet{CurrentFleet, DesignFleet} {
		rows := ft.InstanceList()
		text, err := json.Marshal(rows)
		if err != nil {
			return nil, err
		}
		size := fmt.Sprintf("%d instances", ft.Instances)
		out = append(out, Measurement{"answer of the stand-in store", size, float64(listResponseSize(rows)) / 1e3, "KB"})
		group := jpmember.NewGroup(jpmember.Member{ID: rows[0].ID, DataCentre: rows[0].DataCentre}, epoch)
		now := epoch
		co := measureCost(func() {
			now = now.Add(time.Millisecond)
			var read []jpmember.Listed
			if json.Unmarshal(text, &read) == nil {
				group.HandleList(now, read)
				group.View()
			}
		})
		out = append(out, co.measurements("read the instance list", size)...)
	}
	return out, nil
}

// listResponseSize returns the size of the instance list as the platform sends it, in
// bytes.
func listResponseSize(rows []jpmember.Listed) int {
	store := jpstorestand.New()
	for _, row := range rows {
		store.Register(row)
	}
	rec := httptest.NewRecorder()
	store.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/catalog/service/"+jpstore.ServiceName, nil))
	return rec.Body.Len()
}
