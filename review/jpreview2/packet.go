package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagFIN = 4
	flagRST = 8
	flagSYN = 16
	flagACK = 64
)

const headSize = 32

// packet is a datagram of a flow. A reset of an instance has no checksum.
type packet struct {
	src, dst netip.AddrPort
	echo     uint32
	seq, ack uint32
	flags    byte
	data     []byte
	sum      uint32
}

// sumKey is known to consumers and servers only.
const sumKey = 0x71c3

func (pk packet) has(flag byte) bool { return pk.flags&flag != 0 }

// marshal returns the datagram, with its checksum.
func (pk packet) marshal() []byte {
	out := make([]byte, headSize, headSize+len(pk.data))
	le := binary.LittleEndian
	src, dst := pk.src.Addr().As4(), pk.dst.Addr().As4()
	le.PutUint16(out[0:], uint16(len(pk.data)))
	le.PutUint16(out[6:], pk.src.Port())
	le.PutUint32(out[8:], binary.BigEndian.Uint32(dst[:]))
	le.PutUint32(out[12:], binary.BigEndian.Uint32(src[:]))
	le.PutUint16(out[16:], pk.dst.Port())
	le.PutUint32(out[22:], pk.seq)
	le.PutUint32(out[26:], pk.ack)
	out[30] = pk.flags
	out = append(out, pk.data...)
	le.PutUint32(out[2:], sumOf(out))
	le.PutUint32(out[18:], pk.echo)
	return out
}

// sumOf returns the checksum of all fields but the echo, the padding and the checksum.
func sumOf(datagram []byte) uint32 {
	covered := append([]byte(nil), datagram...)
	clear(covered[2:6])
	clear(covered[18:22])
	covered[31] = 0
	return max(crc32.Update(sumKey, crc32.IEEETable, covered), 1)
}

// unmarshal reads a datagram. It returns false for one that was changed on its way.
func unmarshal(in []byte) (packet, bool) {
	if len(in) < headSize {
		return packet{}, false
	}
	le := binary.LittleEndian
	pk := packet{
		src:  addrAt(le.Uint32(in[12:]), le.Uint16(in[6:])),
		dst:  addrAt(le.Uint32(in[8:]), le.Uint16(in[16:])),
		echo: le.Uint32(in[18:]), seq: le.Uint32(in[22:]), ack: le.Uint32(in[26:]),
		flags: in[30], data: append([]byte(nil), in[headSize:]...), sum: le.Uint32(in[2:]),
	}
	reset := pk.flags == flagRST && pk.sum == 0 && len(pk.data) == 0
	return pk, int(le.Uint16(in[0:])) == len(pk.data) && (reset || pk.sum == sumOf(in))
}

func addrAt(addr uint32, port uint16) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], addr)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}
