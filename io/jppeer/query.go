package jppeer

import (
	"net/netip"
	"net/url"

	"jacinthpass/core/jpmember"
)

// connectionQuery returns the URL query of a connection to a peer: the ids of both
// instances and the advertised addresses of this one.
func (nd *Node) connectionQuery(to string) url.Values {
	ad := nd.cfg.Advertise
	query := url.Values{"from": {nd.cfg.ID}, "to": {to}}
	for _, field := range addressParams(&ad) {
		if field.address.IsValid() {
			query.Set(field.name, field.address.String())
		}
	}
	return query
}

type addressParam struct {
	name    string
	address *netip.AddrPort
}

func addressParams(ad *jpmember.Addresses) []addressParam {
	return []addressParam{
		{"traffic", &ad.Traffic}, {"relay", &ad.Relay}, {"peer", &ad.Peer}, {"operator", &ad.Operator},
	}
}

// parseAddresses returns the addresses in a query; those that are missing or
// invalid are left zero.
func parseAddresses(query url.Values) jpmember.Addresses {
	var ad jpmember.Addresses
	for _, field := range addressParams(&ad) {
		if parsed, err := netip.ParseAddrPort(query.Get(field.name)); err == nil {
			*field.address = parsed
		}
	}
	return ad
}

// addAdvertised stores the advertised addresses of a connected instance until end
// is called.
func (nd *Node) addAdvertised(id string, ad jpmember.Addresses) (end func()) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.advertised[id] = ad
	return func() {
		nd.mu.Lock()
		defer nd.mu.Unlock()
		if nd.advertised[id] == ad {
			delete(nd.advertised, id)
		}
	}
}

// Addresses returns the addresses that an instance has advertised on its
// connection to this one, the zero value if it is not connected.
func (nd *Node) Addresses(id string) jpmember.Addresses {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.advertised[id]
}
