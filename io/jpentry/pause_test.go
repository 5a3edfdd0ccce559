package jpentry

import (
	"net"
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/io/jppeer"
)

// Guards against a directory that counts as up to date because of a response of the store
// or a message of a peer that waited while this process was paused.
func TestAnswersAfterPause(t *testing.T) {
	rows := []struct {
		name   string
		answer func(en *Entry, began, now time.Time)
		late   bool // the answer comes when those that waited have been read
	}{
		{"store", func(en *Entry, began, now time.Time) {
			en.handleStoreUpdate(began, jpdirectory.Update{Revision: jpdirectory.Revision{Number: 7}, CurrentAt: now})
		}, false},
		{"status of a peer", func(en *Entry, _, now time.Time) {
			en.handleStatus(now, "10.0.0.1", jppeer.DirectoryStatus{Progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Number: 7}}, StoreUptime: time.Minute})
		}, false},
		{"status of a peer, later", func(en *Entry, _, now time.Time) {
			en.handleStatus(now, "10.0.0.1", jppeer.DirectoryStatus{Progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Number: 7}}, StoreUptime: time.Minute})
		}, true},
		{"update of a peer", func(en *Entry, _, now time.Time) {
			en.handleUpdate(now, "10.0.0.1", jppeer.DirectoryUpdate{SinceRevision: jpdirectory.Revision{Number: 7}, Update: jpdirectory.Update{Revision: jpdirectory.Revision{Number: 8}, CurrentAt: now}})
		}, false},
	}
	for _, row := range rows {
		en := newTestEntry(t, &registryStore{})
		// The process was paused for 3.5 s until now.
		now := time.Now()
		began := now.Add(-3600 * time.Millisecond)
		en.observe(began)
		en.applyUpdate(began, jpdirectory.Update{Full: true, Revision: jpdirectory.Revision{Number: 7}, CurrentAt: began}, "test")
		for wait := statusInterval; row.late && wait > 0; wait -= tickInterval {
			en.observe(now.Add(-wait))
		}
		row.answer(en, began, now)
		if age := now.Sub(en.directory.CurrentAt()); (age > time.Second) == row.late {
			t.Errorf("%s: the directory is %v old after a pause of 3.5 s", row.name, age)
		}
	}
}

// Guards against ages that leave out the time in which the machine was suspended.
func TestAgesAfterSuspension(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	en.applyUpdate(now, jpdirectory.Update{Full: true, Revision: jpdirectory.Revision{Number: 7}, CurrentAt: now}, "test")
	en.handleStatus(now, "10.0.0.1", jppeer.DirectoryStatus{Progress: jpdirectory.Progress{Revision: jpdirectory.Revision{Number: 7}}, StoreUptime: time.Minute})
	en.observe(now)
	en.addUncounted(5 * time.Second)
	if age := now.Sub(en.directory.CurrentAt()); age < 5*time.Second {
		t.Errorf("the directory is %v old after a suspension of 5 s", age)
	}
	if since := en.storeUpSince(now); now.Sub(since) > time.Second {
		t.Errorf("the store counts as available for %v after a suspension of 5 s", now.Sub(since))
	}
}

// Guards against flows that are reset because a check ended, unanswered, while this
// process was paused, and its result is handled before anything else runs.
func TestCheckResultAfterPause(t *testing.T) {
	en := newTestEntry(t, &registryStore{})
	now := time.Now()
	began := now.Add(-3600 * time.Millisecond)
	en.observe(began.Add(-time.Millisecond))
	server := jpdirectory.Server{ID: "i-1", Number: 1, Service: "desk", DataCentre: "hobart", Slots: 2}
	en.applyUpdate(began, jpdirectory.Update{Full: true, Revision: jpdirectory.Revision{Number: 7}, CurrentAt: began, Records: []jpdirectory.Record{
		{Key: jpdirectory.Key{Kind: jpdirectory.ServerRecord, Name: "i-1"}, Revision: jpdirectory.Revision{Number: 7}, Server: &server},
	}}, "test")
	check := jpdispatch.Check{Server: jpdispatch.Endpoint{ID: "i-1", Tag: 1, Number: 1}}
	if silence := en.handleCheckResult(now, began, check.Server, jpdispatch.CheckTimedOut); silence != jpdispatch.SilenceUnchanged {
		t.Errorf("silence %v after a check during which the process was paused", silence)
	}
}

// Guards against packets that count as new although they waited in the socket: a read
// knows the last time at which the socket was empty.
func TestPacketReaderNotesEmptySocket(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sender, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	send := func(text string) {
		t.Helper()
		if _, err := sender.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	rd, err := newPacketReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 16)
	read := func(want string) {
		t.Helper()
		size, err := rd.read(buffer)
		if err != nil || string(buffer[:size]) != want {
			t.Fatalf("read %q, %v; want %q", buffer[:size], err, want)
		}
	}
	send("first")
	send("second")
	pausedUntil := time.Now()
	read("first")
	read("second")
	if rd.emptyAt.After(pausedUntil) {
		t.Error("the socket counts as empty although two packets waited in it")
	}
	time.AfterFunc(20*time.Millisecond, func() { send("third") })
	read("third")
	if !rd.emptyAt.After(pausedUntil) {
		t.Error("the socket does not count as empty although the reader waited for a packet")
	}
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := rd.read(buffer); err == nil {
		t.Error("no error after the deadline")
	}
}
