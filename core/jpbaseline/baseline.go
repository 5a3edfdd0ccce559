// Package jpbaseline implements two simpler ways to steer packets, for comparison
// with jpsteering: by the rank table alone, and with connection tracking that is
// local to each instance.
package jpbaseline

import (
	"time"

	"jacinthpass/core/jpflow"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/core/jptable"
)

// Tracker stores the server that a flow was sent to.
type Tracker interface {
	Get(fl jppacket.Flow) (server string, ok bool)
	Put(fl jppacket.Flow, server string)
}

// NoTracking stores nothing, so the rank table alone selects the server.
type NoTracking struct{}

// Get returns false for every flow.
func (NoTracking) Get(jppacket.Flow) (string, bool) { return "", false }

// Put does nothing.
func (NoTracking) Put(jppacket.Flow, string) {}

// LocalTracking stores the servers of the flows that one instance has seen.
type LocalTracking struct {
	flows *jpflow.Table[jppacket.Flow, string]
}

// NewLocalTracking returns an empty LocalTracking.
func NewLocalTracking() *LocalTracking {
	return &LocalTracking{flows: jpflow.New[jppacket.Flow, string](jpsteering.MaxFlows)}
}

// Get returns the server of a flow seen before.
func (lt *LocalTracking) Get(fl jppacket.Flow) (string, bool) {
	if name := lt.flows.Get(fl); name != nil {
		return *name, true
	}
	return "", false
}

// Put stores the server of a flow. If the table is full, the flow is not stored.
func (lt *LocalTracking) Put(fl jppacket.Flow, server string) {
	if name, err := lt.flows.Add(fl); err == nil {
		*name = server
	}
}

// Steerer forwards every packet to the server that its tracker has for the flow, or
// else to one that the rank table selects. It never relays packets to other
// instances.
type Steerer[T Tracker] struct {
	tracker  T
	services map[serviceKey]*service
}

type serviceKey struct {
	address  [4]byte
	port     uint16
	protocol uint8
}

type service struct {
	cfg    jpsettings.Service
	table  *jptable.Table
	byName map[string]*jpsettings.Server
}

// New returns a Steerer with the given tracker.
func New[T Tracker](tracker T) *Steerer[T] {
	return &Steerer[T]{tracker: tracker}
}

// ApplySettings replaces the settings.
func (st *Steerer[T]) ApplySettings(tree *jpsettings.Tree) {
	st.services = map[serviceKey]*service{}
	for _, cfg := range tree.Services {
		sv := &service{cfg: cfg, table: jptable.Build(&cfg), byName: map[string]*jpsettings.Server{}}
		for ix := range sv.cfg.Servers {
			if sr := &sv.cfg.Servers[ix]; !sr.Out {
				sv.byName[sr.Name] = sr
			}
		}
		st.services[serviceKey{cfg.Address.Addr().As4(), cfg.Address.Port(), uint8(cfg.Protocol)}] = sv
	}
}

// HandlePacket appends the outcome for one packet to out.
func (st *Steerer[T]) HandlePacket(_ time.Time, pkt jpsteering.Packet, out []jpsteering.Outcome) []jpsteering.Outcome {
	var hd jppacket.Header
	if hd.Parse(pkt.Inner) != nil {
		return append(out, jpsteering.Outcome{Kind: jpsteering.Drop, Reason: jpsteering.DropMalformed})
	}
	if sv := st.services[serviceKey{hd.Destination, hd.DestinationPort, hd.Protocol}]; sv != nil {
		return st.forward(sv, hd.FlowFromCaller(), pkt, out)
	}
	if st.services[serviceKey{hd.Source, hd.SourcePort, hd.Protocol}] != nil {
		return append(out, jpsteering.Outcome{Kind: jpsteering.ToCaller, Packet: pkt.Inner})
	}
	return append(out, jpsteering.Outcome{Kind: jpsteering.Drop, Reason: jpsteering.DropNoService})
}

func (st *Steerer[T]) forward(sv *service, fl jppacket.Flow, pkt jpsteering.Packet, out []jpsteering.Outcome) []jpsteering.Outcome {
	name, known := st.tracker.Get(fl)
	sr := sv.byName[name]
	if !known || sr == nil {
		sr = sv.selectServer(fl)
		if sr == nil {
			return append(out, jpsteering.Outcome{Kind: jpsteering.Drop, Reason: jpsteering.DropNoOwner})
		}
		st.tracker.Put(fl, sr.Name)
	}
	return append(out, jpsteering.Outcome{Kind: jpsteering.ToServer, Packet: pkt.Inner, Server: sr.Address})
}

// selectServer returns the first server in the flow's row that accepts new flows,
// or nil if there is none.
func (sv *service) selectServer(fl jppacket.Flow) *jpsettings.Server {
	for _, ix := range sv.table.Row(jptable.Hash(fl)) {
		if sr := &sv.cfg.Servers[ix]; !sr.Draining && !sr.Out {
			return sr
		}
	}
	return nil
}
