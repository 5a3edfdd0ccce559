package jplint

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// validManifest returns a manifest without findings.
func validManifest() *jpdirectory.Manifest {
	route := func(name, address string, targets ...jpdirectory.Target) jpdirectory.Route {
		return jpdirectory.Route{
			Name: name, Address: netip.MustParseAddrPort(address), Targets: targets,
			Timeout: 4 * time.Second, TargetLatency: 400 * time.Millisecond, Priority: 1,
		}
	}
	return &jpdirectory.Manifest{
		Version: 7, IdleTimeout: 12 * time.Second,
		Routes: []jpdirectory.Route{
			route("status", "198.18.0.1:443", jpdirectory.Target{Service: "desk", Weight: 9}, jpdirectory.Target{Service: "print", Weight: 1}),
			route("bag", "198.18.0.2:443", jpdirectory.Target{Service: "desk", Weight: 1}),
		},
		Services: []jpdirectory.Service{
			{Name: "desk", MaxFlows: 2000, ColdTime: 2 * time.Second, ColdPerSecond: 5}, {Name: "print", MaxFlows: 2000},
		},
	}
}

// Guards against faults of a manifest that are not found, and others that are invented.
func TestManifestFindings(t *testing.T) {
	for _, ts := range []struct {
		name   string
		change func(mf *jpdirectory.Manifest)
		want   []Finding // without their problems
	}{
		{"valid", func(*jpdirectory.Manifest) {}, nil},
		{"weight 0 beside another", func(mf *jpdirectory.Manifest) { mf.Routes[0].Targets[0].Weight = 0 }, nil},
		{"empty", func(mf *jpdirectory.Manifest) { *mf = jpdirectory.Manifest{} }, nil},
		{"same address", func(mf *jpdirectory.Manifest) { mf.Routes[1].Address = mf.Routes[0].Address }, []Finding{{Level: Error, Place: `route "status"`}}},
		{"same name", func(mf *jpdirectory.Manifest) { mf.Routes[1].Name = "status" }, []Finding{{Level: Warning, Place: `route "status"`}}},
		{"no name", func(mf *jpdirectory.Manifest) { mf.Routes[1].Name, mf.Routes[1].Targets = "", nil }, []Finding{{Level: Error, Place: "route to 198.18.0.2:443"}}},
		{"no port", func(mf *jpdirectory.Manifest) { mf.Routes[1].Address = netip.MustParseAddrPort("198.18.0.2:0") }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"IPv6", func(mf *jpdirectory.Manifest) { mf.Routes[1].Address = netip.MustParseAddrPort("[fd00::1]:443") }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"no address", func(mf *jpdirectory.Manifest) { mf.Routes[1].Address = netip.AddrPort{} }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"all weights 0", func(mf *jpdirectory.Manifest) { mf.Routes[1].Targets[0].Weight = 0 }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"negative weight", func(mf *jpdirectory.Manifest) { mf.Routes[0].Targets[0].Weight = -1 }, []Finding{{Level: Error, Place: `route "status"`}}},
		{"service missing", func(mf *jpdirectory.Manifest) { mf.Routes[1].Targets[0].Service = "dekk" }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"service twice in a route", func(mf *jpdirectory.Manifest) { mf.Routes[0].Targets[1].Service = "desk" },
			[]Finding{{Level: Warning, Place: `route "status"`}, {Level: Warning, Place: `service "print"`}}},
		{"service without route", func(mf *jpdirectory.Manifest) { mf.Routes[0].Targets[1].Weight = 0 }, []Finding{{Level: Warning, Place: `service "print"`}}},
		{"service twice", func(mf *jpdirectory.Manifest) { mf.Services = append(mf.Services, mf.Services[1]) }, []Finding{{Level: Error, Place: `service "print"`}}},
		{"no flows", func(mf *jpdirectory.Manifest) { mf.Services[0].MaxFlows = 0 }, []Finding{{Level: Error, Place: `service "desk"`}}},
		{"cold rate too low", func(mf *jpdirectory.Manifest) { mf.Services[0].ColdPerSecond = 0.4 }, []Finding{{Level: Warning, Place: `service "desk"`}}},
		{"negative cold time", func(mf *jpdirectory.Manifest) { mf.Services[0].ColdTime = -1 }, []Finding{{Level: Error, Place: `service "desk"`}}},
		{"target above timeout", func(mf *jpdirectory.Manifest) { mf.Routes[1].TargetLatency = 5 * time.Second }, []Finding{{Level: Warning, Place: `route "bag"`}}},
		{"idle timeout below timeout", func(mf *jpdirectory.Manifest) { mf.Routes[1].Timeout = 13 * time.Second }, []Finding{{Level: Warning, Place: `route "bag"`}}},
		{"negative timeout", func(mf *jpdirectory.Manifest) { mf.Routes[1].Timeout = -1 }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"negative idle timeout", func(mf *jpdirectory.Manifest) { mf.IdleTimeout = -1 }, []Finding{{Level: Error, Place: "limits"}}},
		{"negative priority", func(mf *jpdirectory.Manifest) { mf.Routes[1].Priority = -1 }, []Finding{{Level: Error, Place: `route "bag"`}}},
		{"ahead of a higher priority", func(mf *jpdirectory.Manifest) { mf.Routes[0].Priority, mf.Routes[0].TargetLatency = 2, 0 }, []Finding{{Level: Warning, Place: `route "status"`}}},
		{"no target, same priority", func(mf *jpdirectory.Manifest) { mf.Routes[0].TargetLatency = 0 }, nil},
		{"no target, other services", func(mf *jpdirectory.Manifest) {
			mf.Routes[0].Priority, mf.Routes[0].TargetLatency, mf.Routes[0].Targets[0].Weight = 2, 0, 0
		}, nil},
	} {
		mf := validManifest()
		ts.change(mf)
		got := ReviewManifest(mf, nil).Findings
		for ix := range got {
			if got[ix].Problem == "" {
				t.Errorf("%s: a finding without a problem", ts.name)
			}
			got[ix].Problem = ""
		}
		if !slices.Equal(got, ts.want) {
			t.Errorf("%s: %+v, want %+v", ts.name, got, ts.want)
		}
	}
}

