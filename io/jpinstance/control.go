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

// runControl sends heartbeats and follows changes of the membership.
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

// controlStep does what is due for the membership.
func (in *Instance) controlStep(now time.Time) {
	co := &in.control
	co.mu.Lock()
	due := co.group.Tick(now)
	view, changed := co.group.View()
	confirmations := co.group.Confirmations(now)
	version := co.rollout.Record().Version
	withLoads := !now.Before(co.nextLoads)
	if withLoads && len(due) > 0 {
		co.nextLoads = now.Add(loadInterval)
	}
	before := co.view
	co.view = view
	co.mu.Unlock()

	if changed || withLoads && in.lacking.Load() {
		in.recordMembers(before, view)
		in.applyView(now, view)
	}
	loads := in.confirm(now, confirmations, withLoads)
	if withLoads {
		in.countControl()
	}
	for _, ad := range due {
		msg := jppeer.Heartbeat{Member: ad.Heartbeat, SettingsVersion: version, Loads: loads[ad.To]}
		if err := in.peers.Send(ad.To, msg); err != nil {
			klog.V(2).Infof("member: heartbeat to %s: %v", ad.To, err)
		}
	}
}

// confirm hands confirmations to the steering and returns the loads to tell, by
// peer, if they are due.
func (in *Instance) confirm(now time.Time, confirmations []jpmember.Confirmation, withLoads bool) map[string][]jpsteering.Load {
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

// applyView brings a new picture of the membership into force.
func (in *Instance) applyView(now time.Time, view jpmember.View) {
	view.Members = in.addressed(view.Members)
	relays := relayAddresses{}
	lacking := false
	for _, mb := range view.Members {
		relays[mb.ID] = mb.Addresses.Relay
		lacking = lacking || mb.State == jpmember.Alive && !mb.Addresses.Peer.IsValid()
	}
	in.lacking.Store(lacking)
	if lacking {
		in.askForList()
	}
	in.steering.relays.Store(&relays)
	known := relaySenders(view)
	in.steering.senders.Store(&known)
	st := &in.steering
	st.mu.Lock()
	out := st.steerer.ApplyView(now, view, nil)
	st.mu.Unlock()
	in.perform(out)
	in.ownersChanged()
}

// addressed adds the addresses that members have told on connecting where the
// platform's list does not have them: it lags, and cannot be read in an outage
// of the platform.
func (in *Instance) addressed(members []jpmember.Member) []jpmember.Member {
	members = slices.Clone(members)
	for ix := range members {
		if mb := &members[ix]; mb.Addresses == (jpmember.Addresses{}) {
			mb.Addresses = in.peers.Addresses(mb.ID)
		}
	}
	return members
}

// ownersChanged follows a change of the servers that this instance owns.
func (in *Instance) ownersChanged() {
	in.steering.mu.Lock()
	wanted := in.steering.steerer.Peers()
	owned := in.steering.steerer.OwnedServers()
	in.steering.mu.Unlock()

	in.control.mu.Lock()
	in.control.group.Monitor(wanted)
	neighbours := in.control.group.Neighbours()
	in.control.mu.Unlock()

	peers := make([]jppeer.Peer, 0, len(neighbours))
	for _, mb := range in.addressed(neighbours) {
		peers = append(peers, jppeer.Peer{ID: mb.ID, Address: mb.Addresses.Peer})
	}
	in.peers.SetPeers(peers)
	in.health.SetServers(owned)
	in.metrics.SetOwnedServers(len(owned))
}

// memberEvents names the events of members' states.
var memberEvents = []struct {
	state jpmember.State
	name  string
}{
	{jpmember.Unknown, "member_unknown"},
	{jpmember.Alive, "member_alive"},
	{jpmember.Leaving, "member_leaving"},
	{jpmember.Dead, "member_dead"},
}

// recordMembers adds changes of members' states to the time line.
func (in *Instance) recordMembers(before, after jpmember.View) {
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
				in.event("member", me.name, mb.ID, "")
			}
		}
	}
}

// handleMessage takes in a message of a peer.
func (in *Instance) handleMessage(from string, msg any) {
	now := time.Now()
	switch ms := msg.(type) {
	case jppeer.Heartbeat:
		in.handleHeartbeat(now, from, ms)
	case jpsteering.Moved:
		in.steering.mu.Lock()
		out := in.steering.steerer.HandleMoved(now, from, ms, nil)
		in.steering.mu.Unlock()
		in.perform(out)
	case jppeer.SettingsRequest:
		in.answerSettings(from, ms)
	case jppeer.Settings:
		in.offer(ms.Record, "peer "+from)
	case jppeer.EventsRequest:
		in.timeline.HandleRequest(from, ms)
	case jppeer.Events:
		in.timeline.HandleResponse(from, ms)
	}
}

func (in *Instance) handleHeartbeat(now time.Time, from string, hb jppeer.Heartbeat) {
	if hb.Member.From != from {
		klog.Warningf("peer: heartbeat of %s on the connection of %s", hb.Member.From, from)
		return
	}
	co := &in.control
	co.mu.Lock()
	co.group.HandleHeartbeat(now, hb.Member)
	wants := co.rollout.ShouldRequest(hb.SettingsVersion) && !now.Before(co.nextAsk)
	if wants {
		co.nextAsk = now.Add(askInterval)
	}
	have := co.rollout.Record().Version
	co.mu.Unlock()
	if len(hb.Loads) > 0 {
		in.steering.mu.Lock()
		in.steering.steerer.HandleLoads(now, from, hb.Loads)
		in.steering.mu.Unlock()
	}
	if !wants {
		return
	}
	if err := in.peers.Send(from, jppeer.SettingsRequest{Version: have}); err != nil {
		// There is no connection to this peer yet; the next one that has the
		// version is asked at once.
		co.mu.Lock()
		co.nextAsk = time.Time{}
		co.mu.Unlock()
	}
}
