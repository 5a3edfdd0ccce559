package jpexperiment

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const testSettings = `[service.web]
address = 10.80.0.1
port = 443
protocol = tcp
kind = request
repeatable = no
[region.south.hobart]
state = in
[region.south.hobart.web.web-1]
address = 127.2.1.1:5555
load = http://127.2.1.1:8080/load
state = active
`

const testScenario = `[scenario]
settings = web.ini
duration = 20s
ways = owner, hash
[settings]
defaults cold_duration = 4s
[instances]
hobart = 2
[load.web]
rate = 10
[events]
9s = store up
5s = kill instance hobart-2, store  delay 200ms
`

func openTest(name string) ([]byte, error) {
	if name != "web.ini" {
		return nil, errors.New("no such file")
	}
	return []byte(testSettings), nil
}

// Guards against overrides that are not applied and events that are not sorted by
// time.
func TestParse(t *testing.T) {
	sc, err := parse("test", []byte(testScenario), openTest)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(sc.Settings), "cold_duration = 4s") || sc.Duration != 20*time.Second || len(sc.SteeringMethods) != 2 {
		t.Errorf("scenario %+v", sc)
	}
	var got []string
	for _, ev := range sc.Events {
		got = append(got, ev.At.String()+" "+ev.String())
	}
	if text := strings.Join(got, ", "); text != "5s kill instance hobart-2, 5s store delay 200ms, 9s store up" {
		t.Errorf("events %s", text)
	}
}

// Guards against accepting a misspelt scenario, which would run without the fault
// that it is meant to inject.
func TestParseRefuses(t *testing.T) {
	tests := []struct{ name, old, new string }{
		{"unknown key", "duration = 20s", "length = 20s"},
		{"unknown section", "[events]", "[event]"},
		{"unknown verb", "store up", "store on"},
		{"unknown instance", "hobart-2", "launceston-2"},
		{"missing argument", "200ms", ""},
		{"event after the end", "9s", "21s"},
		{"unknown way", "owner, hash", "owner, random"},
		{"no settings", "web.ini", "other.ini"},
		{"impossible override", "cold_duration = 4s", "cold_duration = soon"},
		{"load on an unknown service", "[load.web]", "[load.mail]"},
	}
	for _, tt := range tests {
		text := strings.Replace(testScenario, tt.old, tt.new, 1)
		if _, err := parse("test", []byte(text), openTest); err == nil {
			t.Errorf("%s: accepted", tt.name)
		}
	}
}

// Guards against example scenarios and settings that the current code rejects.
func TestExamples(t *testing.T) {
	paths, _ := filepath.Glob("../../examples/scenarios/*.ini")
	if len(paths) == 0 {
		t.Fatal("no scenarios")
	}
	for _, path := range paths {
		if _, err := Read(path); err != nil {
			t.Error(err)
		}
	}
	for _, name := range []string{"derwent", "popravek"} {
		text, err := os.ReadFile("../../examples/" + name + ".ini")
		if err != nil {
			t.Fatal(err)
		}
		sc, err := Demo(name, text, 1)
		if err != nil || len(sc.Loads) != 3 {
			t.Errorf("%s: %d loads, %v", name, len(sc.Loads), err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(testScenario))
	f.Fuzz(func(t *testing.T, text []byte) {
		sc, err := parse("fuzz", text, openTest)
		if err == nil && (sc.Duration <= 0 || sc.Duration > maxDuration || len(sc.DataCentres) == 0) {
			t.Errorf("accepted %+v", sc)
		}
	})
}
