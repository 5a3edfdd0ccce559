package jprollout

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpmember"
)

const valid = "[service.catalogue]\naddress = 10.80.0.2\nport = 443\nkind = request\n[region.tasmania.hobart]\nstate = in\n"

// TestOffer guards against settings that revert to an earlier version and against
// an invalid text in force.
func TestOffer(t *testing.T) {
	cases := []struct {
		version uint64
		text    string
		kind    AdoptionKind
		after   uint64
		wants   uint64 // a version that must still be requested
		not     uint64 // a version that must not be
	}{
		{0, valid, Stale, 0, 1, 0},
		{3, valid, Adopted, 3, 4, 3},
		{2, valid, Stale, 3, 4, 2},
		{3, valid + "#", Stale, 3, 4, 3},
		{5, "[nowhere]\n", Refused, 3, 6, 5},
		{4, valid, Adopted, 4, 6, 5},
		{6, valid, Adopted, 6, 7, 6},
	}
	var ro Rollout
	for _, tc := range cases {
		before := ro.Record().Version
		ad := ro.Offer(time.Unix(int64(tc.version), 0), Record{Version: tc.version, Text: []byte(tc.text)}, FromPeer)
		if ad.Kind != tc.kind || ad.Previous != before || (ad.Err != nil) != (tc.kind == Refused) {
			t.Errorf("offer of version %d: %+v", tc.version, ad)
		}
		if ro.Record().Version != tc.after || ro.Tree() != nil && ro.Tree().Version != tc.after {
			t.Errorf("after version %d: version %d in force", tc.version, ro.Record().Version)
		}
		if !ro.ShouldRequest(tc.wants) || ro.ShouldRequest(tc.not) {
			t.Errorf("after version %d: ShouldRequest(%d) = %v, ShouldRequest(%d) = %v", tc.version, tc.wants, ro.ShouldRequest(tc.wants), tc.not, ro.ShouldRequest(tc.not))
		}
	}
	if source, since := ro.Origin(); source != FromPeer || since.Unix() != 6 {
		t.Errorf("origin %v, %v", source, since)
	}
}

// TestWatchers guards against a number of calls to the store that grows with the
// number of instances, and against a data centre without a watcher.
func TestWatchers(t *testing.T) {
	var members []jpmember.Member
	for i := range 9 {
		members = append(members, jpmember.Member{ID: fmt.Sprint("i", i), DataCentre: "hobart", State: jpmember.Alive})
	}
	members = append(members, jpmember.Member{ID: "other", DataCentre: "devonport", State: jpmember.Alive})
	first := Watchers(members, "hobart", 2)
	if len(first) != 2 || len(Watchers(members, "devonport", 2)) != 1 || len(Watchers(members, "launceston", 2)) != 0 {
		t.Fatalf("watchers %v", first)
	}
	for i, mb := range members {
		members[i].State = jpmember.Leaving
		next := Watchers(members, "hobart", 2)
		if slices.Contains(next, mb.ID) {
			t.Errorf("%s watches although it leaves", mb.ID)
		}
		if !slices.Contains(first, mb.ID) && !reflect.DeepEqual(next, first) {
			t.Errorf("watchers changed from %v to %v when %s left", first, next, mb.ID)
		}
		members[i].State = jpmember.Alive
	}
}

// TestWatcherRank guards against instances that all watch the store because they
// start together and have not heard of each other: 39 of a data centre made 36
// calls at once instead of 1.
func TestWatcherRank(t *testing.T) {
	var members []jpmember.Member
	for no := range 39 {
		members = append(members, jpmember.Member{ID: fmt.Sprint("i", no), DataCentre: "hobart"})
	}
	watchers := 0
	for no := range members {
		members[no].State = jpmember.Alive // in its own view
		if WatcherRank(members, "hobart", members[no].ID, jpmember.Alive, jpmember.Unknown) == 0 {
			watchers++
		}
		members[no].State = jpmember.Unknown
	}
	if watchers != 1 {
		t.Errorf("%d instances watch the store, want 1", watchers)
	}
	members[0].State = jpmember.Dead
	if rank := WatcherRank(members, "hobart", "i0", jpmember.Alive, jpmember.Unknown); rank != 38 {
		t.Errorf("an instance that is dead has rank %d, want 38, the last", rank)
	}
	if rank := WatcherRank(nil, "hobart", "i0", jpmember.Alive); rank != 1 {
		t.Errorf("an instance that is not listed has rank %d, want 1", rank)
	}
	ranks := map[int]bool{}
	for no := range members {
		members[no].State = jpmember.Alive
	}
	for no := range members {
		ranks[WatcherRank(members, "hobart", members[no].ID, jpmember.Alive)] = true
	}
	if len(ranks) != len(members) {
		t.Errorf("%d ranks of %d instances", len(ranks), len(members))
	}
}

