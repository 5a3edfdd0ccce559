package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpsettings"
)

// update is the change from one settings tree to the next.
type settingsUpdate struct {
	st                *Steerer
	now               time.Time
	tree              *jpsettings.Tree
	firstSettings     bool
	previous          map[serviceKey]service // as they were under the previous settings
	addressReassigned bool                   // a service address belongs to another service
	serversTakenOut   bool                   // a server's data centre was taken out
}

// retire takes services that left the settings out of use for new flows.
func (up *settingsUpdate) retireServices() {
	named := map[string]bool{}
	for ix := range up.tree.Services {
		named[up.tree.Services[ix].Name] = true
	}
	for name, sv := range up.st.byName {
		if named[name] {
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

// apply takes over one service and keeps the state of servers that stay.
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
	sv.current = serverSet{table: up.st.tables.Of(cfg.Name), byAddress: map[netip.Addr]*server{}}
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

// hadBefore tells whether a server that is new to a service may hold flows: it had
// the service address before, or another one.
func (up *settingsUpdate) mayHoldFlows(key serviceKey, ad netip.Addr) bool {
	old := up.previous[key]
	return old.serverAt(ad) != nil || listsFormer(up.tree, ad)
}

// known returns the present servers of a service by address, which identifies
// the machine. A service that takes over the address of one that left the
// settings takes over its servers too: it may be the same service renamed.
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

// keep carries a server over to new settings. One that comes back into service
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
		// Nobody can have sent the server flows since it returned.
		sr.entriesComplete = sr.entriesComplete || up.st.soleOwner(up.now, sr)
		sr.admission.Reset(up.now, true)
	}
}

// warmLater makes the server start cold, whichever instance owns it meanwhile.
func (up *settingsUpdate) startCold(sr *server) {
	if !up.firstSettings {
		sr.coldUntil = up.now.Add(sr.cfg.Limits.ColdDuration * 3 / 2)
	}
}

// replaceKeys puts the services of the tree at their addresses. Flows of an
// address that went to another service, or to none, keep their servers.
func (up *settingsUpdate) replaceServices() {
	keys := map[serviceKey]*service{}
	for _, sv := range up.st.byName {
		keys[sv.key] = sv
	}
	for key, old := range up.previous {
		was, sv := up.st.services[key], keys[key]
		switch {
		case sv == nil && was.key == key:
			keys[key] = was
		case sv == nil:
			kept := old
			kept.removedVersion = max(up.tree.Version, 1)
			keys[key] = &kept
		case sv != was:
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

// dropOldest bounds the addresses that are kept for their old flows alone.
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
