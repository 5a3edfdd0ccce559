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

// lineup is a set of servers and the order in which each flow is offered to them.
type serverSet struct {
	table     *jptable.Table
	servers   []*server // in the order that the table's rows refer to
	removed   []*server // no longer in the settings, may still hold flows
	byAddress map[netip.Addr]*server
}

// service is one service as this instance serves it.
type service struct {
	cfg            jpsettings.Service
	key            serviceKey
	current        serverSet
	previous       []*serverSet   // servers that had the service address before, the latest first
	former         []formerServer // those that the settings list
	formerListed   bool           // the settings tell which servers had the service address before
	removedVersion uint64         // version of the settings that it left with; its flows run to their end
	retryBudget    jpadmission.Budget
	loadEstimate   loadEstimate

	ownersChangedAt time.Time // when another instance last became the owner of a server

	loadPeers    []string // see loadPeers
	loadPeersSeq uint64   // value of Steerer.assigned that peers were computed at
}

// server is one backend server as this instance knows it.
type server struct {
	id                   string // names it in the choice of the owner
	cfg                  jpsettings.Server
	service              *service
	owner                string
	ownerInputs          ownerInputs // that owner and voters were computed from
	voters               []string    // instances whose confirmation the owner needs
	owned                bool        // owner is this instance
	addedAtRuntime       bool        // by settings that came while this instance ran
	coldUntil            time.Time   // of a server that is new or has returned
	settledAt            time.Time   // end of the caution after a takeover
	lastUnconfirmed      time.Time   // latest tick without a confirmation
	confirmationLapsedAt time.Time   // when another owner became possible, zero if none is
	handoverUntil        time.Time   // until then this instance, the previous owner, still serves its entries
	entriesComplete      bool        // every flow of the server has an entry here, see sole
	admission            jpadmission.Server
	load                 Load // as its owner told
	loadExpires          time.Time
	forwardedThisTick    int     // waiting flows passed to its owner since the last tick
	loadGrowth           float64 // of load between the last two times that it was told, in flows a second
	netArrivalsAtLoad    float64 // balance.net of the service when the load was told
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

// find returns the server with an address, also one that left the settings or
// belongs to the service that had the address before.
func (sv *service) serverAt(ad netip.Addr) *server {
	if sr := sv.current.byAddress[ad]; sr != nil {
		return sr
	}
	for _, lu := range sv.previous {
		if sr := lu.byAddress[ad]; sr != nil {
			return sr
		}
	}
	return nil
}

// home is the server to whose owner packets of the flow go first.
func (sv *service) homeServer(fl jppacket.Flow) *server {
	row := sv.current.table.Row(jptable.Hash(fl))
	if len(row) == 0 {
		return nil
	}
	return sv.current.servers[row[0]]
}

// candidates returns the servers that may take the flow, best first. For a flow
// that exists already it goes on with servers that had the service address
// before: those that the settings list, or those that this instance has seen if
// the settings are from before the list existed.
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
	for _, lu := range sv.previous {
		for _, sr := range append(lu.ranked(hash), lu.removed...) {
			ad := sr.cfg.Address.Addr()
			if sv.current.byAddress[ad] == nil && sv.serverAt(ad) == sr && !slices.Contains(list, sr) {
				list = append(list, sr)
			}
		}
	}
	return list
}

// complete appends the servers that a row does not list. When servers are added,
// a flow's server can fall beyond the end of its row.
func (lu *serverSet) appendUnranked(list []*server) []*server {
	row := len(list)
	if row == 0 || row == len(lu.servers) {
		return list
	}
	for _, sr := range lu.servers {
		if !sr.cfg.Out && !slices.Contains(list[:row], sr) {
			list = append(list, sr)
		}
	}
	return list
}

// all returns every server of the lineup.
func (lu *serverSet) all() []*server {
	return slices.Concat(lu.servers, lu.removed)
}

func (lu *serverSet) ranked(hash uint64) []*server {
	row := lu.table.Row(hash)
	list := make([]*server, 0, len(row)+len(lu.removed))
	for _, ix := range row {
		list = append(list, lu.servers[ix])
	}
	return list
}

// ApplySettings is ApplyTables with tables that it builds itself.
func (st *Steerer) ApplySettings(now time.Time, tree *jpsettings.Tree, out []Outcome) []Outcome {
	return st.ApplyTables(now, tree, jptable.BuildTables(tree, st.tables), out)
}

// Tables returns the rank tables in force, or nil if there are no settings yet.
func (st *Steerer) Tables() *jptable.Tables { return st.tables }

// ApplyTables takes a new settings tree and the rank tables of its services into
// force. An older one is ignored. Building the tables can take longer than
// packets may wait, so that a caller whose lock holds up packets builds them
// before it takes the lock.
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

// configure hands the server's settings to its admission.
func (sr *server) configureAdmission() {
	sr.admission.Limits = sr.cfg.Limits
	sr.admission.Kind = sr.service.cfg.Kind
	sr.admission.Drains = sr.cfg.Draining || sr.cfg.Out
}

// rebind moves entries to the servers that the settings now name for their
// service address: a new service may have taken over the address together with
// the machines.
func (st *Steerer) rebindEntries() {
	st.flows.Each(func(fl jppacket.Flow, en *flowEntry) bool {
		sv := st.services[serviceKey{fl.Service, fl.Port, fl.Protocol}]
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

// giveUp ends the flows of servers whose data centre was taken out.
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
	given := map[*server]bool{}
	for _, ed := range list {
		sr := ed.entry.server
		if sr.owned && ed.entry.mayHaveServerState() {
			out = st.endOutFlow(ed.flow, ed.entry, out)
			if !given[sr] {
				given[sr] = true
				out = append(out, Outcome{Kind: Record, Reason: EventFlowGivenUp, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
			}
		}
		st.removeEntry(ed.flow, ed.entry)
	}
	return out
}

// mayBeAtServer tells whether the entry's server is likely to have state of the flow.
func (en *flowEntry) mayHaveServerState() bool {
	return en.phase == phaseOpen || en.phase == phaseHalfOpen || en.phase == phaseAdopted
}

// endGivenUp ends a flow of a server that was taken out. A handshake is ended at
// the server too, which would otherwise hold the flow uncounted on its return.
func (st *Steerer) endOutFlow(fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	if fl.Protocol != protocolTCP || en.phase == phaseOpen || en.phase == phaseHalfOpen && en.serverNext != 0 {
		return st.resetBoth(fl, en, out)
	}
	return append(out, Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: resetForServer(fl, en)})
}
