package jpdirectory

import (
	"cmp"
	"slices"
	"time"
)

// tombstoneTTL is how long the tombstone of a removed record is kept, so that
// peers that missed the removal still learn of it. An instance that was cut off
// for longer gets a full update instead.
const tombstoneTTL = 2 * time.Minute

// Directory holds the latest known record of each key. Its revision and the
// version of its manifest never decrease. The records are those of one era of the store;
// the manifest may be of an earlier one. It is not safe for concurrent use.
type Directory struct {
	records        map[Key]Record
	tombstones     map[Key]time.Time // when the tombstone may be purged, by key
	revision       Revision
	purgedRevision Revision          // tombstones up to this revision may be missing
	currentAt      time.Time         // latest time at which the records were the store's latest
	unsettled      map[Key]unsettled // records in force that the restored store contradicts
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{records: map[Key]Record{}, tombstones: map[Key]time.Time{}, unsettled: map[Key]unsettled{}}
}

// Update holds changes of the store's contents, or all of the contents.
type Update struct {
	Records   []Record
	Revision  Revision  // the update contains all changes up to this revision
	Full      bool      // keys without a record in the update do not exist
	CurrentAt time.Time // time at which Revision was the store's latest
}

// Populated reports whether the directory has ever been filled.
func (dr *Directory) Populated() bool { return !dr.revision.IsZero() }

// Revision returns the revision up to which all changes are known.
func (dr *Directory) Revision() Revision { return dr.revision }

// CurrentAt returns the latest time at which the records were up to date.
func (dr *Directory) CurrentAt() time.Time { return dr.currentAt }

// Confirm records that revision was the store's latest one at the time currentAt.
// It has no effect if the directory's revision is lower.
func (dr *Directory) Confirm(revision Revision, currentAt time.Time) {
	if !revision.After(dr.revision) && currentAt.After(dr.currentAt) {
		dr.currentAt = currentAt
	}
}

// AddAge makes the records older than the clock says, by a time that it has not counted.
func (dr *Directory) AddAge(uncounted time.Duration) {
	dr.currentAt = dr.currentAt.Add(-uncounted)
}

// Apply applies an update and returns the changed records that take effect, in order of
// their revisions. The first update of a restored store may contradict what is known, where
// changes were lost; such records take effect later, see Settle. A partial update that
// starts after the directory's revision must not be applied, because the changes in between
// would be missing; see Since.
func (dr *Directory) Apply(now time.Time, up Update) []Record {
	if up.Revision.Before(dr.revision) {
		// All changes up to a later revision are known, removals among them that were
		// never seen here or that the store has lost. Only a manifest can be new.
		up.Records = slices.DeleteFunc(slices.Clone(up.Records), func(rc Record) bool { return rc.Manifest == nil })
		up.Revision, up.Full, up.CurrentAt = dr.revision, false, time.Time{}
	}
	restored := dr.Populated() && up.Revision.Era > dr.revision.Era
	var before map[Key]Record
	if restored {
		before = dr.inForce()
	}
	var changed []Record
	contained := map[Key]bool{}
	for _, rc := range up.Records {
		contained[rc.Key] = true
		if dr.applyRecord(now, rc) {
			changed = append(changed, rc)
		}
	}
	if up.Full {
		// It has no tombstones of keys that this directory never knew.
		dr.purgedRevision = latest(dr.purgedRevision, up.Revision)
		changed = append(changed, dr.removeMissing(now, up.Revision, contained)...)
	}
	dr.revision = up.Revision
	if up.CurrentAt.After(dr.currentAt) {
		dr.currentAt = up.CurrentAt
	}
	dr.purgeTombstones(now)
	if restored {
		changed = dr.keepUnsettled(now, before, changed)
	}
	for _, rc := range changed {
		delete(dr.unsettled, rc.Key)
	}
	sortByRevision(changed)
	return changed
}

func sortByRevision(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return a.Revision.Compare(b.Revision) })
}

