package jpinstance

import (
	"net"
	"testing"
	"time"

	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpauthority"
)

// Guards against instances with certificates that do not connect to each other or that
// serve clients without one.
func TestInstancesWithTLS(t *testing.T) {
	t.Parallel()
	te := newTestEnv(t)
	au := jpauthority.NewForTest(t)
	var list []*runningInstance
	for no := range 2 {
		cfg := te.config(no + 1)
		cfg.TLS = jpauthority.MustFiles(t)(au.IssueInstance(cfg.ID, net.IP(cfg.Listen.Operator.Addr().AsSlice())))
		list = append(list, te.startInstance(cfg))
	}
	ann := jpauthority.MustLoad(t)(au.IssueOperator("ann"))
	addr := list[0].cfg.Listen.Operator.String()
	if _, err := jpoperator.DialTLS(addr, ann).Apply(t.Context(), jpoperator.Change{Text: te.settingsText("")}); err != nil {
		t.Fatal(err)
	}
	for _, rn := range list {
		waitFor(t, 10*time.Second, "settings and peer", func() bool {
			set, _ := rn.Settings(t.Context())
			return set.Version == 1 && countAlive(t, rn) == 2
		})
	}
	if _, err := jpoperator.Dial(addr).Status(t.Context()); err == nil {
		t.Error("a client without a certificate got the status")
	}
	if got := list[0].refusals.Count(); got != 1 {
		t.Errorf("%d refused connections, want 1", got)
	}
}
