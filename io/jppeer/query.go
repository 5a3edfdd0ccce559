package jppeer

import (
	"net/netip"
	"net/url"

	"jacinthpass/core/jpmember"
)

// hello returns the query of a connection to a peer: who dials, who is meant,
// and the addresses of the dialling instance.
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

// readHello returns the addresses in a query; those that are missing or not
// valid stay zero.
func parseAddresses(query url.Values) jpmember.Addresses {
	var ad jpmember.Addresses
	for _, field := range addressParams(&ad) {
		if parsed, err := netip.ParseAddrPort(query.Get(field.name)); err == nil {
			*field.address = parsed
		}
	}
	return ad
}

// note keeps the addresses of a connected instance until end is called.
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

// Addresses returns what an instance that is connected here has told of its
// addresses, the zero value if nothing.
func (nd *Node) Addresses(id string) jpmember.Addresses {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.advertised[id]
}
