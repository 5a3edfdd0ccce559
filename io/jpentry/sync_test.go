package jpentry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// pagedStore returns one record per page, three pages of each scope, and fails some of the
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
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	record := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "after " + after}}
	return Page{Records: []jpdirectory.Record{record}, Revision: jpdirectory.Revision{Number: uint64(10 + len(ps.requested))}, Next: next}, nil
}

// Guards against a full read that starts over after a page could not be read, and against
// packets of open flows that wait for more than the servers.
func TestFullReadResumes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   bool
		failing []int
		want    []pageRequest
		early   []int // records that are known early
	}{
		{"first start", true, []int{2, 4}, []pageRequest{{AllRecords, ""}, {AllRecords, "a"}, {AllRecords, "a"}, {AllRecords, "b"}, {AllRecords, "b"}}, nil},
		{"restart", false, []int{2, 6}, []pageRequest{
			{ServerRecords, ""}, {ServerRecords, "a"}, {ServerRecords, "a"}, {ServerRecords, "b"},
			{OperatorRecords, ""}, {OperatorRecords, "a"}, {OperatorRecords, "a"}, {OperatorRecords, "b"},
			{InstanceRecords, ""}, {InstanceRecords, "a"}, {InstanceRecords, "b"},
		}, []int{3, 6}},
	} {
		ps := &pagedStore{failingCalls: tc.failing}
		fr := newFullRead(time.Unix(1_790_000_000, 0), scopesAtStart(tc.first)...)
		var up jpdirectory.Update
		var early []int
		failures := 0
		for {
			var err error
			up, err = fr.readRemaining(t.Context(), ps, func(records []jpdirectory.Record) { early = append(early, len(records)) })
			if err == nil {
				break
			}
			failures++
		}
		if failures != 2 || !slices.Equal(ps.requested, tc.want) || !slices.Equal(early, tc.early) {
			t.Errorf("%s: %d failures, pages %v, want %v; early %v, want %v", tc.name, failures, ps.requested, tc.want, early, tc.early)
		}
		if records := len(tc.want) - failures; len(up.Records) != records || up.Revision.Number != 11 || !up.Full {
			t.Errorf("%s: %d records, revision %v, full %t; want %d, the first page's 11, true", tc.name, len(up.Records), up.Revision, up.Full, records)
		}
		if fr.pageTimeout != maxPageTimeout {
			t.Errorf("%s: page timeout %v after two failures, want %v", tc.name, fr.pageTimeout, maxPageTimeout)
		}
	}
}

// restoredStore is restored from a copy after its first page.
type restoredStore struct {
	Store
	pages int
}

func (rs *restoredStore) ReadPage(context.Context, Scope, string) (Page, error) {
	rs.pages++
	return Page{Revision: jpdirectory.Revision{Era: uint64(min(rs.pages, 2)), Number: 10}, Next: "a"}, nil
}

// Guards against a full read that mixes pages from before and after the store was restored.
func TestFullReadDuringRestore(t *testing.T) {
	fr := newFullRead(time.Unix(1_790_000_000, 0), AllRecords)
	if up, err := fr.readRemaining(t.Context(), &restoredStore{}, nil); !errors.Is(err, ErrHistoryGone) {
		t.Errorf("update %+v, error %v, want one that asks for another full read", up, err)
	}
}
