package jpentry

import (
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/core/jpmember"
	"jacinthpass/io/jppeer"
)

const (
	// statusInterval separates status messages to peers unless one is due earlier,
	// see statusDue.
	statusInterval = 500 * time.Millisecond

	// statsInterval separates counts of all servers for the metrics.
	statsInterval = time.Second

	// trafficLogInterval separates the log lines on the traffic to peers.
	trafficLogInterval = 10 * time.Second

	// tagRequestInterval is the minimum time between two requests to neighbours for the
	// servers with unknown tags. Callers repeat lost packets for longer.
	tagRequestInterval = 500 * time.Millisecond

	// statusMaxAge is how long a peer's status is used: three intervals.
	statusMaxAge = 3 * statusInterval
)

// runTicks runs the periodic work until ctx ends.
func (en *Entry) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			en.tick(time.Now())
		}
	}
}

// tick advances the state machines and sends what they produce. Nothing is sent
// while mu is held.
func (en *Entry) tick(now time.Time) {
	en.mu.Lock()
	en.observe(now)
	en.settle(now)
	en.updateFreshness(now)
	resets := en.dispatcher.Tick(now)
	heartbeats := en.group.Tick(now)
	view, changed := en.group.View()
	if changed {
		en.applyView(view)
	}
	status, sendStatus := en.statusDue(now)
	neighbours := en.group.Neighbours()
	checks := en.dispatcher.DueChecks(now)
	changes := en.dispatcher.FailingChanges(now)
	speeds := en.dispatcher.SpeedChanges(now)
	services := en.dispatcher.Services(now)
	revision, age := en.directory.Revision(), now.Sub(en.directory.CurrentAt())
	if !now.Before(en.nextStats) {
		en.nextStats = now.Add(statsInterval)
		en.metrics.updateGauges(en.dispatcher.Stats(), revision, en.store.Load().totalCalls())
	}
	en.mu.Unlock()

	for _, rs := range resets {
		en.metrics.countReset(rs.Reason)
		en.logReset(now, rs, "", revision, age)
		en.sendReset(rs)
	}
	en.metrics.services.Store(&services)
	logServices(now, services)
	for _, fc := range changes {
		klog.InfoS("dispatch: server", "server", fc.Server, "failing", fc.Failing, "stuck", fc.Stuck, "given_up", fc.GivenUp)
	}
	for _, sc := range speeds {
		klog.InfoS("dispatch: speed", "server", sc.Server, "slowness", roundToHundredths(sc.To), "before", roundToHundredths(sc.From),
			"samples", int(sc.Samples), "age_ms", sc.Age.Milliseconds())
	}
	for _, check := range checks {
		en.checkServer(check)
	}
	en.connectPeers(neighbours)
	for _, ad := range heartbeats {
		en.sendToPeer(ad.To, jppeer.Heartbeat{Member: ad.Heartbeat})
	}
	if sendStatus {
		// Peers in other data centres get no loads: a remote server is chosen
		// only if its load is lower by a margin that is seldom reached.
		remoteStatus := status
		remoteStatus.Loads = nil
		for _, mb := range neighbours {
			if mb.DataCentre == en.settings.DataCentre {
				en.sendToPeer(mb.ID, status)
			} else {
				en.sendToPeer(mb.ID, remoteStatus)
			}
		}
	}
	if !now.Before(en.nextTrafficLog) {
		en.nextTrafficLog = now.Add(trafficLogInterval)
		en.logTraffic()
	}
}

func roundToHundredths(value float64) float64 { return math.Round(100*value) / 100 }

func (en *Entry) sendToPeer(id string, msg any) {
	if err := en.peers.Send(id, msg); err != nil {
		klog.V(2).InfoS("peer: message was not sent", "peer", id, "err", err)
	}
}

// applyView logs state changes of instances and sets this instance's position in the
// dispatcher. The caller holds mu.
func (en *Entry) applyView(view jpmember.View) {
	en.logMembers(en.view.Members, view.Members)
	en.view = view
	alive := view.Alive()
	local := slices.DeleteFunc(slices.Clone(alive), func(mb jpmember.Member) bool { return mb.DataCentre != en.settings.DataCentre })
	en.dispatcher.SetPosition(jpdispatch.Position{
		Rank: en.rankAmong(alive), Count: len(alive), LocalRank: en.rankAmong(local), LocalCount: len(local),
	})
}

