package jpsteering

import (
	"slices"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jptable"
)

// ApplyView takes in a new picture of the membership and recomputes the owners
// of all servers.
func (st *Steerer) ApplyView(now time.Time, view jpmember.View, out []Outcome) []Outcome {
	dataCentre, partitioned := dataCentreOf(view, st.self), hasUnheardDataCentre(view)
	if partitioned != st.partitioned || !sameAlive(st.view, view, dataCentre) {
		st.membersStableSince = now
	}
	if anyDied(st.view, view) {
		st.lastDeathAt = now
	}
	if st.partitioned && !partitioned {
		// Probes sent into the partition prove nothing after it.
		st.resumedAt = now
	}
	st.view, st.dataCentre, st.partitioned = view, dataCentre, partitioned
	st.members = jptable.NewMembers(view.Members, st.members)
	for _, sr := range st.assignOwners(now) {
		if st.hasView {
			out = append(out, Outcome{Kind: Record, Reason: EventTakeover, Service: sr.service.cfg.Name, Server: sr.cfg.Address})
		}
	}
	st.hasView = st.hasView || len(view.Members) > 0
	return out
}

// anyDied tells whether an instance that was alive is dead now.
func anyDied(before, after jpmember.View) bool {
	alive := map[string]bool{}
	for _, mb := range before.Alive() {
		alive[mb.ID] = true
	}
	return slices.ContainsFunc(after.Members, func(mb jpmember.Member) bool {
		return mb.State == jpmember.Dead && alive[mb.ID]
	})
}

// sameAlive tells whether two views agree on the owners of a data centre's servers.
func sameAlive(one, two jpmember.View, dataCentre string) bool {
	other := func(mb jpmember.Member) bool { return mb.DataCentre != dataCentre }
	return slices.EqualFunc(
		slices.DeleteFunc(one.Alive(), other), slices.DeleteFunc(two.Alive(), other),
		func(a, b jpmember.Member) bool { return a.ID == b.ID })
}

func dataCentreOf(view jpmember.View, id string) string {
	for _, mb := range view.Members {
		if mb.ID == id {
			return mb.DataCentre
		}
	}
	return ""
}

// cutOff tells whether a data centre is listed of which no instance is heard.
func hasUnheardDataCentre(view jpmember.View) bool {
	heard := map[string]bool{}
	for _, mb := range view.Members {
		if mb.Listed || mb.State == jpmember.Alive {
			heard[mb.DataCentre] = heard[mb.DataCentre] || mb.State == jpmember.Alive
		}
	}
	for _, ok := range heard {
		if !ok {
			return true
		}
	}
	return false
}
