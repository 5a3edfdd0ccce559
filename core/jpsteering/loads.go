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

// Loads returns the loads of the servers that this instance owns. Servers that were
// removed from the settings are left out, because a peer takes an unknown server as
// a sign that its own settings are outdated.
func (st *Steerer) Loads(now time.Time) []Load {
	var list []Load
	for _, sr := range st.servers {
		if sr.owned && !sr.cfg.Out && sr.inSettings() {
			list = append(list, sr.currentLoad(now))
		}
	}
	return list
}

// LoadsByPeer returns the part of Loads that each instance needs. A server's load is
// needed by owners of other servers of the same service, which offer flows to it (see
// loadPeers), and by its voters, which may have to take it over. Leaving instances
// get all loads: they own no servers any more, but may hold flows that wait for room.
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
		recipients := map[string]bool{}
		for _, id := range slices.Concat(sr.voters, leaving, st.loadPeers(sr.service)) {
			recipients[id] = true
		}
		delete(recipients, "")
		delete(recipients, st.self)
		ld := sr.currentLoad(now)
		for id := range recipients {
			list[id] = append(list[id], ld)
		}
	}
	return list
}

// currentLoad returns the load of an owned server, as reported to peers.
func (sr *server) currentLoad(now time.Time) Load {
	return Load{
		Service: sr.service.cfg.Name,
		Server:  sr.cfg.Address.Addr(),
		Flows:   uint32(sr.admission.ObservedLoad(now)),
		Full:    !sr.admission.HasRoom(now),
		Cold:    sr.admission.Cold(),
	}
}

// HandleLoads stores the loads that the instance from reported for its servers.
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

// maxLoadPeers bounds the instances with which an owner of servers of a stream
// service exchanges loads. With 24 the imbalance of 1,000 servers is 1.08, compared
// with 1.05 if all owners exchange loads (BenchmarkSampledMean), which would take
// 114 KB/s.
const maxLoadPeers = 24

// loadPeers returns the owners of a service's servers with which this instance, one
// of them, exchanges loads: all if there are few, otherwise its neighbours in hash
// order. The choice is symmetric, and the loads of the neighbours are a sample of the
// service's. A request service needs all owners: its servers are often full, and a
// flow would be relayed from owner to owner until it reached a free one.
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
	index := slices.Index(list, st.self)
	if sv.cfg.Kind == jpsettings.Stream && len(list) > maxLoadPeers+1 && index >= 0 {
		window := slices.Concat(list, list, list)[index+len(list)-maxLoadPeers/2:]
		list = window[:maxLoadPeers+1]
	}
	sv.loadPeersSeq, sv.loadPeers = st.assignmentSeq, list
	return list
}

// Peers returns the instances that this one exchanges messages with besides its
// neighbours in the membership: the voters of its servers, the owners of servers that
// it votes for, and the owners whose loads it needs (see loadPeers).
func (st *Steerer) Peers() []string {
	wanted := map[string]bool{}
	for _, sv := range st.services {
		ownsAny := false
		for _, sr := range sv.current.servers {
			ownsAny = ownsAny || sr.owned
			if sr.owned {
				for _, id := range sr.voters {
					wanted[id] = true
				}
			}
			if slices.Contains(sr.voters, st.self) {
				wanted[sr.owner] = true
			}
		}
		if ownsAny {
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

// OwnedServers returns the servers that this instance owns and whose load it polls.
func (st *Steerer) OwnedServers() []OwnedServer {
	var list []OwnedServer
	for _, sr := range st.servers {
		if sr.owned && !sr.cfg.Out {
			list = append(list, OwnedServer{Service: sr.service.cfg.Name, Server: sr.cfg.Address, LoadURL: sr.cfg.LoadURL})
		}
	}
	return list
}
