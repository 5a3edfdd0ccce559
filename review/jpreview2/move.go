package main

import (
	"context"
	"time"

	"jacinthpass/lab/jpplatform"
)

// drainTime is drainMs, and drainSlack what a judge may need besides: the way of a packet.
const (
	drainTime  = 3 * time.Second
	drainSlack = 50 * time.Millisecond
)

// drain lets a server report that it is draining, and returns when the store has accepted it.
func (rg *rig) drain(sv *server) time.Time {
	sv.mu.Lock()
	sv.state = "draining"
	sv.mu.Unlock()
	sv.write()
	rg.logf("store: accepted that server %s is draining", sv.id)
	return time.Now()
}

// judgeDrain judges the opening packets that a server took after its report (rule DRAIN).
// Machines are not in touch for connectedMs after a disturbance at a time.
func (rg *rig) judgeDrain(sv *server, accepted, disturbed time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, at := range sv.syns {
		if late := at.Sub(accepted); late > drainTime+drainSlack && at.Sub(disturbed) > connected+drainSlack {
			rg.broken("DRAIN: a new flow reached server %s %.2f s after the store had accepted that it is draining", sv.id, late.Seconds())
		}
	}
}

// settingsPeriod is how often the program reads its settings without a signal.
const settingsPeriod = 5 * time.Second

// awaitSettingsRead waits until the processes have just read their settings.
func (rg *rig) awaitSettingsRead() {
	latest := rg.instances[0].started
	for _, in := range rg.instances {
		if in.started.After(latest) {
			latest = in.started
		}
	}
	since := time.Since(latest)
	time.Sleep(settingsPeriod - since%settingsPeriod + 300*time.Millisecond)
}

// playMove plays settings files that change without a signal: the platform's store gets
// another address.
func playMove(ctx context.Context, root, record string, trouble bool) (*rig, error) {
	rg, err := startSmallSite(ctx, root, record)
	if err != nil {
		return rg, err
	}
	ct, stop := rg.startUsers(ctx, 80, 80, 80)
	defer stop()
	time.Sleep(6 * time.Second)
	var door *jpplatform.Proxy
	for round := range 4 {
		rg.awaitSettingsRead()
		moved := time.Now()
		if trouble {
			previous := door
			if door, err = jpplatform.StartProxy(rg.addr(0, 2+round), rg.store.Address); err != nil {
				return rg, err
			}
			defer door.Close()
			for _, in := range rg.instances {
				in.store = door.Address
				if err := in.writeSettings(false); err != nil {
					return rg, err
				}
			}
			rg.logf("platform: the store has moved to %s, as the settings files say", door.Address)
			if previous != nil {
				previous.Close()
			}
		}
		time.Sleep(200 * time.Millisecond)
		sv := rg.servers[round]
		accepted := rg.drain(sv)
		time.Sleep(7 * time.Second)
		rg.judgeDrain(sv, accepted, moved)
	}
	stop()
	rg.logCounts(ct)
	return rg, nil
}
