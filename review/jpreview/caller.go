package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Errors of flows and requests.
var (
	errBalancerReset = errors.New("reset by the balancer")
	errServerReset   = errors.New("reset by a server")
	errTimeout       = errors.New("no answer in time")
)

// resetWindow is the largest distance between the sequence number of the balancer's
// reset and the caller's last acknowledgement on an open flow.
const resetWindow = 76800

// synCopies are the times after its start at which a caller sends the copies of a SYN.
var synCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout        = 1400 * time.Millisecond
	retransmitDelay    = 200 * time.Millisecond // of the first retransmission; it doubles
	maxRetransmitDelay = 1600 * time.Millisecond
)

// callerHost is a stand-in for the callers at one IP address of a data centre.
type callerHost struct {
	zone    string
	address netip.Addr
	conn    *net.UDPConn
	fabric  *fabric
	record  *recorder

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*callerFlow
}

// callerFlow is a flow at its caller. Its requests are made one at a time.
type callerFlow struct {
	host  *callerHost
	self  netip.AddrPort
	route netip.AddrPort

	mu     sync.Mutex
	echo   uint32 // last one received on the flow
	seq    uint32
	ack    uint32
	open   bool
	err    error         // why the flow has ended
	answer string        // answer to the current request
	news   chan struct{} // signals a change of open, err or answer
}

func startCallerHost(zone string, address netip.AddrPort, fb *fabric, re *recorder) (*callerHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ch := &callerHost{
		zone: zone, address: address.Addr(), conn: conn, fabric: fb, record: re,
		nextPort: 1024, flows: map[uint16]*callerFlow{},
	}
	go ch.serve()
	return ch, nil
}

func (ch *callerHost) serve() {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, _, err := ch.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		pk, valid := unmarshal(buffer[:size])
		ch.mu.Lock()
		fl := ch.flows[pk.To.Port()]
		ch.mu.Unlock()
		if valid && fl != nil && fl.route == pk.From && fl.self == pk.To {
			fl.handle(pk)
		}
	}
}

// openFlow opens a flow to a route.
func (ch *callerHost) openFlow(route netip.AddrPort) (*callerFlow, error) {
	ch.mu.Lock()
	ch.nextPort++
	fl := &callerFlow{
		host: ch, self: netip.AddrPortFrom(ch.address, ch.nextPort), route: route,
		seq: rand.Uint32(), news: make(chan struct{}, 1),
	}
	ch.flows[ch.nextPort] = fl
	ch.mu.Unlock()
	began := time.Now()
	for ix, at := range synCopies {
		if fl.await(time.Until(began.Add(at)), fl.opened) {
			break
		}
		fl.send(packet{Seq: fl.seq - 1, Ack: uint32(ix), Flags: flagSYN})
	}
	if !fl.await(time.Until(began.Add(openTimeout)), fl.opened) {
		fl.fail(errTimeout)
	}
	return fl, fl.failure()
}

// opened reports whether the flow has opened or ended. The caller holds mu.
func (fl *callerFlow) opened() bool { return fl.open || fl.err != nil }

// request sends a request and returns its answer.
func (fl *callerFlow) request(id string, timeout time.Duration) (string, error) {
	text := fmt.Sprintf("POST /order HTTP/1.1\r\nHost: desk\r\n%s%s\r\nContent-Length: 0\r\n\r\n", requestIDHeader, id)
	fl.mu.Lock()
	fl.answer = ""
	pk := packet{Seq: fl.seq, Flags: flagACK, Data: []byte(text)}
	fl.seq += uint32(len(text))
	fl.mu.Unlock()
	answered := func() bool { return fl.answer != "" || fl.err != nil }
	end := time.Now().Add(timeout)
	for delay := retransmitDelay; time.Now().Before(end); delay = min(2*delay, maxRetransmitDelay) {
		if fl.failure() == nil {
			fl.send(pk)
		}
		if fl.await(min(delay, time.Until(end)), answered) {
			break
		}
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	switch {
	case fl.answer != "" && strings.HasSuffix(fl.answer, " "+id):
		return fl.answer, nil
	case fl.err != nil:
		return "", fl.err
	}
	return "", errTimeout
}

// handle handles a packet from a server or the balancer.
func (fl *callerFlow) handle(pk packet) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	defer fl.notify()
	switch {
	case fl.err != nil:
	case pk.Flags&flagRST != 0:
		fl.handleReset(pk)
	case pk.Flags&flagSYN != 0:
		fl.echo = pk.Echo
		if fl.open {
			fl.host.record.add("caller %s got another SYN+ACK from %s on its open flow", fl.self, fl.route)
			return
		}
		fl.open, fl.ack = true, pk.Seq+1
		fl.sendLocked(packet{Seq: fl.seq, Flags: flagACK})
	case fl.open && len(pk.Data) > 0:
		fl.echo = pk.Echo
		if pk.Seq == fl.ack {
			fl.ack += uint32(len(pk.Data))
			_, fl.answer, _ = strings.Cut(string(pk.Data), "\r\n\r\n")
		}
		fl.sendLocked(packet{Seq: fl.seq, Flags: flagACK})
	default:
		fl.echo = pk.Echo
	}
}

// handleReset ends the flow unless the reset is one of the balancer outside its window.
func (fl *callerFlow) handleReset(pk packet) {
	distance := int32(pk.Seq - fl.ack)
	switch {
	case pk.Checksum != 0:
		fl.err = errServerReset
	case fl.open && (distance > resetWindow || distance < -resetWindow):
		fl.host.record.add("caller %s ignores a reset of the balancer, %d from its acknowledgement", fl.self, distance)
	default:
		fl.err = errBalancerReset
		fl.host.record.add("caller %s got a reset of the balancer on its flow to %s, open %t", fl.self, fl.route, fl.open)
	}
}

func (fl *callerFlow) send(pk packet) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.sendLocked(pk)
}

// sendLocked sends a packet through the fabric. The caller holds mu.
func (fl *callerFlow) sendLocked(pk packet) {
	pk.From, pk.To, pk.Echo = fl.self, fl.route, fl.echo
	if pk.Flags&flagSYN == 0 {
		pk.Ack = fl.ack
	}
	to := fl.host.fabric.route(fl.host.zone, fl.self)
	_, _ = fl.host.conn.WriteToUDPAddrPort(pk.marshal(), to) // on an error the packet counts as lost
}

// close ends the flow for good.
func (fl *callerFlow) close() {
	if fl.failure() == nil {
		fl.send(packet{Seq: fl.seq, Flags: flagFIN | flagACK})
	}
	fl.host.mu.Lock()
	defer fl.host.mu.Unlock()
	delete(fl.host.flows, fl.self.Port())
}

func (fl *callerFlow) fail(err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.open && fl.err == nil {
		fl.err = err
	}
}

func (fl *callerFlow) failure() error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.err
}

func (fl *callerFlow) notify() {
	select {
	case fl.news <- struct{}{}:
	default:
	}
}

// await waits until a condition holds, which is called with mu held, and reports
// whether it does.
func (fl *callerFlow) await(wait time.Duration, holds func() bool) bool {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		fl.mu.Lock()
		ok := holds()
		fl.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-fl.news:
		case <-timer.C:
			return false
		}
	}
}
