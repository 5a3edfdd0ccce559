package jprollout

import (
	"net/netip"
	"slices"
	"time"

	"jacinthpass/core/jpsettings"
)

const (
	// formerRetention is how long a server stays in Record.Former. Flows last
	// for hours.
	formerRetention = 24 * time.Hour
	// MaxFormer bounds Record.Former. An entry takes about 190 bytes in the
	// store, so the list leaves room for the text in a value of 1 MB.
	MaxFormer = 1000
)

// endpoint identifies a service by its address, port and protocol.
type endpoint struct {
	address  netip.AddrPort
	protocol jpsettings.Protocol
}

// settingsIndex holds the services of a tree by name and by address, and which
// data centres are out.
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

// serverAt returns the server of a service that has the IP address ad, or nil.
// The port and the name are ignored: the IP address identifies the machine.
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

// nextFormer returns Record.Former for a tree that replaces the stored record. A
// stored text that is invalid was never in force on any instance.
func nextFormer(now time.Time, stored Record, tree *jpsettings.Tree) []jpsettings.FormerServer {
	previous, err := jpsettings.Parse(settingsName, stored.Text)
	if err != nil {
		previous = &jpsettings.Tree{}
	}
	previous.Former = stored.Former
	return FormerServers(now, previous, tree)
}

// FormerServers returns the servers that formerly served a service address, after
// tree has replaced the previous one. The result is never nil.
func FormerServers(now time.Time, previous, tree *jpsettings.Tree) []jpsettings.FormerServer {
	before, after := newSettingsIndex(previous), newSettingsIndex(tree)
	list := []jpsettings.FormerServer{}
	for _, fm := range slices.Concat(formerEntries(now, previous), previous.Former) {
		current := after.byAddress[endpoint{fm.ServiceAddress, fm.Protocol}]
		switch {
		case !now.Before(fm.Until):
		case serverAt(current, fm.ServerAddress.Addr()) != nil: // still serves the address, or again
		case after.out[fm.DataCentre]: // its flows are dropped
		default:
			list = append(list, withCurrentNames(fm, before, after))
		}
	}
	// Deadlines come from the clocks of several instances, so a new entry can
	// have an earlier one than an old entry.
	slices.SortStableFunc(list, func(a, b jpsettings.FormerServer) int { return b.Until.Compare(a.Until) })
	return list[:min(len(list), MaxFormer)]
}

// formerEntries returns an entry for every server of a tree that may have flows,
// as if all servers lost their service addresses now.
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

// withCurrentNames returns the entry with the names and addresses that its server
// has after a change, if it is still in the settings. The owner of a server is
// selected by its names. A service that has the address of a service which was
// removed by the same change is that service renamed.
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
