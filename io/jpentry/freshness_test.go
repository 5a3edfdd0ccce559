package jpentry

import (
	"errors"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/io/jppeer"
)

// Guards against an outage of the store that goes unnoticed, because instances relay
// to one another for how long the store had answered before it.
func TestStoreUptimeIsNotRelayed(t *testing.T) {
	began := time.Now()
	first, second := newTestEntry(t, &registryStore{}), newTestEntry(t, &registryStore{})
	first.storeHealth = storeHealth{upSince: began.Add(-time.Minute), lastResponse: began}
	exchange := func(now time.Time) {
		for _, way := range []struct{ from, to *Entry }{{first, second}, {second, first}} {
			if status, due := way.from.statusDue(now); due {
				way.to.handleStatus(now, "10.0.0.1", status)
			}
		}
	}
	exchange(began)
	first.handleStoreError(errors.New("refused"))
	for now := began.Add(statusInterval); !now.After(began.Add(10 * time.Second)); now = now.Add(statusInterval) {
		exchange(now)
	}
	for _, en := range []*Entry{first, second} {
		now := began.Add(10 * time.Second)
		if uptime := now.Sub(en.storeUpSince(now)); uptime > 2*statusMaxAge {
			t.Errorf("the store counts as available for %v after an outage of 10 s", uptime)
		}
	}
}

// Guards against an outage of the store that goes unnoticed, because this instance did
// not call the store in the meantime.
func TestStoreUptimeAfterBreak(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	en.storeHealth = storeHealth{upSince: now.Add(-time.Hour), lastResponse: now.Add(-time.Minute)}
	en.handleStoreUpdate(now, jpdirectory.Update{Revision: jpdirectory.Revision{Number: 7}, CurrentAt: now})
	if uptime := time.Since(en.storeUpSince(time.Now())); uptime > time.Minute {
		t.Errorf("the store counts as available for %v, last answer before that was a minute ago", uptime)
	}
}

// Guards against an outage of the store that goes unnoticed, because a peer whose
// directory is a little older still reports the uptime from before it.
func TestStoreUptimeOfLatestDirectory(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	for _, row := range []struct {
		peer        string
		age, uptime time.Duration
	}{
		{"10.0.0.1", 3 * time.Second, time.Minute}, // the store was down after that
		{"10.0.0.2", 100 * time.Millisecond, 200 * time.Millisecond},
	} {
		en.handleStatus(now, row.peer, jppeer.DirectoryStatus{Age: row.age, StoreUptime: row.uptime})
	}
	if uptime := now.Sub(en.storeUpSince(now)); uptime != 200*time.Millisecond {
		t.Errorf("the store counts as available for %v, want 200 ms", uptime)
	}
}

// Guards against open flows that are reset because their servers' entries are missing from
// a restored store: the time since which it answers has to begin anew.
func TestStoreUptimeAfterRestore(t *testing.T) {
	now := time.Now()
	before, after := jpdirectory.Revision{Era: 1, Number: 30}, jpdirectory.Revision{Era: 2, Number: 29}
	for _, row := range []struct {
		name    string
		restore func(en *Entry)
	}{
		{"own read", func(en *Entry) {
			en.handleStoreUpdate(now, jpdirectory.Update{Full: true, Revision: after, CurrentAt: now})
		}},
		{"read by a peer", func(en *Entry) {
			en.applyUpdate(now, jpdirectory.Update{Full: true, Revision: after, CurrentAt: now}, "10.0.0.1")
			en.handleStatus(now, "10.0.0.1", jppeer.DirectoryStatus{Progress: jpdirectory.Progress{Revision: after}})
		}},
	} {
		en := newTestEntry(t, &registryStore{})
		en.handleStoreUpdate(now, jpdirectory.Update{Full: true, Revision: before, CurrentAt: now.Add(-time.Second)})
		en.storeHealth.upSince = now.Add(-time.Minute)
		en.handleStatus(now, "10.0.0.2", jppeer.DirectoryStatus{Progress: jpdirectory.Progress{Revision: before}, StoreUptime: time.Minute})
		if uptime := now.Sub(en.storeUpSince(now)); uptime < time.Minute {
			t.Errorf("%s: the store counts as available for %v before, want a minute", row.name, uptime)
		}
		row.restore(en)
		if uptime := now.Sub(en.storeUpSince(now)); uptime > time.Second {
			t.Errorf("%s: the store counts as available for %v after it was restored", row.name, uptime)
		}
	}
}
