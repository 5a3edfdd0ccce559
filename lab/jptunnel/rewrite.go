package jptunnel

import (
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// rewriteOutgoing returns an outgoing packet as it is sent, with payload added to
// a SYN if configured, and the number of times to send it.
func (tn *Tunnel) rewriteOutgoing(pkt []byte) ([]byte, int) {
	ip := header.IPv4(pkt)
	if ip.TransportProtocol() != header.TCPProtocolNumber {
		return pkt, 1
	}
	tc := header.TCP(ip.Payload())
	switch {
	case tc.Flags()&(header.TCPFlagSyn|header.TCPFlagAck) == header.TCPFlagSyn && tn.synPayload > 0:
		return appendPayload(pkt, tn.synPayload), 1
	case len(tc.Payload()) > 0:
		return pkt, tn.copies
	}
	return pkt, 1
}

// appendPayload returns a copy of a TCP segment with n zero bytes appended to its
// payload.
func appendPayload(pkt []byte, n int) []byte {
	res := append(append([]byte(nil), pkt...), make([]byte, n)...)
	ip := header.IPv4(res)
	ip.SetTotalLength(uint16(len(res)))
	ip.SetChecksum(0)
	ip.SetChecksum(^ip.CalculateChecksum())
	tc := header.TCP(ip.Payload())
	tc.SetChecksum(0)
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, ip.SourceAddress(), ip.DestinationAddress(), uint16(len(tc)))
	sum = checksum.Checksum(tc.Payload(), sum)
	tc.SetChecksum(^tc.CalculateChecksum(sum))
	return res
}
