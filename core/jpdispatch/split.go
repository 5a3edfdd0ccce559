package jpdispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpsplit"
)

const (
	// maxFullnessAge is the age of reports above which a service's fullness is not
	// acted on: three intervals of the peers' statuses.
	maxFullnessAge = 1500 * time.Millisecond

	// spillSalt makes the part of flows that is spilled independent of the part that
	// weights select.
	spillSalt = 1
)

// split divides the flows of a route between services by weights.
type split struct {
	shares []jpsplit.Share[string]
	*spill
}

// spill is what a set of services passes to each other. Routes with the same set share it.
type spill struct {
	services []string
	*jpsplit.Spill[string]
}

// assignSplits finds the splits of a manifest. Sets of services that remain keep what they
// pass to each other.
func (ds *Dispatcher) assignSplits(mf *jpdirectory.Manifest) {
	spills := map[string]*spill{}
	ds.splits = map[netip.AddrPort]split{}
	for _, rt := range mf.Routes {
		var shares []jpsplit.Share[string]
		var services []string
		for _, tg := range rt.Targets {
			shares = append(shares, jpsplit.Share[string]{Target: tg.Service, Weight: tg.Weight})
			if tg.Weight > 0 && !slices.Contains(services, tg.Service) {
				services = append(services, tg.Service)
			}
		}
		if len(services) < 2 {
			delete(ds.splits, rt.Address) // of an earlier route with the address
			continue
		}
		key := strings.Join(services, "\n")
		if spills[key] == nil {
			spills[key] = cmp.Or(ds.spills[key], &spill{services: services, Spill: jpsplit.New[string]()})
		}
		ds.splits[rt.Address] = split{shares, spills[key]}
	}
	ds.spills = spills
}

// adjustSpills lets what services pass to others follow their fullness.
func (ds *Dispatcher) adjustSpills(now time.Time) {
	for _, sp := range ds.spills {
		ds.adjustSpill(now, sp)
	}
}

func (ds *Dispatcher) adjustSpill(now time.Time, sp *spill) {
	var loads []jpsplit.Load[string]
	for _, name := range sp.services {
		ld := jpsplit.Load[string]{Target: name}
		if ds.takesFlows(now, name) {
			es := ds.fullness(now, ds.services[name])
			ld.Requests, ld.Slots = es.Requests, max(es.Slots, 1) // 0 if all may not answer
			ld.Known = !es.Guess && now.Sub(es.OldestAt) <= maxFullnessAge
		}
		loads = append(loads, ld)
	}
	sp.Adjust(now, loads)
}

// selectService returns the name of the service that gets a new flow of a route. Copies
// of its SYN go to the service that got the first one.
func (ds *Dispatcher) selectService(now time.Time, rt *jpdirectory.Route, pk Packet) string {
	sl, ok := ds.splits[rt.Address]
	if !ok {
		return weightedService(rt)
	}
	if fl := ds.flows.Get(keyOf(pk)); fl != nil && fl.synSequence == pk.Sequence && fl.server != nil && sl.allows(fl.server.cfg.Service) {
		return fl.server.cfg.Service
	}
	choice := sl.choose(pk)
	if !sl.Closed(choice.Target) && !ds.takesFlows(now, choice.Target) {
		ds.adjustSpill(now, sl.spill) // it has closed since the latest adjustment
		choice = sl.choose(pk)
	}
	return choice.Target
}

// weightedService returns the service of a route that has a weight, if it is the only one.
func weightedService(rt *jpdirectory.Route) string {
	for _, tg := range rt.Targets {
		if tg.Weight > 0 {
			return tg.Service
		}
	}
	return ""
}

func (sl split) choose(pk Packet) jpsplit.Choice[string] {
	choice, _ := sl.Select(sl.shares, jpsplit.Draw{
		Weight: flowHash(pk, 0), Spill: float64(flowHash(pk, spillSalt)>>11) / (1 << 53),
	})
	return choice
}

// allows reports whether a service may get flows of the split.
func (sl split) allows(service string) bool { return slices.Contains(sl.services, service) }

// takesFlows reports whether a service has a warm server that may get new flows.
func (ds *Dispatcher) takesFlows(now time.Time, name string) bool {
	sc := ds.services[name]
	if sc == nil {
		return false
	}
	return slices.ContainsFunc(sc.servers, func(sr *server) bool {
		return ds.eligible(now, sc, sr) && ds.mayAnswer(now, sc, sr)
	})
}

// spilledFrom returns the service that a new flow would have got by the weights of its
// route, if it was placed on a server of another one, and an empty string otherwise.
func (ds *Dispatcher) spilledFrom(pk Packet, dc Decision) string {
	sl, ok := ds.splits[pk.Route]
	sr := ds.serversByTag[dc.Server.Tag]
	if !ok || sr == nil || dc.Outcome != Forward || dc.Reason != Placed {
		return ""
	}
	from, _ := jpsplit.ByWeight(sl.shares, flowHash(pk, 0))
	if from == sr.cfg.Service {
		return ""
	}
	return from
}
