package jpinstance

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jppeer"
)

// runControl sends heartbeats and applies changes of the membership until ctx ends.
func (in *Instance) runControl(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			in.controlStep(time.Now())
		}
	}
}

// controlStep sends the heartbeats that are due and applies a changed view of the
// membership.
func (in *Instance) controlStep(now time.Time) {
	co := &in.control
	co.mu.Lock()
	heartbeats := co.group.Tick(now)
	view, changed := co.group.View()
	confirmations := co.group.Confirmations(now)
	version := co.rollout.Record().Version
	sendLoads := !now.Before(co.nextLoads)
	if sendLoads && len(heartbeats) > 0 {
		co.nextLoads = now.Add(loadInterval)
	}
	before := co.view
	co.view = view
	co.mu.Unlock()

	if changed || sendLoads && in.addressesMissing.Load() {
		in.recordMemberEvents(before, view)
		in.applyView(now, view)
	}
	loads := in.applyConfirmations(now, confirmations, sendLoads)
	if sendLoads {
		in.countConnections()
	}
	for _, ad := range heartbeats {
		msg := jppeer.Heartbeat{Member: ad.Heartbeat, SettingsVersion: version, Loads: loads[ad.To]}
		if err := in.peers.Send(ad.To, msg); err != nil {
			klog.V(2).Infof("member: heartbeat to %s not sent: %v", ad.To, err)
		}
	}
}

// applyConfirmations passes confirmations on to the steerer. With withLoads it returns
// the loads to send to each peer.
func (in *Instance) applyConfirmations(now time.Time, confirmations []jpmember.Confirmation, withLoads bool) map[string][]jpsteering.Load {
	in.steering.mu.Lock()
	defer in.steering.mu.Unlock()
	for _, cf := range confirmations {
		in.steering.steerer.HandleConfirmation(cf.Peer, cf.Until)
	}
	if !withLoads {
		return nil
	}
	return in.steering.steerer.LoadsByPeer(now)
}

// applyView applies a new view of the membership to the packet path and the peer
// connections.
func (in *Instance) applyView(now time.Time, view jpmember.View) {
	view.Members = in.withPeerAddresses(view.Members)
	relays := relayAddresses{}
	missing := false
	for _, mb := range view.Members {
		relays[mb.ID] = mb.Addresses.Relay
		missing = missing || mb.State == jpmember.Alive && !mb.Addresses.Peer.IsValid()
	}
	in.addressesMissing.Store(missing)
	if missing {
		in.requestListRefresh()
	}
	in.steering.relayAddresses.Store(&relays)
	senders := relaySenders(view)
	in.steering.relaySenders.Store(&senders)
	st := &in.steering
	st.mu.Lock()
	out := st.steerer.ApplyView(now, view, nil)
	st.mu.Unlock()
	in.executeOutcomes(out)
	in.updatePeersAndServers()
}

// withPeerAddresses returns a copy of members in which a member without addresses
// from the platform's instance list has those that it sent when it connected. The
// list lags and cannot be read in an outage of the platform.
func (in *Instance) withPeerAddresses(members []jpmember.Member) []jpmember.Member {
	members = slices.Clone(members)
	for ix := range members {
		if mb := &members[ix]; mb.Addresses == (jpmember.Addresses{}) {
			mb.Addresses = in.peers.Addresses(mb.ID)
		}
	}
	return members
}

// updatePeersAndServers updates the peer connections and the polled load endpoints
// after a change of the members or of the servers that this instance owns.
func (in *Instance) updatePeersAndServers() {
	in.steering.mu.Lock()
	wanted := in.steering.steerer.Peers()
	owned := in.steering.steerer.OwnedServers()
	in.steering.mu.Unlock()

	in.control.mu.Lock()
	in.control.group.Monitor(wanted)
	neighbours := in.control.group.Neighbours()
	in.control.mu.Unlock()

	peers := make([]jppeer.Peer, 0, len(neighbours))
	for _, mb := range in.withPeerAddresses(neighbours) {
		peers = append(peers, jppeer.Peer{ID: mb.ID, Address: mb.Addresses.Peer})
	}
	in.peers.SetPeers(peers)
	in.health.SetServers(owned)
	in.metrics.SetOwnedServers(len(owned))
}

// memberEvents are the names of the events for changes of a member's state.
var memberEvents = []struct {
	state jpmember.State
	name  string
}{
	{jpmember.Unknown, "member_unknown"},
	{jpmember.Alive, "member_alive"},
	{jpmember.Leaving, "member_leaving"},
	{jpmember.Dead, "member_dead"},
}

// recordMemberEvents adds changes of members' states to the log and the timeline.
func (in *Instance) recordMemberEvents(before, after jpmember.View) {
	old := map[string]jpmember.State{}
	for _, mb := range before.Members {
		old[mb.ID] = mb.State
	}
	for _, mb := range after.Members {
		if state, known := old[mb.ID]; known && state == mb.State {
			continue
		}
		for _, me := range memberEvents {
			if me.state == mb.State {
				klog.Infof("member: %s: %s", mb.ID, me.name)
				in.recordEvent("member", me.name, mb.ID, "")
			}
		}
	}
}

// handleMessage handles a message from a peer.
func (in *Instance) handleMessage(from string, msg any) {
	now := time.Now()
	switch ms := msg.(type) {
	case jppeer.Heartbeat:
		in.handleHeartbeat(now, from, ms)
	case jpsteering.Moved:
		in.steering.mu.Lock()
		out := in.steering.steerer.HandleMoved(now, from, ms, nil)
		in.steering.mu.Unlock()
		in.executeOutcomes(out)
	case jppeer.SettingsRequest:
		in.handleSettingsRequest(from, ms)
	case jppeer.Settings:
		in.offerSettings(ms.Record, "peer "+from)
	case jppeer.EventsRequest:
		in.timeline.HandleRequest(from, ms)
	case jppeer.Events:
		in.timeline.HandleResponse(from, ms)
	}
}

func (in *Instance) handleHeartbeat(now time.Time, from string, hb jppeer.Heartbeat) {
	if hb.Member.From != from {
		klog.Warningf("peer: dropped a heartbeat of %s that arrived on the connection of %s", hb.Member.From, from)
		return
	}
	co := &in.control
	co.mu.Lock()
	co.group.HandleHeartbeat(now, hb.Member)
	request := co.rollout.ShouldRequest(hb.SettingsVersion) && !now.Before(co.nextSettingsRequest)
	if request {
		co.nextSettingsRequest = now.Add(settingsRequestInterval)
	}
	version := co.rollout.Record().Version
	co.mu.Unlock()
	if len(hb.Loads) > 0 {
		in.steering.mu.Lock()
		in.steering.steerer.HandleLoads(now, from, hb.Loads)
		in.steering.mu.Unlock()
	}
	if !request {
		return
	}
	if err := in.peers.Send(from, jppeer.SettingsRequest{Version: version}); err != nil {
		// There is no connection to this peer yet. The settings are requested
		// from the next peer that advertises a newer version.
		co.mu.Lock()
		co.nextSettingsRequest = time.Time{}
		co.mu.Unlock()
	}
}
