package jpexperiment

import (
	"fmt"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/lab/jpcluster"
)

// Sizes and times of the demo. Times are offsets from the start of the load.
const (
	demoInstances    = 7
	demoStanding     = 1500 // standing connections to each service of kind stream
	demoRate         = 60   // requests per second to each service of kind request
	demoDuration     = 48 * time.Second
	demoOutAt        = 14 * time.Second
	demoDepartureEnd = 20 * time.Second // end of the phase in which flows leave the data centre
	demoInAt         = 28 * time.Second
)

// Demo returns a scenario that takes the first data centre of the settings out of
// service and back in.
func Demo(name string, settings []byte, seed uint64) (Scenario, error) {
	// With a cold start of 30 s, servers would still be cold at the end of the demo.
	settings, err := jpsettings.Edit(settings, "defaults", "cold_duration", "4s")
	if err != nil {
		return Scenario{}, err
	}
	tree, err := jpsettings.Parse(name, settings)
	if err != nil {
		return Scenario{}, err
	}
	if len(tree.DataCentres) < 2 {
		return Scenario{}, fmt.Errorf("demo: %s has fewer than two data centres", name)
	}
	sc := Scenario{
		Name: "demo", Settings: settings, Duration: demoDuration, Seed: seed,
		SteeringMethods: []string{Owner}, DelayMS: defaultDelay, ListLag: defaultListLag,
	}
	for _, dc := range tree.DataCentres {
		sc.DataCentres = append(sc.DataCentres, jpcluster.DataCentre{Name: dc.Name})
	}
	for ix := range demoInstances {
		sc.DataCentres[ix%len(sc.DataCentres)].Instances++
	}
	for _, sv := range tree.Services {
		ld := Load{Service: sv.Name, Ramp: defaultRamp, Work: defaultWork, AlertInterval: defaultAlertInterval}
		if sv.Kind == jpsettings.Stream {
			ld.Standing, ld.Reopen = demoStanding, true
		} else {
			ld.Rate = demoRate
		}
		sc.Loads = append(sc.Loads, ld)
	}
	dataCentre := sc.DataCentres[0].Name
	sc.Events = []Event{
		{At: demoOutAt, Verb: "out data_centre", Args: []string{dataCentre}},
		{At: demoInAt, Verb: "in data_centre", Args: []string{dataCentre}},
	}
	return sc, nil
}

// Phase counts the new flows in one phase of the demo, and those that were served.
type Phase struct {
	Name   string
	Flows  int
	Served int
}

// DemoPhases returns the counts of new flows for each phase of the demo.
func DemoPhases(rn *Run) []Phase {
	list := []Phase{{Name: "before"}, {Name: "departure"}, {Name: "out"}, {Name: "return"}}
	ends := []time.Duration{demoOutAt, demoDepartureEnd, demoInAt, demoDuration + time.Second}
	for _, sc := range rn.PerSecond() {
		at := time.Duration(sc.Offset) * time.Second
		for ix, end := range ends {
			if at < end {
				list[ix].Flows += sc.Flows
				list[ix].Served += sc.Served
				break
			}
		}
	}
	return list
}
