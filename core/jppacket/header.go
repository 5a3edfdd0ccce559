package jppacket

// TCP flags of a Header or Segment.
const (
	FIN uint8 = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Header holds the header fields of a packet that forwarding decisions use.
type Header struct {
	Source          [4]byte
	Destination     [4]byte
	SourcePort      uint16
	DestinationPort uint16
	Protocol        uint8
	Flags           uint8  // TCP only
	Sequence        uint32 // TCP only
	Acknowledgement uint32 // TCP only
	PayloadLength   uint16 // bytes after the TCP or UDP header
	HasTimestamps   bool   // TCP timestamps option present
	TimestampValue  uint32
	TimestampEcho   uint32
}

// FlowFromCaller returns the flow of a packet on its way to a service.
func (hd *Header) FlowFromCaller() Flow {
	return Flow{
		Caller: hd.Source, CallerPort: hd.SourcePort,
		Service: hd.Destination, ServicePort: hd.DestinationPort,
		Protocol: hd.Protocol,
	}
}

// FlowFromServer returns the flow of a packet on its way to a caller.
func (hd *Header) FlowFromServer() Flow {
	return Flow{
		Caller: hd.Destination, CallerPort: hd.DestinationPort,
		Service: hd.Source, ServicePort: hd.SourcePort,
		Protocol: hd.Protocol,
	}
}

// Segment describes a TCP segment without payload that jacinthpass originates.
type Segment struct {
	Source          [4]byte
	Destination     [4]byte
	SourcePort      uint16
	DestinationPort uint16
	Flags           uint8
	Sequence        uint32
	Acknowledgement uint32
	HasTimestamps   bool
	TimestampValue  uint32
	TimestampEcho   uint32
}

// NextSequence returns the sequence number that follows the segment. SYN and FIN
// each take one.
func (hd *Header) NextSequence() uint32 {
	end := hd.Sequence + uint32(hd.PayloadLength)
	if hd.Flags&SYN != 0 {
		end++
	}
	if hd.Flags&FIN != 0 {
		end++
	}
	return end
}
