// Package jpplatform stands in for the Derwent platform in tests: its store, its
// routers, backend servers and callers, on loopback addresses. It is written
// from the platform's published protocol and shares no code with the adapter.
package jpplatform

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet on the wire.
const (
	flagFIN = 4
	flagRST = 8
	flagSYN = 16
	flagACK = 64
)

// headBytes is the size of a packet's header.
const headerBytes = 32

// head is a packet's header.
type header struct {
	Checksum uint32
	From, To netip.AddrPort
	Echo     uint32
	Seq, Ack uint32
	Flags    byte
}

// sumKey stands for the key that only the ends of a flow know.
const checksumKey = 0x5eed

// marshal returns a packet.
func (hd header) marshal(data []byte) []byte {
	packet := make([]byte, headerBytes, headerBytes+len(data))
	le := binary.LittleEndian
	from, to := hd.From.Addr().As4(), hd.To.Addr().As4()
	le.PutUint16(packet[0:], uint16(len(data)))
	le.PutUint16(packet[6:], hd.From.Port())
	le.PutUint32(packet[8:], binary.BigEndian.Uint32(to[:]))
	le.PutUint32(packet[12:], binary.BigEndian.Uint32(from[:]))
	le.PutUint16(packet[16:], hd.To.Port())
	le.PutUint32(packet[22:], hd.Seq)
	le.PutUint32(packet[26:], hd.Ack)
	packet[30] = hd.Flags
	packet = append(packet, data...)
	le.PutUint32(packet[2:], checksum(packet))
	le.PutUint32(packet[18:], hd.Echo)
	return packet
}

// sumOf covers all fields but the sum itself, echo, pad and the flag that
// routers may set.
func checksum(packet []byte) uint32 {
	covered := append([]byte(nil), packet...)
	clear(covered[2:6])
	clear(covered[18:22])
	covered[31] = 0
	return crc32.Update(checksumKey, crc32.IEEETable, covered)
}

// unmarshal reads a packet. It returns false if the packet is not as its sender
// wrote it; a reset of a load balancer has no sum.
func unmarshal(packet []byte) (header, []byte, bool) {
	if len(packet) < headerBytes {
		return header{}, nil, false
	}
	le := binary.LittleEndian
	data := packet[headerBytes:]
	hd := header{
		Checksum: le.Uint32(packet[2:]),
		From:     decodeAddrPort(le.Uint32(packet[12:]), le.Uint16(packet[6:])),
		To:       decodeAddrPort(le.Uint32(packet[8:]), le.Uint16(packet[16:])),
		Echo:     le.Uint32(packet[18:]), Seq: le.Uint32(packet[22:]), Ack: le.Uint32(packet[26:]), Flags: packet[30],
	}
	balancerReset := hd.Flags == flagRST && hd.Checksum == 0 && len(data) == 0
	valid := int(le.Uint16(packet[0:])) == len(data) && (balancerReset || hd.Checksum == checksum(packet))
	return hd, data, valid
}

func decodeAddrPort(ip uint32, port uint16) netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port)
}
