package jptable

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jpmember"
)

// Members holds the instances of one view, grouped by data centre and with their
// hashes computed, so that finding the owners of thousands of servers does not
// visit the instances of other data centres.
type Members struct {
	byDataCentre map[string]*DataCentreMembers
	empty        *DataCentreMembers // of data centres without members
	alive        []hashedMember     // of all data centres
}

// DataCentreMembers holds the members that the owners and voters of a data
// centre's servers depend on. The Members of successive views share the pointer
// as long as the owners and voters cannot change.
type DataCentreMembers struct {
	alive  []hashedMember
	listed []hashedMember // in the platform's list and not leaving
}

// hashedMember is an instance with the hash of its ID.
type hashedMember struct {
	id   string
	hash uint64
}

// NewMembers returns the Members of a view. It reuses each unchanged
// DataCentreMembers of the previous view, which may be nil.
func NewMembers(members []jpmember.Member, previous *Members) *Members {
	ms := &Members{byDataCentre: map[string]*DataCentreMembers{}, empty: &DataCentreMembers{}}
	for i := range members {
		mb := &members[i]
		dm := ms.byDataCentre[mb.DataCentre]
		if dm == nil {
			dm = &DataCentreMembers{}
			ms.byDataCentre[mb.DataCentre] = dm
		}
		hm := hashedMember{mb.ID, mix(xxhash.Sum64String(mb.ID))}
		if mb.State == jpmember.Alive {
			dm.alive = append(dm.alive, hm)
			ms.alive = append(ms.alive, hm)
		}
		if mb.Listed && mb.State != jpmember.Leaving {
			dm.listed = append(dm.listed, hm)
		}
	}
	if previous == nil {
		return ms
	}
	for dc, dm := range ms.byDataCentre {
		// The servers of a data centre without an alive member depend on the
		// members of all data centres.
		old := previous.byDataCentre[dc]
		if old != nil && len(dm.alive) > 0 && slices.Equal(old.alive, dm.alive) && slices.Equal(old.listed, dm.listed) {
			ms.byDataCentre[dc] = old
		}
	}
	return ms
}

// DataCentre returns the members of a data centre. It is never nil.
func (ms *Members) DataCentre(dataCentre string) *DataCentreMembers {
	if dm := ms.byDataCentre[dataCentre]; dm != nil {
		return dm
	}
	return ms.empty
}

// Owners returns the owner and the successor of a single server. See
// Members.Owners.
func Owners(members []jpmember.Member, dataCentre, server string) (owner, successor string) {
	return NewMembers(members, nil).Owners(dataCentre, server)
}

// Owners returns the IDs of the owner and the successor of a backend server:
// the first two alive members of its data centre in the order of rendezvous
// hashing, or of all data centres if its own has none. Either is empty if there
// is no such member. The server's name must be unique across all services, for
// example "service/server".
func (ms *Members) Owners(dataCentre, server string) (owner, successor string) {
	list := ms.DataCentre(dataCentre).alive
	if len(list) == 0 {
		list = ms.alive
	}
	seed := xxhash.Sum64String(server)
	var first, second uint64
	for i := range list {
		hm := &list[i]
		score := mix(seed ^ hm.hash)
		switch {
		case owner == "" || ranksBefore(score, hm.id, first, owner):
			second, successor = first, owner
			first, owner = score, hm.id
		case successor == "" || ranksBefore(score, hm.id, second, successor):
			second, successor = score, hm.id
		}
	}
	return owner, successor
}

// Voters returns the IDs of the first count instances of a data centre in the
// order of rendezvous hashing for a backend server, among those that are in the
// platform's list and not leaving. Dead instances are included.
func (ms *Members) Voters(dataCentre, server string, count int) []string {
	type voter struct {
		id    string
		score uint64
	}
	seed := xxhash.Sum64String(server)
	best := make([]voter, 0, count+1)
	for _, hm := range ms.DataCentre(dataCentre).listed {
		vt := voter{hm.id, mix(seed ^ hm.hash)}
		if len(best) == count && !ranksBefore(vt.score, vt.id, best[count-1].score, best[count-1].id) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, vt, func(a, b voter) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
		})
		best = slices.Insert(best, at, vt)
		best = best[:min(count, len(best))]
	}
	var ids []string
	for _, vt := range best {
		ids = append(ids, vt.id)
	}
	return ids
}

// ranksBefore reports whether a comes before b in the order of rendezvous hashing:
// by falling scores, then by names.
func ranksBefore(scoreA uint64, nameA string, scoreB uint64, nameB string) bool {
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return nameA < nameB
}
