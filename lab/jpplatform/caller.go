package jpplatform

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Errors of requests and flows.
var (
	ErrReset   = errors.New("caller: flow was reset")
	ErrTimeout = errors.New("caller: no answer in time")
)

// Router returns the instance to which a caller's packet is sent.
type Router func(caller netip.AddrPort) netip.AddrPort

// CallerHost simulates callers at one IP address.
type CallerHost struct {
	address netip.Addr
	router  Router
	packets *net.UDPConn

	mu       sync.Mutex
	lossRate float64 // share of the callers' packets that are lost, 0 to 1
	seed     uint64  // selects the lost packets
	nextPort uint16
	flows    map[uint16]*Flow
	refused  []netip.AddrPort // ends of flows that a load balancer has refused
	corrupt  int              // packets received that differ from what their sender wrote
}

// StartCallerHost starts a host whose callers receive packets at one UDP port.
func StartCallerHost(ip netip.Addr, port uint16, router Router) (*CallerHost, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	ch := &CallerHost{address: ip, router: router, packets: packets, nextPort: 1025, flows: map[uint16]*Flow{}}
	go ch.serve()
	return ch, nil
}

// SetLoss sets the share of the callers' packets that are lost. The seed, the
// flow's port and the number of the packet in the flow determine which ones.
func (ch *CallerHost) SetLoss(rate float64, seed uint64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.lossRate, ch.seed = rate, seed
}

// isLost reports whether a packet is lost.
func (ch *CallerHost) isLost(port uint16, number int) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return rand.New(rand.NewPCG(ch.seed, uint64(port)<<32|uint64(number))).Float64() < ch.lossRate
}

// Close stops the host.
func (ch *CallerHost) Close() { _ = ch.packets.Close() }

// CorruptPackets returns the number of packets received that differ from what
// their sender wrote.
func (ch *CallerHost) CorruptPackets() int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.corrupt
}

// arrival is a received packet of a flow.
type arrival struct {
	header header
	data   string
}

func (ch *CallerHost) serve() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := ch.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		hd, data, valid := unmarshal(buffer[:size])
		ch.mu.Lock()
		fl := ch.flows[hd.To.Port()]
		if !valid {
			ch.corrupt++
			fl = nil
		}
		ch.mu.Unlock()
		if fl == nil || fl.route != hd.From {
			continue
		}
		select {
		case fl.packets <- arrival{hd, string(data)}:
		default: // the queue is full: drop the packet
		}
	}
}

// Flow is an open flow of a caller. It is not safe for concurrent use.
type Flow struct {
	host        *CallerHost
	route       netip.AddrPort
	port        uint16
	seq         uint32
	ack         uint32
	echo        uint32
	packets     chan arrival
	sentPackets int // packets, lost ones included

	// SYNRetransmissions is the number of times the SYN was sent again.
	SYNRetransmissions int
	// ResetByBalancer tells that the flow was reset by a load balancer, not by
	// its server.
	ResetByBalancer bool
}

// synTimeouts are the times to wait for an answer to the SYN and to each of its
// retransmissions.
var synTimeouts = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Open opens a flow to a route.
func (ch *CallerHost) Open(route netip.AddrPort) (*Flow, error) {
	ch.mu.Lock()
	ch.nextPort++
	fl := &Flow{host: ch, route: route, port: ch.nextPort, seq: uint32(ch.nextPort) << 12, packets: make(chan arrival, 64)}
	ch.flows[fl.port] = fl
	ch.mu.Unlock()
	for attempt, wait := range synTimeouts {
		fl.SYNRetransmissions = attempt
		fl.send(header{Seq: fl.seq, Ack: uint32(attempt), Flags: flagSYN}, "")
		answer, err := fl.await(wait, func(ar arrival) bool { return ar.header.Flags&flagSYN != 0 })
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			ch.noteRefused(fl)
			return nil, err
		}
		fl.seq, fl.ack = fl.seq+1, answer.header.Seq+1
		fl.send(header{Seq: fl.seq, Ack: fl.ack, Flags: flagACK}, "")
		return fl, nil
	}
	return nil, ErrTimeout
}

func (ch *CallerHost) noteRefused(fl *Flow) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if fl.ResetByBalancer {
		ch.refused = append(ch.refused, netip.AddrPortFrom(ch.address, fl.port))
	}
}

// Refused returns the callers' ends of the flows that load balancers have refused.
func (ch *CallerHost) Refused() []netip.AddrPort {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return slices.Clone(ch.refused)
}

// Request sends a request and returns the answer, which is the id of the server.
func (fl *Flow) Request(request string, timeout time.Duration) (string, error) {
	end := time.Now().Add(timeout)
	wait := 200 * time.Millisecond
	want := fl.seq + uint32(len(request))
	for time.Now().Before(end) {
		fl.send(header{Seq: fl.seq, Ack: fl.ack, Flags: flagACK}, request)
		answer, err := fl.await(min(wait, time.Until(end)), func(ar arrival) bool {
			return ar.data != "" && ar.header.Ack == want && ar.header.Seq == fl.ack
		})
		if errors.Is(err, ErrTimeout) {
			wait = min(2*wait, 1600*time.Millisecond)
			continue
		}
		if err != nil {
			return "", err
		}
		fl.seq = want
		fl.ack += uint32(len(answer.data))
		fl.send(header{Seq: fl.seq, Ack: fl.ack, Flags: flagACK}, "")
		return answer.data, nil
	}
	return "", ErrTimeout
}

// AwaitReset waits for a reset while the flow is idle.
func (fl *Flow) AwaitReset(timeout time.Duration) error {
	_, err := fl.await(timeout, func(arrival) bool { return false })
	return err
}

// await returns the first packet that accept selects, or ErrReset or ErrTimeout.
func (fl *Flow) await(timeout time.Duration, accept func(arrival) bool) (arrival, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case ar := <-fl.packets:
			if ar.header.Flags&flagRST != 0 {
				fl.ResetByBalancer = ar.header.Checksum == 0
				return arrival{}, ErrReset
			}
			fl.echo = ar.header.Echo
			if accept(ar) {
				return ar, nil
			}
		case <-timer.C:
			return arrival{}, ErrTimeout
		}
	}
}

func (fl *Flow) send(hd header, data string) {
	hd.From = netip.AddrPortFrom(fl.host.address, fl.port)
	hd.To, hd.Echo = fl.route, fl.echo
	fl.sentPackets++
	if fl.host.isLost(fl.port, fl.sentPackets) {
		return
	}
	to := fl.host.router(hd.From)
	_, _ = fl.host.packets.WriteToUDPAddrPort(hd.marshal([]byte(data)), to) // on an error the packet counts as lost and is retransmitted
}
