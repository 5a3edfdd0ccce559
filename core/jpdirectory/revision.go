package jpdirectory

import (
	"cmp"
	"strconv"
)

// Revision is a point in the history of the store. A store that is restored from a copy
// loses the changes after it and gives out their numbers again, in a new era.
type Revision struct {
	Era    uint64 // number of times that the store has been restored, from any start
	Number uint64 // counts the changes; starts above 0
}

// Compare returns -1, 0 or 1 if a revision is before, equal to or after another one. All
// of an era are after those of earlier ones, although the store has lost some of them.
func (rv Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(rv.Era, other.Era), cmp.Compare(rv.Number, other.Number))
}

// After reports whether a revision is after another one.
func (rv Revision) After(other Revision) bool { return rv.Compare(other) > 0 }

// Before reports whether a revision is before another one.
func (rv Revision) Before(other Revision) bool { return rv.Compare(other) < 0 }

// IsZero reports whether the revision is that of an empty directory.
func (rv Revision) IsZero() bool { return rv == Revision{} }

// String returns era and number, as in "2/30".
func (rv Revision) String() string {
	return strconv.FormatUint(rv.Era, 10) + "/" + strconv.FormatUint(rv.Number, 10)
}

// Progress is how far a directory has got. The version of the manifest is part of it,
// because a store that was restored may hold an earlier one than an instance that has read
// it before.
type Progress struct {
	Revision        Revision
	ManifestVersion uint64 // 0 if there is none
}

// Behind reports whether a directory with another progress may know more.
func (pg Progress) Behind(other Progress) bool {
	return other.Revision.After(pg.Revision) || other.ManifestVersion > pg.ManifestVersion
}

// latest returns the later of two revisions.
func latest(one, two Revision) Revision {
	if two.After(one) {
		return two
	}
	return one
}