// rankAmong returns the rank of this instance among others. An instance that is
// leaving is not alive; it gets the last rank, which is the last to place a flow on
// a cold server.
func (en *Entry) rankAmong(alive []jpmember.Member) int {
	rank := slices.IndexFunc(alive, func(mb jpmember.Member) bool { return mb.ID == en.settings.ID })
	if rank < 0 {
		return len(alive)
	}
	return rank
}

// connectPeers sets the peers to which connections are kept, if they have changed.
// They may change without the view: an instance that starts is a neighbour of the
// seeds until it knows others.
func (en *Entry) connectPeers(neighbours []jpmember.Member) {
	peers := make([]jppeer.Peer, 0, len(neighbours))
	for _, mb := range neighbours {
		peers = append(peers, jppeer.Peer{ID: mb.ID, Address: en.peerAddress(mb)})
	}
	if slices.Equal(peers, en.connectedPeers) {
		return
	}
	en.connectedPeers = peers
	en.peers.SetPeers(peers)
}

// peerAddress returns the address at which peers reach an instance. If it is
// unknown, it is derived: the id is the IP address, and all instances use the
// same port.
func (en *Entry) peerAddress(mb jpmember.Member) netip.AddrPort {
	if mb.Addresses.Peer.IsValid() {
		return mb.Addresses.Peer
	}
	addr, err := netip.ParseAddr(mb.ID)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr, en.settings.Peer.Port())
}

// updateMembership passes the registered instances and the seeds to the
// membership. The caller holds mu.
func (en *Entry) updateMembership(now time.Time) {
	var rows []jpmember.Listed
	listed := map[string]bool{}
	for _, in := range en.directory.Instances() {
		listed[in.ID] = true
		rows = append(rows, jpmember.Listed{
			ID: in.ID, DataCentre: in.DataCentre, Addresses: jpmember.Addresses{Peer: in.Peer},
		})
	}
	for _, seed := range en.settings.Seeds {
		if id := seed.Addr().String(); !listed[id] {
			rows = append(rows, jpmember.Listed{ID: id, Addresses: jpmember.Addresses{Peer: seed}})
		}
	}
	en.group.HandleList(now, rows)
}

// statusDue returns the status for peers, and whether it is due: after
// statusInterval, when the progress has changed, or when checkServer has found a
// server silent. The caller holds mu.
func (en *Entry) statusDue(now time.Time) (jppeer.DirectoryStatus, bool) {
	progress := en.directory.Progress()
	if now.Before(en.nextStatus) && progress == en.statusProgress {
		return jppeer.DirectoryStatus{}, false
	}
	en.nextStatus, en.statusProgress = now.Add(statusInterval), progress
	return jppeer.DirectoryStatus{
		Progress:      progress,
		SentAt:        now.Sub(en.started),
		Age:           max(now.Sub(en.directory.CurrentAt()), 0),
		StoreUptime:   max(now.Sub(en.storeUpSince(now)), 0),
		Loads:         en.dispatcher.Loads(),
		SilentServers: en.dispatcher.SilentServers(),
	}, true
}

// storeUpSince returns the time since which the store has answered without interruption,
// by what this instance and its peers have observed, or now if that is not known. Peers
// pass on what they have heard. The caller holds mu.
func (en *Entry) storeUpSince(now time.Time) time.Time {
	currentAt := en.directory.CurrentAt()
	if now.Sub(currentAt) >= staleAfter {
		return now
	}
	var observations []jpdirectory.Availability
	era := en.directory.Revision().Era // availability before the store was restored doesn't count
	if sh := en.storeHealth; !sh.upSince.IsZero() && sh.era == era {
		observations = append(observations, jpdirectory.Availability{UpSince: sh.upSince, ConfirmedAt: sh.lastResponse})
	}
	for _, ps := range en.statuses {
		if now.Sub(ps.receivedAt) < statusMaxAge && ps.progress.Revision.Era == era {
			observations = append(observations, jpdirectory.Availability{UpSince: ps.storeUpSince, ConfirmedAt: ps.currentAt})
		}
	}
	return jpdirectory.StoreUpSince(currentAt, observations)
}

