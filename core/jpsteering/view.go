package jpsteering

import (
	"slices"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jptable"
)

// ApplyView applies a new view of the membership and recomputes the owners of all
// servers.
func (st *Steerer) ApplyView(now time.Time, view jpmember.View, out []Outcome) []Outcome {
	dataCentre, partitioned := dataCentreOf(view, st.self), hasUnreachableDataCentre(view)
	if partitioned != st.partitioned || !sameAlive(st.view, view, dataCentre) {
		st.membersStableSince = now
	}
	if anyDied(st.view, view) {
		st.lastDeathAt = now
	}
	if st.partitioned && !partitioned {
		// Missing answers to probes sent during the partition do not show that an
		// end lost its flow.
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

// anyDied reports whether an instance that was alive is dead now.
func anyDied(before, after jpmember.View) bool {
	alive := map[string]bool{}
	for _, mb := range before.Alive() {
		alive[mb.ID] = true
	}
	return slices.ContainsFunc(after.Members, func(mb jpmember.Member) bool {
		return mb.State == jpmember.Dead && alive[mb.ID]
	})
}

// sameAlive reports whether two views have the same alive instances of a data centre,
// and so the same owners of its servers.
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

// hasUnreachableDataCentre reports whether no instance of some listed data centre is alive.
func hasUnreachableDataCentre(view jpmember.View) bool {
	reachable := map[string]bool{}
	for _, mb := range view.Members {
		if mb.Listed || mb.State == jpmember.Alive {
			reachable[mb.DataCentre] = reachable[mb.DataCentre] || mb.State == jpmember.Alive
		}
	}
	for _, ok := range reachable {
		if !ok {
			return true
		}
	}
	return false
}
