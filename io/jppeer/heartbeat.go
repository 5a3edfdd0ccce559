package jppeer

import (
	"math"
	"net/netip"

	"github.com/samber/oops"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsteering"
)

// wireHeartbeat is a Heartbeat on the wire. Heartbeats are most of the control
// traffic, so flags are packed into integers.
type wireHeartbeat struct {
	_               struct{} `cbor:",toarray"`
	From            string
	DataCentre      string
	Incarnation     uint64
	StateFlags      uint8 // member state in the lowest two bits, then monitoringFlag
	Sequence        uint64
	Echo            uint64
	Digest          uint64
	SettingsVersion uint64
	Changes         []wireChange
	Loads           []wireLoad
}

type wireChange struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	State       uint8
}

type wireLoad struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Server    []byte
	FlowState uint64 // fullFlag, coldFlag, then the number of flows
}

const (
	stateMask      = 3
	monitoringFlag = 4

	fullFlag     = 1
	coldFlag     = 2
	loadFlagBits = 2
)

func heartbeatToWire(hb Heartbeat) (wireHeartbeat, error) {
	mb := hb.Member
	wire := wireHeartbeat{
		From:            mb.From,
		DataCentre:      mb.DataCentre,
		Incarnation:     mb.Incarnation,
		StateFlags:      uint8(mb.State) & stateMask,
		Sequence:        mb.Sequence,
		Echo:            mb.Echo,
		Digest:          mb.Digest,
		SettingsVersion: hb.SettingsVersion,
		Changes:         make([]wireChange, 0, len(mb.Changes)),
		Loads:           make([]wireLoad, 0, len(hb.Loads)),
	}
	if mb.Monitoring {
		wire.StateFlags |= monitoringFlag
	}
	for _, ch := range mb.Changes {
		wire.Changes = append(wire.Changes, wireChange{ID: ch.ID, Incarnation: ch.Incarnation, State: uint8(ch.State)})
	}
	for _, ld := range hb.Loads {
		if !ld.Server.IsValid() {
			return wire, oops.Errorf("peer: load of service %q without a server address", ld.Service)
		}
		wire.Loads = append(wire.Loads, loadToWire(ld))
	}
	return wire, nil
}

func loadToWire(ld jpsteering.Load) wireLoad {
	wire := wireLoad{Service: ld.Service, Server: ld.Server.AsSlice(), FlowState: uint64(ld.Flows) << loadFlagBits}
	if ld.Full {
		wire.FlowState |= fullFlag
	}
	if ld.Cold {
		wire.FlowState |= coldFlag
	}
	return wire
}

func heartbeatFromWire(wire wireHeartbeat) (Heartbeat, error) {
	if wire.StateFlags > stateMask|monitoringFlag {
		return Heartbeat{}, oops.Errorf("invalid state flags %d", wire.StateFlags)
	}
	hb := Heartbeat{
		Member: jpmember.Heartbeat{
			From:        wire.From,
			DataCentre:  wire.DataCentre,
			Incarnation: wire.Incarnation,
			State:       jpmember.State(wire.StateFlags & stateMask),
			Sequence:    wire.Sequence,
			Echo:        wire.Echo,
			Digest:      wire.Digest,
			Monitoring:  wire.StateFlags&monitoringFlag != 0,
		},
		SettingsVersion: wire.SettingsVersion,
	}
	for _, ch := range wire.Changes {
		if ch.State > uint8(jpmember.Dead) {
			return Heartbeat{}, oops.Errorf("invalid state %d of instance %q", ch.State, ch.ID)
		}
		hb.Member.Changes = append(hb.Member.Changes,
			jpmember.Change{ID: ch.ID, Incarnation: ch.Incarnation, State: jpmember.State(ch.State)})
	}
	for _, wl := range wire.Loads {
		ld, err := loadFromWire(wl)
		if err != nil {
			return Heartbeat{}, err
		}
		hb.Loads = append(hb.Loads, ld)
	}
	return hb, nil
}

func loadFromWire(wire wireLoad) (jpsteering.Load, error) {
	server, ok := netip.AddrFromSlice(wire.Server)
	if !ok || wire.FlowState>>loadFlagBits > math.MaxUint32 {
		return jpsteering.Load{}, oops.Errorf("invalid load of service %q", wire.Service)
	}
	return jpsteering.Load{
		Service: wire.Service,
		Server:  server,
		Flows:   uint32(wire.FlowState >> loadFlagBits),
		Full:    wire.FlowState&fullFlag != 0,
		Cold:    wire.FlowState&coldFlag != 0,
	}, nil
}
