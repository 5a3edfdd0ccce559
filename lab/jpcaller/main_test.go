package jpcaller

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are left after callers, servers and networks are
// closed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}
