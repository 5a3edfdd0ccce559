package jpdirectory

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_790_000_000, 0)

func atSecond(sec int) time.Time { return start.Add(time.Duration(sec) * time.Second) }

// rv returns a revision of the first era.
func rv(number uint64) Revision { return Revision{Era: 1, Number: number} }

func server(id string, revision uint64) Record {
	return Record{Key: Key{ServerRecord, id}, Revision: rv(revision), Server: &Server{ID: id}}
}

func removal(id string, revision uint64) Record {
	return Record{Key: Key{ServerRecord, id}, Revision: rv(revision)}
}

func manifest(version, revision uint64) Record {
	return Record{Key: Key{Kind: ManifestRecord}, Revision: rv(revision), Manifest: &Manifest{Version: version}}
}

func ExampleRevision_After() {
	before := Revision{Era: 1, Number: 30}
	restored := Revision{Era: 2, Number: 29}
	fmt.Println(restored, "after", before, restored.After(before))
	// Output:
	// 2/29 after 1/30 true
}

func ExampleDirectory_Since() {
	dr := New()
	dr.Apply(atSecond(0), Update{Full: true, Revision: rv(10), Records: []Record{server("i-1", 4), server("i-2", 10)}})
	dr.Apply(atSecond(1), Update{Revision: rv(12), Records: []Record{removal("i-1", 12)}})
	for _, rc := range dr.Since(Progress{Revision: rv(10)}).Records {
		fmt.Println(rc.Key.Name, rc.Revision, rc.Removed())
	}
	// Output:
	// i-1 1/12 true
}

// Guards against updates that arrive late or twice and revert a record, and
// against a version of the manifest that decreases.
func TestApplyKeepsLatest(t *testing.T) {
	rows := []struct {
		name    string
		updates []Update
		servers []string
		version uint64
	}{
		{"older record", []Update{
			{Revision: rv(5), Records: []Record{removal("i-1", 5), manifest(3, 4)}},
			{Revision: rv(4), Records: []Record{server("i-1", 3), manifest(2, 2)}},
		}, nil, 3},
		{"removed record returns", []Update{
			{Revision: rv(5), Records: []Record{server("i-1", 3), manifest(3, 4)}},
			{Revision: rv(6), Records: []Record{removal("i-1", 6)}},
			{Revision: rv(7), Records: []Record{server("i-1", 7)}},
		}, []string{"i-1"}, 3},
		{"full update lacks a record", []Update{
			{Revision: rv(5), Full: true, Records: []Record{server("i-1", 3), server("i-2", 4), manifest(3, 5)}},
			{Revision: rv(8), Full: true, Records: []Record{server("i-2", 4)}},
		}, []string{"i-2"}, 3},
		{"full update that is older", []Update{
			{Revision: rv(9), Records: []Record{server("i-1", 9), manifest(3, 5)}},
			{Revision: rv(8), Full: true},
		}, []string{"i-1"}, 3},
		{"manifest that is removed", []Update{
			{Revision: rv(5), Records: []Record{manifest(9, 5)}},
			{Revision: rv(6), Records: []Record{{Key: Key{Kind: ManifestRecord}, Revision: rv(6)}}},
		}, nil, 9},
		{"manifest of a lower version at a higher revision", []Update{
			{Revision: rv(5), Records: []Record{manifest(9, 5)}},
			{Revision: rv(6), Records: []Record{manifest(8, 6)}},
		}, nil, 9},
	}
	for _, row := range rows {
		dr := New()
		for _, up := range row.updates {
			dr.Apply(atSecond(0), up)
		}
		var servers []string
		for _, rc := range dr.Since(Progress{}).Records {
			if rc.Server != nil {
				servers = append(servers, rc.Key.Name)
			}
		}
		if !reflect.DeepEqual(servers, row.servers) || dr.Manifest().Version != row.version {
			t.Errorf("%s: servers %v, version %d; want %v, %d", row.name, servers, dr.Manifest().Version, row.servers, row.version)
		}
	}
}

