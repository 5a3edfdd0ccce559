package jpsteering

import (
	"jacinthpass/core/jppacket"
)

// resetBoth resets the flow's connection at both ends.
func (st *Steerer) resetBoth(fl jppacket.Flow, en *flowEntry, out []Outcome) []Outcome {
	if fl.Protocol != protocolTCP {
		return out
	}
	out = append(out, Outcome{Kind: ToCaller, Packet: resetForCaller(fl, en, en.serverNext)})
	if int32(en.serverSentEnd-en.serverNext) > 0 {
		// The caller has not acknowledged all data. If the data has arrived, the
		// first reset is below the caller's window, which accepts only this one; if
		// the data was lost, it needs the first.
		out = append(out, Outcome{Kind: ToCaller, Packet: resetForCaller(fl, en, en.serverSentEnd)})
	}
	return append(out, Outcome{Kind: ToServer, Server: en.server.cfg.Address, Packet: resetForServer(fl, en)})
}

func resetForCaller(fl jppacket.Flow, en *flowEntry, sequence uint32) []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: fl.Service, SourcePort: fl.ServicePort, Destination: fl.Caller, DestinationPort: fl.CallerPort,
		Flags: jppacket.RST | jppacket.ACK, Sequence: sequence, Acknowledgement: en.callerNext,
	})
}

// resetForServer returns a reset that the flow's server accepts.
func resetForServer(fl jppacket.Flow, en *flowEntry) []byte {
	return jppacket.AppendSegment(nil, jppacket.Segment{
		Source: fl.Caller, SourcePort: fl.CallerPort, Destination: fl.Service, DestinationPort: fl.ServicePort,
		Flags: jppacket.RST | jppacket.ACK, Sequence: en.callerNext, Acknowledgement: en.serverNext,
	})
}
