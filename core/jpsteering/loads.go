package jpsteering

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsettings"
)

// Loads returns the load of the servers that this instance owns. Peers take a
// server that they do not know for one of newer settings, so that servers that
// have left the settings are not named.
func (st *Steerer) Loads(now time.Time) []Load {
	var list []Load
	for _, sr := range st.servers {
		if sr.owned && !sr.cfg.Out && sr.inSettings() {
			list = append(list, sr.currentLoad(now))
		}
	}
	return list
}

// LoadsByPeer returns the loads of Loads that each instance needs: a server's
// load is of use to owners of other servers of the same service, see loadPeers,
// which offer flows to it, and to its voters, which may have to take it over. A
// leaving instance owns nothing any more, but may hold flows that wait for room.
func (st *Steerer) LoadsByPeer(now time.Time) map[string][]Load {
	list := map[string][]Load{}
	var leaving []string
	for _, mb := range st.view.Members {
		if mb.State == jpmember.Leaving {
			leaving = append(leaving, mb.ID)
		}
	}
	for _, sr := range st.servers {
		if !sr.owned || sr.cfg.Out || !sr.inSettings() {
			continue
		}
		to := map[string]bool{}
		for _, id := range slices.Concat(sr.voters, leaving, st.loadPeers(sr.service)) {
			to[id] = true
		}
		delete(to, "")
		delete(to, st.self)
		ld := sr.currentLoad(now)
		for id := range to {
			list[id] = append(list[id], ld)
		}
	}
	return list
}

// tell returns the load that the owner tells.
func (sr *server) currentLoad(now time.Time) Load {
	return Load{
		Service: sr.service.cfg.Name,
		Server:  sr.cfg.Address.Addr(),
		Flows:   uint32(sr.admission.Observed(now)),
		Full:    !sr.admission.Room(now),
		Cold:    sr.admission.Cold(),
	}
}

// HandleLoads takes in the loads that an owner told.
func (st *Steerer) HandleLoads(now time.Time, from string, loads []Load) {
	for _, ld := range loads {
		sr := st.serverOf(ld.Service, ld.Server)
		if sr == nil {
			st.settingsBehindUntil = now.Add(loadMaxAge)
			continue
		}
		if sr.owned || sr.owner != from {
			continue
		}
		sr.updateLoad(now, ld)
	}
}

// maxLoadPeers bounds the owners that the owner of a server of streams tells its
// load. With 24 the imbalance of 1,000 servers is 1.08, against 1.05 if all
// owners hear each other (BenchmarkSampledMean), but hearing all would take
// 114 KB/s.
const maxLoadPeers = 24

// loadPeers returns the owners of servers of a service that this instance, which
// is one of them, exchanges loads with: all if there are few, else the nearest in
// the order of hashes. Both sides choose each other, and their loads are a sample
// of the service's. A service of requests needs all: its servers are often full,
// and a flow would pass through one owner after the other to find a free one.
func (st *Steerer) loadPeers(sv *service) []string {
	if sv.loadPeersSeq == st.assignmentSeq {
		return sv.loadPeers
	}
	owners := map[string]uint64{}
	for _, sr := range sv.current.servers {
		if sr.owner != "" && owners[sr.owner] == 0 {
			owners[sr.owner] = xxhash.Sum64String(sv.cfg.Name + " " + sr.owner)
		}
	}
	list := slices.SortedFunc(maps.Keys(owners), func(a, b string) int {
		return cmp.Or(cmp.Compare(owners[a], owners[b]), cmp.Compare(a, b))
	})
	place := slices.Index(list, st.self)
	if sv.cfg.Kind == jpsettings.Stream && len(list) > maxLoadPeers+1 && place >= 0 {
		around := slices.Concat(list, list, list)[place+len(list)-maxLoadPeers/2:]
		list = around[:maxLoadPeers+1]
	}
	sv.loadPeersSeq, sv.loadPeers = st.assignmentSeq, list
	return list
}

// Peers returns the instances that this one has to hear from besides its
// neighbours: voters of its servers, owners of servers that it votes for, and
// owners of servers of the same services, whose load it needs.
func (st *Steerer) Peers() []string {
	wanted := map[string]bool{}
	for _, sv := range st.services {
		owning := false
		for _, sr := range sv.current.servers {
			owning = owning || sr.owned
			if sr.owned {
				for _, id := range sr.voters {
					wanted[id] = true
				}
			}
			if slices.Contains(sr.voters, st.self) {
				wanted[sr.owner] = true
			}
		}
		if owning {
			for _, id := range st.loadPeers(sv) {
				wanted[id] = true
			}
		}
	}
	delete(wanted, "")
	delete(wanted, st.self)
	list := make([]string, 0, len(wanted))
	for id := range wanted {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// OwnedServers returns the servers that this instance owns, for polling their load.
func (st *Steerer) OwnedServers() []OwnedServer {
	var list []OwnedServer
	for _, sr := range st.servers {
		if sr.owned && !sr.cfg.Out {
			list = append(list, OwnedServer{Service: sr.service.cfg.Name, Server: sr.cfg.Address, LoadURL: sr.cfg.LoadURL})
		}
	}
	return list
}
