// Package jpexperiment runs scenarios of load, changes and faults on a cluster and
// measures how many flows were served, refused and broken.
package jpexperiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"jacinthpass/core/jpsettings"
	"jacinthpass/lab/jpcluster"
)

// Steering methods. Scenario files and tables call them ways.
const (
	Owner    = "owner"    // jacinthpass: by the owner of the server
	Hash     = "hash"     // baseline: by the rank table alone
	Tracking = "tracking" // baseline: with connection tracking local to each instance
)

// SteeringMethods lists all steering methods in the order of the tables.
var SteeringMethods = []string{Owner, Hash, Tracking}

// Scenario describes one experiment.
type Scenario struct {
	Name            string
	Settings        []byte // shared settings with the scenario's overrides
	DataCentres     []jpcluster.DataCentre
	Loads           []Load
	Duration        time.Duration // of the load
	Seed            uint64
	SteeringMethods []string
	DelayMS         float64       // one-way delay, see jpcluster.Spec
	StartCold       bool          // servers are cold when the load starts
	ListLag         time.Duration // until the instance list and the fabric show a change
	Events          []Event
}

// Load is the load on one service.
type Load struct {
	Service       string
	Standing      int           // standing connections: long-lived, receive alerts
	Ramp          float64       // new standing connections per second
	Rate          float64       // requests per second
	Work          time.Duration // processing time of a request at the server
	AlertInterval time.Duration // between alerts on a standing connection
	Reopen        bool          // reopen standing connections that broke or were refused
}

// Defaults of a scenario.
const (
	defaultDelay         = 1.0   // milliseconds one way
	defaultRamp          = 400.0 // new standing connections per second
	defaultWork          = 5 * time.Millisecond
	defaultAlertInterval = time.Second
	// defaultListLag is the delay after which the platform's instance list and
	// the fabric show that an instance died or is leaving.
	defaultListLag = 1500 * time.Millisecond
	// maxDuration limits how long a run occupies a shared machine.
	maxDuration = 5 * time.Minute
)

// Read reads a scenario file and the settings file that it names. The path of the
// settings file is relative to the directory of the scenario file.
func Read(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	return parse(name, text, func(file string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), file))
	})
}

// reader parses a scenario file and collects its problems.
type reader struct {
	sc       Scenario
	tree     *jpsettings.Tree
	problems []error
}

func (rd *reader) addProblem(section, key, format string, args ...any) {
	rd.problems = append(rd.problems, fmt.Errorf("scenario %s: [%s] %s: %s", rd.sc.Name, section, key, fmt.Sprintf(format, args...)))
}

// parse parses a scenario. open returns the content of the settings file. The error
// joins all problems.
func parse(name string, text []byte, open func(string) ([]byte, error)) (Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", name, err)
	}
	rd := &reader{sc: Scenario{
		Name: name, Seed: 1, Duration: 30 * time.Second, SteeringMethods: SteeringMethods, DelayMS: defaultDelay, ListLag: defaultListLag,
	}}
	rd.readScenario(file, open)
	if len(rd.problems) > 0 {
		return Scenario{}, errors.Join(rd.problems...)
	}
	for _, sec := range file.Sections() {
		rd.readSection(sec)
	}
	rd.validate()
	return rd.sc, errors.Join(rd.problems...)
}

// readScenario reads the section [scenario] and the settings, and applies the
// overrides of the section [settings] to them.
func (rd *reader) readScenario(file *ini.File, open func(string) ([]byte, error)) {
	var settings string
	for _, key := range file.Section("scenario").Keys() {
		if key.Name() == "settings" {
			settings = key.Value()
			continue
		}
		rd.readScenarioKey(key)
	}
	text, err := open(settings)
	if err != nil {
		rd.addProblem("scenario", "settings", "%v", err)
		return
	}
	for _, key := range file.Section("settings").Keys() {
		section, name, _ := strings.Cut(key.Name(), " ")
		if text, err = jpsettings.Edit(text, section, name, key.Value()); err != nil {
			rd.addProblem("settings", key.Name(), "%v", err)
			return
		}
	}
	if rd.tree, err = jpsettings.Parse(settings, text); err != nil {
		rd.addProblem("scenario", "settings", "%v", err)
	}
	rd.sc.Settings = text
}

