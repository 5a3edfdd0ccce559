package jpentry

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"jacinthpass/core/jpdispatch"
)

// Guards against a reachable host that is reported as unreachable, and the
// reverse.
func TestProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	if result, err := probe(dial, address, nil); result != jpdispatch.CheckAnswered {
		t.Errorf("check of a listening host: %v, %v", result, err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if result, err := probe(dial, address, nil); result != jpdispatch.CheckRefused {
		t.Errorf("check of a host without a listener: %v, %v", result, err)
	}
	// A local error says nothing about the host.
	if result, err := probe(dial, netip.MustParseAddrPort("255.255.255.255:1"), nil); result != jpdispatch.CheckInconclusive {
		t.Errorf("check of an address that cannot be dialled: %v, %v", result, err)
	}
}

// Guards against a living server that is taken for silent because the link of this
// instance is slow, as it was in a recorded case (fresh-bc18) in which an update of
// 1,043 routes to all neighbours delayed everything for 0.4 s.
func TestProbeReferences(t *testing.T) {
	target := netip.MustParseAddrPort("127.0.0.1:1")
	local := jpdispatch.Endpoint{ID: "i-2", Address: netip.MustParseAddrPort("127.0.0.1:2")}
	remote := jpdispatch.Endpoint{ID: "i-3", Address: netip.MustParseAddrPort("127.0.0.1:3")}
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	rows := []struct {
		name       string
		references []jpdispatch.Endpoint
		errs       map[netip.AddrPort]error
		want       jpdispatch.CheckResult
	}{
		{"no reference is known", nil, map[netip.AddrPort]error{target: timeout}, jpdispatch.CheckTimedOut},
		{"a reference answers", []jpdispatch.Endpoint{local}, map[netip.AddrPort]error{target: timeout}, jpdispatch.CheckTimedOut},
		{"a reference refuses", []jpdispatch.Endpoint{local},
			map[netip.AddrPort]error{target: timeout, local.Address: refused}, jpdispatch.CheckTimedOut},
		{"only the remote reference answers", []jpdispatch.Endpoint{local, remote},
			map[netip.AddrPort]error{target: timeout, local.Address: timeout}, jpdispatch.CheckTimedOut},
		{"no reference answers", []jpdispatch.Endpoint{local, remote},
			map[netip.AddrPort]error{target: timeout, local.Address: timeout, remote.Address: timeout}, jpdispatch.CheckInconclusive},
		{"refused, no reference answers", []jpdispatch.Endpoint{local},
			map[netip.AddrPort]error{target: refused, local.Address: timeout}, jpdispatch.CheckRefused},
	}
	for _, row := range rows {
		dial := func(address netip.AddrPort) error { return row.errs[address] }
		result, err := probe(dial, target, row.references)
		if result != row.want || !errors.Is(err, row.errs[target]) {
			t.Errorf("%s: %v, %v, want %v", row.name, result, err, row.want)
		}
	}
}