// updateFreshness removes expired statuses of peers and passes the age of the directory and the store's availability to
// the dispatcher. The caller holds mu.
func (en *Entry) updateFreshness(now time.Time) {
	en.transits.Expire(now)
	maps.DeleteFunc(en.statuses, func(_ string, ps peerStatus) bool { return now.Sub(ps.receivedAt) >= statusMaxAge })
	en.dispatcher.SetFreshness(en.directory.CurrentAt(), en.storeUpSince(now))
}

// handleMessage handles a message from a peer.
func (en *Entry) handleMessage(from string, msg any) {
	now := time.Now()
	switch ms := msg.(type) {
	case jppeer.Heartbeat:
		en.mu.Lock()
		en.observe(now)
		en.group.HandleHeartbeat(now, ms.Member)
		en.mu.Unlock()
	case jppeer.DirectoryStatus:
		en.handleStatus(now, from, ms)
	case jppeer.DirectoryRequest:
		en.mu.Lock()
		update := en.directory.Since(ms.Progress)
		servers := en.dispatcher.ServersOf(ms.UnknownTags)
		en.mu.Unlock()
		en.sendToPeer(from, jppeer.DirectoryUpdate{
			SinceRevision: ms.Progress.Revision, Update: update, Servers: servers, SentAt: now.Sub(en.started), ReferenceTime: now,
		})
	case jppeer.DirectoryUpdate:
		en.handleUpdate(now, from, ms)
	case jppeer.EventsRequest:
		en.timeline.HandleRequest(from, ms)
	case jppeer.Events:
		en.timeline.HandleResponse(from, ms)
	}
}

// handleStatus handles a status of a peer. After a pause its ages are not known, because
// it may have waited; the next one counts again.
func (en *Entry) handleStatus(now time.Time, from string, ds jppeer.DirectoryStatus) {
	en.mu.Lock()
	en.observe(now)
	ps := peerStatus{progress: ds.Progress, receivedAt: now}
	sentAt := now.Add(-en.transits.Delay(now, from, ds.SentAt))
	if !en.messagesMayBeOld(now) {
		ps.currentAt, ps.storeUpSince = sentAt.Add(-ds.Age), sentAt.Add(-ds.StoreUptime)
		en.directory.Confirm(ds.Progress.Revision, ps.currentAt)
	}
	en.statuses[from] = ps
	local := en.inDataCentre(from)
	var checks []jpdispatch.Check
	if local {
		en.dispatcher.HandleLoads(now, from, ds.Loads)
		checks = en.dispatcher.HandleSilentServers(now, from, ds.SilentServers)
	}
	progress := en.directory.Progress()
	requestDue := en.requestLimiter.Allow(now, progress, ds.Progress, local)
	en.mu.Unlock()
	for _, check := range checks {
		en.checkServer(check)
	}
	if requestDue {
		en.sendToPeer(from, jppeer.DirectoryRequest{Progress: progress})
	}
}

// observe notes a pause of this process, see jpdispatch.Dispatcher.Observe. Ages grow by
// the part of it that the steady clock has not counted. The caller holds mu.
func (en *Entry) observe(now time.Time) {
	pause := en.dispatcher.Observe(now, now)
	if pause.Length == 0 {
		return
	}
	klog.InfoS("entry: paused", "ms", pause.Length.Milliseconds(), "hidden_ms", pause.Hidden.Milliseconds(),
		"revision", en.directory.Revision())
	en.timeline.Add("entry", "instance_paused", en.settings.ID, pause.Length.String())
	if pause.Hidden > 0 {
		en.addUncounted(pause.Hidden)
	}
}

// addUncounted makes what is known older by a time that the steady clock has not counted.
// The caller holds mu.
func (en *Entry) addUncounted(hidden time.Duration) {
	en.directory.AddAge(hidden)
	en.storeHealth.lastResponse = en.storeHealth.lastResponse.Add(-hidden)
	clear(en.statuses)
}