// Ignored returns the records of an update that Apply would ignore although the store should
// not return them: older ones than are known, and others with a known revision.
func (dr *Directory) Ignored(up Update) []Record {
	var list []Record
	for _, rc := range up.Records {
		known, ok := dr.records[rc.Key]
		older := rc.Manifest != nil && known.Manifest != nil && rc.Manifest.Version < known.Manifest.Version
		if ok && (older || rc.Revision.Before(known.Revision) || rc.Revision == known.Revision && !sameState(rc, known)) {
			list = append(list, rc)
		}
	}
	return list
}

// sameState reports whether two records of a key agree in what the store's clients decide by.
func sameState(one, two Record) bool {
	switch {
	case one.Manifest != nil && two.Manifest != nil:
		return one.Manifest.Version == two.Manifest.Version
	case one.Server != nil && two.Server != nil:
		first, second := *one.Server, *two.Server
		first.WarmAt, second.WarmAt = time.Time{}, time.Time{} // depends on when it was read
		return first == second
	}
	return one.Removed() == two.Removed()
}

func (dr *Directory) applyRecord(now time.Time, rc Record) bool {
	if rc.Key.Kind == ManifestRecord {
		return dr.applyManifest(rc)
	}
	known, ok := dr.records[rc.Key]
	if ok && !rc.Revision.After(known.Revision) {
		return false
	}
	if !ok && rc.Removed() && !rc.Revision.After(dr.purgedRevision) {
		return false
	}
	dr.records[rc.Key] = rc
	delete(dr.tombstones, rc.Key)
	if rc.Removed() {
		dr.tombstones[rc.Key] = now.Add(tombstoneTTL)
	}
	return ok || !rc.Removed()
}

// applyManifest replaces the manifest, unless its version would decrease. It is never
// removed.
func (dr *Directory) applyManifest(rc Record) bool {
	if rc.Manifest == nil {
		return false
	}
	known := dr.records[rc.Key]
	if known.Manifest != nil {
		order := cmp.Or(cmp.Compare(rc.Manifest.Version, known.Manifest.Version), rc.Revision.Compare(known.Revision))
		if order <= 0 {
			return false
		}
	}
	dr.records[rc.Key] = rc
	return true
}

// removeMissing removes the keys that a full update does not contain. Keys that
// changed after the update's revision stay.
func (dr *Directory) removeMissing(now time.Time, revision Revision, contained map[Key]bool) []Record {
	var changed []Record
	for key, known := range dr.records {
		if contained[key] || known.Removed() || known.Revision.After(revision) || key.Kind == ManifestRecord {
			continue
		}
		tombstone := Record{Key: key, Revision: revision}
		dr.records[key] = tombstone
		dr.tombstones[key] = now.Add(tombstoneTTL)
		changed = append(changed, tombstone)
	}
	return changed
}

// purgeTombstones removes expired tombstones.
func (dr *Directory) purgeTombstones(now time.Time) {
	for key, until := range dr.tombstones {
		if now.Before(until) {
			continue
		}
		dr.purgedRevision = latest(dr.purgedRevision, dr.records[key].Revision)
		delete(dr.records, key)
		delete(dr.tombstones, key)
	}
}

// Progress returns how far the directory has got.
func (dr *Directory) Progress() Progress {
	pg := Progress{Revision: dr.revision}
	if mf := dr.Manifest(); mf != nil {
		pg.ManifestVersion = mf.Version
	}
	return pg
}

// Since returns what a directory with a progress lacks. The update is full if its revision
// is zero or of an earlier era, of which the store has lost changes, or if tombstones after
// it may be missing.
func (dr *Directory) Since(known Progress) Update {
	revision := known.Revision
	up := Update{Revision: dr.revision, CurrentAt: dr.currentAt}
	up.Full = revision.IsZero() || revision.Era < dr.revision.Era || revision.Before(dr.purgedRevision)
	for _, rc := range dr.records {
		if up.Full && !rc.Removed() || !up.Full && (rc.Revision.After(revision) || rc.Manifest != nil && rc.Manifest.Version > known.ManifestVersion) {
			up.Records = append(up.Records, rc)
		}
	}
	slices.SortFunc(up.Records, func(a, b Record) int {
		return cmp.Or(a.Revision.Compare(b.Revision), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	return up
}

// Record returns the latest known record of a key. It has no value if there is none.
func (dr *Directory) Record(key Key) Record { return dr.records[key] }

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
