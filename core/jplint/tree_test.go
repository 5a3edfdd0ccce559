package jplint

import (
	"slices"
	"strings"
	"testing"

	"jacinthpass/core/jpsettings"
)

const validSettings = `[service.desk]
address = 203.0.113.10
port = 443
kind = request
[region.tasmania.hobart]
[region.tasmania.hobart.desk.d1]
address = 10.1.0.1:7000
load = http://10.1.0.1:7001/load
[region.tasmania.burnie]
[region.tasmania.burnie.desk.d2]
address = 10.2.0.1:7000
load = http://10.2.0.1:7001/load
`

// Guards against faults of settings that are not found, and others that are invented.
func TestTreeFindings(t *testing.T) {
	for _, ts := range []struct {
		name, old, new string // replaced in validSettings
		want           []Finding
	}{
		{"valid", "", "", nil},
		{"no server", "[region.tasmania.hobart]", "[service.print]\naddress = 203.0.113.11\nport = 443\nkind = request\n[region.tasmania.hobart]",
			[]Finding{{Level: Warning, Place: `service "print"`}}},
		{"one drains", "d1]", "d1]\nstate = draining", nil},
		{"one drains, one is out", "d1]\n", "d1]\nstate = draining\n", nil},
		{"all drain", "load =", "state = draining\nload =", []Finding{{Level: Warning, Place: `service "desk"`}}},
		{"connections below slots", "d1]", "d1]\nslots = 9\nconnections = 8\ncold_connections = 8", []Finding{{Level: Warning, Place: `server "d1" of service "desk"`}}},
		{"cold connections below cold slots", "d1]", "d1]\nslots = 9\ncold_slots = 9\ncold_connections = 8", []Finding{{Level: Warning, Place: `server "d1" of service "desk"`}}},
		{"data centre without server", "[region.tasmania.burnie]", "[region.tasmania.ross]\n[region.tasmania.burnie]", []Finding{{Level: Warning, Place: `data centre "ross"`}}},
		{"all out", "[region.tasmania.hobart]\n", "[region.tasmania.hobart]\nstate = out\n", nil},
		{"unknown key", "d1]", "d1]\nslot = 9", []Finding{{Level: Error, Place: "a.ini:7: [region.tasmania.hobart.desk.d1] slot"}}},
		{"no section", "[service.desk]", "desk", []Finding{{Level: Error, Place: "a.ini:1"}, {Level: Error, Place: "a.ini:2: address"}}},
	} {
		tree, err := jpsettings.Parse("a.ini", []byte(strings.ReplaceAll(validSettings, ts.old, ts.new)))
		got := TreeErrors(err)
		if err == nil {
			got = ReviewTree(tree, nil).Findings
		}
		for ix := range got {
			got[ix].Problem = ""
		}
		if len(got) > len(ts.want) && ts.name == "no section" {
			got = got[:len(ts.want)] // one more for each key
		}
		if !slices.Equal(got, ts.want) {
			t.Errorf("%s: %+v, want %+v", ts.name, got, ts.want)
		}
	}
}

// Guards against inherited values that change without being shown.
func TestTreeChanges(t *testing.T) {
	parse := func(text string) *jpsettings.Tree {
		tree, err := jpsettings.Parse("", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return tree
	}
	next := strings.ReplaceAll(validSettings, "[region.tasmania.burnie]", "[region.tasmania]\nslots = 4\n[region.tasmania.burnie]\nstate = out")
	rp := ReviewTree(parse(next), parse(validSettings))
	want := []Change{
		{`data centre "burnie"`, "out", "false", "true"},
		{`server "d1" of service "desk"`, "slots", "2", "4"}, {`server "d2" of service "desk"`, "slots", "2", "4"},
	}
	if !slices.Equal(rp.Changes, want) || len(rp.Findings) != 0 {
		t.Errorf("%+v, want the changes %+v", rp, want)
	}
}

// Guards against settings that stop the review.
func FuzzReviewTree(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[service.a]\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		tree, err := jpsettings.Parse("a.ini", text)
		TreeErrors(err)
		if err == nil {
			ReviewTree(tree, tree)
		}
	})
}
