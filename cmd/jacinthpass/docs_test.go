package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against commands or flags in docs/OPERATIONS.md that do not exist.
func TestOperationsPageCommands(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, line := range strings.Split(string(text), "\n") {
		args, ok := strings.CutPrefix(line, "jacinthpass ")
		if !ok {
			continue
		}
		lines++
		cmd, _, err := newRootCommand().Find(strings.Fields(args))
		if err != nil || cmd.HasSubCommands() {
			t.Errorf("%q: unknown command: %v", line, err)
			continue
		}
		for _, match := range regexp.MustCompile(`--([a-z-]+)`).FindAllStringSubmatch(args, -1) {
			if cmd.Flags().Lookup(match[1]) == nil {
				t.Errorf("%q: unknown flag --%s", line, match[1])
			}
		}
	}
	if lines == 0 {
		t.Error("the page has no commands")
	}
}
