package main

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
	readinessMisses   = 2 // failed checks in a row that take an instance out of rotation
)

// fabric is a stand-in for the platform's routers. It selects an instance by a hash
// modulo the number of those in rotation, so that most flows move when that changes.
type fabric struct {
	record *recorder
	zones  []string

	mu        sync.Mutex
	instances []*instance
	missed    map[*instance]int
}

// route returns the address to which a packet of a caller in a zone goes.
func (fb *fabric) route(zone string, caller netip.AddrPort) netip.AddrPort {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	for _, near := range append([]string{zone}, fb.zones...) {
		all, ready := fb.inZone(near)
		if 2*len(ready) < len(all) && len(ready) > 0 {
			ready = all
		}
		if len(ready) > 0 {
			return ready[xxhash.Sum64String(caller.String())%uint64(len(ready))].traffic
		}
	}
	return fb.instances[0].traffic
}

// inZone returns the instances of a zone and those of them that are in rotation. The
// caller holds mu.
func (fb *fabric) inZone(zone string) (all, ready []*instance) {
	for _, in := range fb.instances {
		if in.zone != zone {
			continue
		}
		all = append(all, in)
		if fb.missed[in] < readinessMisses {
			ready = append(ready, in)
		}
	}
	return all, ready
}

// run checks the readiness of all instances until ctx ends.
func (fb *fabric) run(ctx context.Context) {
	for ctx.Err() == nil {
		fb.mu.Lock()
		list := slices.Clone(fb.instances)
		fb.mu.Unlock()
		for _, in := range list {
			go fb.check(in)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
}

func (fb *fabric) check(in *instance) {
	ready := in.ready()
	fb.mu.Lock()
	defer fb.mu.Unlock()
	before := fb.missed[in] < readinessMisses
	fb.missed[in]++
	if ready {
		fb.missed[in] = 0
	}
	if after := fb.missed[in] < readinessMisses; after != before {
		fb.record.add("instance %s in rotation: %t", in.name, after)
	}
}

func (in *instance) ready() bool {
	client := http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.readiness.String() + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
