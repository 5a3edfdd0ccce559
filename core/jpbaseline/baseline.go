// Package jpbaseline holds two simpler ways to steer packets, for comparison
// with jpsteering: a hash table alone, and tracking on each instance alone.
package jpbaseline

import (
	"time"

	"jacinthpass/core/jpflow"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/core/jptable"
)

// Tracker remembers which server a flow was sent to.
type Tracker interface {
	Get(fl jppacket.Flow) (server string, ok bool)
	Put(fl jppacket.Flow, server string)
}

// NoTracking remembers nothing: the hash table alone decides.
type NoTracking struct{}

// Get reports no flow.
func (NoTracking) Get(jppacket.Flow) (string, bool) { return "", false }

// Put does nothing.
func (NoTracking) Put(jppacket.Flow, string) {}

// LocalTracking remembers the flows that one instance has seen.
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

// Put remembers the server of a flow. A full table forgets the new flow.
func (lt *LocalTracking) Put(fl jppacket.Flow, server string) {
	if name, err := lt.flows.Add(fl); err == nil {
		*name = server
	}
}

// Steerer sends every packet straight on, by what its tracker or the hash
// table says.
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

// ApplySettings takes a settings tree into force.
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

// HandlePacket decides on one packet and appends the outcome to out.
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

// selectServer returns the first server of the flow's row that takes new flows.
func (sv *service) selectServer(fl jppacket.Flow) *jpsettings.Server {
	for _, ix := range sv.table.Row(jptable.Hash(fl)) {
		if sr := &sv.cfg.Servers[ix]; !sr.Draining && !sr.Out {
			return sr
		}
	}
	return nil
}
