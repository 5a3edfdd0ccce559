package jpexperiment

import (
	"fmt"
	"time"

	"jacinthpass/core/jpsettings"
	"jacinthpass/lab/jpcluster"
)

// Sizes and times of the demo.
const (
	demoInstances    = 7
	demoStanding     = 1500
	demoRate         = 60 // requests per second to each service of requests
	demoDuration     = 48 * time.Second
	demoOutAt        = 14 * time.Second
	demoDepartureEnd = 20 * time.Second // departure counted as complete
	demoInAt         = 28 * time.Second
)

// Demo returns a scenario that takes the first data centre of the settings out
// and back.
func Demo(name string, settings []byte, seed uint64) (Scenario, error) {
	// A cold start of 30 s would not end within the demo.
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

// Phase is the service level in one part of the demo.
type Phase struct {
	Name   string
	Flows  int
	Served int
}

// DemoPhases returns the service level of new flows in each phase of the demo.
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
