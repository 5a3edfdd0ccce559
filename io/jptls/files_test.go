package jptls_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"jacinthpass/io/jptls"
	"jacinthpass/lab/jpauthority"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ExampleFiles_Load() {
	cfg, err := jptls.Files{}.Load()
	fmt.Println(cfg == nil, err)
	// Output: true <nil>
}

// Guards against unusable files that are accepted, and against errors that do not name
// the file or the cause.
func TestLoadInvalidFiles(t *testing.T) {
	au, issued := jpauthority.NewForTest(t), jpauthority.MustFiles(t)
	good, other := issued(au.IssueInstance("a", net.IPv4(127, 0, 0, 1))), issued(au.IssueOperator("b"))
	empty := filepath.Join(t.TempDir(), "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		files jptls.Files
		want  string
	}{
		{jptls.Files{CA: good.CA, Certificate: good.Certificate, Key: other.Key}, "does not match"},
		{jptls.Files{CA: empty, Certificate: good.Certificate, Key: good.Key}, "empty.pem"},
		{jptls.Files{CA: "x.pem", Certificate: good.Certificate, Key: good.Key}, "x.pem"},
		{jptls.Files{CA: good.CA, Certificate: "y.pem", Key: good.Key}, "y.pem"},
		{jptls.Files{CA: good.CA}, "certificate"},
	}
	for _, row := range rows {
		if _, err := row.files.Load(); err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%+v: %v, want %q", row.files, err, row.want)
		}
	}
}
