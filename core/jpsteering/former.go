package jpsteering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jptable"
)

// formerServer is a server that formerly served a service address.
type formerServer struct {
	server      *server
	rankName    string    // name under which it was ranked for the address's flows
	serverCount int       // servers of the service at that time
	until       time.Time // when the settings may drop it from the list
}

// listsFormer reports whether the settings list a server as a former one of any
// service address.
func listsFormer(tree *jpsettings.Tree, ad netip.Addr) bool {
	return slices.ContainsFunc(tree.Former, func(fm jpsettings.FormerServer) bool { return fm.ServerAddress.Addr() == ad })
}

// addFormerServers adds the former servers of the service addresses from the list
// in the settings, so that all instances search them in the same order, whether
// they have seen the former settings or not.
func (up *settingsUpdate) addFormerServers(keys map[serviceKey]*service) {
	for _, sv := range keys {
		sv.former = nil
		sv.formerListed = up.tree.Former != nil && sv.removedVersion == 0
	}
	byID := map[string]*server{}
	for _, sr := range slices.Concat(up.st.servers, allServers(keys)) {
		byID[sr.id] = sr
	}
	for ix := range up.tree.Former {
		fm := &up.tree.Former[ix]
		if !fm.ServiceAddress.Addr().Is4() || !fm.ServerAddress.Addr().Is4() {
			continue
		}
		key := serviceKey{fm.ServiceAddress.Addr().As4(), fm.ServiceAddress.Port(), uint8(fm.Protocol)}
		sv := keys[key]
		if sv == nil {
			sv = removedService(fm, key)
			keys[key] = sv
		}
		if sv.removedVersion != 0 && !sv.formerListed {
			sv.clearRanking()
		}
		sv.former = append(sv.former, formerServer{up.resolveFormer(sv, fm, byID), fm.Server, fm.ServerCount, fm.Until})
	}
	for _, sr := range allServers(keys) {
		up.applyDataCentreOut(sr)
	}
}

// removedService returns a service without servers for an address that is no longer
// in the settings.
func removedService(fm *jpsettings.FormerServer, key serviceKey) *service {
	return &service{
		cfg:            jpsettings.Service{Name: fm.Service, Address: fm.ServiceAddress, Protocol: fm.Protocol},
		key:            key,
		removedVersion: 1,
		current: serverSet{
			table:     jptable.Build(&jpsettings.Service{}),
			byAddress: map[netip.Addr]*server{},
		},
	}
}

// clearRanking drops the rank table of a removed service, so that the list in the
// settings determines the order of its servers.
func (sv *service) clearRanking() {
	ss := &sv.current
	sv.current = serverSet{table: jptable.Build(&jpsettings.Service{}), removed: ss.all(), byAddress: ss.byAddress}
	sv.formerListed = true
}

// resolveFormer returns the server that fm refers to: one of the present settings,
// one that was removed from them while this instance ran, or a new one.
func (up *settingsUpdate) resolveFormer(sv *service, fm *jpsettings.FormerServer, byID map[string]*server) *server {
	ad := fm.ServerAddress.Addr()
	sr := sv.serverAt(ad)
	if configured := up.st.byName[fm.Service]; sr == nil && configured != nil {
		sr = configured.current.byAddress[ad]
	}
	id := serverID(fm.Service, fm.Server, fm.ServerAddress)
	if sr == nil {
		sr = byID[id]
	}
	if sr == nil {
		sr = up.newFormerServer(sv, fm)
	}
	if !sr.inSettings() {
		sr.id = id
	}
	byID[sr.id] = sr
	if sv.serverAt(ad) == nil {
		sv.attach(sr)
	}
	return sr
}

// newFormerServer returns a server that was removed from the settings before this
// instance started.
func (up *settingsUpdate) newFormerServer(sv *service, fm *jpsettings.FormerServer) *server {
	parent := up.st.byName[fm.Service]
	switch {
	case parent != nil:
	case sv.removedVersion != 0 && sv.cfg.Name == fm.Service:
		parent = sv
	default:
		parent = removedService(fm, serviceKey{})
	}
	sr := &server{service: parent, cfg: jpsettings.Server{
		Name: fm.Server, DataCentre: fm.DataCentre, Address: fm.ServerAddress, Draining: true,
		Limits: jpsettings.Limits{IdleProbe: fm.IdleProbe},
	}}
	sr.configureAdmission()
	return sr
}

// attach adds a former server to those of a service address.
func (sv *service) attach(sr *server) {
	ad := sr.cfg.Address.Addr()
	if sr.service.cfg.Name != sv.cfg.Name {
		sv.previous = append(sv.previous, &serverSet{
			table:     jptable.Build(&jpsettings.Service{}),
			removed:   []*server{sr},
			byAddress: map[netip.Addr]*server{ad: sr},
		})
		return
	}
	sv.current.removed = append(sv.current.removed, sr)
	sortServers(sv.current.removed)
	sv.current.byAddress[ad] = sr
}

// inSettings reports whether the server is in the present settings.
func (sr *server) inSettings() bool { return sr.service.removedVersion == 0 && sr.service.contains(sr) }

// applyDataCentreOut applies the out setting of its data centre to a server that
// was removed from the settings.
func (up *settingsUpdate) applyDataCentreOut(sr *server) {
	if sr.inSettings() {
		return
	}
	for _, dc := range up.tree.DataCentres {
		if dc.Name == sr.cfg.DataCentre && dc.Out != sr.cfg.Out {
			up.serversTakenOut = up.serversTakenOut || dc.Out
			sr.cfg.Out = dc.Out
			sr.configureAdmission()
		}
	}
}

// appendFormer appends the former servers of the service's address, the most
// recently removed first, and those removed at the same time in the order in which
// the flow was offered to them.
func (sv *service) appendFormer(list []*server, hash uint64) []*server {
	type ranked struct {
		formerServer
		score uint64
	}
	rows := make([]ranked, 0, len(sv.former))
	for _, fs := range sv.former {
		rows = append(rows, ranked{fs, jptable.Score(fs.rankName, fs.serverCount, hash)})
	}
	slices.SortStableFunc(rows, func(a, b ranked) int {
		return cmp.Or(b.until.Compare(a.until), cmp.Compare(b.score, a.score))
	})
	for _, rk := range rows {
		if !slices.Contains(list, rk.server) {
			list = append(list, rk.server)
		}
	}
	return list
}
