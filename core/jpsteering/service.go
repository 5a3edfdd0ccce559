package jpsteering

import (
	"net/netip"
	"slices"
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jptable"
)

// serverSet is the servers of a service and the rank table that orders them for each flow.
type serverSet struct {
	table     *jptable.Table
	servers   []*server // in the order of the indexes in the table
	removed   []*server // removed from the settings; may still hold flows
	byAddress map[netip.Addr]*server
}

// service is the state of one service at this instance.
type service struct {
	cfg            jpsettings.Service
	key            serviceKey
	current        serverSet
	previous       []*serverSet   // sets that served the service address before, the most recent first
	former         []formerServer // former servers listed in the settings
	formerListed   bool           // the settings list the former servers
	removedVersion uint64         // settings version that removed it, 0 if present; its flows continue
	retryBudget    jpadmission.RetryBudget
	loadEstimate   loadEstimate

	ownersChangedAt time.Time // when a server last passed from one owner to another

	loadPeers    []string // cached result of Steerer.loadPeers
	loadPeersSeq uint64   // Steerer.assignmentSeq when loadPeers was computed
}

// server is the state of one backend server at this instance.
type server struct {
	id                   string // unique over all services; determines the owner
	cfg                  jpsettings.Server
	service              *service
	owner                string
	ownerInputs          ownerInputs // from which owner and voters were computed
	voters               []string    // instances of which a majority has to confirm the owner
	owned                bool        // this instance is the owner
	addedAtRuntime       bool        // added while this instance ran, and not known to have served a service address before
	coldUntil            time.Time   // until then a new or returned server starts cold at a takeover
	settledAt            time.Time   // when settleTime after a takeover ends
	lastUnconfirmed      time.Time   // last tick at which the owner was not confirmed
	confirmationLapsedAt time.Time   // since when another instance may own the server, zero if none may
	handoverUntil        time.Time   // until then this instance, the former owner, still serves its entries
	entriesComplete      bool        // every flow of the server has an entry here, see soleOwner
	admission            jpadmission.Server
	load                 Load      // reported by the owner
	loadExpires          time.Time // until then load is used
	forwardedThisTick    int       // waiting flows relayed to its owner since the last tick
	loadGrowth           float64   // of load between its last two reports, in flows per second
	netArrivalsAtLoad    float64   // netArrivals of the service when load was reported
}

func (sr *server) computeID() string {
	return serverID(sr.service.cfg.Name, sr.cfg.Name, sr.cfg.Address)
}

func serverID(service, name string, at netip.AddrPort) string {
	return service + "/" + name + "@" + at.String()
}

func serviceKeyOf(cfg *jpsettings.Service) serviceKey {
	return serviceKey{cfg.Address.Addr().As4(), cfg.Address.Port(), uint8(cfg.Protocol)}
}

// serverAt returns the server with an address, or nil. The server may have been
// removed from the settings, or belong to a service that had the service address
// before.
func (sv *service) serverAt(ad netip.Addr) *server {
	if sr := sv.current.byAddress[ad]; sr != nil {
		return sr
	}
	for _, ss := range sv.previous {
		if sr := ss.byAddress[ad]; sr != nil {
			return sr
		}
	}
	return nil
}

// homeServer returns the first-ranked server of a flow, or nil if every server is out.
// Packets of a flow without an entry are relayed to its owner.
func (sv *service) homeServer(fl jppacket.Flow) *server {
	row := sv.current.table.Row(jptable.Hash(fl))
	if len(row) == 0 {
		return nil
	}
	return sv.current.servers[row[0]]
}

// candidates returns the servers that may take or hold the flow, highest-ranked first.
// For an existing flow, the servers outside its row follow, then those that had the
// service address before: those that the settings list or, if the settings have no
// such list, those that this instance has seen.
func (sv *service) candidates(fl jppacket.Flow, existing bool) []*server {
	hash := jptable.Hash(fl)
	list := sv.current.ranked(hash)
	if !existing {
		return list
	}
	list = sv.current.appendUnranked(list)
	if sv.formerListed {
		return sv.appendFormer(list, hash)
	}
	list = append(list, sv.current.removed...)
	for _, ss := range sv.previous {
		for _, sr := range append(ss.ranked(hash), ss.removed...) {
			ad := sr.cfg.Address.Addr()
			if sv.current.byAddress[ad] == nil && sv.serverAt(ad) == sr && !slices.Contains(list, sr) {
				list = append(list, sr)
			}
		}
	}
	return list
}

// appendUnranked appends the servers that are not in the flow's row of the table. When
// servers are added, the server that holds a flow can drop out of its row.
func (ss *serverSet) appendUnranked(list []*server) []*server {
	row := len(list)
	if row == 0 || row == len(ss.servers) {
		return list
	}
	for _, sr := range ss.servers {
		if !sr.cfg.Out && !slices.Contains(list[:row], sr) {
			list = append(list, sr)
		}
	}
	return list
}

