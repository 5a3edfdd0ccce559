// Package jpplatform simulates the Derwent platform in tests: its store, its
// routers, backend servers and callers, on loopback addresses. It implements the
// platform's published protocol and shares no code with the adapter.
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

// headerBytes is the size of a packet's header.
const headerBytes = 32

// header is a packet's header.
type header struct {
	Checksum uint32
	From, To netip.AddrPort
	Echo     uint32
	Seq, Ack uint32
	Flags    byte
}

// checksumKey is the initial value of the checksum. It simulates a key that only
// the caller and the server of a flow know.
const checksumKey = 0x5eed

// marshal encodes a packet with its checksum.
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

// checksum covers the whole packet except the checksum itself, the echo, the
// padding and the flag that routers may set.
func checksum(packet []byte) uint32 {
	covered := append([]byte(nil), packet...)
	clear(covered[2:6])
	clear(covered[18:22])
	covered[31] = 0
	return crc32.Update(checksumKey, crc32.IEEETable, covered)
}

// unmarshal decodes a packet and reports whether it is valid, which means that it
// was not changed after its sender wrote it. A reset of a load balancer has no
// checksum.
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
