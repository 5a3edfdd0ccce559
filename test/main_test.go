// Package test checks the guarantees of docs/design.md on clusters of real
// processes behind the lab's fault-injecting network.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDir is the directory of the two programs under test.
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
