package jpdispatch

import (
	"maps"
	"slices"
	"time"

	"jacinthpass/core/jpdirectory"
)

// maxAskedTags bounds the tags that peers are asked for at a time, because forged packets can
// carry any tag.
const maxAskedTags = 64

// UnknownTags returns tags of callers' packets that no known server has, in order. Peers may
// know servers of which the store has lost the entries.
func (ds *Dispatcher) UnknownTags() []uint32 {
	tags := slices.Sorted(maps.Keys(ds.unknownTags))
	return tags[:min(len(tags), maxAskedTags)]
}

// ServersOf returns the servers with tags that a peer doesn't know, also those that have left
// the directory: the peer checks them when it has flows of them.
func (ds *Dispatcher) ServersOf(tags []uint32) []jpdirectory.Server {
	var list []jpdirectory.Server
	for _, tag := range tags {
		if sr := ds.serversByTag[tag]; sr != nil && (sr.present || !sr.silent && !ds.addressTaken(sr)) {
			list = append(list, sr.cfg)
		}
	}
	return list
}

// AddFormer adds servers that a peer knows and the directory lacks. Like servers that have
// left the directory, they get the packets of their open flows and no new flows. It returns
// the ids of those that were added.
func (ds *Dispatcher) AddFormer(now time.Time, servers []jpdirectory.Server) []string {
	var added []string
	for _, cfg := range servers {
		sr := newServer(cfg)
		if ds.servers[cfg.ID] != nil || ds.serversByTag[sr.tag] != nil {
			continue
		}
		ds.arrivals++
		sr.arrival, sr.arrivedAt = ds.arrivals, now
		sr.markLeft(now, now)
		ds.servers[cfg.ID], ds.serversByTag[sr.tag] = sr, sr
		delete(ds.unknownTags, sr.tag)
		added = append(added, cfg.ID)
	}
	return added
}

// mayStillRun reports whether a server that left the directory may still run for a flow that
// this instance first saw at firstSeenAt: it has answered recently, or was perhaps not
// checked yet, because this instance had no flows of it. No other server must have its
// address, whose answers would look like its own.
func (ds *Dispatcher) mayStillRun(now time.Time, sr *server, firstSeenAt time.Time) bool {
	return !ds.addressTaken(sr) && (now.Sub(sr.aliveAt) < lifeSignTTL || now.Sub(firstSeenAt) < lifeSignTTL)
}

// lifeSignTTL is for how long an answer shows that a server without an entry still runs. It
// is checked every checkInterval while it has flows; the check may be late by a few ticks.
const lifeSignTTL = checkInterval + 500*time.Millisecond