func (rd *reader) readScenarioKey(key *ini.Key) {
	var err error
	sc := &rd.sc
	switch key.Name() {
	case "duration":
		sc.Duration, err = key.Duration()
	case "seed":
		sc.Seed, err = key.Uint64()
	case "delay_ms":
		sc.DelayMS, err = key.Float64()
	case "cold":
		sc.StartCold, err = key.Bool()
	case "list_lag":
		sc.ListLag, err = key.Duration()
	case "ways":
		sc.SteeringMethods = key.Strings(",")
	default:
		err = errors.New("unknown key")
	}
	if err != nil {
		rd.addProblem("scenario", key.Name(), "%v", err)
	}
}

func (rd *reader) readSection(sec *ini.Section) {
	name := sec.Name()
	service, isLoad := strings.CutPrefix(name, "load.")
	switch {
	case name == "scenario", name == "settings":
	case name == "instances":
		rd.readInstances(sec)
	case name == "events":
		rd.readEvents(sec)
	case isLoad:
		rd.readLoad(service, sec)
	case name == ini.DefaultSection && len(sec.Keys()) == 0:
	default:
		rd.addProblem(name, "", "unknown section")
	}
}

func (rd *reader) readInstances(sec *ini.Section) {
	for _, key := range sec.Keys() {
		count, err := key.Int()
		if err != nil || count < 1 {
			rd.addProblem(sec.Name(), key.Name(), "%q is not a number of instances", key.Value())
		}
		if !slices.ContainsFunc(rd.tree.DataCentres, func(dc jpsettings.DataCentre) bool { return dc.Name == key.Name() }) {
			rd.addProblem(sec.Name(), key.Name(), "the settings have no such data centre")
		}
		rd.sc.DataCentres = append(rd.sc.DataCentres, jpcluster.DataCentre{Name: key.Name(), Instances: count})
	}
}

func (rd *reader) readLoad(service string, sec *ini.Section) {
	ld := Load{Service: service, Ramp: defaultRamp, Work: defaultWork, AlertInterval: defaultAlertInterval}
	if !slices.ContainsFunc(rd.tree.Services, func(sv jpsettings.Service) bool { return sv.Name == service }) {
		rd.addProblem(sec.Name(), "", "the settings have no such service")
	}
	for _, key := range sec.Keys() {
		var err error
		switch key.Name() {
		case "standing":
			ld.Standing, err = key.Int()
		case "ramp":
			ld.Ramp, err = key.Float64()
		case "rate":
			ld.Rate, err = key.Float64()
		case "work":
			ld.Work, err = key.Duration()
		case "reopen":
			ld.Reopen, err = key.Bool()
		case "alert_every":
			ld.AlertInterval, err = key.Duration()
		default:
			err = errors.New("unknown key")
		}
		if err != nil {
			rd.addProblem(sec.Name(), key.Name(), "%v", err)
		}
	}
	rd.sc.Loads = append(rd.sc.Loads, ld)
}

func (rd *reader) validate() {
	sc := &rd.sc
	if sc.Duration <= 0 || sc.Duration > maxDuration {
		rd.addProblem("scenario", "duration", "%v is not between 0 and %v", sc.Duration, maxDuration)
	}
	for _, method := range sc.SteeringMethods {
		if !slices.Contains(SteeringMethods, method) {
			rd.addProblem("scenario", "ways", "%q is not one of %v", method, SteeringMethods)
		}
	}
	if len(sc.DataCentres) == 0 {
		rd.addProblem("instances", "", "no instances are defined")
	}
	if len(sc.Loads) == 0 {
		rd.addProblem("load", "", "no load is defined")
	}
	for _, ev := range sc.Events {
		if ev.At > sc.Duration {
			rd.addProblem("events", ev.At.String(), "the event is after the end of the load")
		}
	}
}
