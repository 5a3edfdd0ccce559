package jpplatform

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Errors of flows.
var (
	ErrReset   = errors.New("caller: flow was reset")
	ErrTimeout = errors.New("caller: no answer in time")
)

// Router selects the instance for a caller's packet.
type Router func(caller netip.AddrPort) netip.AddrPort

// Host is an address with callers.
type Host struct {
	address netip.Addr
	router  Router
	packets *net.UDPConn

	mu       sync.Mutex
	loss     float64 // share of the callers' packets that are lost
	seed     uint64  // decides which
	nextPort uint16
	flows    map[uint16]*Flow
	bad      int // packets that their sender did not write so
}

// StartHost starts a host of callers, which receive at a port.
func StartHost(ip netip.Addr, port uint16, router Router) (*Host, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	ho := &Host{address: ip, router: router, packets: packets, nextPort: 1025, flows: map[uint16]*Flow{}}
	go ho.serve()
	return ho, nil
}

// Lose sets the share of the callers' packets that are lost. A seed, with a
// flow's port and the number of the packet in the flow, decides which.
func (ho *Host) Lose(share float64, seed uint64) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.loss, ho.seed = share, seed
}

// loses tells whether a packet is lost.
func (ho *Host) loses(port uint16, number int) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return rand.New(rand.NewPCG(ho.seed, uint64(port)<<32|uint64(number))).Float64() < ho.loss
}

// Close ends the host.
func (ho *Host) Close() { _ = ho.packets.Close() }

// Bad returns how many packets were not as their sender wrote them.
func (ho *Host) Bad() int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.bad
}

// arrived is a packet for a flow.
type arrived struct {
	head head
	data string
}

func (ho *Host) serve() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := ho.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		hd, data, whole := unmarshal(buffer[:size])
		ho.mu.Lock()
		fl := ho.flows[hd.To.Port()]
		if !whole {
			ho.bad++
			fl = nil
		}
		ho.mu.Unlock()
		if fl == nil || fl.route != hd.From {
			continue
		}
		select {
		case fl.packets <- arrived{hd, string(data)}:
		default: // as lost
		}
	}
}

// Flow is an open flow of a caller. It is used from one goroutine.
type Flow struct {
	host    *Host
	route   netip.AddrPort
	port    uint16
	seq     uint32
	ack     uint32
	echo    uint32
	packets chan arrived
	sent    int // packets, lost ones included

	// Copies is the number of copies of the SYN that were sent.
	Copies int
	// Foreign tells whether the flow was reset by somebody other than its
	// server.
	Foreign bool
}

// synTimes are the times between a SYN, its copies and the end of the attempt.
var synTimes = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Open opens a flow to a route.
func (ho *Host) Open(route netip.AddrPort) (*Flow, error) {
	ho.mu.Lock()
	ho.nextPort++
	fl := &Flow{host: ho, route: route, port: ho.nextPort, seq: uint32(ho.nextPort) << 12, packets: make(chan arrived, 64)}
	ho.flows[fl.port] = fl
	ho.mu.Unlock()
	for copies, wait := range synTimes {
		fl.Copies = copies
		fl.send(head{Seq: fl.seq, Ack: uint32(copies), Flags: flagSYN}, "")
		answer, err := fl.await(wait, func(ar arrived) bool { return ar.head.Flags&flagSYN != 0 })
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			return nil, err
		}
		fl.seq, fl.ack = fl.seq+1, answer.head.Seq+1
		fl.send(head{Seq: fl.seq, Ack: fl.ack, Flags: flagACK}, "")
		return fl, nil
	}
	return nil, ErrTimeout
}

// Request sends a request and returns the answer, which is its server's id.
func (fl *Flow) Request(request string, limit time.Duration) (string, error) {
	end := time.Now().Add(limit)
	wait := 200 * time.Millisecond
	want := fl.seq + uint32(len(request))
	for time.Now().Before(end) {
		fl.send(head{Seq: fl.seq, Ack: fl.ack, Flags: flagACK}, request)
		answer, err := fl.await(min(wait, time.Until(end)), func(ar arrived) bool {
			return ar.data != "" && ar.head.Ack == want && ar.head.Seq == fl.ack
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
		fl.send(head{Seq: fl.seq, Ack: fl.ack, Flags: flagACK}, "")
		return answer.data, nil
	}
	return "", ErrTimeout
}

// AwaitReset waits for a reset while the flow is idle.
func (fl *Flow) AwaitReset(limit time.Duration) error {
	_, err := fl.await(limit, func(arrived) bool { return false })
	return err
}

// await returns the first packet that fits, or ErrReset or ErrTimeout.
func (fl *Flow) await(limit time.Duration, fits func(arrived) bool) (arrived, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case ar := <-fl.packets:
			if ar.head.Flags&flagRST != 0 {
				fl.Foreign = ar.head.Sum == 0
				return arrived{}, ErrReset
			}
			fl.echo = ar.head.Echo
			if fits(ar) {
				return ar, nil
			}
		case <-timer.C:
			return arrived{}, ErrTimeout
		}
	}
}

func (fl *Flow) send(hd head, data string) {
	hd.From = netip.AddrPortFrom(fl.host.address, fl.port)
	hd.To, hd.Echo = fl.route, fl.echo
	fl.sent++
	if fl.host.loses(fl.port, fl.sent) {
		return
	}
	to := fl.host.router(hd.From)
	_, _ = fl.host.packets.WriteToUDPAddrPort(hd.marshal([]byte(data)), to) // a lost packet is repeated
}
