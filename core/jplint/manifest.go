package jplint

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"jacinthpass/core/jpdirectory"
)

// ReviewManifest reviews a manifest. inForce is the one that it would replace, or nil.
func ReviewManifest(mf, inForce *jpdirectory.Manifest) Report {
	rv := &manifestReview{Manifest: mf, services: map[string]jpdirectory.Service{}}
	rv.reviewServices()
	rv.reviewRoutes()
	rv.reviewUse()
	if mf.IdleTimeout < 0 {
		rv.add(Error, "limits", "the idle timeout %v is negative", mf.IdleTimeout)
	}
	var rp Report
	if inForce != nil {
		rv.reviewReplacement(inForce)
		rp.Changes = changes(manifestValues(inForce), manifestValues(mf))
	}
	rp.Findings = sorted(rv.findings)
	return rp
}

type manifestReview struct {
	*jpdirectory.Manifest
	services map[string]jpdirectory.Service
	findings []Finding
}

func (rv *manifestReview) add(level Level, place, format string, args ...any) {
	rv.findings = append(rv.findings, Finding{level, place, fmt.Sprintf(format, args...)})
}

func routePlace(rt jpdirectory.Route) string {
	if rt.Name == "" {
		return fmt.Sprintf("route to %v", rt.Address)
	}
	return fmt.Sprintf("route %q", rt.Name)
}

func servicePlace(name string) string { return fmt.Sprintf("service %q", name) }

func (rv *manifestReview) reviewServices() {
	for _, sc := range rv.Services {
		place := servicePlace(sc.Name)
		if _, ok := rv.services[sc.Name]; ok {
			rv.add(Error, place, "the name is used twice; only the last one counts")
		}
		rv.services[sc.Name] = sc
		if sc.Name == "" {
			rv.add(Error, place, "the name is empty")
		}
		if sc.MaxFlows < 1 {
			rv.add(Error, place, "at most %d flows for each server: none gets any", sc.MaxFlows)
		}
		if sc.ColdTime < 0 || sc.ColdPerSecond < 0 {
			rv.add(Error, place, "the cold time %v or its %g flows a second are negative", sc.ColdTime, sc.ColdPerSecond)
		}
		if sc.ColdTime > 0 && sc.ColdPerSecond > 0 && sc.ColdPerSecond*sc.ColdTime.Seconds() < 1 {
			rv.add(Warning, place, "%g flows a second are less than one in the cold time of %v", sc.ColdPerSecond, sc.ColdTime)
		}
	}
}

func (rv *manifestReview) reviewRoutes() {
	names, addresses := map[string]bool{}, map[netip.AddrPort]jpdirectory.Route{}
	for _, rt := range rv.Routes {
		place := routePlace(rt)
		if names[rt.Name] && rt.Name != "" {
			rv.add(Warning, place, "the name is used twice")
		}
		names[rt.Name] = true
		if other, ok := addresses[rt.Address]; ok {
			rv.add(Error, routePlace(other), "never matches: %s has the same address %v", place, rt.Address)
		}
		addresses[rt.Address] = rt
		if addr := rt.Address.Addr(); !addr.Is4() || addr.IsUnspecified() || addr.IsMulticast() || rt.Address.Port() == 0 {
			rv.add(Error, place, "never matches: %v is not the IPv4 address and port of a host", rt.Address)
		}
		rv.reviewTargets(rt)
		rv.reviewTimes(rt)
		if rt.Priority < 0 {
			rv.add(Error, place, "the priority %d is negative; 0 is the highest", rt.Priority)
		}
	}
}

func (rv *manifestReview) reviewTargets(rt jpdirectory.Route) {
	place := routePlace(rt)
	total := 0
	seen := map[string]bool{}
	for _, tg := range rt.Targets {
		total += max(tg.Weight, 0)
		if _, ok := rv.services[tg.Service]; !ok {
			rv.add(Error, place, "%s does not exist", servicePlace(tg.Service))
		}
		if seen[tg.Service] {
			rv.add(Warning, place, "%s is named twice", servicePlace(tg.Service))
		}
		seen[tg.Service] = true
		if tg.Weight < 0 {
			rv.add(Error, place, "the weight %d of %s is negative", tg.Weight, servicePlace(tg.Service))
		}
	}
	switch {
	case len(rt.Targets) == 0:
		rv.add(Error, place, "it has no service: all its flows are refused")
	case total == 0:
		rv.add(Error, place, "all weights are 0: all its flows are refused")
	}
}

