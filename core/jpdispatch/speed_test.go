package jpdispatch

import (
	"testing"
	"time"

	"jacinthpass/core/jpdirectory"
)

// TestSpeedSamples guards against response times that say nothing about the server, and
// against slow ones that are not noticed.
func TestSpeedSamples(t *testing.T) {
	latencyRoute := jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}, TargetLatency: time.Second}
	download, plain := latencyRoute, latencyRoute
	download.Kind, plain.TargetLatency = jpdirectory.Download, 0
	answer := func(hn *harness, ms int, pk Packet) {
		pk.Sequence, pk.Ack, pk.Length = pk.Sequence+100, pk.Ack+500, 0
		hn.Handle(at(ms), pk)
	}
	for _, tc := range []struct {
		name     string
		route    jpdirectory.Route
		play     func(hn *harness, pk Packet) // from 10 s on, pk is data of a flow whose SYN came here
		samples  int
		min, max float64
	}{
		{"usual", latencyRoute, func(hn *harness, pk Packet) { hn.Handle(at(10_000), pk); answer(hn, 10_030, pk) }, 1, 0.9, 1.1},
		{"slow", latencyRoute, func(hn *harness, pk Packet) { hn.Handle(at(10_000), pk); answer(hn, 10_150, pk) }, 1, 4, 6},
		{"slow and repeated", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			hn.Handle(at(10_200), pk)
			answer(hn, 10_240, pk)
		}, 1, 7, 9},
		{"failed at once", latencyRoute, func(hn *harness, pk Packet) { hn.Handle(at(10_000), pk); answer(hn, 10_001, pk) }, 1, 0.5, 0.5},
		{"given up", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			pk.Flags, pk.Sequence, pk.Length = RST, pk.Sequence+100, 0
			hn.Handle(at(10_300), pk)
		}, 1, 9, 11},
		{"given up early", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			pk.Flags, pk.Sequence, pk.Length = RST, pk.Sequence+100, 0
			hn.Handle(at(10_010), pk)
		}, 0, 0, 0},
		{"paused meanwhile", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			hn.NotePause(at(10_400))
			answer(hn, 10_450, pk)
		}, 0, 0, 0},
		{"answer waited in a pause", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			hn.evidenceSince = at(10_400)
			pk.ArrivedAfter = at(10_390)
			answer(hn, 10_450, pk)
		}, 0, 0, 0},
		{"first packet from another instance", latencyRoute, func(hn *harness, pk Packet) {
			pk.Caller = hn.newSYN().Caller
			hn.Handle(at(10_000), pk)
			answer(hn, 10_150, pk)
		}, 0, 0, 0},
		{"acknowledged with the next request", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			pk.Sequence, pk.Ack = pk.Sequence+100, pk.Ack+500
			hn.Handle(at(10_150), pk)
		}, 0, 0, 0},
		{"later request through another instance", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			pk.Sequence += 100
			answer(hn, 10_150, pk)
		}, 0, 0, 0},
		{"flow unused until it is forgotten", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			hn.runTicks(at(10_000), at(16_000))
		}, 0, 0, 0},
		{"no response", latencyRoute, func(hn *harness, pk Packet) {
			hn.Handle(at(10_000), pk)
			pk.Sequence, pk.Length = pk.Sequence+100, 0
			hn.Handle(at(10_150), pk)
		}, 0, 0, 0},
		{"download", download, func(hn *harness, pk Packet) { hn.Handle(at(10_000), pk); answer(hn, 10_150, pk) }, 0, 0, 0},
		{"no target", plain, func(hn *harness, pk Packet) { hn.Handle(at(10_000), pk); answer(hn, 10_150, pk) }, 0, 0, 0},
	} {
		hn := newHarness(t, deskServer(1, localDC))
		hn.manifest(2, tc.route)
		for ms := 100; ms < 4000; ms += 100 {
			syn, sr := hn.open(at(ms))
			pk := nextPacket(syn, sr.Tag, 100)
			hn.Handle(at(ms+10), pk)
			answer(hn, ms+40, pk)
		}
		hn.Loads()
		syn, sr := hn.open(at(9_990))
		tc.play(hn, nextPacket(syn, sr.Tag, 100))
		got := hn.servers["i-1"].speed.TakeSummary()
		if got.Samples != tc.samples || got.Slowness < tc.min || got.Slowness > tc.max {
			t.Errorf("%s: %+v, want %d samples from %.1f to %.1f", tc.name, got, tc.samples, tc.min, tc.max)
		}
	}
}

// TestSpeedOnlyWhereStated guards against beliefs that outlive the latency target that
// asked for them.
func TestSpeedOnlyWhereStated(t *testing.T) {
	hn := newHarness(t, deskServer(1, localDC), deskServer(2, localDC), deskServer(3, localDC))
	rt := jpdirectory.Route{Address: route, Targets: []jpdirectory.Target{{Service: "desk", Weight: 1}}, TargetLatency: time.Second}
	hn.manifest(2, rt)
	for ms := 0; ms < 3000; ms += 100 {
		for id, ratio := range map[string]float64{"i-1": 4, "i-2": 1, "i-3": 1} {
			hn.servers[id].speed.Add(at(ms), ratio)
		}
	}
	changes := hn.SpeedChanges(at(3000))
	if len(changes) != 1 || changes[0].Server != "i-1" || changes[0].To < 3 {
		t.Errorf("changes %+v, want i-1 to be slow", changes)
	}
	if got := hn.concurrency(hn.servers["i-1"]); got > 0.7 {
		t.Errorf("concurrency %.2f of 2 slots, want at most 0.7", got)
	}
	for range 6 {
		if _, sr := hn.open(at(3010)); sr.ID == "i-1" {
			t.Error("a new flow went to the slow server before the others had a lead")
		}
	}
	rt.TargetLatency = 0
	hn.manifest(3, rt)
	changes = hn.SpeedChanges(at(3500))
	if got := hn.concurrency(hn.servers["i-1"]); got != 2 || len(changes) != 1 || changes[0].To != 1 {
		t.Errorf("concurrency %.2f, changes %+v without a latency target, want 2 slots", got, changes)
	}
}
