package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Doses of the site dss-hobart: big_config adds 350 routes, config_storm is a change
// each 0.08 s for 2 s.
const (
	growthSteps    = 7
	routesPerStep  = 350
	stormChanges   = 25
	stormPause     = 80 * time.Millisecond
	checksPerCase  = 10
	checkPause     = 500 * time.Millisecond
	settleDuration = 5 * time.Second
)

// runLargeWatch checks that a change of the manifest is in force within configApplyMs
// after a burst of changes of a large manifest. It breaks CONFIG if a request that was
// sent later runs with a route that the newest version has dropped.
func runLargeWatch(cr *caseRun) (bool, error) {
	for step := range growthSteps {
		for ix := range routesPerStep {
			cr.addRoute(fmt.Sprintf("r-%d-%d", step, ix), idleRoute(step*routesPerStep+ix), "safe", catalogueService)
		}
		cr.putManifest()
		time.Sleep(time.Second)
	}
	time.Sleep(settleDuration)
	text, err := json.Marshal(cr.routes)
	if err != nil {
		return false, err
	}
	cr.record.add("the manifest has %d routes in %d bytes, a value may have %d", len(cr.routes), len(text), maxValueSize)
	if len(text) > maxValueSize {
		return false, errors.New("the manifest is too large for the store")
	}
	if cr.trouble {
		cr.record.add("%d changes, one each %v", stormChanges, stormPause)
		began := time.Now()
		for ix := range stormChanges {
			time.Sleep(time.Until(began.Add(time.Duration(ix) * stormPause)))
			cr.routes[0]["timeoutMs"] = 1000 + ix
			cr.putManifest()
		}
		cr.record.add("the changes took %v", time.Since(began).Round(time.Millisecond))
	}
	dropped := orderRoute
	cr.routes = append(cr.routes[:1], cr.routes[2:]...)
	cr.putManifest()
	acked := time.Now()
	cr.record.add("the store has acknowledged version %d, which drops the route %s", cr.version, dropped)
	time.Sleep(configApplyTime + checkPause)
	return cr.countDropped(dropped, acked) == 0, nil
}

// idleRoute returns the address of a route without traffic.
func idleRoute(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1 + byte(number/250), byte(number % 250)}), 80)
}

// countDropped sends requests to a dropped route and returns how many servers ran.
func (cr *caseRun) countDropped(route netip.AddrPort, acked time.Time) int {
	ran := 0
	for check := range checksPerCase {
		for _, ch := range cr.callers {
			id := fmt.Sprintf("%s-dropped-%d", ch.zone, check)
			age := time.Since(acked)
			fl, err := ch.openFlow(route)
			if err == nil {
				_, err = fl.request(id, requestTimeout)
			}
			fl.close()
			if bk := cr.backendOf(id); bk != nil {
				ran++
				cr.record.add("request %s, sent %v after the acknowledgement, ran at %s", id, age.Round(time.Millisecond), bk.id)
				continue
			}
			cr.record.add("request %s, sent %v after the acknowledgement, did not run: %v", id, age.Round(time.Millisecond), err)
		}
		time.Sleep(checkPause)
	}
	cr.record.add("%d requests ran with a dropped route", ran)
	return ran
}
