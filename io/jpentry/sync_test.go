package jpentry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// pagedStore returns one record per page, two pages of each scope, and fails some of the
// calls.
type pagedStore struct {
	Store
	failingCalls []int         // numbers of the calls that fail, from 1
	requested    []pageRequest // pages that were requested
}

type pageRequest struct {
	scope Scope
	after string
}

var errBusy = errors.New("busy")

func (ps *pagedStore) ReadPage(_ context.Context, scope Scope, after string) (Page, error) {
	ps.requested = append(ps.requested, pageRequest{scope, after})
	if slices.Contains(ps.failingCalls, len(ps.requested)) {
		return Page{}, errBusy
	}
	next := map[string]string{"": "a", "a": ""}[after]
	record := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "after " + after}}
	return Page{Records: []jpdirectory.Record{record}, Revision: uint64(10 + len(ps.requested)), Next: next}, nil
}

// Guards against a full read that starts over after a page could not be read, and against
// packets of open flows that wait for more than the servers.
func TestFullReadResumes(t *testing.T) {
	ps := &pagedStore{failingCalls: []int{2, 4}}
	fr := newFullRead(time.Unix(1_790_000_000, 0), scopesAtStart(false)...)
	var up jpdirectory.Update
	var early []int // records that were known early
	failures := 0
	for {
		var err error
		up, err = fr.readRemaining(t.Context(), ps, func(records []jpdirectory.Record) { early = append(early, len(records)) })
		if err == nil {
			break
		}
		failures++
	}
	want := []pageRequest{
		{ServerRecords, ""}, {ServerRecords, "a"}, {ServerRecords, "a"}, {OperatorRecords, ""}, {OperatorRecords, ""}, {OperatorRecords, "a"},
		{InstanceRecords, ""}, {InstanceRecords, "a"},
	}
	if failures != 2 || !slices.Equal(ps.requested, want) {
		t.Errorf("%d failures, pages %v, want %v", failures, ps.requested, want)
	}
	if !slices.Equal(early, []int{2, 4}) {
		t.Errorf("%v records were known early, want 2 and 4", early)
	}
	if len(up.Records) != 6 || up.Revision != 11 || !up.Full {
		t.Errorf("%d records, revision %d, full %t; want 6, the first page's 11, true", len(up.Records), up.Revision, up.Full)
	}
	if fr.pageTimeout != maxPageTimeout {
		t.Errorf("page timeout %v after two failures, want %v", fr.pageTimeout, maxPageTimeout)
	}
}
