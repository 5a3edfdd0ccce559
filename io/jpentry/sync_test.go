package jpentry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// pagedStore returns one record per page and fails some of the calls.
type pagedStore struct {
	Store
	failingCalls []int    // numbers of the calls that fail, from 1
	requested    []string // keys after which pages were requested
}

var errBusy = errors.New("busy")

func (ps *pagedStore) ReadPage(_ context.Context, after string) (Page, error) {
	ps.requested = append(ps.requested, after)
	if slices.Contains(ps.failingCalls, len(ps.requested)) {
		return Page{}, errBusy
	}
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	record := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "after " + after}}
	return Page{Records: []jpdirectory.Record{record}, Revision: uint64(10 + len(ps.requested)), Next: next}, nil
}

// Guards against a full read that starts over after a page could not be read.
func TestFullReadResumes(t *testing.T) {
	ps := &pagedStore{failingCalls: []int{2, 4}}
	fr := newFullRead(time.Unix(1_790_000_000, 0))
	var up jpdirectory.Update
	failures := 0
	for {
		var err error
		if up, err = fr.readRemaining(t.Context(), ps); err == nil {
			break
		}
		failures++
	}
	if want := []string{"", "a", "a", "b", "b"}; failures != 2 || !slices.Equal(ps.requested, want) {
		t.Errorf("%d failures, pages after %q, want %q", failures, ps.requested, want)
	}
	if len(up.Records) != 3 || up.Revision != 11 || !up.Full {
		t.Errorf("%d records, revision %d, full %t; want 3, the first page's 11, true", len(up.Records), up.Revision, up.Full)
	}
	if fr.pageTimeout != maxPageTimeout {
		t.Errorf("page timeout %v after two failures, want %v", fr.pageTimeout, maxPageTimeout)
	}
}
