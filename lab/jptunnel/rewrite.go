package jptunnel

import (
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// alter returns the packet as it leaves the tunnel and how often it does.
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

// withPayload returns a TCP segment with n more bytes of payload.
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
