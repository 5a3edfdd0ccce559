package jpexperiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Event is a change or fault at a given time.
type Event struct {
	At   time.Duration // after the start of the load
	Verb string
	Args []string
}

// String returns the event in the syntax of scenario files.
func (ev Event) String() string {
	return strings.Join(append([]string{ev.Verb}, ev.Args...), " ")
}

// argumentKind is the type of a verb's argument.
type argumentKind uint8

const (
	instanceArg argumentKind = iota
	serverArg
	dataCentreArg
	serviceArg
	numberArg
	durationArg
)

// verbs lists the verbs of events and the types of their arguments. The name of a
// verb includes its object.
var verbs = []struct {
	name string
	args []argumentKind
}{
	{"kill instance", []argumentKind{instanceArg}},
	{"stop instance", []argumentKind{instanceArg}},
	{"start instance", []argumentKind{instanceArg}},
	{"pause instance", []argumentKind{instanceArg}},
	{"resume instance", []argumentKind{instanceArg}},
	{"replace instances", nil},
	{"kill server", []argumentKind{serverArg}},
	{"start server", []argumentKind{serverArg}},
	{"drain server", []argumentKind{serverArg}},
	{"activate server", []argumentKind{serverArg}},
	{"add server", []argumentKind{serverArg}},
	{"chill server", []argumentKind{serverArg}},
	{"stall server", []argumentKind{serverArg, durationArg}},
	{"out data_centre", []argumentKind{dataCentreArg}},
	{"in data_centre", []argumentKind{dataCentreArg}},
	{"cut data_centre", []argumentKind{dataCentreArg}},
	{"cut between", []argumentKind{dataCentreArg, dataCentreArg}},
	{"delay between", []argumentKind{dataCentreArg, dataCentreArg, durationArg}},
	{"heal", nil},
	{"store outage", nil},
	{"store delay", []argumentKind{durationArg}},
	{"store up", nil},
	{"rate", []argumentKind{serviceArg, numberArg}},
	{"standing", []argumentKind{serviceArg, numberArg}},
}

// readEvents reads the section [events]. Each key is an offset from the start of
// the load; its value lists the events at that time, separated by commas.
func (rd *reader) readEvents(sec *ini.Section) {
	for _, key := range sec.Keys() {
		at, err := time.ParseDuration(key.Name())
		if err != nil || at < 0 {
			rd.addProblem(sec.Name(), key.Name(), "not a duration after the start of the load")
			continue
		}
		for _, text := range key.Strings(",") {
			ev, err := rd.parseEvent(at, text)
			if err != nil {
				rd.addProblem(sec.Name(), key.Name(), "%v", err)
				continue
			}
			rd.sc.Events = append(rd.sc.Events, ev)
		}
	}
	slices.SortStableFunc(rd.sc.Events, func(a, b Event) int { return int(a.At - b.At) })
}

func (rd *reader) parseEvent(at time.Duration, text string) (Event, error) {
	text = strings.Join(strings.Fields(text), " ")
	for _, vb := range verbs {
		rest, ok := strings.CutPrefix(text+" ", vb.name+" ")
		if !ok {
			continue
		}
		ev := Event{At: at, Verb: vb.name, Args: strings.Fields(rest)}
		if len(ev.Args) != len(vb.args) {
			return ev, fmt.Errorf("%q takes %d arguments", vb.name, len(vb.args))
		}
		for ix, arg := range vb.args {
			if !rd.validArgument(arg, ev.Args[ix]) {
				return ev, fmt.Errorf("%q: argument %q is unknown or malformed", vb.name, ev.Args[ix])
			}
		}
		return ev, nil
	}
	return Event{}, fmt.Errorf("unknown event %q", text)
}

func (rd *reader) validArgument(kind argumentKind, text string) bool {
	switch kind {
	case instanceArg:
		cut := strings.LastIndexByte(text, '-')
		return cut > 0 && rd.validArgument(dataCentreArg, text[:cut]) && rd.validArgument(numberArg, text[cut+1:])
	case dataCentreArg:
		for _, dc := range rd.tree.DataCentres {
			if dc.Name == text {
				return true
			}
		}
	case serviceArg, serverArg:
		for _, sv := range rd.tree.Services {
			if kind == serviceArg && sv.Name == text {
				return true
			}
			for _, sr := range sv.Servers {
				if kind == serverArg && sr.Name == text {
					return true
				}
			}
		}
	case numberArg:
		number, err := strconv.ParseFloat(text, 64)
		return err == nil && number >= 0
	case durationArg:
		wait, err := time.ParseDuration(text)
		return err == nil && wait >= 0
	}
	return false
}
