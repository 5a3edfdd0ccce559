package jpdirectory

import (
	"maps"
	"slices"
	"time"
)

// rewriteTime is how long operators and servers may take to write again what a restored
// store has lost: two seconds, or three heartbeats of less than a second until the store
// removes the entry of a server that has ended.
const rewriteTime = 3 * time.Second

// unsettled is a record that a restored store contradicts. It stays in force until its key
// is written again, or for rewriteTime.
type unsettled struct {
	known Record
	until time.Time
}

// inForce returns the records in force by key.
func (dr *Directory) inForce() map[Key]Record {
	records := maps.Clone(dr.records)
	for key, un := range dr.unsettled {
		records[key] = un.known
	}
	return records
}

// keepUnsettled removes from the records that the restored store has changed those that
// contradict the records in force before, and keeps these in force for rewriteTime.
func (dr *Directory) keepUnsettled(now time.Time, before map[Key]Record, changed []Record) []Record {
	until := now.Add(rewriteTime)
	for key, un := range dr.unsettled {
		un.until = until
		dr.unsettled[key] = un
	}
	return slices.DeleteFunc(changed, func(rc Record) bool {
		known, ok := before[rc.Key]
		if !ok || !mayBeLost(known, rc) {
			return false
		}
		dr.unsettled[rc.Key] = unsettled{known, until}
		return true
	})
}

// mayBeLost reports whether a record of a restored store may be older than the known one of
// its key.
func mayBeLost(known, restored Record) bool {
	switch restored.Key.Kind {
	case DataCentreOutRecord:
		return known.DataCentreOut != restored.DataCentreOut
	case ServerRecord:
	default:
		return false // the version orders manifests; nothing depends on the order of instances
	}
	if known.Removed() || restored.Removed() {
		return known.Removed() != restored.Removed()
	}
	before, after := known.Server, restored.Server
	switch {
	case after.Started.After(before.Started):
		return false
	case after.Draining && !before.Draining:
		return false // a process that drains never stops to
	}
	return !sameState(known, restored)
}

// Settle returns the records that take effect now, in order of their revisions: those that
// were not written again in time after the store was restored.
func (dr *Directory) Settle(now time.Time) []Record {
	var settled []Record
	for key, un := range dr.unsettled {
		if now.Before(un.until) {
			continue
		}
		delete(dr.unsettled, key)
		rc, ok := dr.records[key]
		if !ok {
			rc = Record{Key: key, Revision: dr.revision} // its tombstone was purged
		}
		settled = append(settled, rc)
	}
	sortByRevision(settled)
	return settled
}

// Unsettled returns the number of records in force that the restored store contradicts.
func (dr *Directory) Unsettled() int { return len(dr.unsettled) }
