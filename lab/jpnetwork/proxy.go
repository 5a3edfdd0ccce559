package jpnetwork

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// dialTimeout is the timeout of connections to the target of a TCP rule.
const dialTimeout = 3 * time.Second

// chunkQueueLength is the maximum number of delayed chunks of a TCP stream. The
// proxy stops reading from the stream when it is reached.
const chunkQueueLength = 64

// listener is one running rule of the proxy.
type listener struct {
	network *Network
	rule    Rule
	target  Endpoint
	udp     *net.UDPConn
	tcp     net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (nw *Network) openRule(rule Rule) (*listener, error) {
	to := nw.endpoint(rule.Target.Addr())
	to.Name = rule.Name
	if rule.DataCentre != "" {
		to.DataCentre = rule.DataCentre
	}
	ls := &listener{network: nw, rule: rule, target: to, conns: make(map[net.Conn]struct{})}
	var err error
	switch rule.Protocol {
	case "udp":
		ls.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(rule.Listen))
		if err == nil {
			ls.udp.SetReadBuffer(socketBuffer)
			go ls.runUDP()
		}
	case "tcp":
		ls.tcp, err = net.Listen("tcp4", rule.Listen.String())
		if err == nil {
			go ls.runTCP()
		}
	default:
		err = oops.Errorf("protocol %q: want udp or tcp", rule.Protocol)
	}
	if err != nil {
		return nil, oops.Wrapf(err, "network: open rule %s", rule.Name)
	}
	return ls, nil
}

func (ls *listener) close() {
	if ls.udp != nil {
		ls.udp.Close()
	}
	if ls.tcp != nil {
		ls.tcp.Close()
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for conn := range ls.conns {
		conn.Close()
	}
}

func (ls *listener) runUDP() {
	nw := ls.network
	buf := make([]byte, maxPacket)
	for {
		n, from, err := ls.udp.ReadFromUDPAddrPort(buf)
		if nw.isClosed(err) {
			return
		}
		if err == nil {
			ls.handleDatagram(buf[:n], from)
		}
	}
}

func (ls *listener) handleDatagram(pkt []byte, from netip.AddrPort) {
	nw := ls.network
	if ls.rule.Tunnel {
		if in, ok := parseInner(pkt); ok && nw.lostFlows.drops(in, true, serverSide) {
			return
		}
	}
	conn, err := nw.sockets.boundTo(from.Addr())
	if err != nil {
		klog.Errorf("network: open socket with source address %s: %v", from.Addr(), err)
		return
	}
	lk := nw.links.between(nw.endpoint(from.Addr()), ls.target)
	nw.links.forward(lk, pkt, func(pkt []byte) { conn.WriteToUDPAddrPort(pkt, ls.rule.Target) })
}

func (ls *listener) runTCP() {
	for {
		conn, err := ls.tcp.Accept()
		if err != nil {
			return
		}
		go ls.proxyConn(conn.(*net.TCPConn))
	}
}

func (ls *listener) track(conn net.Conn, open bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if open {
		ls.conns[conn] = struct{}{}
	} else {
		delete(ls.conns, conn)
	}
}

// proxyConn forwards one TCP connection. A connection that is accepted during a
// cut stays without traffic until the cut ends or its client gives up.
func (ls *listener) proxyConn(client *net.TCPConn) {
	nw := ls.network
	defer client.Close()
	ls.track(client, true)
	defer ls.track(client, false)
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	upstream := nw.links.between(nw.endpoint(source), ls.target)
	downstream := nw.links.between(ls.target, Endpoint{
		Address: source, DataCentre: upstream.from.DataCentre, Name: ls.rule.Name + "<" + source.String(),
	})
	upstream.mu.Lock()
	upstream.counter.TCPAccepted++
	upstream.mu.Unlock()
	for _, lk := range []*link{upstream, downstream} {
		if !nw.links.waitWhileCut(lk, client) {
			client.SetLinger(0)
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source.AsSlice()}, Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp4", ls.rule.Target.String())
	if err != nil {
		client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	ls.track(server, true)
	defer ls.track(server, false)

	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); nw.links.stream(upstream, server, client) }()
	go func() { defer wg.Done(); nw.links.stream(downstream, client, server) }()
	wg.Wait()
}

// clientPollInterval is the time between two tests whether a client that waits for
// the end of a cut has left.
const clientPollInterval = 50 * time.Millisecond

// waitWhileCut blocks while the link is cut. It returns false if the connection
// must be reset instead, its client has left, or the network is closed. client is nil
// for a connection that has already reached its target.
func (ls *links) waitWhileCut(lk *link, client *net.TCPConn) bool {
	var poll <-chan time.Time
	if client != nil {
		ticker := time.NewTicker(clientPollInterval)
		defer ticker.Stop()
		poll = ticker.C
	}
	for {
		lk.mu.Lock()
		imp := ls.refresh(lk)
		change := lk.change
		lk.mu.Unlock()
		if !imp.cut {
			return true
		}
		if imp.resetTCP {
			return false
		}
		select {
		case <-change:
		case <-poll:
			if hasLeft(client) {
				return false
			}
		case <-ls.delayQueue.done:
			return false
		}
	}
}

// hasLeft reports whether the other end of a connection has closed it. It reads
// nothing from the connection.
func hasLeft(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		size, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && size == 0 || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return left || err != nil
}

// chunk is a part of a TCP stream and the time at which to forward it.
type chunk struct {
	due  time.Time
	data []byte
}

// stream copies one direction of a TCP connection with the delay of its link.
// Drops, duplicates and reordering don't apply, because TCP recovers from them.
func (ls *links) stream(lk *link, dst, src *net.TCPConn) {
	queue := make(chan chunk, chunkQueueLength)
	go func() {
		defer close(queue)
		ls.readStream(lk, src, queue)
	}()
	broken := false
	for ck := range queue {
		if broken {
			continue
		}
		time.Sleep(time.Until(ck.due))
		if !ls.waitWhileCut(lk, nil) {
			dst.SetLinger(0)
			src.SetLinger(0)
			broken = true
		} else if _, err := dst.Write(ck.data); err != nil {
			broken = true
		}
		if broken {
			dst.Close()
			src.Close()
		}
	}
	dst.CloseWrite()
}

func (ls *links) readStream(lk *link, src io.Reader, queue chan<- chunk) {
	for {
		buf := make([]byte, 16<<10)
		n, err := src.Read(buf)
		if n > 0 {
			lk.mu.Lock()
			imp := ls.refresh(lk)
			lk.counter.Packets++
			lk.counter.Bytes += uint64(n)
			lk.counter.Last = time.Now()
			lk.mu.Unlock()
			queue <- chunk{due: time.Now().Add(imp.delay), data: buf[:n]}
		}
		if err != nil {
			return
		}
	}
}
