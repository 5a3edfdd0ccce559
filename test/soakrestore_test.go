package test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"jacinthpass/lab/jpplatform"
)

// restoreStore restores the store from a copy that is up to a few seconds old, twice,
// beside the other faults. Operators and servers write again what was lost, each key at
// another time. It draws from rng, so that the faults of a seed stay.
func (so *soakRun) restoreStore(rng *rand.Rand) {
	for range 2 {
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
		earlier := so.si.Store.Copy()
		time.Sleep(time.Duration(300+rng.IntN(2500)) * time.Millisecond)
		so.mu.Lock()
		so.activeFaults++
		so.mu.Unlock()
		so.si.Store.SetUnavailable(true)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		so.si.Store.Restore(earlier)
		so.si.Store.SetUnavailable(false)
		so.rewriteLost(rng)
		so.mu.Lock()
		so.activeFaults--
		so.stableSince = time.Now()
		so.mu.Unlock()
	}
}

// rewriteLost writes the lost keys again in random order within soakRewriteTime.
func (so *soakRun) rewriteLost(rng *rand.Rand) {
	keys := so.si.Store.LostKeys()
	rng.Shuffle(len(keys), func(a, b int) { keys[a], keys[b] = keys[b], keys[a] })
	for _, key := range keys {
		time.Sleep(time.Duration(rng.Int64N(int64(soakRewriteTime) / int64(len(keys)))))
		so.si.Lock()
		so.si.Store.Rewrite(key)
		so.si.Unlock()
	}
}

// soakRewriteTime is how long operators and servers take to write lost keys again.
const soakRewriteTime = 2 * time.Second

// checkRouteChange checks guarantee G10 after all faults: an added route is served, and
// refused when it has been removed.
func (so *soakRun) checkRouteChange() {
	added := netip.MustParseAddrPort("198.18.0.9:8443")
	setRoutes := func(routes ...jpplatform.Route) {
		so.si.Lock()
		defer so.si.Unlock()
		so.si.SetRoutes(routes...)
	}
	setRoutes(append(soakRoutes[:len(soakRoutes):len(soakRoutes)], jpplatform.Route{Address: added, Kind: "safe", Backend: "catalogue"})...)
	time.Sleep(platformChangeBound)
	for n := range 12 {
		if _, err := so.si.Callers.Open(added); err != nil {
			so.t.Errorf("open flow %d to a route %v after it was added: %v", n, platformChangeBound, err)
		}
	}
	setRoutes(soakRoutes...)
	time.Sleep(platformChangeBound)
	for n := range 12 {
		if _, err := so.si.Callers.Open(added); err == nil {
			so.t.Errorf("flow %d to a route opened %v after it was removed", n, platformChangeBound)
		}
	}
}
