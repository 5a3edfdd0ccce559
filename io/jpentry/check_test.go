package jpentry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

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
		synctest.Test(t, func(t *testing.T) {
			dial := func(ctx context.Context, address netip.AddrPort) error {
				if row.errs[address] == timeout {
					<-ctx.Done()
				}
				return row.errs[address]
			}
			began := time.Now()
			result, err := probe(dial, target, row.references)
			if result != row.want || !errors.Is(err, row.errs[target]) {
				t.Errorf("%s: %v, %v, want %v", row.name, result, err, row.want)
			}
			if took := time.Since(began); result == jpdispatch.CheckTimedOut && took > 2*jpdispatch.AttemptTimeout {
				t.Errorf("%s: found after %v, want at most two attempts", row.name, took)
			}
		})
	}
}

// uplink is the link of an instance to servers that are alive. Packets wait behind
// those that were queued before them.
type uplink struct {
	bursts     []burst // in order of time
	server     netip.AddrPort
	roundTrips map[netip.AddrPort]time.Duration
	lost       int // number of the connection to the server whose packet is lost, from 1; 0: none
	dialed     int // connections to the server so far
}

// burst is data that is queued at a time and takes a time to send.
type burst struct {
	at    time.Time
	takes time.Duration
}

// freeAt returns when a packet that is queued now is sent.
func (ul *uplink) freeAt(now time.Time) time.Time {
	var free time.Time
	for _, bu := range ul.bursts {
		if bu.at.After(now) {
			break
		}
		if free.Before(bu.at) {
			free = bu.at
		}
		free = free.Add(bu.takes)
	}
	if free.Before(now) {
		return now
	}
	return free
}

func (ul *uplink) dial(ctx context.Context, address netip.AddrPort) error {
	if address == ul.server {
		if ul.dialed++; ul.dialed == ul.lost {
			<-ctx.Done()
		}
	}
	sleep(ctx, time.Until(ul.freeAt(time.Now()).Add(ul.roundTrips[address])))
	if ctx.Err() != nil {
		return &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	return nil
}

// Guards against open flows of a living server that are reset because checks of it
// waited behind this instance's own traffic.
func TestCongestedLinkDoesNotMakeServerSilent(t *testing.T) {
	const localTrip, remoteTrip = 200 * time.Microsecond, 2 * time.Millisecond
	server := netip.MustParseAddrPort("127.0.0.1:1")
	reference := jpdispatch.Endpoint{ID: "i-2", Address: netip.MustParseAddrPort("127.0.0.1:2")}
	rows := []struct {
		name          string
		serverTrip    time.Duration
		referenceTrip time.Duration
		lost          int
		second        time.Duration // when a second burst begins, 0 if none
	}{
		{"server nearby", localTrip, remoteTrip, 0, 0},
		{"server in another data centre", remoteTrip, localTrip, 0, 0},
		{"first packet lost", localTrip, localTrip, 1, 0},
		{"second packet lost", localTrip, localTrip, 2, 0},
		{"third packet lost", localTrip, localTrip, 3, 0},
		{"second burst after 10 ms", remoteTrip, localTrip, 0, 10 * time.Millisecond},
		{"second burst after 65 ms", remoteTrip, localTrip, 0, 65 * time.Millisecond},
		{"second burst after 110 ms", remoteTrip, localTrip, 0, 110 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for backlog := time.Duration(0); backlog <= 400*time.Millisecond; backlog += 500 * time.Microsecond {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					ul := &uplink{
						bursts: []burst{{began, backlog}}, server: server, lost: row.lost,
						roundTrips: map[netip.AddrPort]time.Duration{server: row.serverTrip, reference.Address: row.referenceTrip},
					}
					if row.second > 0 {
						ul.bursts = append(ul.bursts, burst{began.Add(row.second), 100 * time.Millisecond})
					}
					result, err := probe(ul.dial, server, []jpdispatch.Endpoint{reference})
					if result == jpdispatch.CheckTimedOut {
						t.Errorf("link busy for %v: %v, %v", backlog, result, err)
					}
				})
			}
		})
	}
}
