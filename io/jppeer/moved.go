package jppeer

import (
	"encoding/binary"
	"net/netip"

	"github.com/samber/oops"

	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsteering"
)

// wireMoved is a jpsteering.Moved on the wire.
type wireMoved struct {
	_      struct{} `cbor:",toarray"`
	Flow   []byte   // addresses, ports and protocol, flowBytes long
	Server []byte
}

const flowBytes = 13

func movedToWire(mv jpsteering.Moved) (wireMoved, error) {
	if !mv.Server.IsValid() {
		return wireMoved{}, oops.Errorf("peer: moved message without a server address")
	}
	flow := make([]byte, 0, flowBytes)
	flow = append(flow, mv.Flow.Caller[:]...)
	flow = append(flow, mv.Flow.Service[:]...)
	flow = binary.BigEndian.AppendUint16(flow, mv.Flow.CallerPort)
	flow = binary.BigEndian.AppendUint16(flow, mv.Flow.ServicePort)
	flow = append(flow, mv.Flow.Protocol)
	return wireMoved{Flow: flow, Server: mv.Server.AsSlice()}, nil
}

func movedFromWire(wire wireMoved) (jpsteering.Moved, error) {
	server, ok := netip.AddrFromSlice(wire.Server)
	if !ok || len(wire.Flow) != flowBytes {
		return jpsteering.Moved{}, oops.Errorf("invalid flow of %d bytes or server address of %d bytes", len(wire.Flow), len(wire.Server))
	}
	return jpsteering.Moved{
		Flow: jppacket.Flow{
			Caller:      [4]byte(wire.Flow[:4]),
			Service:     [4]byte(wire.Flow[4:8]),
			CallerPort:  binary.BigEndian.Uint16(wire.Flow[8:]),
			ServicePort: binary.BigEndian.Uint16(wire.Flow[10:]),
			Protocol:    wire.Flow[12],
		},
		Server: server,
	}, nil
}
