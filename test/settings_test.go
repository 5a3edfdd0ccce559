package test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpcluster"
	"jacinthpass/lab/jpnetwork"
)

// versionTracker records the settings versions that instances report.
type versionTracker struct {
	mu        sync.Mutex
	latest    map[int]uint64 // by process id
	decreases []string       // descriptions of versions that decreased
	stop      chan struct{}
	wg        sync.WaitGroup
}

// trackVersions polls the settings version of all instances until the test ends.
func (bd *testbed) trackVersions() *versionTracker {
	vt := &versionTracker{latest: map[int]uint64{}, stop: make(chan struct{})}
	for _, in := range bd.Instances {
		vt.wg.Go(func() { vt.poll(bd, in) })
	}
	bd.t.Cleanup(func() { close(vt.stop); vt.wg.Wait() })
	return vt
}

func (vt *versionTracker) poll(bd *testbed, in *jpcluster.Instance) {
	for {
		select {
		case <-vt.stop:
			return
		case <-time.After(pollInterval):
		}
		pid := in.PID()
		st, err := bd.status(in)
		if err != nil || pid == 0 || in.PID() != pid {
			continue
		}
		vt.mu.Lock()
		if st.SettingsVersion < vt.latest[pid] {
			vt.decreases = append(vt.decreases, fmt.Sprintf("%s went from version %d back to %d", in.ID, vt.latest[pid], st.SettingsVersion))
		}
		vt.latest[pid] = st.SettingsVersion
		vt.mu.Unlock()
	}
}

// wantInForce checks guarantee G10: instances have at least a version by a deadline.
func (vt *versionTracker) wantInForce(bd *testbed, list []*jpcluster.Instance, version uint64, deadline time.Time) {
	bd.t.Helper()
	bd.await(time.Until(deadline), func() string {
		vt.mu.Lock()
		defer vt.mu.Unlock()
		for _, in := range list {
			if vt.latest[in.PID()] < version {
				return fmt.Sprintf("%s has version %d, not %d", in.ID, vt.latest[in.PID()], version)
			}
		}
		return ""
	})
}

// TestSettings guards guarantee G10: accepted changes of the settings are applied
// within the bound and not lost or reverted. Operators change them at the same time
// while the store is slow and loses answers to writes, during an outage of the store,
// and while a data centre is cut off.
func TestSettings(t *testing.T) {
	bd := startTestbed(t, derwent, options{})
	vt := bd.trackVersions()
	bd.setStoreFaults(map[string]any{"delay": "50ms", "lose_answers_every": 3})
	names := []string{"od-1", "od-2", "od-3", "od-4", "od-5", "od-6", "od-7"}
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]uint64{}
	for ix, name := range names {
		wg.Go(func() {
			version, err := bd.Operator(bd.Instances[ix]).SetServer(bd.ctx, derwent.stream, name, true, name)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted[name] = version
			} else {
				t.Logf("%s: %v", name, err)
			}
		})
	}
	wg.Wait()
	deadline := time.Now().Add(settingsBound)
	if len(accepted) == 0 {
		t.Error("none of the concurrent changes was accepted")
	}
	var newest uint64
	for _, version := range accepted {
		newest = max(newest, version)
	}
	vt.wantInForce(bd, bd.Instances, newest, deadline)
	bd.wantDraining(accepted)

	bd.setStoreFaults(map[string]any{"outage": true, "lose_answers_every": 0})
	_, err := bd.Operator(bd.Instances[0]).SetServer(bd.ctx, derwent.stream, "od-8", true, "outage")
	var se *jpoperator.StoreError
	if !errors.As(err, &se) {
		t.Errorf("a change during an outage of the store ended with %v, want a StoreError", err)
	}
	bd.setStoreFaults(map[string]any{"outage": false, "delay": "0s"})

	old := newest
	bd.addFault(jpnetwork.Fault{ID: "partition", From: "dc=devonport", To: "dc!=devonport", Both: true, Cut: true})
	var version uint64
	bd.await(awaitTimeout, func() string {
		if version, err = bd.Operator(bd.Instances[0]).SetServer(bd.ctx, derwent.stream, "od-9", true, "partition"); err != nil {
			return err.Error()
		}
		return ""
	})
	reachable := append(bd.InstancesIn("hobart"), bd.InstancesIn("launceston")...)
	vt.wantInForce(bd, reachable, version, time.Now().Add(settingsBound))
	bd.removeFault("partition")
	vt.wantInForce(bd, bd.InstancesIn("devonport"), version, time.Now().Add(settingsBound))
	accepted["od-9"] = version
	bd.wantDraining(accepted)

	_, err = bd.Operator(bd.InstancesIn("devonport")[0]).Apply(bd.ctx, jpoperator.Change{Text: bd.Cluster.Settings(), Base: old})
	var ce *jpoperator.ConflictError
	if !errors.As(err, &ce) {
		t.Errorf("a change based on version %d ended with %v, want a ConflictError", old, err)
	}
	vt.mu.Lock()
	defer vt.mu.Unlock()
	if len(vt.decreases) != 0 {
		t.Errorf("settings versions decreased: %s", strings.Join(vt.decreases, "; "))
	}
}

// wantDraining checks that the servers of accepted changes are draining in the settings
// of all instances.
func (bd *testbed) wantDraining(accepted map[string]uint64) {
	bd.t.Helper()
	for _, in := range bd.RunningInstances() {
		values, err := bd.Operator(in).Explain(bd.ctx, "")
		bd.must(err)
		found := map[string]string{}
		for _, vl := range values {
			if vl.Key == "state" {
				found[vl.Section[strings.LastIndex(vl.Section, ".")+1:]] = vl.Value
			}
		}
		for name, version := range accepted {
			if found[name] != "draining" {
				bd.t.Errorf("%s: change of %s accepted as version %d is not in force: state is %q", in.ID, name, version, found[name])
			}
		}
	}
}

// TestSettingsStartInOutage guards against an instance that gets no settings from its
// peers when it starts during an outage of the store (design section 2.6).
func TestSettingsStartInOutage(t *testing.T) {
	bd := startTestbed(t, derwent, options{})
	vt := bd.trackVersions()
	bd.setStoreFaults(map[string]any{"outage": true})
	restarted := bd.InstancesIn("hobart")[1]
	bd.must(restarted.Kill())
	bd.must(restarted.Restart())
	vt.wantInForce(bd, bd.Instances, 1, time.Now().Add(settingsBound))
}