// all returns every server of the set.
func (ss *serverSet) all() []*server {
	return slices.Concat(ss.servers, ss.removed)
}

func (ss *serverSet) ranked(hash uint64) []*server {
	row := ss.table.Row(hash)
	list := make([]*server, 0, len(row)+len(ss.removed))
	for _, ix := range row {
		list = append(list, ss.servers[ix])
	}
	return list
}

// ApplySettings builds the rank tables of a settings tree and calls ApplyTables.
func (st *Steerer) ApplySettings(now time.Time, tree *jpsettings.Tree, out []Outcome) []Outcome {
	return st.ApplyTables(now, tree, jptable.BuildTables(tree, st.tables), out)
}

// Tables returns the current rank tables, or nil if there are no settings yet.
func (st *Steerer) Tables() *jptable.Tables { return st.tables }

// ApplyTables applies a new settings tree and the rank tables of its services. A tree
// whose version is not newer than the current one is ignored, unless it is 0. Building
// the tables can take longer than packets may be delayed, so a caller whose lock blocks
// packet processing builds them before it takes the lock.
func (st *Steerer) ApplyTables(now time.Time, tree *jpsettings.Tree, tables *jptable.Tables, out []Outcome) []Outcome {
	if tree.Version != 0 && tree.Version <= st.version {
		return out
	}
	st.tables = tables
	up := settingsUpdate{st: st, now: now, tree: tree, firstSettings: st.version == 0, previous: map[serviceKey]service{}}
	st.version, st.appliedAt = tree.Version, now
	for key, sv := range st.services {
		up.previous[key] = *sv
	}
	up.retireServices()
	for ix := range tree.Services {
		up.applyService(&tree.Services[ix])
	}
	up.replaceServices()
	st.assignOwners(now)
	if up.addressReassigned {
		st.rebindEntries()
	}
	if up.serversTakenOut {
		out = st.endOutFlows(out)
	}
	return out
}

// configureAdmission copies the server's settings to its admission state.
func (sr *server) configureAdmission() {
	sr.admission.Limits = sr.cfg.Limits
	sr.admission.Kind = sr.service.cfg.Kind
	sr.admission.Draining = sr.cfg.Draining || sr.cfg.Out
}

// rebindEntries points entries to the servers that the settings now name for their
// service address: a new service may have taken over the address together with the
// machines.
func (st *Steerer) rebindEntries() {
	st.flows.Each(func(fl jppacket.Flow, en *flowEntry) bool {
		sv := st.services[serviceKey{fl.Service, fl.ServicePort, fl.Protocol}]
		if sv == nil {
			return true
		}
		sr := sv.serverAt(en.server.cfg.Address.Addr())
		if sr == nil || sr == en.server {
			return true
		}
		counted, released := en.has(flagCounted), en.has(flagSlotReleased)
		st.uncountFlow(en)
		en.server = sr
		if counted {
			en.countFlow()
		}
		if released {
			st.releaseSlot(en)
		}
		return true
	})
}

// endOutFlows ends the flows of servers whose data centre was taken out of service.
func (st *Steerer) endOutFlows(out []Outcome) []Outcome {
	type ended struct {
		flow  jppacket.Flow
		entry *flowEntry
	}
	var list []ended
	st.flows.Each(func(fl jppacket.Flow, en *flowEntry) bool {
		if en.server.cfg.Out {
			list = append(list, ended{fl, en})
		}
		return true
	})
	recorded := map[*server]bool{}
	for _, ed := range list {
		sr := ed.entry.server
		if sr.owned && ed.entry.mayHaveServerState() {
			out = st.endOutFlow(ed.flow, ed.entry, out)
			if !recorded[sr] {
				recorded[sr] = true
				out = append(out, Outcome{Kind: Record, Reason: EventFlowGivenUp, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
			}
		}
		st.removeEntry(ed.flow, ed.entry)
	}
	return out
}

// mayHaveServerState reports whether the entry's server is likely to hold state of the flow.
func (en *flowEntry) mayHaveServerState() bool {
	return en.phase == phaseOpen || en.phase == phaseHalfOpen || en.phase == phaseAdopted
}

// endOutFlow resets a flow of a server that was taken out of service. An incomplete
// handshake is reset at the server too, which would otherwise still hold the flow
// without it being counted when the server returns.
func (st *Steerer) endOutFlow(fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	if fl.Protocol != protocolTCP || en.phase == phaseOpen || en.phase == phaseHalfOpen && en.serverNext != 0 {
		return st.resetBoth(fl, en, out)
	}
	return append(out, Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: resetForServer(fl, en)})
}
