package jpauthority

import (
	"crypto/tls"
	"net"
	"testing"

	"jacinthpass/io/jptls"
)

// NewForTest creates an authority whose files are removed at the end of the test.
func NewForTest(tb testing.TB) *Authority {
	tb.Helper()
	au, err := New(tb.TempDir())
	if err != nil {
		tb.Fatal(err)
	}
	return au
}

// MustFiles returns a function that takes the results of IssueInstance,
// IssueOperator or IssueExpiredOperator and fails the test on an error.
func MustFiles(tb testing.TB) func(jptls.Files, error) jptls.Files {
	return func(fs jptls.Files, err error) jptls.Files {
		tb.Helper()
		if err != nil {
			tb.Fatal(err)
		}
		return fs
	}
}

// MustLoad is like MustFiles and also loads the files into a TLS configuration.
func MustLoad(tb testing.TB) func(jptls.Files, error) *tls.Config {
	return func(fs jptls.Files, err error) *tls.Config {
		tb.Helper()
		cfg, err := MustFiles(tb)(fs, err).Load()
		if err != nil {
			tb.Fatal(err)
		}
		return cfg
	}
}

// InstanceTLS issues a certificate for an instance at 127.0.0.1 and returns the TLS
// configuration with it.
func (au *Authority) InstanceTLS(tb testing.TB, id string) *tls.Config {
	tb.Helper()
	return MustLoad(tb)(au.IssueInstance(id, net.IPv4(127, 0, 0, 1)))
}
