package jpsettings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// smallText is a valid text that sets keys at every level.
const smallText = `# shared settings
[defaults]
cold_duration = 20s
slots = 4

[service.order_desk]
address = 10.80.0.1
port = 443
kind = stream
connections = 500

[region.tasmania]
slots = 3
[region.tasmania.hobart] ; main site
state = out
connections = 900
[region.tasmania.devonport]

[region.tasmania.hobart.order_desk]
idle_probe = 90s
[region.tasmania.hobart.order_desk.od-1]
address = 127.2.1.1:5555
load = http://127.2.1.1:8080/load
slots = 9   # twice the memory
[region.tasmania.devonport.order_desk.od-2]
address = 127.2.2.1:5555
load = http://127.2.2.1:8080/load
state = draining
`

// TestParseResolves guards against a value inherited from the wrong level.
func TestParseResolves(t *testing.T) {
	tree, err := Parse("small.ini", []byte(smallText))
	if err != nil {
		t.Fatal(err)
	}
	servers := tree.Services[0].Servers
	limits := []Limits{
		{9, 500, 1, 100, 20 * time.Second, 90 * time.Second, 10},
		{3, 500, 1, 100, 20 * time.Second, 60 * time.Second, 10},
	}
	for i, want := range limits {
		if servers[i].Limits != want {
			t.Errorf("%s: limits %+v, want %+v", servers[i].Name, servers[i].Limits, want)
		}
	}
	od1, od2 := servers[0], servers[1]
	if od1.DataCentre != "hobart" || od1.Region != "tasmania" || !od1.Out || od1.Draining {
		t.Errorf("od-1: %+v", od1)
	}
	if od2.DataCentre != "devonport" || od2.Out || !od2.Draining {
		t.Errorf("od-2: %+v", od2)
	}
	if want := []DataCentre{{"devonport", "tasmania", false}, {"hobart", "tasmania", true}}; !reflect.DeepEqual(tree.DataCentres, want) {
		t.Errorf("data centres %+v, want %+v", tree.DataCentres, want)
	}
}

