package main

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

const (
	headerSize       = 32
	serverNumberSize = 8 // prefix of a packet to a server
	maxDatagramSize  = serverNumberSize + headerSize + 1200

	// checksumKey is known to callers and servers only.
	checksumKey = 0x7e57
)

// packet is a packet of a flow. Checksum is 0 only in a reset of the balancer.
type packet struct {
	Checksum uint32
	From, To netip.AddrPort
	Echo     uint32
	Seq, Ack uint32
	Flags    byte
	Data     []byte
}

// marshal encodes a packet with its checksum.
func (pk packet) marshal() []byte {
	le := binary.LittleEndian
	text := make([]byte, headerSize, headerSize+len(pk.Data))
	le.PutUint16(text[0:], uint16(len(pk.Data)))
	putAddress(text, 12, 6, pk.From)
	putAddress(text, 8, 16, pk.To)
	le.PutUint32(text[22:], pk.Seq)
	le.PutUint32(text[26:], pk.Ack)
	text[30] = pk.Flags
	text = append(text, pk.Data...)
	le.PutUint32(text[2:], checksum(text))
	le.PutUint32(text[18:], pk.Echo)
	return text
}

// unmarshal decodes a packet. It returns false for one that differs from what its
// sender wrote.
func unmarshal(text []byte) (packet, bool) {
	if len(text) < headerSize {
		return packet{}, false
	}
	le := binary.LittleEndian
	pk := packet{
		Checksum: le.Uint32(text[2:]), From: addressAt(text, 12, 6), To: addressAt(text, 8, 16),
		Echo: le.Uint32(text[18:]), Seq: le.Uint32(text[22:]), Ack: le.Uint32(text[26:]), Flags: text[30],
		Data: append([]byte(nil), text[headerSize:]...),
	}
	balancerReset := pk.Flags == flagRST && pk.Checksum == 0 && len(pk.Data) == 0
	return pk, int(le.Uint16(text[0:])) == len(pk.Data) && (balancerReset || pk.Checksum == checksum(text))
}

// checksum covers all fields but the checksum itself, the echo, the padding and the
// BOUNCED flag. It is never 0.
func checksum(text []byte) uint32 {
	covered := append([]byte(nil), text...)
	clear(covered[2:6])
	clear(covered[18:22])
	covered[30] &^= 32
	covered[31] = 0
	return max(crc32.Update(checksumKey, crc32.IEEETable, covered), 1)
}

func putAddress(text []byte, addr, port int, value netip.AddrPort) {
	ip := value.Addr().As4()
	binary.LittleEndian.PutUint32(text[addr:], binary.BigEndian.Uint32(ip[:]))
	binary.LittleEndian.PutUint16(text[port:], value.Port())
}

func addressAt(text []byte, addr, port int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], binary.LittleEndian.Uint32(text[addr:]))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), binary.LittleEndian.Uint16(text[port:]))
}
