package jptable

import (
	"cmp"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"jacinthpass/core/jpmember"
)

// Guards against voters that are not the first listed instances of the data
// centre in rendezvous order. The expected order comes from a full sort.
func TestVoters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var want []string
		list := members(nameGen.Draw(rt, "members"), "")
		for i := range list {
			mb := &list[i]
			mb.DataCentre = rapid.SampledFrom([]string{"hobart", "devonport"}).Draw(rt, "centre")
			mb.State = jpmember.State(rapid.IntRange(0, int(jpmember.Dead)).Draw(rt, "state"))
			mb.Listed = rapid.Bool().Draw(rt, "listed")
			if mb.DataCentre == "hobart" && mb.Listed && mb.State != jpmember.Leaving {
				want = append(want, mb.ID)
			}
		}
		server := rapid.String().Draw(rt, "server")
		score := func(id string) uint64 { return mix(xxhash.Sum64String(server) ^ mix(xxhash.Sum64String(id))) }
		slices.SortFunc(want, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
		want = want[:min(3, len(want))]
		if got := NewMembers(list, nil).Voters("hobart", server, 3); !slices.Equal(got, want) {
			rt.Fatalf("voters %v, want %v", got, want)
		}
	})
}

// Guards against owners and voters that stay the same although the members they
// depend on have changed, and against computing those of all data centres again
// when only one data centre has changed.
func TestUnchangedDataCentres(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := members(nameGen.Draw(rt, "members"), "")
		for i := range list {
			list[i].DataCentre = rapid.SampledFrom([]string{"hobart", "devonport"}).Draw(rt, "centre")
			list[i].State = jpmember.State(rapid.IntRange(int(jpmember.Alive), int(jpmember.Dead)).Draw(rt, "state"))
			list[i].Listed = rapid.Bool().Draw(rt, "listed")
		}
		first := NewMembers(list, nil)
		changed := rapid.IntRange(0, len(list)-1).Draw(rt, "changed")
		list[changed].State = jpmember.State(rapid.IntRange(int(jpmember.Alive), int(jpmember.Dead)).Draw(rt, "next state"))
		list[changed].Listed = rapid.Bool().Draw(rt, "listed next")
		next := NewMembers(list, first)
		for _, dc := range []string{"hobart", "devonport", "launceston"} {
			same := next.DataCentre(dc) == first.DataCentre(dc)
			if alive := len(next.DataCentre(dc).alive) > 0; alive && dc != list[changed].DataCentre && !same {
				rt.Errorf("members of data centre %s were computed again", dc)
			}
			for _, server := range numbered("od", 20) {
				owner, successor := first.Owners(dc, server)
				owner2, successor2 := next.Owners(dc, server)
				voters, voters2 := first.Voters(dc, server, 3), next.Voters(dc, server, 3)
				if same && (owner != owner2 || successor != successor2 || !slices.Equal(voters, voters2)) {
					rt.Errorf("members of data centre %s are unchanged, %s moves from %q, %q, %v to %q, %q, %v", dc, server, owner, successor, voters, owner2, successor2, voters2)
				}
			}
		}
	})
}
