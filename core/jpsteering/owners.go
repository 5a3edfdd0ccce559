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
type placement struct {
	site       *jptable.DataCentreMembers
	dataCentre string
	id         string
}

// assignOwners recomputes the owner of each server and returns those taken over.
func (st *Steerer) assignOwners(now time.Time) []*server {
	var taken []*server
	st.assigned++
	for _, sr := range st.servers {
		pl := placement{st.members.DataCentre(sr.cfg.DataCentre), sr.cfg.DataCentre, sr.id}
		if sr.placement == pl {
			continue
		}
		sr.placement = pl
		owner, _ := st.members.Owners(sr.cfg.DataCentre, sr.id)
		sr.voters = st.members.Voters(sr.cfg.DataCentre, sr.id, voterCount)
		if sr.owner != "" && sr.owner != owner {
			sr.service.ownersChanged = now
		}
		mine := owner == st.self
		if mine && !sr.mine {
			st.takeOver(now, sr)
			taken = append(taken, sr)
		}
		if !mine && sr.mine {
			sr.complete = false
			sr.handover = now.Add(handoverTime)
		}
		sr.owner, sr.mine = owner, mine
	}
	return taken
}

// takeOver prepares the admission of a server that this instance owns from now
// on. The previous owner may still think that it is the owner, and may have
// sent the server flows that have no entry here.
func (st *Steerer) takeOver(now time.Time, sr *server) {
	fresh := sr.added && sr.owner == ""
	cold := fresh || now.Before(sr.coldUntil) || sr.load.Cold && now.Before(sr.loadUntil.Add(loadTrust))
	sr.settled = now.Add(settleAfter)
	sr.lapsed = time.Time{}
	sr.complete = fresh && st.sole(now, sr)
	sr.admission.Reset(now, cold)
}

// sole tells whether no other instance can have acted as the server's owner
// lately, so that what this instance knows of the server's flows is complete.
// Instances beyond a partition may have taken this data centre for dead.
func (st *Steerer) sole(now time.Time, sr *server) bool {
	if now.Sub(st.steady) < steadyAfter || now.Sub(st.resumed) < steadyAfter {
		return false
	}
	return !st.partitioned && !st.wasPaused(now) && st.confirmed(now, sr)
}

// wasPaused tells whether this process was paused and has not ticked since.
func (st *Steerer) wasPaused(now time.Time) bool { return now.Sub(st.lastTick) > pauseLimit }

// knowsAll tells whether every flow of the server has an entry here.
func (st *Steerer) knowsAll(now time.Time, sr *server) bool {
	return sr.complete && sr.mine && !st.partitioned && !st.wasPaused(now) && st.confirmed(now, sr)
}

// isolated tells whether this instance may be the only one that is cut off: it
// is the only voter of the server and does not hear a data centre.
func (st *Steerer) isolated(sr *server) bool { return st.partitioned && len(sr.voters) == 1 }

// near tells whether the server is in this instance's data centre. An instance
// does not judge other servers: they may be beyond a partition.
func (st *Steerer) near(sr *server) bool { return sr.cfg.DataCentre == st.dataCentre }

// allServers returns every server of some services once, also those that left
// the settings.
func allServers(services map[serviceKey]*service) []*server {
	seen := map[*server]bool{}
	var list []*server
	for _, sv := range services {
		for _, lu := range append([]*lineup{&sv.lineup}, sv.before...) {
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
	st.confirms[peer] = until
}

// confirmed tells whether a majority of the server's voters has promised not
// to regard another instance as its owner now.
func (st *Steerer) confirmed(now time.Time, sr *server) bool {
	votes := 0
	for _, id := range sr.voters {
		if id == st.self || now.Before(st.confirms[id]) {
			votes++
		}
	}
	return len(sr.voters) > 0 && votes > len(sr.voters)/2
}
