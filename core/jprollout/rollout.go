package jprollout

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsettings"
)

// Source is where a record came from.
type Source string

// Sources of records.
const (
	FromStore Source = "store"
	FromPeer  Source = "peer"
)

// AdoptionKind is the result of offering a record.
type AdoptionKind uint8

// Kinds of adoptions.
const (
	Stale   AdoptionKind = iota // not newer than the record in force
	Adopted                     // now in force
	Refused                     // newer, but its text is invalid; nothing changed
)

// Adoption describes the result of Rollout.Offer.
type Adoption struct {
	Kind     AdoptionKind
	Version  uint64 // of the offered record
	Previous uint64 // version in force before
	Err      error  // why it was refused, see jpsettings.Parse
}

// Rollout holds the settings in force on one instance. Their version never
// decreases. The zero value holds no settings. It is not safe for concurrent use.
type Rollout struct {
	record  Record
	tree    *jpsettings.Tree
	source  Source
	since   time.Time
	refused uint64 // latest version whose text was invalid
}

// Offer puts a record in force if its version is higher than the one in force
// and its text is valid. The caller must not modify the record's text afterwards.
func (ro *Rollout) Offer(now time.Time, rec Record, source Source) Adoption {
	ad := Adoption{Version: rec.Version, Previous: ro.record.Version}
	if rec.Version <= ro.record.Version {
		return ad
	}
	tree, err := jpsettings.Parse(settingsName, rec.Text)
	if err != nil {
		ro.refused = max(ro.refused, rec.Version)
		ad.Kind, ad.Err = Refused, err
		return ad
	}
	tree.Version, tree.Former = rec.Version, rec.Former
	ro.record, ro.tree, ro.source, ro.since = rec, tree, source, now
	ad.Kind = Adopted
	return ad
}

// ShouldRequest reports whether a version that a peer advertises should be
// requested. Refused versions are not requested again, because peers advertise
// their version several times a second.
func (ro *Rollout) ShouldRequest(version uint64) bool {
	return version > ro.record.Version && version > ro.refused
}

// Record returns the record in force. Its version is 0 if there is none.
func (ro *Rollout) Record() Record { return ro.record }

// Tree returns the settings in force, or nil if there are none.
func (ro *Rollout) Tree() *jpsettings.Tree { return ro.tree }

// Origin returns where the record in force came from and when it came into force.
func (ro *Rollout) Origin() (Source, time.Time) { return ro.source, ro.since }

// Watchers returns the ids of the live instances of a data centre that watch the
// store, at most count, selected by rendezvous hashing. The number of calls to
// the store so does not grow with the number of instances.
func Watchers(members []jpmember.Member, dc string, count int) []string {
	return selectWatchers(members, dc, count, jpmember.Alive)
}

// WatcherRank returns the position of an instance among those of a data centre with one of
// the states, in the order in which they are selected to watch the store, from 0. An
// instance that is not among them comes last. Instances that have not been heard of may be
// dead, and others unable to reach the store, so that the next ones have to watch it if
// they hear of no changes.
func WatcherRank(members []jpmember.Member, dc, id string, states ...jpmember.State) int {
	ids := selectWatchers(members, dc, len(members), states...)
	if rank := slices.Index(ids, id); rank >= 0 {
		return rank
	}
	return max(len(ids), 1)
}

func selectWatchers(members []jpmember.Member, dc string, count int, states ...jpmember.State) []string {
	var ids []string
	for _, mb := range members {
		if mb.DataCentre == dc && slices.Contains(states, mb.State) {
			ids = append(ids, mb.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := watcherWeight(ids[i]), watcherWeight(ids[j])
		return a > b || a == b && ids[i] < ids[j]
	})
	return ids[:min(len(ids), count)]
}

// watcherWeight is the rendezvous weight of an instance. It hashes a fixed prefix
// too, so that watchers are selected independently of the owners of servers.
func watcherWeight(id string) uint64 { return xxhash.Sum64String("settings watcher " + id) }
