// Package jppacket parses packet headers, encodes and parses the Geneve header of
// packets relayed between instances, and builds the packets that jacinthpass
// originates: resets and keepalive probes.
package jppacket

import "net/netip"

// Flow identifies a flow by its endpoints, seen from the caller. It is the same
// for packets in both directions.
type Flow struct {
	Caller      [4]byte
	Service     [4]byte
	CallerPort  uint16
	ServicePort uint16
	Protocol    uint8 // IP protocol number
}

// ServiceAddress returns the service's IP address and port.
func (fl Flow) ServiceAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(fl.Service), fl.ServicePort)
}

// CallerAddress returns the caller's IP address and port.
func (fl Flow) CallerAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(fl.Caller), fl.CallerPort)
}
