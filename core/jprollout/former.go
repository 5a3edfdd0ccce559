package jprollout

import (
	"net/netip"
	"slices"
	"time"

	"jacinthpass/core/jpsettings"
)

const (
	// formerRetention is how long a server stays in Record.Former. Flows live for hours.
	formerRetention = 24 * time.Hour
	// MaxFormer bounds Record.Former. An entry takes about 190 bytes in the
	// store, so that the list leaves room for the text in a value of 1 MB.
	MaxFormer = 1000
)

// endpoint is a service address.
type endpoint struct {
	address  netip.AddrPort
	protocol jpsettings.Protocol
}

// settings are a tree whose services are found by name and by address.
type settingsIndex struct {
	byName    map[string]*jpsettings.Service
	byAddress map[endpoint]*jpsettings.Service
	out       map[string]bool // data centres
}

func newSettingsIndex(tree *jpsettings.Tree) settingsIndex {
	ix := settingsIndex{map[string]*jpsettings.Service{}, map[endpoint]*jpsettings.Service{}, map[string]bool{}}
	for i := range tree.Services {
		sv := &tree.Services[i]
		ix.byName[sv.Name] = sv
		ix.byAddress[endpoint{sv.Address, sv.Protocol}] = sv
	}
	for _, dc := range tree.DataCentres {
		ix.out[dc.Name] = dc.Out
	}
	return ix
}

// serverAt returns the server of a service with an address, which identifies the
// machine whatever its port and name.
func serverAt(sv *jpsettings.Service, ad netip.Addr) *jpsettings.Server {
	if sv == nil {
		return nil
	}
	at := slices.IndexFunc(sv.Servers, func(sr jpsettings.Server) bool { return sr.Address.Addr() == ad })
	if at < 0 {
		return nil
	}
	return &sv.Servers[at]
}

// nextFormer returns Former for a tree that follows the record read. A text in
// the store that is not valid was in force nowhere.
func nextFormer(now time.Time, stored Record, tree *jpsettings.Tree) []jpsettings.FormerServer {
	previous, err := jpsettings.Parse(settingsName, stored.Text)
	if err != nil {
		previous = &jpsettings.Tree{}
	}
	previous.Former = stored.Former
	return FormerServers(now, previous, tree)
}

// FormerServers returns the servers that had service addresses before, once one tree
// follows another. It is never nil.
func FormerServers(now time.Time, previous, tree *jpsettings.Tree) []jpsettings.FormerServer {
	before, after := newSettingsIndex(previous), newSettingsIndex(tree)
	list := []jpsettings.FormerServer{}
	for _, fm := range slices.Concat(formerEntries(now, previous), previous.Former) {
		current := after.byAddress[endpoint{fm.ServiceAddress, fm.Protocol}]
		switch {
		case !now.Before(fm.Until):
		case serverAt(current, fm.ServerAddress.Addr()) != nil: // it has the address
		case after.out[fm.DataCentre]: // its flows are given up
		default:
			list = append(list, withCurrentNames(fm, before, after))
		}
	}
	// With the clocks of several instances, a new entry can have an earlier
	// deadline than an old one.
	slices.SortStableFunc(list, func(a, b jpsettings.FormerServer) int { return b.Until.Compare(a.Until) })
	return list[:min(len(list), MaxFormer)]
}

// formerEntries returns an entry for every server of a tree, as if all lost their
// service addresses now.
func formerEntries(now time.Time, tree *jpsettings.Tree) []jpsettings.FormerServer {
	var list []jpsettings.FormerServer
	for _, sv := range tree.Services {
		for _, sr := range sv.Servers {
			if sr.Out {
				continue // it has no flows
			}
			list = append(list, jpsettings.FormerServer{
				Service: sv.Name, Server: sr.Name, DataCentre: sr.DataCentre,
				ServerAddress: sr.Address, IdleProbe: sr.Limits.IdleProbe,
				ServiceAddress: sv.Address, Protocol: sv.Protocol, ServerCount: len(sv.Servers),
				Until: now.Add(formerRetention).Truncate(time.Second),
			})
		}
	}
	return list
}

// withCurrentNames returns the entry with the names that the server has after a change, as
// far as it is in the settings. They select the server's owner. A service that
// takes over the address of one that leaves the settings is that one renamed.
func withCurrentNames(fm jpsettings.FormerServer, before, after settingsIndex) jpsettings.FormerServer {
	sv := after.byName[fm.Service]
	if old := before.byName[fm.Service]; sv == nil && old != nil {
		sv = after.byAddress[endpoint{old.Address, old.Protocol}]
	}
	if sr := serverAt(sv, fm.ServerAddress.Addr()); sr != nil {
		fm.Service, fm.Server, fm.DataCentre = sv.Name, sr.Name, sr.DataCentre
		fm.ServerAddress, fm.IdleProbe = sr.Address, sr.Limits.IdleProbe
	}
	return fm
}
