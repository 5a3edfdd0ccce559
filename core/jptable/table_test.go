package jptable

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
)

func service(names ...string) *jpsettings.Service {
	sv := &jpsettings.Service{Name: "order_desk"}
	for _, name := range names {
		sv.Servers = append(sv.Servers, jpsettings.Server{Name: name})
	}
	return sv
}

func numbered(prefix string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i))
	}
	return names
}

// row returns the row for hash as names of servers.
func row(sv *jpsettings.Service, hash uint64) []string {
	var out []string
	for _, index := range Build(sv).Row(hash) {
		out = append(out, sv.Servers[index].Name)
	}
	return out
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

var nameGen = rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}-[0-9]{1,3}`), 1, 15, rapid.ID[string])

// Guards against flows that move between remaining servers when one is removed,
// added or taken out, and against instances that rank servers differently
// because their lists are ordered differently.
func TestRowOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := nameGen.Draw(rt, "servers")
		removed := rapid.SampledFrom(list).Draw(rt, "gone")
		hash := rapid.Uint64Range(0, minRows-1).Draw(rt, "hash") // the same row in tables of any size
		out := service(rapid.Permutation(list).Draw(rt, "order")...)
		for i := range out.Servers {
			out.Servers[i].Out = out.Servers[i].Name == removed
		}
		want := without(row(service(list...), hash), removed)
		for _, sv := range []*jpsettings.Service{service(without(list, removed)...), out} {
			if got := row(sv, hash); !slices.Equal(got, want) {
				rt.Fatalf("row %v, want %v", got, want)
			}
		}
	})
}

// Guards against searching a flow's former servers by score in an order other
// than that of the rank table by which the flow was placed.
func TestScore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := nameGen.Draw(rt, "servers")
		hash := rapid.Uint64().Draw(rt, "hash")
		want := row(service(list...), hash)
		slices.SortFunc(list, func(a, b string) int {
			return cmp.Compare(Score(b, len(list), hash), Score(a, len(list), hash))
		})
		if !slices.Equal(list, want) {
			rt.Fatalf("by score %v, row %v", list, want)
		}
	})
}

// Guards against servers that are out but rank for new flows, against taking a
// data centre out changing the order of the other servers for any flow, and
// against instances that rank servers differently because their lists are ordered
// differently.
func TestServersOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := nameGen.Draw(rt, "servers")
		all, sv := service(list...), service(rapid.Permutation(list).Draw(rt, "order")...)
		some := rapid.Bool().Draw(rt, "some out")
		var out []string
		for i := range sv.Servers {
			sv.Servers[i].Out = some && rapid.Bool().Draw(rt, "out")
			if sv.Servers[i].Out {
				out = append(out, sv.Servers[i].Name)
			}
		}
		hash := rapid.Uint64().Draw(rt, "hash")
		want := row(all, hash)
		for _, name := range out {
			want = without(want, name)
		}
		if got := row(sv, hash); !slices.Equal(got, want) {
			rt.Fatalf("row %v, want %v", got, want)
		}
	})
}

// Guards against tables with too few rows for an even distribution, and against
// tables of large services that exceed the memory limit.
func TestRowCount(t *testing.T) {
	tests := []struct{ servers, rows, width int }{
		{0, 256, 0}, {1, 512, 1}, {4, 2048, 4}, {14, 8192, 14}, {16, 8192, 16}, {17, 16384, 16}, {1000, 65536, 16},
	}
	for _, tt := range tests {
		tb := Build(service(numbered("od", tt.servers)...))
		if tb.Rows() != tt.rows || len(tb.Row(1<<63)) != tt.width {
			t.Errorf("%d servers: %d rows of %d, want %d of %d", tt.servers, tb.Rows(), len(tb.Row(0)), tt.rows, tt.width)
		}
	}
}

// homeCounts returns for each server the number of rows in which it is the first.
func homeCounts(servers, rows int, prefix string) []int {
	sv := service(numbered(prefix, servers)...)
	tb := buildRows(candidates(sv), rows)
	count := make([]int, servers)
	for row := range rows {
		count[tb.Row(uint64(row))[0]]++
	}
	return count
}

// Guards against a hash that prefers some servers: over many sets of names,
// chi-squared for each degree of freedom is 1 for independent fair choices.
// Its standard deviation here is at most 0.06.
func TestBalance(t *testing.T) {
	const sets = 200
	for _, servers := range []int{4, 14} {
		var chi float64
		for set := range sets {
			rows := rowCount(servers)
			mean := float64(rows) / float64(servers)
			for _, count := range homeCounts(servers, rows, fmt.Sprint("od", set)) {
				diff := float64(count) - mean
				chi += diff * diff / mean / float64(servers-1) / sets
			}
		}
		if chi < 0.8 || chi > 1.2 {
			t.Errorf("%d servers: chi-squared %.2f, want 1", servers, chi)
		}
	}
}

// BenchmarkImbalance reports the mean and largest imbalance over 200 sets of
// names, for 128 and 512 rows a server.
func BenchmarkImbalance(b *testing.B) {
	for _, servers := range []int{4, 14} {
		for _, perServer := range []int{128, 512} {
			b.Run(fmt.Sprintf("servers=%d/rows=%d", servers, perServer), func(b *testing.B) {
				rows := powerOfTwo(servers * perServer)
				var mean, worst, over float64
				for b.Loop() {
					mean, worst, over = 0, 0, 0
					for set := range 200 {
						most := slices.Max(homeCounts(servers, rows, fmt.Sprint("od", set)))
						got := float64(most) * float64(servers) / float64(rows)
						mean += got / 200
						worst = max(worst, got)
						if got > 1.10 {
							over += 1. / 200
						}
					}
				}
				b.ReportMetric(mean, "mean")
				b.ReportMetric(worst, "largest")
				b.ReportMetric(over, "share>1.10")
			})
		}
	}
}

func members(list []string, dataCentre string) []jpmember.Member {
	var out []jpmember.Member
	for _, id := range list {
		out = append(out, jpmember.Member{ID: id, DataCentre: dataCentre, State: jpmember.Alive})
	}
	return out
}

// Guards against servers that change their owner although it is alive, and
// against a successor that does not take over.
func TestOwnersSurviveRemoval(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := nameGen.Draw(rt, "members")
		server := rapid.String().Draw(rt, "server")
		all := members(list, "hobart")
		owner, successor := Owners(all, "hobart", server)
		removed := rapid.IntRange(0, len(all)-1).Draw(rt, "gone")
		all[removed].State = rapid.SampledFrom([]jpmember.State{jpmember.Unknown, jpmember.Leaving, jpmember.Dead}).Draw(rt, "state")
		next, after := Owners(rapid.Permutation(all).Draw(rt, "order"), "hobart", server)
		if all[removed].ID != owner && next != owner || all[removed].ID == owner && next != successor {
			rt.Fatalf("owner %q after %q left, want %q or its successor %q", next, all[removed].ID, owner, successor)
		}
		if next == all[removed].ID || after == all[removed].ID {
			rt.Fatalf("owners %q and %q include %q, which left", next, after, all[removed].ID)
		}
		if all[removed].ID != owner && all[removed].ID != successor && after != successor {
			rt.Fatalf("successor %q after %q left, want %q", after, all[removed].ID, successor)
		}
	})
}

// Guards against owners outside the data centre of the server while it has
// alive members, and against servers without an owner when it has none.
func TestOwnersDataCentre(t *testing.T) {
	dead := jpmember.Member{ID: "l-0", DataCentre: "launceston", State: jpmember.Dead}
	all := append(members([]string{"h-0", "h-1"}, "hobart"), members([]string{"d-0"}, "devonport")...)
	all = append(all, dead)
	tests := []struct {
		dataCentre string
		members    []jpmember.Member
		owners     []string
		successor  bool
	}{
		{"hobart", all, []string{"h-0", "h-1"}, true},
		{"devonport", all, []string{"d-0"}, false},
		{"launceston", all, []string{"h-0", "h-1", "d-0"}, true},
		{"hobart", []jpmember.Member{dead}, []string{""}, false},
	}
	for _, tt := range tests {
		owner, successor := Owners(tt.members, tt.dataCentre, "order_desk/od-1")
		if !slices.Contains(tt.owners, owner) || (successor != "") != tt.successor || successor == owner && owner != "" {
			t.Errorf("%s: owner %q, successor %q", tt.dataCentre, owner, successor)
		}
	}
}

// Guards against a hash that differs between machines or versions, which would
// send flows to the wrong home server during a rolling upgrade, and against
// allocations.
func TestHash(t *testing.T) {
	fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, Service: [4]byte{10, 80, 0, 1}, CallerPort: 40000, ServicePort: 443, Protocol: 6}
	if got, want := Hash(fl), uint64(0x6e9d28883d5cc16f); got != want {
		t.Errorf("hash %#x, want %#x", got, want)
	}
	tb := Build(service(numbered("od", 14)...))
	if allocs := testing.AllocsPerRun(100, func() { tb.Row(Hash(fl)) }); allocs != 0 {
		t.Errorf("%v allocations, want 0", allocs)
	}
}

func ExampleTable_Row() {
	sv := service("od-1", "od-2", "od-3")
	tb := Build(sv)
	fl := jppacket.Flow{Caller: [4]byte{192, 0, 2, 1}, CallerPort: 40000, ServicePort: 443, Protocol: 6}
	home := tb.Row(Hash(fl))[0]
	fmt.Println(sv.Servers[home].Name)
	// Output: od-1
}

func BenchmarkRow(b *testing.B) {
	tb := Build(service(numbered("od", 14)...))
	fl := jppacket.Flow{ServicePort: 443}
	b.ReportAllocs()
	for b.Loop() {
		fl.CallerPort++
		tb.Row(Hash(fl))
	}
}

func BenchmarkBuild(b *testing.B) {
	sv := service(numbered("od", 14)...)
	for b.Loop() {
		Build(sv)
	}
}

// TestTables guards against a table that is reused although its servers have
// changed, and against rebuilding unchanged tables, which is slow with a thousand
// servers.
func TestTables(t *testing.T) {
	tree := func(servers ...jpsettings.Server) *jpsettings.Tree {
		sv := jpsettings.Service{Name: "desk", Servers: servers}
		return &jpsettings.Tree{Services: []jpsettings.Service{sv, *service("a-1", "a-2")}}
	}
	one, two := jpsettings.Server{Name: "b-1"}, jpsettings.Server{Name: "b-2"}
	first := BuildTables(tree(one, two), nil)
	rows := []struct {
		name   string
		server jpsettings.Server
		reused bool
	}{
		{"unchanged", two, true},
		{"draining", jpsettings.Server{Name: "b-2", Draining: true}, true},
		{"out", jpsettings.Server{Name: "b-2", Out: true}, false},
		{"renamed", jpsettings.Server{Name: "b-3"}, false},
	}
	for _, row := range rows {
		next := tree(one, row.server)
		got := BuildTables(next, first)
		if reused := got.ForService("desk") == first.ForService("desk"); reused != row.reused {
			t.Errorf("%s: table reused: %v", row.name, reused)
		}
		if want := Build(&next.Services[0]); !reflect.DeepEqual(got.ForService("desk"), want) {
			t.Errorf("%s: not the table of its servers", row.name)
		}
		if got.ForService("order_desk") != first.ForService("order_desk") {
			t.Errorf("%s: table of the other service was built again", row.name)
		}
	}
	if swapped := BuildTables(tree(two, one), first); swapped.ForService("desk") == first.ForService("desk") {
		t.Error("table reused although its rows refer to servers in another order")
	}
	if empty := BuildTables(&jpsettings.Tree{}, first); empty.ForService("desk") != nil {
		t.Error("table of a service that left the settings")
	}
}