// Guards against changes that are ignored because a restored store has given out their
// revisions before, and against records of an earlier era that come back.
func TestApplyRestored(t *testing.T) {
	era := func(era, number uint64) Revision { return Revision{Era: era, Number: number} }
	at := func(rc Record, era uint64) Record {
		rc.Revision.Era = era
		return rc
	}
	first := Update{Full: true, Revision: era(1, 30), Records: []Record{server("i-1", 10), server("i-2", 30), manifest(9, 29)}}
	rows := []struct {
		name    string
		updates []Update
		servers []string
		version uint64
	}{
		{"version at a revision given out before", []Update{
			{Full: true, Revision: era(2, 28), Records: []Record{at(server("i-1", 10), 2), at(manifest(4, 28), 2)}},
			{Revision: era(2, 29), Records: []Record{at(manifest(11, 29), 2)}},
		}, []string{"i-1"}, 11},
		{"removal at a revision given out before", []Update{
			{Full: true, Revision: era(2, 9), Records: []Record{at(server("i-1", 8), 2), at(server("i-2", 9), 2)}},
			{Revision: era(2, 10), Records: []Record{at(removal("i-1", 10), 2)}},
		}, []string{"i-2"}, 9},
		{"older manifest in the copy", []Update{
			{Full: true, Revision: era(2, 28), Records: []Record{at(manifest(4, 28), 2)}},
		}, nil, 9},
		{"peer that has not read the copy", []Update{
			{Full: true, Revision: era(2, 28), Records: []Record{at(server("i-1", 10), 2)}},
			{Full: true, Revision: era(1, 40), Records: []Record{server("i-3", 40)}},
			{Revision: era(1, 41), Records: []Record{removal("i-1", 41)}},
		}, []string{"i-1"}, 9},
	}
	for _, row := range rows {
		dr := New()
		dr.Apply(atSecond(0), first)
		for _, up := range row.updates {
			dr.Apply(atSecond(1), up)
		}
		up := dr.Since(Progress{Revision: first.Revision})
		var servers []string
		for _, rc := range up.Records {
			if rc.Server != nil {
				servers = append(servers, rc.Key.Name)
			}
		}
		if !up.Full || !reflect.DeepEqual(servers, row.servers) || dr.Manifest().Version != row.version {
			t.Errorf("%s: full %t, servers %v, version %d; want true, %v, %d", row.name, up.Full, servers, dr.Manifest().Version, row.servers, row.version)
		}
	}
}

// Guards against a restored store that brings back servers that drain or have left, hides
// servers that have come since the copy, or loses that a data centre is out, until all has
// been written again.
func TestUnsettledAfterRestore(t *testing.T) {
	started := func(rc Record, at time.Time) Record {
		sr := *rc.Server
		sr.Started, rc.Server = at, &sr
		return rc
	}
	draining := func(rc Record) Record {
		sr := *rc.Server
		sr.Draining, rc.Server = true, &sr
		return rc
	}
	ready, name := server("i-1", 20), "i-1"
	out := func(out bool) Record {
		return Record{Key: Key{DataCentreOutRecord, name}, Revision: rv(20), DataCentreOut: out}
	}
	rows := []struct {
		name      string
		known     []Record // before the store was restored
		copied    []Record // in the copy
		rewritten *Record  // a second later
		atOnce    int      // records that take effect at once,
		then      int      // with the second update
		settled   int      // and after rewriteTime
	}{
		{"nothing lost", []Record{ready}, []Record{ready}, nil, 1, 0, 0},
		{"new server", nil, []Record{ready}, nil, 1, 0, 0},
		{"server starts to drain", []Record{ready}, []Record{draining(ready)}, nil, 1, 0, 0},
		{"draining is lost", []Record{draining(ready)}, []Record{ready}, nil, 0, 0, 1},
		{"draining is lost and written again", []Record{draining(ready)}, []Record{ready}, new(draining(ready)), 0, 1, 0},
		{"process has started again", []Record{draining(ready)}, []Record{started(ready, atSecond(0))}, nil, 1, 0, 0},
		{"entry is missing", []Record{ready}, nil, nil, 0, 0, 1},
		{"entry is missing and written again", []Record{ready}, nil, new(ready), 0, 1, 0},
		{"server that has left", []Record{ready, removal(name, 21)}, []Record{ready}, nil, 0, 0, 1},
		{"server that has left, removed again", []Record{ready, removal(name, 21)}, []Record{ready}, new(removal(name, 21)), 0, 1, 0},
		{"out is lost", []Record{out(true)}, nil, nil, 0, 0, 1},
		{"out is lost and written again", []Record{out(true)}, nil, new(out(true)), 0, 1, 0},
		{"out is back", []Record{out(true), out(false)}, []Record{out(true)}, nil, 0, 0, 1},
		{"first out", nil, []Record{out(true)}, nil, 1, 0, 0},
	}
	const otherServer = "i-2" // is in force all the time
	for _, row := range rows {
		dr := New()
		for no, rc := range append([]Record{server(otherServer, 1)}, row.known...) {
			rc.Revision = rv(uint64(10 + no))
			dr.Apply(atSecond(0), Update{Revision: rc.Revision, Records: []Record{rc}})
		}
		later := func(records []Record) []Record {
			list := slices.Clone(records)
			for ix := range list {
				list[ix].Revision.Era = 2
			}
			return list
		}
		other := server(otherServer, 1)
		restored := Update{Full: true, Revision: Revision{Era: 2, Number: 20}, Records: later(append(slices.Clone(row.copied), other))}
		atOnce := len(dr.Apply(atSecond(1), restored)) - 1
		then := 0
		if row.rewritten != nil {
			rc := *row.rewritten
			rc.Revision = Revision{Era: 2, Number: 21}
			then = len(dr.Apply(atSecond(2), Update{Revision: rc.Revision, Records: []Record{rc}}))
		}
		early := len(dr.Settle(atSecond(1).Add(rewriteTime - 1)))
		settled := len(dr.Settle(atSecond(1).Add(rewriteTime)))
		if atOnce != row.atOnce || then != row.then || early != 0 || settled != row.settled {
			t.Errorf("%s: %d at once, %d then, %d before and %d after the time; want %d, %d, 0, %d",
				row.name, atOnce, then, early, settled, row.atOnce, row.then, row.settled)
		}
	}
}

