package jpsteering

import (
	"slices"
	"strings"
	"time"

	"jacinthpass/core/jptable"
)

// voterCount is the number of instances that confirm the owner of a server. A majority
// of them is required, so that two owners cannot be confirmed at the same time.
const voterCount = 3

// ownerInputs holds everything that the owner and the voters of a server depend on.
// After a change of the settings or of one data centre's members it is unchanged for
// most servers, whose owners then need not be recomputed.
type ownerInputs struct {
	dataCentreMembers *jptable.DataCentreMembers
	dataCentre        string
	id                string
}

// assignOwners recomputes the owner of each server and returns the servers that this
// instance has taken over.
func (st *Steerer) assignOwners(now time.Time) []*server {
	var taken []*server
	st.assignmentSeq++
	for _, sr := range st.servers {
		oi := ownerInputs{st.members.DataCentre(sr.cfg.DataCentre), sr.cfg.DataCentre, sr.id}
		if sr.ownerInputs == oi {
			continue
		}
		sr.ownerInputs = oi
		owner, _ := st.members.Owners(sr.cfg.DataCentre, sr.id)
		sr.voters = st.members.Voters(sr.cfg.DataCentre, sr.id, voterCount)
		if sr.owner != "" && sr.owner != owner {
			sr.service.ownersChangedAt = now
		}
		mine := owner == st.self
		if mine && !sr.owned {
			st.takeOver(now, sr)
			taken = append(taken, sr)
		}
		if !mine && sr.owned {
			sr.entriesComplete = false
			sr.handoverUntil = now.Add(handoverTime)
		}
		sr.owner, sr.owned = owner, mine
	}
	return taken
}

// takeOver resets the admission of a server that this instance owns from now on. The
// previous owner may still believe that it owns the server, and may have sent it flows
// that have no entry here.
func (st *Steerer) takeOver(now time.Time, sr *server) {
	newServer := sr.addedAtRuntime && sr.owner == ""
	cold := newServer || now.Before(sr.coldUntil) || sr.load.Cold && now.Before(sr.loadExpires.Add(loadMaxAge))
	sr.settledAt = now.Add(settleTime)
	sr.confirmationLapsedAt = time.Time{}
	sr.entriesComplete = newServer && st.soleOwner(now, sr)
	sr.admission.TakeOver(now, cold)
}

// soleOwner reports whether no other instance can have acted as the server's owner
// recently, so that this instance has entries for all of the server's flows. Instances
// on the other side of a partition may have considered this data centre dead.
func (st *Steerer) soleOwner(now time.Time, sr *server) bool {
	if now.Sub(st.membersStableSince) < stableAfter || now.Sub(st.resumedAt) < stableAfter {
		return false
	}
	return !st.partitioned && !st.wasPaused(now) && st.ownerConfirmed(now, sr)
}

// wasPaused reports whether this process was paused and has not ticked since.
func (st *Steerer) wasPaused(now time.Time) bool { return now.Sub(st.lastTick) > pauseThreshold }

// knowsAllFlows reports whether every flow of the server has an entry here.
func (st *Steerer) knowsAllFlows(now time.Time, sr *server) bool {
	return sr.entriesComplete && sr.owned && !st.partitioned && !st.wasPaused(now) && st.ownerConfirmed(now, sr)
}

// isolated reports whether this instance may be the only one that is cut off from the
// others: it is the only voter of the server, and another data centre is unreachable.
func (st *Steerer) isolated(sr *server) bool { return st.partitioned && len(sr.voters) == 1 }

// inOwnDataCentre reports whether the server is in this instance's data centre. An
// instance does not declare other servers dead, because they may only be unreachable
// from here.
func (st *Steerer) inOwnDataCentre(sr *server) bool { return sr.cfg.DataCentre == st.dataCentre }

// allServers returns every server of the given services once, including those that
// were removed from the settings, sorted by id.
func allServers(services map[serviceKey]*service) []*server {
	seen := map[*server]bool{}
	var list []*server
	for _, sv := range services {
		for _, ss := range append([]*serverSet{&sv.current}, sv.previous...) {
			for _, sr := range ss.all() {
				if !seen[sr] {
					seen[sr] = true
					list = append(list, sr)
				}
			}
		}
	}
	sortServers(list)
	return list
}

func sortServers(list []*server) {
	slices.SortFunc(list, func(a, b *server) int { return strings.Compare(a.id, b.id) })
}

// HandleConfirmation records a peer's promise not to take over servers until a
// deadline. See design section 2.5.
func (st *Steerer) HandleConfirmation(peer string, until time.Time) {
	st.confirmedUntil[peer] = until
}

// ownerConfirmed reports whether a majority of the server's voters has promised not
// to regard any other instance as its owner at now.
func (st *Steerer) ownerConfirmed(now time.Time, sr *server) bool {
	votes := 0
	for _, id := range sr.voters {
		if id == st.self || now.Before(st.confirmedUntil[id]) {
			votes++
		}
	}
	return len(sr.voters) > 0 && votes > len(sr.voters)/2
}