// Guards against changes that are not shown, and shown ones that are none.
func TestManifestChanges(t *testing.T) {
	next := validManifest()
	next.Version = 8
	next.Routes[0].Targets[0].Weight = 8
	next.Routes[1].Name, next.Routes[1].Address = "bags", netip.MustParseAddrPort("198.18.0.3:443")
	next.Services[0].ColdTime = 0
	rp := ReviewManifest(next, validManifest())
	if len(rp.Findings) != 1 || rp.Findings[0].Place != `route "bag"` || rp.ExitCode() != ExitWarnings {
		t.Errorf("findings %+v, want that the address of \"bag\" is gone", rp.Findings)
	}
	want := []Change{
		{`route "status"`, "services", "desk 9, print 1", "desk 8, print 1"}, {`route "bags"`, "address", "", "198.18.0.3:443"},
		{`route "bags"`, "kind", "", "repeatable"}, {`route "bags"`, "services", "", "desk 1"}, {`route "bags"`, "timeout", "", "4s"},
		{`route "bags"`, "target_latency", "", "400ms"}, {`route "bags"`, "priority", "", "1"}, {`service "desk"`, "cold_time", "2s", "none"},
	}
	if got := rp.Changes[:min(len(want), len(rp.Changes))]; !slices.Equal(got, want) {
		t.Errorf("changes %+v, want %+v first", got, want)
	}
	if len(rp.Changes) != len(want)+6 || rp.Changes[len(want)].Place != `route "bag"` {
		t.Errorf("%d changes, want 6 more for \"bag\": %+v", len(rp.Changes), rp.Changes)
	}
	rp = ReviewManifest(validManifest(), validManifest())
	if len(rp.Changes) != 0 || rp.ExitCode() != ExitErrors {
		t.Errorf("the version in force again: %+v, want no change and an error for the version", rp)
	}
}