func (rv *manifestReview) reviewTimes(rt jpdirectory.Route) {
	place := routePlace(rt)
	if rt.Timeout < 0 || rt.TargetLatency < 0 {
		rv.add(Error, place, "the timeout %v or the target latency %v is negative", rt.Timeout, rt.TargetLatency)
		return
	}
	if rt.Timeout > 0 && rt.TargetLatency > rt.Timeout {
		rv.add(Warning, place, "the target latency %v is above the timeout %v", rt.TargetLatency, rt.Timeout)
	}
	if rv.IdleTimeout > 0 && rt.Timeout > rv.IdleTimeout {
		rv.add(Warning, place, "the timeout %v is above the idle timeout %v: flows end while a request waits", rt.Timeout, rv.IdleTimeout)
	}
}

// reviewUse reviews each service together with the routes that lead to it.
func (rv *manifestReview) reviewUse() {
	for _, sc := range rv.Services {
		var users []jpdirectory.Route
		for _, rt := range rv.Routes {
			for _, tg := range rt.Targets {
				if tg.Service == sc.Name && tg.Weight > 0 {
					users = append(users, rt)
					break
				}
			}
		}
		if len(users) == 0 {
			rv.add(Warning, servicePlace(sc.Name), "no route leads to it")
		}
		rv.reviewPriorities(sc.Name, users)
	}
}

// reviewPriorities finds routes that get ahead of others against their priority: flows of
// a route without a target latency never wait.
func (rv *manifestReview) reviewPriorities(service string, users []jpdirectory.Route) {
	for _, ahead := range users {
		for _, behind := range users {
			if ahead.TargetLatency == 0 && behind.TargetLatency > 0 && behind.Priority < ahead.Priority {
				rv.add(Warning, routePlace(ahead), "states no target latency, so its flows to %s never wait, before those of %s of higher priority",
					servicePlace(service), routePlace(behind))
				break
			}
		}
	}
}

// reviewReplacement reviews what the manifest does to the one in force.
func (rv *manifestReview) reviewReplacement(inForce *jpdirectory.Manifest) {
	if rv.Version <= inForce.Version {
		rv.add(Error, "version", "%d is not above %d, which is in force", rv.Version, inForce.Version)
	}
	kept := map[netip.AddrPort]bool{}
	for _, rt := range rv.Routes {
		kept[rt.Address] = true
	}
	for _, rt := range inForce.Routes {
		if !kept[rt.Address] {
			rv.add(Warning, routePlace(rt), "no route has its address %v any more: its open flows are reset", rt.Address)
		}
	}
}

// manifestValues returns the values of a manifest, without its version.
func manifestValues(mf *jpdirectory.Manifest) []Value {
	list := []Value{{"limits", "idle_timeout", mf.IdleTimeout.String()}}
	for _, rt := range mf.Routes {
		var targets []string
		for _, tg := range rt.Targets {
			targets = append(targets, fmt.Sprintf("%s %d", tg.Service, tg.Weight))
		}
		place := routePlace(rt)
		list = append(list,
			Value{place, "address", rt.Address.String()},
			Value{place, "kind", kindNames[rt.Kind]},
			Value{place, "services", strings.Join(targets, ", ")},
			Value{place, "timeout", durationText(rt.Timeout)},
			Value{place, "target_latency", durationText(rt.TargetLatency)},
			Value{place, "priority", fmt.Sprint(rt.Priority)},
		)
	}
	for _, sc := range mf.Services {
		place := servicePlace(sc.Name)
		list = append(list,
			Value{place, "max_flows", fmt.Sprint(sc.MaxFlows)},
			Value{place, "cold_time", durationText(sc.ColdTime)},
			Value{place, "cold_per_second", fmt.Sprint(sc.ColdPerSecond)},
		)
	}
	return list
}

var kindNames = map[jpdirectory.RouteKind]string{
	jpdirectory.Repeatable: "repeatable", jpdirectory.Unrepeatable: "unrepeatable", jpdirectory.Download: "download",
}

// durationText returns a duration, or "none" for 0.
func durationText(du time.Duration) string {
	if du == 0 {
		return "none"
	}
	return du.String()
}
