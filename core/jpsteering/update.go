package jpsteering

import (
	"net/netip"
	"time"

	"jacinthpass/core/jpsettings"
)

// update is the change from one settings tree to the next.
type update struct {
	st         *Steerer
	now        time.Time
	tree       *jpsettings.Tree
	first      bool
	former     map[serviceKey]service // as they were under the previous settings
	handedOver bool                   // a service address belongs to another service
	wentOut    bool                   // a server's data centre was taken out
}

// retire takes services that left the settings out of use for new flows.
func (up *update) retire() {
	named := map[string]bool{}
	for ix := range up.tree.Services {
		named[up.tree.Services[ix].Name] = true
	}
	for name, sv := range up.st.byName {
		if named[name] {
			continue
		}
		sv.gone = max(up.tree.Version, 1)
		for _, sr := range sv.lineup.servers {
			sr.cfg.Draining = true
			sr.configure()
		}
		delete(up.st.byName, name)
	}
}

// apply takes over one service and keeps the state of servers that stay.
func (up *update) apply(cfg *jpsettings.Service) {
	sv := up.st.byName[cfg.Name]
	if sv == nil {
		sv = &service{}
		up.st.byName[cfg.Name] = sv
	}
	newAddress := sv.key != keyOf(cfg)
	known := up.known(sv, keyOf(cfg))
	if newAddress {
		sv.before = nil
	}
	sv.cfg = *cfg
	sv.key = keyOf(cfg)
	sv.lineup = lineup{table: up.st.tables.ForService(cfg.Name), byAddress: map[netip.Addr]*server{}}
	for _, sc := range cfg.Servers {
		sr := known[sc.Address.Addr()]
		if sr == nil {
			sr = &server{cfg: sc, service: sv, added: !up.first && !up.hadBefore(sv.key, sc.Address.Addr())}
			up.warmLater(sr)
		}
		delete(known, sc.Address.Addr())
		up.keep(sr, sv, sc)
		sv.lineup.servers = append(sv.lineup.servers, sr)
		sv.lineup.byAddress[sc.Address.Addr()] = sr
		sv.budget.Percent = sc.Limits.RetryPercent
	}
	for ad, sr := range known {
		sr.cfg.Draining = true
		sr.complete = false
		sr.configure()
		sv.lineup.removed = append(sv.lineup.removed, sr)
		sv.lineup.byAddress[ad] = sr
	}
	sortServers(sv.lineup.removed)
}

// hadBefore tells whether a server that is new to a service may hold flows: it had
// the service address before, or another one.
func (up *update) hadBefore(key serviceKey, ad netip.Addr) bool {
	old := up.former[key]
	return old.find(ad) != nil || listsFormer(up.tree, ad)
}

// known returns the present servers of a service by address, which identifies
// the machine. A service that takes over the address of one that left the
// settings takes over its servers too: it may be the same service renamed.
func (up *update) known(sv *service, key serviceKey) map[netip.Addr]*server {
	known := map[netip.Addr]*server{}
	for _, sr := range sv.lineup.all() {
		known[sr.cfg.Address.Addr()] = sr
	}
	if old := up.former[key]; sv.key != key {
		for _, sr := range old.lineup.all() {
			if ad := sr.cfg.Address.Addr(); sr.service.gone != 0 && known[ad] == nil {
				known[ad] = sr
			}
		}
	}
	return known
}

// keep carries a server over to new settings. One that comes back into service
// starts cold.
func (up *update) keep(sr *server, sv *service, cfg jpsettings.Server) {
	returned := sr.cfg.Out && !cfg.Out
	up.wentOut = up.wentOut || cfg.Out && !sr.cfg.Out
	sr.cfg = cfg
	if sr.service != sv {
		sr.netThen = sv.balance.net
	}
	sr.service = sv
	sr.id = sr.key()
	sr.configure()
	if returned {
		up.warmLater(sr)
	}
	if !sr.mine {
		return
	}
	if returned {
		// Nobody can have sent the server flows since it returned.
		sr.complete = sr.complete || up.st.sole(up.now, sr)
		sr.admission.Reset(up.now, true)
	}
}

// warmLater makes the server start cold, whichever instance owns it meanwhile.
func (up *update) warmLater(sr *server) {
	if !up.first {
		sr.coldUntil = up.now.Add(sr.cfg.Limits.ColdDuration * 3 / 2)
	}
}

// replaceKeys puts the services of the tree at their addresses. Flows of an
// address that went to another service, or to none, keep their servers.
func (up *update) replaceKeys() {
	keys := map[serviceKey]*service{}
	for _, sv := range up.st.byName {
		keys[sv.key] = sv
	}
	for key, old := range up.former {
		was, sv := up.st.services[key], keys[key]
		switch {
		case sv == nil && was.key == key:
			keys[key] = was
		case sv == nil:
			kept := old
			kept.gone = max(up.tree.Version, 1)
			keys[key] = &kept
		case sv != was:
			sv.before = append([]*lineup{&old.lineup}, old.before...)
			sv.before = sv.before[:min(len(sv.before), maxBefore)]
			up.handedOver = true
		}
	}
	dropOldest(keys)
	up.placeFormer(keys)
	up.st.services = keys
	up.st.servers = allServers(keys)
}

// dropOldest bounds the addresses that are kept for their old flows alone.
func dropOldest(keys map[serviceKey]*service) {
	for {
		count := 0
		var oldest *service
		for _, sv := range keys {
			if sv.gone == 0 {
				continue
			}
			count++
			if oldest == nil || sv.gone < oldest.gone {
				oldest = sv
			}
		}
		if count <= maxGone {
			return
		}
		delete(keys, oldest.key)
	}
}
