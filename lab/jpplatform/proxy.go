package jpplatform

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is a fault that a proxy injects into its connections.
type Fault uint8

// Faults.
const (
	Pass        Fault = iota
	Delay             // bytes are delayed by forwardDelay
	Reset             // new and open connections are reset
	Blackhole         // bytes of new and open connections are dropped in both directions
	DropReplies       // requests are forwarded, replies are dropped
)

// forwardDelay is well above the store's usual 4 ms and well below the timeouts
// of its clients.
const forwardDelay = 60 * time.Millisecond

// Proxy forwards TCP connections to a target and injects faults.
type Proxy struct {
	Address netip.AddrPort

	target   netip.AddrPort
	listener net.Listener

	mu         sync.Mutex
	fault      Fault
	conns      map[net.Conn]bool
	blackholed map[net.Conn]bool // were open during Blackhole and forward nothing any more
}

// StartProxy starts a proxy on a loopback address with a free port.
func StartProxy(ip netip.Addr, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, err
	}
	px := &Proxy{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), target: target, listener: listener,
		conns: map[net.Conn]bool{}, blackholed: map[net.Conn]bool{},
	}
	go px.accept()
	return px, nil
}

// SetFault injects a fault; Pass ends it. Connections that were open during
// Blackhole stay unusable afterwards, as if the path had lost their state.
func (px *Proxy) SetFault(fault Fault) {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.fault == Blackhole {
		for conn := range px.conns {
			px.blackholed[conn] = true
		}
	}
	px.fault = fault
	if fault != Reset {
		return
	}
	for conn := range px.conns {
		reset(conn)
	}
}

// Close stops the proxy and resets its connections.
func (px *Proxy) Close() {
	_ = px.listener.Close()
	px.SetFault(Reset)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_ = conn.Close()
}

func (px *Proxy) accept() {
	for {
		conn, err := px.listener.Accept()
		if err != nil {
			return
		}
		go px.serve(conn)
	}
}

func (px *Proxy) serve(conn net.Conn) {
	if px.faultFor(conn) == Reset {
		reset(conn)
		return
	}
	target, err := net.Dial("tcp", px.target.String())
	if err != nil {
		reset(conn)
		return
	}
	px.mu.Lock()
	px.conns[conn] = true
	px.mu.Unlock()
	done := make(chan struct{}, 2)
	go px.forward(target, conn, conn, false, done)
	go px.forward(conn, target, conn, true, done)
	<-done
	reset(conn)
	reset(target)
	<-done
	px.mu.Lock()
	delete(px.conns, conn)
	delete(px.blackholed, conn)
	px.mu.Unlock()
}

// faultFor returns the fault that applies to a connection now.
func (px *Proxy) faultFor(conn net.Conn) Fault {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.blackholed[conn] {
		return Blackhole
	}
	return px.fault
}

// forward copies bytes in one direction, subject to the fault.
func (px *Proxy) forward(to io.Writer, from io.Reader, conn net.Conn, replies bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := px.faultFor(conn); {
		case fault == Blackhole || fault == DropReplies && replies:
			continue
		case fault == Delay:
			time.Sleep(forwardDelay)
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}