// Guards against a server that is used for ever because the store was restored twice.
func TestUnsettledAfterSecondRestore(t *testing.T) {
	dr := New()
	dr.Apply(atSecond(0), Update{Full: true, Revision: rv(10), Records: []Record{server("i-1", 10)}})
	for era := range uint64(2) {
		dr.Apply(atSecond(1+int(era)), Update{Full: true, Revision: Revision{Era: 2 + era, Number: 9}})
	}
	if early := dr.Settle(atSecond(2).Add(rewriteTime - 1)); len(early) != 0 {
		t.Errorf("settled %v before the time", early)
	}
	settled := dr.Settle(atSecond(2).Add(rewriteTime))
	if len(settled) != 1 || !settled[0].Removed() || dr.Unsettled() != 0 {
		t.Errorf("settled %v, %d left; want the removal of i-1", settled, dr.Unsettled())
	}
}

// Guards against an instance that serves dropped routes because it has read only a copy of
// the store, while its peers know a later version.
func TestManifestOutlivesStore(t *testing.T) {
	restored := func(version, number uint64) Update {
		mf := manifest(version, number)
		mf.Revision.Era = 2
		return Update{Full: true, Revision: Revision{Era: 2, Number: 28}, Records: []Record{mf}}
	}
	rows := []struct {
		name string
		peer []Update
	}{
		{"peer of the earlier era", []Update{{Full: true, Revision: rv(30), Records: []Record{manifest(9, 29)}}}},
		{"peer that has read the copy", []Update{{Full: true, Revision: rv(30), Records: []Record{manifest(9, 29)}}, restored(4, 28)}},
	}
	for _, row := range rows {
		started, peer := New(), New()
		started.Apply(atSecond(0), restored(4, 28))
		for _, up := range row.peer {
			peer.Apply(atSecond(0), up)
		}
		if !started.Progress().Behind(peer.Progress()) {
			t.Errorf("%s: %+v does not count as behind %+v", row.name, started.Progress(), peer.Progress())
		}
		changed := started.Apply(atSecond(1), peer.Since(started.Progress()))
		if len(changed) != 1 || started.Manifest().Version != 9 || started.Revision() != (Revision{Era: 2, Number: 28}) {
			t.Errorf("%s: changed %v, version %d, revision %v", row.name, changed, started.Manifest().Version, started.Revision())
		}
		if started.Progress().Behind(peer.Progress()) {
			t.Errorf("%s: %+v still counts as behind %+v", row.name, started.Progress(), peer.Progress())
		}
	}
}

