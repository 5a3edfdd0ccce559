package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpsettings"
)

// settingsUpdate is the state of a change from one settings tree to the next.
type settingsUpdate struct {
	st                *Steerer
	now               time.Time
	tree              *jpsettings.Tree
	firstSettings     bool
	previous          map[serviceKey]service // the services under the previous settings
	addressReassigned bool                   // a service address has passed to another service
	serversTakenOut   bool                   // a server's data centre was taken out of service
}

// retireServices closes services that were removed from the settings to new flows.
func (up *settingsUpdate) retireServices() {
	configured := map[string]bool{}
	for ix := range up.tree.Services {
		configured[up.tree.Services[ix].Name] = true
	}
	for name, sv := range up.st.byName {
		if configured[name] {
			continue
		}
		sv.removedVersion = max(up.tree.Version, 1)
		for _, sr := range sv.current.servers {
			sr.cfg.Draining = true
			sr.configureAdmission()
		}
		delete(up.st.byName, name)
	}
}

// applyService applies the settings of one service. Servers that remain keep their state.
func (up *settingsUpdate) applyService(cfg *jpsettings.Service) {
	sv := up.st.byName[cfg.Name]
	if sv == nil {
		sv = &service{}
		up.st.byName[cfg.Name] = sv
	}
	newAddress := sv.key != serviceKeyOf(cfg)
	known := up.knownServers(sv, serviceKeyOf(cfg))
	if newAddress {
		sv.previous = nil
	}
	sv.cfg = *cfg
	sv.key = serviceKeyOf(cfg)
	sv.current = serverSet{table: up.st.tables.ForService(cfg.Name), byAddress: map[netip.Addr]*server{}}
	for _, sc := range cfg.Servers {
		sr := known[sc.Address.Addr()]
		if sr == nil {
			sr = &server{cfg: sc, service: sv, addedAtRuntime: !up.firstSettings && !up.mayHoldFlows(sv.key, sc.Address.Addr())}
			up.startCold(sr)
		}
		delete(known, sc.Address.Addr())
		up.updateServer(sr, sv, sc)
		sv.current.servers = append(sv.current.servers, sr)
		sv.current.byAddress[sc.Address.Addr()] = sr
		sv.retryBudget.Percent = sc.Limits.RetryPercent
	}
	for ad, sr := range known {
		sr.cfg.Draining = true
		sr.entriesComplete = false
		sr.configureAdmission()
		sv.current.removed = append(sv.current.removed, sr)
		sv.current.byAddress[ad] = sr
	}
	sortServers(sv.current.removed)
}

// mayHoldFlows reports whether a server that is new to a service may hold flows already,
// because it served this service address, or any other, before.
func (up *settingsUpdate) mayHoldFlows(key serviceKey, ad netip.Addr) bool {
	old := up.previous[key]
	return old.serverAt(ad) != nil || listsFormer(up.tree, ad)
}

// knownServers returns the present servers of a service by address, which identifies
// the machine. A service that takes over the address of a removed service takes over
// its servers too, since it may be the same service renamed.
func (up *settingsUpdate) knownServers(sv *service, key serviceKey) map[netip.Addr]*server {
	known := map[netip.Addr]*server{}
	for _, sr := range sv.current.all() {
		known[sr.cfg.Address.Addr()] = sr
	}
	if old := up.previous[key]; sv.key != key {
		for _, sr := range old.current.all() {
			if ad := sr.cfg.Address.Addr(); sr.service.removedVersion != 0 && known[ad] == nil {
				known[ad] = sr
			}
		}
	}
	return known
}

// updateServer applies new settings to a server. A server that returns to service
// starts cold.
func (up *settingsUpdate) updateServer(sr *server, sv *service, cfg jpsettings.Server) {
	returned := sr.cfg.Out && !cfg.Out
	up.serversTakenOut = up.serversTakenOut || cfg.Out && !sr.cfg.Out
	sr.cfg = cfg
	if sr.service != sv {
		sr.netArrivalsAtLoad = sv.loadEstimate.netArrivals
	}
	sr.service = sv
	sr.id = sr.computeID()
	sr.configureAdmission()
	if returned {
		up.startCold(sr)
	}
	if !sr.owned {
		return
	}
	if returned {
		// No instance can have sent the server flows since it returned.
		sr.entriesComplete = sr.entriesComplete || up.st.soleOwner(up.now, sr)
		sr.admission.TakeOver(up.now, true)
	}
}

// startCold makes the server start cold if this instance takes it over within 3/2 of
// its cold duration, whichever instance owns it until then. Servers of the instance's
// first settings are not new.
func (up *settingsUpdate) startCold(sr *server) {
	if !up.firstSettings {
		sr.coldUntil = up.now.Add(sr.cfg.Limits.ColdDuration * 3 / 2)
	}
}

// replaceServices maps the service addresses to the services of the new tree. Flows of
// an address that passed to another service, or to none, keep their servers.
func (up *settingsUpdate) replaceServices() {
	keys := map[serviceKey]*service{}
	for _, sv := range up.st.byName {
		keys[sv.key] = sv
	}
	for key, old := range up.previous {
		current, sv := up.st.services[key], keys[key]
		switch {
		case sv == nil && current.key == key:
			keys[key] = current
		case sv == nil:
			kept := old
			kept.removedVersion = max(up.tree.Version, 1)
			keys[key] = &kept
		case sv != current:
			sv.previous = append([]*serverSet{&old.current}, old.previous...)
			sv.previous = sv.previous[:min(len(sv.previous), maxPreviousSets)]
			up.addressReassigned = true
		}
	}
	dropOldestRemoved(keys)
	up.addFormerServers(keys)
	up.st.services = keys
	up.st.servers = allServers(keys)
}

// dropOldestRemoved bounds the addresses of removed services, which are kept only for
// their existing flows, to maxRemovedAddresses.
func dropOldestRemoved(keys map[serviceKey]*service) {
	for {
		count := 0
		var oldest *service
		for _, sv := range keys {
			if sv.removedVersion == 0 {
				continue
			}
			count++
			if oldest == nil || sv.removedVersion < oldest.removedVersion {
				oldest = sv
			}
		}
		if count <= maxRemovedAddresses {
			return
		}
		delete(keys, oldest.key)
	}
}