// TestParseRefuses guards against accepting an invalid text, and against errors
// without the file and line of the problem.
func TestParseRefuses(t *testing.T) {
	const server2 = "127.2.2.1:5555"
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "slots = 3", "slot = 3", "[region.tasmania] slot: unknown key"},
		{"unknown section", "[region.tasmania]\n", "[regoin.tasmania]\n", "[regoin.tasmania] unknown section"},
		{"identity key at wrong level", "idle_probe = 90s", "state = out", "state: unknown key"},
		{"zero", "slots = 3", "slots = 0", "slots: \"0\" is not a whole number from 1"},
		{"negative duration", "cold_duration = 20s", "cold_duration = -20s", "cold_duration: \"-20s\" is not a duration"},
		{"duration without unit", "cold_duration = 20s", "cold_duration = 20", "cold_duration: \"20\" is not a duration"},
		{"no value", "state = out", "state =", "state: \"\" is not one of in, out"},
		{"unknown choice", "kind = stream", "kind = streem", "kind: \"streem\" is not one of request, stream"},
		{"IPv6", "address = 10.80.0.1", "address = fe80::1", "is not the IPv4 address"},
		{"no port", server2, "127.2.2.1", "address: \"127.2.2.1\" is not the IPv4 address and port"},
		{"no scheme", "http://127.2.2.1:8080/load", "127.2.2.1/load", "load: "},
		{"missing key", "kind = stream\n", "", "[service.order_desk] kind: key is missing"},
		{"repeated key", "slots = 3", "slots = 3\nslots = 3", "slots: key is repeated, first on line"},
		{"repeated section", "[region.tasmania]\n", "[region.tasmania]\n[region.tasmania]\n", "section is repeated"},
		{"same server address", server2, "127.2.1.1:6666", "127.2.1.1 is also the address of [region.tasmania.hobart.order_desk.od-1]"},
		{"same server name", "order_desk.od-2", "order_desk.od-1", "server name is also used by"},
		{"same service address", "[region.tasmania]", "[service.b]\naddress = 10.80.0.1\nport = 443\nkind = stream\n[region.tasmania]", "is also the address and port of"},
		{"data centre in two regions", "[region.tasmania]", "[region.lj]\n[region.lj.hobart]\n[region.tasmania]", "data centre is also in region"},
		{"undeclared data centre", "tasmania.devonport.order", "tasmania.devonprot.order", "section [region.tasmania.devonprot] is missing"},
		{"undeclared service", "devonport.order_desk.", "devonport.order_dsk.", "section [service.order_dsk] is missing"},
		{"udp that is not repeatable", "kind = stream", "kind = request\nprotocol = udp", "a service over udp must be repeatable"},
		{"cold limit above full limit", "cold_duration = 20s", "cold_slots = 5", "cold_slots: 5 exceeds slots"},
		{"key before sections", "# shared", "slots = 1\n# shared", "key stands before the first section"},
		{"no delimiter", "slots = 3", "slots 3", "expected [section] or key = value"},
		{"open bracket", "[region.tasmania]\n", "[region.tasmania\n", "no closing bracket"},
		{"multi-line value", "slots = 3", "slots = `3\n`", "multi-line values are not supported"},
		{"text after header", "[region.tasmania]\n", "[region.tasmania] slots = 3\n", "unexpected text"},
		{"not UTF-8", "# shared", "# \xff", "not valid UTF-8"},
	}
	for _, tc := range cases {
		if !strings.Contains(smallText, tc.old) {
			t.Fatalf("%s: text has no %q", tc.name, tc.old)
		}
		text := strings.Replace(smallText, tc.old, tc.new, 1)
		_, err := Parse("small.ini", []byte(text))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want %q", tc.name, err, tc.want)
			continue
		}
		if problems := Problems(err); len(problems) == 0 || problems[0].File != "small.ini" || problems[0].Line == 0 {
			t.Errorf("%s: no file and line in %+v", tc.name, err)
		}
	}
	if _, err := Parse("empty.ini", nil); err == nil {
		t.Error("a text without services was accepted")
	}
}

// TestParseReportsAll guards against reporting only the first of several problems.
func TestParseReportsAll(t *testing.T) {
	text := strings.NewReplacer("slots = 3", "slots = x", "port = 443", "port = 0", "state = draining", "stat = active").Replace(smallText)
	_, err := Parse("small.ini", []byte(text))
	var lines []int
	for _, se := range Problems(err) {
		lines = append(lines, se.Line)
	}
	if want := []int{8, 13, 28}; !reflect.DeepEqual(lines, want) {
		t.Errorf("problems on lines %v, want %v: %v", lines, want, err)
	}
}

// TestExamples guards against example settings whose numbers of data centres,
// servers and slots differ from those of the users that they stand for.
func TestExamples(t *testing.T) {
	cases := []struct {
		file    string
		centres int
		slots   int
		servers map[string]int
	}{
		{"derwent.ini", 3, 2, map[string]int{"order_desk": 14, "catalogue": 4, "order_requests": 4}},
		{"popravek.ini", 4, 3, map[string]int{"notice": 14, "archive": 4, "filings": 4}},
	}
	for _, tc := range cases {
		text, err := os.ReadFile("../../examples/" + tc.file)
		if err != nil {
			t.Fatal(err)
		}
		tree, err := Parse(tc.file, text)
		if err != nil {
			t.Fatal(err)
		}
		if len(tree.DataCentres) != tc.centres || len(tree.Services) != len(tc.servers) {
			t.Errorf("%s: %d data centres, %d services", tc.file, len(tree.DataCentres), len(tree.Services))
		}
		for _, sv := range tree.Services {
			if len(sv.Servers) != tc.servers[sv.Name] || sv.Servers[0].Limits.Slots != tc.slots {
				t.Errorf("%s: service %s has %d servers with %d slots", tc.file, sv.Name, len(sv.Servers), sv.Servers[0].Limits.Slots)
			}
		}
	}
}