// Guards against a peer that misses a removal because the tombstone was purged.
func TestSinceAfterPurge(t *testing.T) {
	dr := New()
	dr.Apply(atSecond(0), Update{Revision: rv(3), Records: []Record{server("i-1", 2), server("i-2", 3)}})
	dr.Apply(atSecond(0), Update{Revision: rv(4), Records: []Record{removal("i-1", 4)}})
	dr.Apply(atSecond(0).Add(tombstoneTTL), Update{Revision: rv(5), Records: []Record{server("i-3", 5)}})
	late := New()
	late.Apply(atSecond(0), Update{Revision: rv(3), Records: []Record{server("i-1", 2), server("i-2", 3)}})
	up := dr.Since(late.Progress())
	late.Apply(atSecond(1), up)
	if !up.Full || !late.records[Key{ServerRecord, "i-1"}].Removed() {
		t.Errorf("full %t, records %v", up.Full, late.records)
	}
}

// Guards against a peer that uses a server for ever because a directory that was filled
// after the removal doesn't know of it.
func TestSinceAfterFullRead(t *testing.T) {
	started, peer := New(), New()
	peer.Apply(atSecond(0), Update{Revision: rv(11), Records: []Record{server("i-1", 11)}})
	started.Apply(atSecond(1), Update{Full: true, Revision: rv(12)})
	peer.Apply(atSecond(1), started.Since(peer.Progress()))
	if rc := peer.Record(Key{ServerRecord, "i-1"}); !rc.Removed() {
		t.Errorf("record %+v at revision %v, want none", rc, peer.Revision())
	}
}

// Guards against a directory that is taken for up to date without proof.
func TestCurrent(t *testing.T) {
	dr := New()
	dr.Apply(atSecond(0), Update{Revision: rv(5), CurrentAt: atSecond(0)})
	dr.Confirm(rv(6), atSecond(1)) // the peer has a newer revision, so this directory is not up to date
	if !dr.CurrentAt().Equal(atSecond(0)) {
		t.Errorf("CurrentAt %v after a newer revision", dr.CurrentAt())
	}
	dr.Confirm(rv(5), atSecond(2))
	dr.Confirm(rv(4), atSecond(1))
	if !dr.CurrentAt().Equal(atSecond(2)) {
		t.Errorf("CurrentAt %v, want 2 s after the start", dr.CurrentAt())
	}
}

// Guards against directories that stay different: whichever parts of the store's
// history two instances have seen, before or after it was restored from a copy, one
// exchange in each direction makes them equal.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, era, from uint64) []Record {
			var history []Record
			for ix := range uint64(rapid.IntRange(1, 30).Draw(t, name)) {
				id := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "server"))
				rc := server(id, 0)
				if rapid.Bool().Draw(t, "removed") {
					rc = removal(id, 0)
				}
				rc.Revision = Revision{Era: era, Number: from + ix + 1}
				history = append(history, rc)
			}
			return history
		}
		first := draw("changes", 1, 0)
		copied := rapid.IntRange(0, len(first)).Draw(t, "copied")
		second := draw("changes after the restore", 2, uint64(copied))
		one, two := New(), New()
		for _, dr := range []*Directory{one, two} {
			seen := rapid.IntRange(0, len(first)).Draw(t, "seen")
			dr.Apply(atSecond(0), Update{Records: first[:seen], Revision: rv(uint64(seen))})
			if !rapid.Bool().Draw(t, "seen after the restore") {
				continue
			}
			seen = rapid.IntRange(0, len(second)).Draw(t, "changes seen after the restore")
			dr.Apply(atSecond(1), fullRead(slices.Concat(first[:copied], second[:seen]), Revision{Era: 2, Number: uint64(copied + seen)}))
		}
		before := one.Revision()
		one.Apply(atSecond(1), two.Since(one.Progress()))
		two.Apply(atSecond(1), one.Since(two.Progress()))
		if one.Revision().Before(before) {
			t.Fatalf("revision decreased from %v to %v", before, one.Revision())
		}
		live := func(dr *Directory) map[string]Revision {
			list := map[string]Revision{}
			for key, rc := range dr.records {
				if !rc.Removed() {
					list[key.Name] = rc.Revision
				}
			}
			return list
		}
		if !reflect.DeepEqual(live(one), live(two)) {
			t.Fatalf("directories differ: %v and %v", live(one), live(two))
		}
	})
}

// fullRead returns an update with the latest record of each key of a history, as the store
// returns them at a revision: all of its era.
func fullRead(history []Record, revision Revision) Update {
	latest := map[Key]Record{}
	for _, rc := range history {
		rc.Revision.Era = revision.Era
		latest[rc.Key] = rc
	}
	up := Update{Full: true, Revision: revision}
	for _, rc := range latest {
		if !rc.Removed() {
			up.Records = append(up.Records, rc)
		}
	}
	return up
}
