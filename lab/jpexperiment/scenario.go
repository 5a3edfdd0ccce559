// Package jpexperiment runs scenarios of load, changes and faults on a cluster
// and measures what became of the flows.
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

// Ways to steer packets.
const (
	Owner    = "owner" // the product
	Hash     = "hash"
	Tracking = "tracking"
)

// Ways are all ways in the order of the tables.
var Ways = []string{Owner, Hash, Tracking}

// Scenario describes one experiment.
type Scenario struct {
	Name     string
	Settings []byte // shared settings, overrides included
	Sites    []jpcluster.DataCentre
	Loads    []Load
	Duration time.Duration // of the load
	Seed     uint64
	Ways     []string
	DelayMS  float64 // one way between data centres and to callers
	Cold     bool    // servers start cold
	Lag      time.Duration
	Events   []Event
}

// Load is the load on one service.
type Load struct {
	Service  string
	Standing int     // connections
	Ramp     float64 // new standing connections per second
	Rate     float64 // requests per second
	Work     time.Duration
	Alert    time.Duration // between alerts on a standing connection
	Reopen   bool          // open standing connections again that broke or were refused
}

// Defaults of a scenario.
const (
	defaultDelay = 1.0
	defaultRamp  = 400.0
	defaultWork  = 5 * time.Millisecond
	defaultAlert = time.Second
	// defaultLag is how long the platform's list and the fabric take to learn
	// of an instance that died or leaves.
	defaultLag = 1500 * time.Millisecond
	// maxDuration bounds the use of a shared machine.
	maxDuration = 5 * time.Minute
)

// Read reads a scenario file and the settings file that it names, relative to
// its own directory.
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

// reader collects the problems of a scenario file.
type reader struct {
	sc       Scenario
	tree     *jpsettings.Tree
	problems []error
}

func (rd *reader) refuse(section, key, format string, args ...any) {
	rd.problems = append(rd.problems, fmt.Errorf("scenario %s: [%s] %s: %s", rd.sc.Name, section, key, fmt.Sprintf(format, args...)))
}

// parse reads a scenario. The error joins all problems.
func parse(name string, text []byte, open func(string) ([]byte, error)) (Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", name, err)
	}
	rd := &reader{sc: Scenario{
		Name: name, Seed: 1, Duration: 30 * time.Second, Ways: Ways, DelayMS: defaultDelay, Lag: defaultLag,
	}}
	rd.main(file, open)
	if len(rd.problems) > 0 {
		return Scenario{}, errors.Join(rd.problems...)
	}
	for _, sec := range file.Sections() {
		rd.section(sec)
	}
	rd.check()
	return rd.sc, errors.Join(rd.problems...)
}

// main reads the section [scenario] and the settings with their overrides.
func (rd *reader) main(file *ini.File, open func(string) ([]byte, error)) {
	var settings string
	for _, key := range file.Section("scenario").Keys() {
		if key.Name() == "settings" {
			settings = key.Value()
			continue
		}
		rd.scenarioKey(key)
	}
	text, err := open(settings)
	if err != nil {
		rd.refuse("scenario", "settings", "%v", err)
		return
	}
	for _, key := range file.Section("settings").Keys() {
		section, name, _ := strings.Cut(key.Name(), " ")
		if text, err = jpsettings.Edit(text, section, name, key.Value()); err != nil {
			rd.refuse("settings", key.Name(), "%v", err)
			return
		}
	}
	if rd.tree, err = jpsettings.Parse(settings, text); err != nil {
		rd.refuse("scenario", "settings", "%v", err)
	}
	rd.sc.Settings = text
}

func (rd *reader) scenarioKey(key *ini.Key) {
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
		sc.Cold, err = key.Bool()
	case "list_lag":
		sc.Lag, err = key.Duration()
	case "ways":
		sc.Ways = key.Strings(",")
	default:
		err = errors.New("unknown key")
	}
	if err != nil {
		rd.refuse("scenario", key.Name(), "%v", err)
	}
}

func (rd *reader) section(sec *ini.Section) {
	name := sec.Name()
	service, isLoad := strings.CutPrefix(name, "load.")
	switch {
	case name == "scenario", name == "settings":
	case name == "instances":
		rd.sites(sec)
	case name == "events":
		rd.events(sec)
	case isLoad:
		rd.load(service, sec)
	case name == ini.DefaultSection && len(sec.Keys()) == 0:
	default:
		rd.refuse(name, "", "unknown section")
	}
}

func (rd *reader) sites(sec *ini.Section) {
	for _, key := range sec.Keys() {
		count, err := key.Int()
		if err != nil || count < 1 {
			rd.refuse(sec.Name(), key.Name(), "%q is not a number of instances", key.Value())
		}
		if !slices.ContainsFunc(rd.tree.DataCentres, func(dc jpsettings.DataCentre) bool { return dc.Name == key.Name() }) {
			rd.refuse(sec.Name(), key.Name(), "no data centre of the settings")
		}
		rd.sc.Sites = append(rd.sc.Sites, jpcluster.DataCentre{Name: key.Name(), Instances: count})
	}
}

func (rd *reader) load(service string, sec *ini.Section) {
	ld := Load{Service: service, Ramp: defaultRamp, Work: defaultWork, Alert: defaultAlert}
	if !slices.ContainsFunc(rd.tree.Services, func(sv jpsettings.Service) bool { return sv.Name == service }) {
		rd.refuse(sec.Name(), "", "no service of the settings")
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
			ld.Alert, err = key.Duration()
		default:
			err = errors.New("unknown key")
		}
		if err != nil {
			rd.refuse(sec.Name(), key.Name(), "%v", err)
		}
	}
	rd.sc.Loads = append(rd.sc.Loads, ld)
}

func (rd *reader) check() {
	sc := &rd.sc
	if sc.Duration <= 0 || sc.Duration > maxDuration {
		rd.refuse("scenario", "duration", "%v is not between 0 and %v", sc.Duration, maxDuration)
	}
	for _, way := range sc.Ways {
		if !slices.Contains(Ways, way) {
			rd.refuse("scenario", "ways", "%q is none of %v", way, Ways)
		}
	}
	if len(sc.Sites) == 0 {
		rd.refuse("instances", "", "no instances")
	}
	if len(sc.Loads) == 0 {
		rd.refuse("load", "", "no load")
	}
	for _, ev := range sc.Events {
		if ev.At > sc.Duration {
			rd.refuse("events", ev.At.String(), "after the end")
		}
	}
}
