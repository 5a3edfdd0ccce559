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
const headBytes = 32

// head is a packet's header.
type head struct {
	Sum      uint32
	From, To netip.AddrPort
	Echo     uint32
	Seq, Ack uint32
	Flags    byte
}

// sumKey stands for the key that only the ends of a flow know.
const sumKey = 0x5eed

// marshal returns a packet.
func (hd head) marshal(data []byte) []byte {
	packet := make([]byte, headBytes, headBytes+len(data))
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
	le.PutUint32(packet[2:], sumOf(packet))
	le.PutUint32(packet[18:], hd.Echo)
	return packet
}

// sumOf covers all fields but the sum itself, echo, pad and the flag that
// routers may set.
func sumOf(packet []byte) uint32 {
	covered := append([]byte(nil), packet...)
	clear(covered[2:6])
	clear(covered[18:22])
	covered[31] = 0
	return crc32.Update(sumKey, crc32.IEEETable, covered)
}

// unmarshal reads a packet. It returns false if the packet is not as its sender
// wrote it; a reset of a load balancer has no sum.
func unmarshal(packet []byte) (head, []byte, bool) {
	if len(packet) < headBytes {
		return head{}, nil, false
	}
	le := binary.LittleEndian
	data := packet[headBytes:]
	hd := head{
		Sum:  le.Uint32(packet[2:]),
		From: addressOf(le.Uint32(packet[12:]), le.Uint16(packet[6:])),
		To:   addressOf(le.Uint32(packet[8:]), le.Uint16(packet[16:])),
		Echo: le.Uint32(packet[18:]), Seq: le.Uint32(packet[22:]), Ack: le.Uint32(packet[26:]), Flags: packet[30],
	}
	foreign := hd.Flags == flagRST && hd.Sum == 0 && len(data) == 0
	whole := int(le.Uint16(packet[0:])) == len(data) && (foreign || hd.Sum == sumOf(packet))
	return hd, data, whole
}

func addressOf(ip uint32, port uint16) netip.AddrPort {
	var text [4]byte
	binary.BigEndian.PutUint32(text[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(text), port)
}
