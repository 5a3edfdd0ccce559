package jpentry

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against a reachable host that is reported as unreachable, and the
// reverse.
func TestProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	if answered, err := probe(address); !answered {
		t.Errorf("a listening host counts as unreachable: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if answered, err := probe(address); answered {
		t.Errorf("a host without a listener counts as reachable: %v", err)
	}
	// A local error says nothing about the host.
	if answered, _ := probe(netip.MustParseAddrPort("255.255.255.255:1")); !answered {
		t.Error("an address that cannot be dialled counts as unreachable")
	}
}
