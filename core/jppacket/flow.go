// Package jppacket reads the headers of packets and builds the few packets
// that jacinthpass sends by itself: resets and keepalive probes.
package jppacket

import "net/netip"

// Flow identifies one flow from the caller's side, whichever way a packet goes.
type Flow struct {
	Caller      [4]byte
	Service     [4]byte
	CallerPort  uint16 // caller's port
	ServicePort uint16 // service's port
	Protocol    uint8  // IP protocol number
}

// ServiceAddress returns the service address and port.
func (fl Flow) ServiceAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(fl.Service), fl.ServicePort)
}

// CallerAddress returns the caller's address and port.
func (fl Flow) CallerAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(fl.Caller), fl.CallerPort)
}
