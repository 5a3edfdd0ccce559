package jpdirectory

import (
	"cmp"
	"slices"
	"time"
)

// removalTime is how long a removed record is kept, so that peers that missed
// the removal still learn of it. An instance that was cut off for longer gets
// all records instead.
const tombstoneTTL = 2 * time.Minute

// Directory holds the latest known record of each key. Its revision and the
// version of its manifest never fall. It is not safe for concurrent use.
type Directory struct {
	records        map[Key]Record
	tombstones     map[Key]time.Time // when removals may be forgotten
	revision       uint64
	purgedRevision uint64    // removals up to this revision may have been forgotten
	currentAt      time.Time // moment at which the records were the store's latest
}

// New returns an empty directory, which knows nothing.
func New() *Directory {
	return &Directory{records: map[Key]Record{}, tombstones: map[Key]time.Time{}}
}

// Update is a part of the store's contents, or all of it.
type Update struct {
	Records   []Record
	Revision  uint64    // all changes up to it are contained
	Full      bool      // keys that are not contained do not exist
	CurrentAt time.Time // moment at which Revision was the store's latest
}

// Known tells whether the directory has ever been filled.
func (dr *Directory) Populated() bool { return dr.revision > 0 }

// Revision returns the revision up to which all changes are known.
func (dr *Directory) Revision() uint64 { return dr.revision }

// Current returns the latest moment at which the records were up to date.
func (dr *Directory) CurrentAt() time.Time { return dr.currentAt }

// Confirm notes that the store's latest revision was this one at a moment.
func (dr *Directory) Confirm(revision uint64, current time.Time) {
	if revision <= dr.revision && current.After(dr.currentAt) {
		dr.currentAt = current
	}
}

// Apply takes over an update and returns the records that changed, in order of
// their revisions. An update that starts after the directory's revision must
// not be applied; see Since.
func (dr *Directory) Apply(now time.Time, up Update) []Record {
	var changed []Record
	contained := map[Key]bool{}
	for _, rc := range up.Records {
		contained[rc.Key] = true
		if dr.applyRecord(now, rc) {
			changed = append(changed, rc)
		}
	}
	if up.Full {
		changed = append(changed, dr.removeMissing(now, up.Revision, contained)...)
	}
	dr.revision = max(dr.revision, up.Revision)
	if up.CurrentAt.After(dr.currentAt) && up.Revision >= dr.revision {
		dr.currentAt = up.CurrentAt
	}
	dr.purgeTombstones(now)
	slices.SortFunc(changed, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

func (dr *Directory) applyRecord(now time.Time, rc Record) bool {
	known, ok := dr.records[rc.Key]
	if ok && rc.Revision <= known.Revision {
		return false
	}
	if lowersVersion(rc.Manifest, known.Manifest) {
		return false
	}
	if !ok && rc.Removed() && rc.Revision <= dr.purgedRevision {
		return false
	}
	dr.records[rc.Key] = rc
	delete(dr.tombstones, rc.Key)
	if rc.Removed() {
		dr.tombstones[rc.Key] = now.Add(tombstoneTTL)
	}
	return ok || !rc.Removed()
}

// older tells whether a manifest would take the version back.
func lowersVersion(next, known *Manifest) bool {
	return next != nil && known != nil && next.Version < known.Version
}

// removeMissing removes the keys that a full update does not contain. Those
// that changed after its revision stay.
func (dr *Directory) removeMissing(now time.Time, revision uint64, contained map[Key]bool) []Record {
	var changed []Record
	for key, known := range dr.records {
		// A manifest is replaced but never removed.
		if contained[key] || known.Removed() || known.Revision > revision || key.Kind == ManifestRecord {
			continue
		}
		gone := Record{Key: key, Revision: revision}
		dr.records[key] = gone
		dr.tombstones[key] = now.Add(tombstoneTTL)
		changed = append(changed, gone)
	}
	return changed
}

// forget drops old removals.
func (dr *Directory) purgeTombstones(now time.Time) {
	for key, until := range dr.tombstones {
		if now.Before(until) {
			continue
		}
		dr.purgedRevision = max(dr.purgedRevision, dr.records[key].Revision)
		delete(dr.records, key)
		delete(dr.tombstones, key)
	}
}

// Since returns what an instance lacks that knows all changes up to a revision.
func (dr *Directory) Since(revision uint64) Update {
	up := Update{Revision: dr.revision, CurrentAt: dr.currentAt, Full: revision < dr.purgedRevision || revision == 0}
	for _, rc := range dr.records {
		if up.Full && !rc.Removed() || !up.Full && rc.Revision > revision {
			up.Records = append(up.Records, rc)
		}
	}
	slices.SortFunc(up.Records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	return up
}

// Instances returns the registered instances in order of their ids.
func (dr *Directory) Instances() []Instance {
	var list []Instance
	for _, rc := range dr.records {
		if rc.Instance != nil {
			list = append(list, *rc.Instance)
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Manifest returns the manifest in force, or nil.
func (dr *Directory) Manifest() *Manifest {
	return dr.records[Key{Kind: ManifestRecord}].Manifest
}
