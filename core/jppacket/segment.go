package jppacket

import "encoding/binary"

const (
	segmentTTL       = 64
	dontFragment     = 0x4000
	timestampsPrefix = optionNoOp<<24 | optionNoOp<<16 | optionTimestamps<<8 | timestampsSize

	// segmentWindow is the window that probes advertise, in bytes before scaling.
	// The receiver may apply it until the next segment of its real peer, so it is
	// small, but not zero, which would stop the receiver from sending.
	segmentWindow = 512
)

// AppendSegment appends an IPv4 packet with the TCP segment sg, with valid
// checksums and without payload, to buf. A reset advertises no window.
func AppendSegment(buf []byte, sg Segment) []byte {
	size := tcpHeaderSize
	if sg.HasTimestamps {
		size += timestampsWithNoOps
	}
	start := len(buf)
	buf = appendIPv4(buf, sg, size)
	tcp := start + ipv4HeaderSize
	buf = binary.BigEndian.AppendUint16(buf, sg.SourcePort)
	buf = binary.BigEndian.AppendUint16(buf, sg.DestinationPort)
	buf = binary.BigEndian.AppendUint32(buf, sg.Sequence)
	buf = binary.BigEndian.AppendUint32(buf, sg.Acknowledgement)
	buf = append(buf, uint8(size/4)<<4, sg.Flags)
	buf = binary.BigEndian.AppendUint16(buf, sg.window())
	buf = append(buf, 0, 0, 0, 0) // checksum, urgent pointer
	if sg.HasTimestamps {
		buf = binary.BigEndian.AppendUint32(buf, timestampsPrefix)
		buf = binary.BigEndian.AppendUint32(buf, sg.TimestampValue)
		buf = binary.BigEndian.AppendUint32(buf, sg.TimestampEcho)
	}
	pseudo := sumWords(protocolTCP+uint64(size), buf[start+12:tcp])
	binary.BigEndian.PutUint16(buf[tcp+16:], ^foldChecksum(sumWords(pseudo, buf[tcp:])))
	return buf
}

func (sg *Segment) window() uint16 {
	if sg.Flags&RST != 0 {
		return 0
	}
	return segmentWindow
}

func appendIPv4(buf []byte, sg Segment, size int) []byte {
	start := len(buf)
	buf = append(buf, 4<<4|ipv4HeaderSize/4, 0)
	buf = binary.BigEndian.AppendUint16(buf, uint16(ipv4HeaderSize+size))
	buf = binary.BigEndian.AppendUint16(buf, 0) // identification: unused without fragments (RFC 6864)
	buf = binary.BigEndian.AppendUint16(buf, dontFragment)
	buf = append(buf, segmentTTL, protocolTCP, 0, 0)
	buf = append(buf, sg.Source[:]...)
	buf = append(buf, sg.Destination[:]...)
	binary.BigEndian.PutUint16(buf[start+10:], ^foldChecksum(sumWords(0, buf[start:])))
	return buf
}
