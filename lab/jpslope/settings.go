package jpslope

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/core/jptable"
)

// epoch is the time at which each simulation starts.
var epoch = time.Unix(1_790_000_000, 0)

func (ft Fleet) String() string {
	size := fmt.Sprintf("%d instances, %d servers", ft.Instances, ft.Servers)
	if ft.ExtraServiceServers > 0 {
		size += fmt.Sprintf(", one service of %d more", ft.ExtraServiceServers)
	}
	return size
}

// tree returns the settings of the fleet at a version. In odd versions one server is
// draining.
func (ft Fleet) tree(version uint64) (*jpsettings.Tree, error) {
	text := ft.Settings()
	if version%2 == 1 {
		text = bytes.Replace(text, []byte("state = active"), []byte("state = draining"), 1)
	}
	return ft.parse(text, version)
}

// treeWithoutDataCentre returns the settings with the first data centre out of
// service.
func (ft Fleet) treeWithoutDataCentre(version uint64) (*jpsettings.Tree, error) {
	return ft.parse(bytes.Replace(ft.Settings(), []byte("state = in\n"), []byte("state = out\n"), 1), version)
}

func (ft Fleet) parse(text []byte, version uint64) (*jpsettings.Tree, error) {
	tree, err := jpsettings.Parse("settings", text)
	if err != nil {
		return nil, err
	}
	tree.Version = version
	return tree, nil
}

// steerer returns the Steerer of an instance that has the settings and the view of
// the fleet and considers all servers warm.
func (ft Fleet) steerer(self string, tree *jpsettings.Tree) *jpsteering.Steerer {
	st := jpsteering.New(self, epoch)
	st.ApplyView(epoch, ft.View(self), nil)
	st.ApplySettings(epoch, tree, nil)
	for _, sr := range st.OwnedServers() {
		st.HandleReport(epoch, jpsteering.Report{Service: sr.Service, Server: sr.Server.Addr(), State: jpsteering.ReportWarm})
	}
	return st
}

func measureSettings() ([]Measurement, error) {
	var out []Measurement
	for _, ft := range []Fleet{CurrentFleet, {290, 550, 1650, 6, 0}, DesignFleet, {580, 1100, 3300, 6, 1000}} {
		list, err := ft.settingsCosts()
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	for _, servers := range []int{3, 14, 100, 1000} {
		tree, err := Fleet{1, 1, servers, 6, 0}.tree(0)
		if err != nil {
			return nil, err
		}
		co := measureCost(func() { jptable.Build(&tree.Services[0]) })
		out = append(out, co.measurements("rank table", fmt.Sprintf("%d servers", servers))...)
	}
	return out, nil
}

// settingsCosts measures the cost of the settings, and of changes to them, at one
// instance.
func (ft Fleet) settingsCosts() ([]Measurement, error) {
	text, size := ft.Settings(), ft.String()
	var compressed bytes.Buffer
	zw := gzip.NewWriter(&compressed)
	if _, err := zw.Write(text); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	out := []Measurement{
		{"settings text", size, float64(len(text)) / 1e3, "KB"},
		{"settings text, gzip", size, float64(compressed.Len()) / 1e3, "KB"},
	}
	var tree *jpsettings.Tree
	var err error
	parse := measureCost(func() { tree, err = ft.parse(text, 2) })
	if err != nil {
		return nil, err
	}
	out = append(out, parse.measurements("parse settings", size)...)

	draining, err := ft.tree(1)
	if err != nil {
		return nil, err
	}
	withoutDC, err := ft.treeWithoutDataCentre(1)
	if err != nil {
		return nil, err
	}
	before := heapInUse()
	st := ft.steerer(ft.InstanceList()[0].ID, tree)
	out = append(out, Measurement{"memory of settings in force", size, (heapInUse() - before) / 1e6, "MB"})
	version := tree.Version
	for _, change := range []struct {
		name string
		tree *jpsettings.Tree
	}{{"a change of one server", draining}, {"a data centre out or in", withoutDC}} {
		build, apply := alternate(st, &version, change.tree, tree)
		out = append(out, measureCost(build).measurements("tables for "+change.name, size)...)
		out = append(out, measureCost(apply).measurements("apply "+change.name, size)...)
	}
	runtime.KeepAlive(st)
	return out, nil
}

// alternate returns two functions that alternate between two trees: build builds the
// rank tables of one tree from those of the other, apply applies a tree with its
// tables as the next version.
func alternate(st *jpsteering.Steerer, version *uint64, one, two *jpsettings.Tree) (build, apply func()) {
	trees := []*jpsettings.Tree{two, one} // indexed by version modulo 2
	tables := []*jptable.Tables{jptable.BuildTables(two, nil), nil}
	tables[1] = jptable.BuildTables(one, tables[0])
	turn := 0
	build = func() {
		turn = 1 - turn
		jptable.BuildTables(trees[turn], tables[1-turn])
	}
	apply = func() {
		*version++
		tree := *trees[*version%2]
		tree.Version = *version
		st.ApplyTables(epoch, &tree, tables[*version%2], nil)
	}
	return build, apply
}

func measureViews() ([]Measurement, error) {
	var out []Measurement
	for _, ft := range []Fleet{CurrentFleet, {290, 550, 1650, 6, 0}, DesignFleet} {
		tree, err := ft.tree(2)
		if err != nil {
			return nil, err
		}
		size := ft.String()
		list := ft.InstanceList()
		st := ft.steerer(list[0].ID, tree)
		views := []jpmember.View{ft.View(list[0].ID), ft.View(list[0].ID)}
		views[1].Members[len(views[1].Members)/2].State = jpmember.Dead
		turn := 0
		out = append(out, measureCost(func() {
			turn++
			st.ApplyView(epoch, views[turn%2], nil)
		}).measurements("apply a view", size)...)
		out = append(out, measureCost(func() { st.Peers() }).measurements("list wanted peers", size)...)
		out = append(out, measureCost(func() { st.OwnedServers() }).measurements("list owned servers", size)...)
		out = append(out, measureCost(func() { st.LoadsByPeer(epoch) }).measurements("list loads by peer", size)...)
		out = append(out, measureCost(func() { st.Tick(epoch, nil) }).measurements("tick without flows", size)...)
	}
	return out, nil
}
