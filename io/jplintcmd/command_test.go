package jplintcmd

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jacinthpass/core/jplint"
)

// testReview finds in a text what its words say.
func testReview(_ string, text, inForce []byte) (jplint.Report, error) {
	var rp jplint.Report
	if strings.Contains(string(text), "warn") {
		rp.Findings = append(rp.Findings, jplint.Finding{Place: "here", Problem: "two\nlines"})
	}
	if strings.Contains(string(text), "fail") {
		rp.Findings = append(rp.Findings, jplint.Finding{Level: jplint.Error, Problem: "broken"})
	}
	if inForce != nil && string(inForce) != string(text) {
		rp.Changes = []jplint.Change{{Place: "here", Key: "slots", InForce: string(inForce)}}
	}
	if string(inForce) == "unreadable" {
		return rp, errors.New("the version in force: unreadable")
	}
	return rp, nil
}

// Guards against scripts that send a configuration with errors, because the exit code
// doesn't say so, and against output that can't be read by line or as JSON.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	clean, warn, fail, unreadable := file("clean", "clean"), file("warn", "warn"), file("fail", "warn fail"), file("unreadable", "unreadable")
	for _, ts := range []struct {
		args  []string
		stdin string
		code  int
		want  string
	}{
		{[]string{clean}, "", 0, "no findings\n"},
		{[]string{"-"}, "clean", 0, "no findings\n"},
		{[]string{clean, "--against", warn}, "", 0, "no findings\n\nCHANGED  KEY    IN FORCE  NEW\nhere     slots  warn      -\n"},
		{[]string{warn}, "", 1, "LEVEL    PLACE  PROBLEM\nwarning  here   two lines\n"},
		{[]string{fail}, "", 2, "LEVEL    PLACE  PROBLEM\nwarning  here   two lines\nerror    -      broken\n"},
		{[]string{filepath.Join(dir, "none")}, "", 2, "LEVEL  PLACE  PROBLEM\nerror  -      open " + filepath.Join(dir, "none") + ": no such file or directory\n"},
		{[]string{clean, "--against", filepath.Join(dir, "none")}, "", 2, "LEVEL  PLACE  PROBLEM\nerror  -      open " + filepath.Join(dir, "none") + ": no such file or directory\n"},
		{[]string{clean, "--against", unreadable}, "", 2, "the version in force: unreadable\n"},
		{[]string{clean, "--json"}, "", 0, "{\n  \"findings\": [],\n  \"changes\": []\n}\n"},
		{[]string{warn, "--json", "--against", warn}, "", 1, `{
  "findings": [
    {
      "level": "warning",
      "place": "here",
      "problem": "two\nlines"
    }
  ],
  "changes": []
}
`},
	} {
		var out strings.Builder
		cmd := New("Review a text", testReview)
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		cmd.SetArgs(ts.args)
		cmd.SetIn(strings.NewReader(ts.stdin))
		cmd.SetOut(&out)
		code := 0
		if err := cmd.Execute(); err != nil {
			var ee *ExitError
			if !errors.As(err, &ee) {
				t.Errorf("%v: %v", ts.args, err)
				continue
			}
			code = ee.Code
		}
		if code != ts.code || !strings.Contains(out.String(), ts.want) {
			t.Errorf("%v: exit code %d, want %d, with %q, want %q", ts.args, code, ts.code, out.String(), ts.want)
		}
	}
}