// TestApplyChange guards against a change that overwrites a version which its
// author has not seen.
func TestApplyChange(t *testing.T) {
	stored := Record{Version: 7, ChangeID: "c7", Changes: []string{"c6", "c7"}, Author: "ana", Text: []byte(valid)}
	out := []Edit{{"region.tasmania.hobart", "state", "out"}, {"defaults", "slots", "3"}}
	cases := []struct {
		name   string
		read   Record
		change Change
		want   error // of the same type
	}{
		{"text on its base", stored, Change{ID: "a", Base: 7, Text: []byte(valid)}, nil},
		{"first text", Record{}, Change{ID: "a", Text: []byte(valid)}, nil},
		{"text on an old base", stored, Change{ID: "a", Base: 6, Text: []byte(valid)}, &ConflictError{}},
		{"text without base", stored, Change{ID: "a", Text: []byte(valid)}, &ConflictError{}},
		{"edits on any base", stored, Change{ID: "a", Edits: out}, nil},
		{"edits on an old base", stored, Change{ID: "a", Base: 6, Edits: out}, &ConflictError{}},
		{"no id", stored, Change{Base: 7, Text: []byte(valid)}, &ChangeError{}},
		{"id that JSON changes", stored, Change{ID: "\xff", Base: 7, Text: []byte(valid)}, &ChangeError{}},
		{"no content", stored, Change{ID: "a", Base: 7}, &ChangeError{}},
	}
	for _, tc := range cases {
		next, err := ApplyChange(time.Time{}, tc.read, tc.change)
		if reflect.TypeOf(err) != reflect.TypeOf(tc.want) {
			t.Errorf("%s: error %v", tc.name, err)
		}
		if err == nil && (next.Version != tc.read.Version+1 || next.ChangeID != "a" || !slices.Contains(next.Changes, "a") || next.Former == nil) {
			t.Errorf("%s: %+v", tc.name, next)
		}
	}
	if _, err := ApplyChange(time.Time{}, stored, Change{ID: "a", Base: 7, Text: []byte("[x]")}); err == nil {
		t.Error("an invalid text was accepted")
	}
	for range MaxChanges + 5 {
		stored, _ = ApplyChange(time.Time{}, stored, Change{ID: fmt.Sprint("c", stored.Version+1), Edits: out})
	}
	if len(stored.Changes) != MaxChanges || stored.Changes[MaxChanges-1] != stored.ChangeID {
		t.Errorf("changes %v", stored.Changes)
	}
}

// TestChangeAfterRestore guards against a confirmed change that never comes into force: after
// the store was restored from a copy, its version had been given out before.
func TestChangeAfterRestore(t *testing.T) {
	record := func(version uint64) Record {
		return Record{Version: version, Changes: []string{fmt.Sprint("c", version)}, Text: []byte(valid)}
	}
	copied, inForce := record(4), record(6)
	cases := []struct {
		name   string
		change Change
	}{
		{"edits", Change{Edits: []Edit{{"defaults", "slots", "3"}}}},
		{"text on the version in force", Change{Base: 6, Text: []byte(valid)}},
	}
	for _, tc := range cases {
		var ro Rollout
		ro.Offer(time.Time{}, inForce, FromStore)
		tc.change.ID, tc.change.InForce = "a", ro.Record()
		next, err := ApplyChange(time.Time{}, copied, tc.change)
		if err != nil {
			t.Errorf("%s: %v", tc.name, err)
			continue
		}
		ad := ro.Offer(time.Time{}, next, FromStore)
		if ad.Kind != Adopted || !slices.Equal(next.Changes, []string{"c6", "a"}) {
			t.Errorf("%s: version %d with the changes %v: %+v, want it adopted", tc.name, next.Version, next.Changes, ad)
		}
	}
}

// TestResolve guards against a wrong outcome for a write whose response was lost.
func TestResolve(t *testing.T) {
	var ids []string
	for version := 9; version <= 40; version++ {
		ids = append(ids, fmt.Sprint("c", version))
	}
	cases := []struct {
		name string
		read Record
		id   string
		base uint64
		want Resolution
	}{
		{"latest", Record{Version: 40, Changes: ids}, "c40", 39, Accepted},
		{"oldest listed", Record{Version: 40, Changes: ids}, "c9", 8, Accepted},
		{"unchanged", Record{Version: 40, Changes: ids}, "x", 40, Retry},
		{"first, unchanged", Record{}, "x", 0, Retry},
		{"another came first", Record{Version: 40, Changes: ids}, "x", 39, Conflicted},
		{"another came first long ago", Record{Version: 40, Changes: ids}, "x", 8, Conflicted},
		{"no longer listed", Record{Version: 40, Changes: ids}, "c8", 7, Indeterminate},
		{"record went back", Record{Version: 40, Changes: ids}, "x", 41, Indeterminate},
		{"list is too short", Record{Version: 5}, "x", 4, Indeterminate},
	}
	for _, tc := range cases {
		if got := Resolve(tc.read, tc.id, tc.base); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func ExampleApplyChange() {
	stored := Record{Version: 7, Author: "ana", Text: []byte(valid)}
	_, err := ApplyChange(time.Time{}, stored, Change{ID: "a", Base: 6, Text: []byte(valid)})
	var conflict *ConflictError
	fmt.Println(errors.As(err, &conflict), err)
	// Output: true conflict: change is based on version 6, the store holds version 7 by "ana"
}

func ExampleAcceptedVersion() {
	read := Record{Version: 9, Changes: []string{"a", "b", "c"}}
	fmt.Println(AcceptedVersion(read, "b"))
	// Output: 8 true
}
