package jpsteering

import (
	"slices"
	"strings"
	"time"

	"jacinthpass/core/jptable"
)

// voterCount is the number of instances that confirm the owner of a server. A
// majority of them has to, so that two owners cannot both be confirmed.
const voterCount = 3

// placement is what the owner and the voters of a server depend on. A change of
// the settings or of one data centre's members leaves that of most servers as it
// was.
type ownerInputs struct {
	site       *jptable.Site
	dataCentre string
	id         string
}

// assignOwners recomputes the owner of each server and returns those taken over.
func (st *Steerer) assignOwners(now time.Time) []*server {
	var taken []*server
	st.assignmentSeq++
	for _, sr := range st.servers {
		pl := ownerInputs{st.members.Site(sr.cfg.DataCentre), sr.cfg.DataCentre, sr.id}
		if sr.ownerInputs == pl {
			continue
		}
		sr.ownerInputs = pl
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

// takeOver prepares the admission of a server that this instance owns from now
// on. The previous owner may still think that it is the owner, and may have
// sent the server flows that have no entry here.
func (st *Steerer) takeOver(now time.Time, sr *server) {
	fresh := sr.addedAtRuntime && sr.owner == ""
	cold := fresh || now.Before(sr.coldUntil) || sr.load.Cold && now.Before(sr.loadExpires.Add(loadMaxAge))
	sr.settledAt = now.Add(settleTime)
	sr.confirmationLapsedAt = time.Time{}
	sr.entriesComplete = fresh && st.soleOwner(now, sr)
	sr.admission.Reset(now, cold)
}

// sole tells whether no other instance can have acted as the server's owner
// lately, so that what this instance knows of the server's flows is complete.
// Instances beyond a partition may have taken this data centre for dead.
func (st *Steerer) soleOwner(now time.Time, sr *server) bool {
	if now.Sub(st.membersStableSince) < stableAfter || now.Sub(st.resumedAt) < stableAfter {
		return false
	}
	return !st.partitioned && !st.wasPaused(now) && st.ownerConfirmed(now, sr)
}

// wasPaused tells whether this process was paused and has not ticked since.
func (st *Steerer) wasPaused(now time.Time) bool { return now.Sub(st.lastTick) > pauseThreshold }

// knowsAll tells whether every flow of the server has an entry here.
func (st *Steerer) knowsAllFlows(now time.Time, sr *server) bool {
	return sr.entriesComplete && sr.owned && !st.partitioned && !st.wasPaused(now) && st.ownerConfirmed(now, sr)
}

// isolated tells whether this instance may be the only one that is cut off: it
// is the only voter of the server and does not hear a data centre.
func (st *Steerer) isolated(sr *server) bool { return st.partitioned && len(sr.voters) == 1 }

// near tells whether the server is in this instance's data centre. An instance
// does not judge other servers: they may be beyond a partition.
func (st *Steerer) inOwnDataCentre(sr *server) bool { return sr.cfg.DataCentre == st.dataCentre }

// allServers returns every server of some services once, also those that left
// the settings.
func allServers(services map[serviceKey]*service) []*server {
	seen := map[*server]bool{}
	var list []*server
	for _, sv := range services {
		for _, lu := range append([]*serverSet{&sv.current}, sv.previous...) {
			for _, sr := range lu.all() {
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

// HandleConfirmation notes a peer's promise not to take over servers before a
// deadline. See design section 2.5.
func (st *Steerer) HandleConfirmation(peer string, until time.Time) {
	st.confirmedUntil[peer] = until
}

// confirmed tells whether a majority of the server's voters has promised not
// to regard another instance as its owner now.
func (st *Steerer) ownerConfirmed(now time.Time, sr *server) bool {
	votes := 0
	for _, id := range sr.voters {
		if id == st.self || now.Before(st.confirmedUntil[id]) {
			votes++
		}
	}
	return len(sr.voters) > 0 && votes > len(sr.voters)/2
}
