// Package test checks the guarantees G1 to G10 of docs/design.md on clusters of real
// processes, with a simulated network that injects faults, and on a simulation of the
// platform.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDir is the directory of the programs of cmd, built for the tests.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if programDir, err = os.MkdirTemp("", "jacinthpass-programs-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programDir)
	build := exec.Command("go", "build", "-o", programDir+string(filepath.Separator), "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
