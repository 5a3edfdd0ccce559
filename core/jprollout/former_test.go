package jprollout

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"jacinthpass/core/jpsettings"
)

// nextTree returns the settings that follow others an hour later, from words such as
// "desk@1=a,bz": the service desk at 10.80.0.1 with the server a at 127.2.0.1 and
// the server bz at 127.2.0.2. "out" takes the servers' data centre out.
func nextTree(previous *jpsettings.Tree, words string) *jpsettings.Tree {
	tree := &jpsettings.Tree{Version: previous.Version + 1}
	words, out := strings.CutSuffix(words, " out")
	tree.DataCentres = []jpsettings.DataCentre{{Name: "dc", Out: out}}
	for _, word := range strings.Fields(words) {
		name, rest, _ := strings.Cut(word, "@")
		address, servers, _ := strings.Cut(rest, "=")
		sv := jpsettings.Service{Name: name, Address: netip.MustParseAddrPort("10.80.0." + address + ":443")}
		for _, server := range strings.Split(servers, ",") {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, server[0] - 'a' + 1}), 5555)
			sv.Servers = append(sv.Servers, jpsettings.Server{Name: server, DataCentre: "dc", Address: at, Out: out})
		}
		tree.Services = append(tree.Services, sv)
	}
	tree.Former = FormerServers(time.Unix(0, 0).Add(time.Duration(tree.Version)*time.Hour), previous, tree)
	return tree
}

// TestFormerServers guards against flows that an instance cannot locate because
// its settings do not list the former servers of a service address, and against
// a list that grows without bound.
func TestFormerServers(t *testing.T) {
	cases := []struct {
		name  string
		texts []string // one for each hour
		want  string   // service address, service and server
	}{
		{"addresses exchanged", []string{"x@1=a y@2=b", "x@2=a y@1=b"}, "1 x/a, 2 y/b"},
		{"exchanged back", []string{"x@1=a y@2=b", "x@2=a y@1=b", "x@1=a y@2=b"}, "2 x/a, 1 y/b"},
		{"server left", []string{"x@1=a,b", "x@1=b"}, "1 x/a"},
		{"server returned", []string{"x@1=a,b", "x@1=b", "x@1=a,b"}, ""},
		{"service left", []string{"x@1=a y@2=b", "y@2=b"}, "1 x/a"},
		{"latest first", []string{"x@1=a,b,c", "x@1=b,c", "x@1=c"}, "1 x/b, 1 x/a"},
		{"23 hours later", slices.Concat([]string{"x@1=a,b"}, slices.Repeat([]string{"x@1=b"}, 24)), "1 x/a"},
		{"24 hours later", slices.Concat([]string{"x@1=a,b"}, slices.Repeat([]string{"x@1=b"}, 25)), ""},
		{"service renamed", []string{"x@1=a,b", "z@1=a,b"}, ""},
		{"service renamed and moved", []string{"x@1=a", "z@2=a"}, "1 x/a"},
		{"moved, then renamed", []string{"x@1=a", "x@2=a", "z@2=a"}, "1 z/a"},
		{"moved, then server renamed", []string{"x@1=a", "x@2=a", "x@2=an"}, "1 x/an"},
		{"data centre out", []string{"x@1=a,b", "x@1=b", "x@1=b out", "x@1=b"}, ""},
		{"left while out", []string{"x@1=a,b out", "x@1=b"}, ""},
	}
	for _, tc := range cases {
		tree := &jpsettings.Tree{}
		for _, text := range tc.texts {
			tree = nextTree(tree, text)
		}
		var rows []string
		for _, fm := range tree.Former {
			rows = append(rows, fmt.Sprintf("%d %s/%s", fm.ServiceAddress.Addr().As4()[3], fm.Service, fm.Server))
		}
		if got := strings.Join(rows, ", "); got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
	full := nextTree(&jpsettings.Tree{}, "x@1=a,b")
	full.Former = slices.Repeat([]jpsettings.FormerServer{{Until: time.Unix(1<<16, 0)}}, MaxFormer)
	full.Former[0].Until = time.Unix(1<<15, 0)
	list := nextTree(full, "x@1=b").Former
	if len(list) != MaxFormer || list[MaxFormer-1].Until.Unix() == 1<<15 {
		t.Errorf("%d entries, the last until %v", len(list), list[MaxFormer-1].Until)
	}
}