// messagesMayBeOld reports whether messages of peers may have waited while this process
// was paused: it reads all that have within a status interval. The caller holds mu.
func (en *Entry) messagesMayBeOld(now time.Time) bool {
	return now.Sub(en.dispatcher.PausedAt()) < statusInterval
}

// inDataCentre reports whether a peer is known to be in this instance's data
// centre. The caller holds mu.
func (en *Entry) inDataCentre(peer string) bool {
	for _, mb := range en.view.Members {
		if mb.ID == peer {
			return mb.DataCentre == en.settings.DataCentre
		}
	}
	return false
}

// requestUpdate requests an update from a peer with a newer directory, if there
// is one, or otherwise the servers with unknown tags from all neighbours: others may have
// started as recently as this instance. It is called when a packet carries a tag that no
// known server has.
func (en *Entry) requestUpdate(now time.Time) {
	en.mu.Lock()
	request := jppeer.DirectoryRequest{Progress: en.directory.Progress()}
	var peers []string
	for id, ps := range en.statuses {
		if en.requestLimiter.Allow(now, request.Progress, ps.progress, en.inDataCentre(id)) {
			peers = []string{id}
			break
		}
	}
	if len(peers) == 0 && !now.Before(en.nextTagRequest) {
		en.nextTagRequest = now.Add(tagRequestInterval)
		peers, request.UnknownTags = slices.Collect(maps.Keys(en.statuses)), en.dispatcher.UnknownTags()
	}
	en.mu.Unlock()
	for _, id := range peers {
		en.sendToPeer(id, request)
	}
}

func (en *Entry) handleUpdate(now time.Time, from string, du jppeer.DirectoryUpdate) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.observe(now)
	du.Update.CurrentAt = du.Update.CurrentAt.Add(-en.transits.Delay(now, from, du.SentAt))
	if en.messagesMayBeOld(now) {
		du.Update.CurrentAt = time.Time{}
	}
	if !du.Update.Full && du.SinceRevision.After(en.directory.Revision()) {
		return // changes between the directory's revision and SinceRevision are missing
	}
	en.applyUpdate(now, du.Update, from)
	for _, id := range en.dispatcher.AddFormer(now, du.Servers) {
		klog.InfoS("directory: former server", "server", id, "revision", en.directory.Revision(), "source", from)
	}
}

// settle applies the records of a restored store that nobody has written again in time. The
// caller holds mu.
func (en *Entry) settle(now time.Time) {
	settled := en.directory.Settle(now)
	if len(settled) == 0 {
		return
	}
	en.dispatcher.Apply(now, settled)
	en.logRecordChanges(settled, true, "restored store")
}

// applyUpdate applies an update to the directory and the dispatcher. The caller
// holds mu.
func (en *Entry) applyUpdate(now time.Time, up jpdirectory.Update, source string) {
	known := en.directory.Revision()
	restored := en.directory.Populated() && up.Revision.Era > known.Era
	before := en.directory.Manifest()
	changed := en.directory.Apply(now, up)
	if restored {
		klog.InfoS("store: restored", "revision", up.Revision, "known_revision", known, "source", source,
			"changed", len(changed), "unsettled", en.directory.Unsettled())
		en.timeline.Add("store", "store_restored", "", source)
	}
	// The dispatcher interprets the changes by the age that its records had
	// before the update, so the freshness is updated afterwards.
	en.dispatcher.Apply(now, changed)
	en.updateFreshness(now)
	en.checkRegistered(restored, changed)
	if len(changed) == 0 {
		return
	}
	instancesChanged := false
	for _, rc := range changed {
		instancesChanged = instancesChanged || rc.Key.Kind == jpdirectory.InstanceRecord
	}
	en.logRecordChanges(changed, up.Full, source)
	if instancesChanged {
		en.updateMembership(now)
	}
	if after := en.directory.Manifest(); before == nil && after != nil {
		close(en.manifestKnown)
		go en.handleHeld()
		klog.InfoS("entry: ready", "version", after.Version, "revision", en.directory.Revision(), "source", source)
		en.timeline.Add("entry", "instance_ready", en.settings.ID, source)
	}
}
