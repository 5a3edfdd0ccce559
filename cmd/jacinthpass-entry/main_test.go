package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jacinthpass/platform"
)

// Guards against errors that do not name the flag, file or variable at fault.
func TestErrors(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(broken, []byte(`{"ip":"10.1.0.1","forwardMode":"echo"`), 0o644); err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		args     []string
		settings string
		want     string
	}{
		{[]string{"run"}, "", platform.SettingsVariable},
		{[]string{"run"}, "/nonexistent", "/nonexistent"},
		{[]string{"run"}, broken, broken},
		{[]string{"run", "--log-lines", "-1"}, broken, "--log-lines -1"},
		{[]string{"run", "--metrics-port", "70000"}, broken, "--metrics-port"},
		{[]string{"run", "more"}, broken, "unknown command"},
		{[]string{"check"}, "", "accepts 1 arg"},
		{[]string{"check", broken}, "", broken},
	}
	for _, row := range rows {
		t.Setenv(platform.SettingsVariable, row.settings)
		root := newRootCommand()
		root.SetArgs(row.args)
		if err := root.Execute(); err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%v: %v, want %q", row.args, err, row.want)
		}
	}
}

// Guards against flags of run that do not exist or that docs/OPERATIONS.md does not
// document.
func TestOperationsPageFlags(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "## On the Derwent platform")
	if !found {
		t.Fatal("no section for the platform")
	}
	cmd, _, err := newRootCommand().Find([]string{"run"})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"metrics-port", "log-lines", "verbosity"} {
		if cmd.Flags().Lookup(name) == nil || !strings.Contains(section, "`--"+name+"`") {
			t.Errorf("--%s is not a flag or not in the page", name)
		}
	}
}
