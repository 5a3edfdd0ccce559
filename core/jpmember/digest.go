package jpmember

import "github.com/cespare/xxhash/v2"

// digest identifies the set of instances of this instance's data centre that it
// considers alive. Instances with equal digests agree on the owner of every
// server of the data centre, since the owner is computed from that set.
func (gr *Group) digest() uint64 {
	gr.updateView()
	return gr.viewDigest
}

func digestOf(members []Member, dataCentre string) uint64 {
	hash := xxhash.New()
	for _, mb := range members {
		if mb.State == Alive && mb.DataCentre == dataCentre {
			// A Digest never returns an error.
			_, _ = hash.WriteString(mb.ID)
			_, _ = hash.Write([]byte{0})
		}
	}
	return hash.Sum64()
}
