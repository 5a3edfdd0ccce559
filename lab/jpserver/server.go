// Package jpserver simulates one backend server: a TCP/IP stack behind a
// foo-over-UDP endpoint, with capacity limits, cold start, a load endpoint that
// can report old or wrong values, and a record of each execution of a request.
package jpserver

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"jacinthpass/lab/jpcontrol"
	"jacinthpass/lab/jptunnel"
)

// Config configures a Server.
type Config struct {
	Name     string
	Listen   netip.AddrPort   // foo-over-UDP endpoint
	Fabric   netip.AddrPort   // where packets to callers go
	Services []netip.AddrPort // service addresses
	HTTP     string           // address of the load endpoint and the control interface

	Slots           int // maximum number of requests that run at once
	Queue           int // maximum number of requests that wait for a slot
	Connections     int // maximum number of open connections
	ColdSlots       int // Slots and Connections when the server turns cold
	ColdConnections int
	ColdDuration    time.Duration // time from cold to warm
	ConstantCold    bool          // cold limits stay constant for ColdDuration instead of doubling each quarter
	StartWarm       bool
	OverloadOutage  time.Duration // how long a cold server refuses everything after an overload
}

// maxHandshakes is the maximum number of TCP handshakes in progress.
const maxHandshakes = 8192

// Server is one running backend server.
type Server struct {
	conf    Config
	tunnel  *jptunnel.Tunnel
	control *jpcontrol.Server
	udp     []*gonet.UDPConn
	done    chan struct{}
	wg      sync.WaitGroup

	mu          sync.Mutex
	coldSince   time.Time // zero if warm
	outageUntil time.Time // refuses everything before this time
	draining    bool
	shed        int // number of SYNs still to refuse
	conns       map[*conn]struct{}
	openConns   int // open connections, including those in handshake
	running     int
	queue       []*job
	stats       Stats
	executions  map[uint64]*Execution
	flows       map[netip.AddrPort]time.Time // callers whose SYN was accepted, by the first time
	refusals    map[netip.AddrPort]time.Time // callers whose SYN was refused, by the first time
	loadReport  loadReport
}

// Start opens the server. It is cold unless conf.StartWarm is set.
func Start(conf Config) (*Server, error) {
	sv := &Server{
		conf:       conf,
		done:       make(chan struct{}),
		conns:      make(map[*conn]struct{}),
		executions: make(map[uint64]*Execution),
		flows:      make(map[netip.AddrPort]time.Time),
		refusals:   make(map[netip.AddrPort]time.Time),
	}
	if !conf.StartWarm {
		sv.coldSince = time.Now()
	}
	sv.loadReport.samples = []Load{sv.actualLoad(time.Now())}
	var addrs []netip.Addr
	seen := make(map[netip.Addr]bool)
	for _, at := range conf.Services {
		if !seen[at.Addr()] {
			addrs = append(addrs, at.Addr())
		}
		seen[at.Addr()] = true
	}
	var err error
	sv.tunnel, err = jptunnel.Open(jptunnel.Config{Listen: conf.Listen, Peer: conf.Fabric, Addresses: addrs})
	if err != nil {
		return nil, err
	}
	if err := sv.listen(); err != nil {
		sv.Close()
		return nil, err
	}
	return sv, nil
}

func (sv *Server) listen() error {
	fwd := tcp.NewForwarder(sv.tunnel.Stack, 0, maxHandshakes, sv.handleSYN)
	// The handler gets the segments that belong to no open connection.
	sv.tunnel.Stack.SetTransportProtocolHandler(tcp.ProtocolNumber, func(id stack.TransportEndpointID, pkt *stack.PacketBuffer) bool {
		sv.countUnconfirmed(id, pkt)
		return fwd.HandlePacket(id, pkt)
	})
	for _, at := range sv.conf.Services {
		local := jptunnel.FullAddress(at)
		conn, err := gonet.DialUDP(sv.tunnel.Stack, &local, nil, ipv4.ProtocolNumber)
		if err != nil {
			return oops.Wrapf(err, "server: open UDP socket for service %s", at)
		}
		sv.udp = append(sv.udp, conn)
		sv.wg.Go(func() { sv.echo(conn) })
	}
	sv.wg.Go(sv.sampleLoad)
	if sv.conf.HTTP == "" {
		return nil
	}
	var err error
	sv.control, err = jpcontrol.Serve(sv.conf.HTTP, sv.handler())
	return err
}

// resetFlushTime is long enough to send the resets of all connections.
const resetFlushTime = 50 * time.Millisecond

// Close resets all connections, like the exit of a real server process, and stops
// the server. If the simulating process is killed instead, no resets are sent, as
// when a host crashes.
func (sv *Server) Close() {
	close(sv.done)
	sv.mu.Lock()
	sv.resetAll()
	sv.mu.Unlock()
	time.Sleep(resetFlushTime)
	if sv.control != nil {
		sv.control.Close()
	}
	for _, conn := range sv.udp {
		conn.Close()
	}
	sv.tunnel.Close()
	sv.wg.Wait()
}

// HTTPAddr returns the address of the load endpoint and the control interface.
func (sv *Server) HTTPAddr() string {
	return sv.control.Addr()
}

// echo returns each datagram to its sender.
func (sv *Server) echo(conn *gonet.UDPConn) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		sv.mu.Lock()
		sv.stats.Echoed++
		sv.mu.Unlock()
		conn.WriteTo(buf[:n], from.(*net.UDPAddr))
	}
}
