package jppacket

import (
	"encoding/binary"
	"net/netip"
)

// Geneve (RFC 8926) as used between instances: VNI 0 and one option. Sizes are in
// bytes.
const (
	geneveHeaderSize  = 8
	geneveVersionMask = 0xc0
	geneveLengthMask  = 0x3f
	geneveControlBit  = 0x80
	geneveIPv4        = 0x0800

	optionHeaderSize = 4
	optionLengthMask = 0x1f
	optionCritical   = 0x80
	relayClass       = 0xff4a // in the range for experimental use
	relayType        = 1
	relayDataSize    = 8
)

// RelayOverhead is the number of bytes that AppendRelay adds before the inner packet.
const RelayOverhead = geneveHeaderSize + optionHeaderSize + relayDataSize

// AppendRelay appends the Geneve datagram that carries inner and rl to buf.
// A Server that is not IPv4 is encoded as 0.0.0.0, which ParseRelay rejects.
func AppendRelay(buf []byte, rl Relay, inner []byte) []byte {
	var server [4]byte
	if addr := rl.Server.Unmap(); addr.Is4() {
		server = addr.As4()
	}
	buf = append(buf, (optionHeaderSize+relayDataSize)/4, 0)
	buf = binary.BigEndian.AppendUint16(buf, geneveIPv4)
	buf = append(buf, 0, 0, 0, 0) // virtual network identifier, reserved
	buf = binary.BigEndian.AppendUint16(buf, relayClass)
	buf = append(buf, relayType, relayDataSize/4)
	buf = append(buf, uint8(rl.Kind), rl.Rank, rl.Hops, rl.Flags)
	buf = append(buf, server[:]...)
	return append(buf, inner...)
}

// ParseRelay parses a datagram from another instance. The returned inner packet
// aliases the datagram and is not validated. Unknown options are skipped unless
// they are critical. The error is a ParseError.
func ParseRelay(datagram []byte) (Relay, []byte, error) {
	if len(datagram) < geneveHeaderSize {
		return Relay{}, nil, ErrTruncated
	}
	if datagram[0]&geneveVersionMask != 0 || datagram[1]&geneveControlBit != 0 {
		return Relay{}, nil, ErrNotRelay
	}
	if binary.BigEndian.Uint16(datagram[2:4]) != geneveIPv4 {
		return Relay{}, nil, ErrNotRelay
	}
	end := geneveHeaderSize + int(datagram[0]&geneveLengthMask)*4
	if end > len(datagram) {
		return Relay{}, nil, ErrTruncated
	}
	rl, err := parseRelayOptions(datagram[geneveHeaderSize:end])
	if err != nil {
		return Relay{}, nil, err
	}
	return rl, datagram[end:], nil
}

func parseRelayOptions(opts []byte) (Relay, error) {
	var rl Relay
	for len(opts) > 0 {
		size := optionHeaderSize + int(opts[3]&optionLengthMask)*4
		if size > len(opts) {
			return Relay{}, ErrHeaderLength
		}
		class, kind := binary.BigEndian.Uint16(opts[0:2]), opts[2]
		switch {
		case class == relayClass && kind == relayType:
			if rl.Kind != RelayNone || !rl.decodeOption(opts[optionHeaderSize:size]) {
				return Relay{}, ErrRelayOption
			}
		case kind&optionCritical != 0:
			return Relay{}, ErrRelayOption
		}
		opts = opts[size:]
	}
	if rl.Kind == RelayNone {
		return Relay{}, ErrRelayOption
	}
	return rl, nil
}

// decodeOption sets rl from the data of the relay option and reports whether it
// is valid.
func (rl *Relay) decodeOption(data []byte) bool {
	if len(data) != relayDataSize {
		return false
	}
	rl.Kind = RelayKind(data[0])
	rl.Rank = data[1]
	rl.Hops = data[2]
	rl.Flags = data[3]
	rl.Server = netip.AddrFrom4([4]byte(data[4:8]))
	known := rl.Kind == RelayForward || rl.Kind == RelayReply
	return known && !rl.Server.IsUnspecified()
}
