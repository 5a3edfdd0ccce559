package jpentry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// pagedStore gives a record a page and fails some of the calls.
type pagedStore struct {
	Store
	failures []int // numbers of the calls that fail, from 1
	asked    []string
}

var errBusy = errors.New("busy")

func (ps *pagedStore) ReadPage(_ context.Context, after string) (Page, error) {
	ps.asked = append(ps.asked, after)
	if slices.Contains(ps.failures, len(ps.asked)) {
		return Page{}, errBusy
	}
	next := map[string]string{"": "a", "a": "b", "b": ""}[after]
	record := jpdirectory.Record{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "after " + after}}
	return Page{Records: []jpdirectory.Record{record}, Revision: uint64(10 + len(ps.asked)), Next: next}, nil
}

// Guards against instances that read everything again when one page failed.
func TestReadingGoesOn(t *testing.T) {
	ps := &pagedStore{failures: []int{2, 4}}
	rd := newReading(time.Unix(1_790_000_000, 0))
	var up jpdirectory.Update
	failed := 0
	for {
		var err error
		if up, err = rd.finish(t.Context(), ps); err == nil {
			break
		}
		failed++
	}
	if want := []string{"", "a", "a", "b", "b"}; failed != 2 || !slices.Equal(ps.asked, want) {
		t.Errorf("%d failures, pages after %q, want %q", failed, ps.asked, want)
	}
	if len(up.Records) != 3 || up.Revision != 11 || !up.Full {
		t.Errorf("%d records, revision %d, full %t; want 3, the first page's 11, true", len(up.Records), up.Revision, up.Full)
	}
	if rd.limit != maxPageTimeout {
		t.Errorf("a page may take %v after two failures, want %v", rd.limit, maxPageTimeout)
	}
}
