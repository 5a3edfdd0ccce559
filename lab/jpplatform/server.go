package jpplatform

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// serverNumberBytes is the size of the server number in front of a packet.
const serverNumberBytes = 8

// Server simulates a backend server, which answers each request immediately with
// its own id.
type Server struct {
	Entry ServerEntry
	ID    string

	number         uint64
	callerPort     uint16
	packets        *net.UDPConn
	healthListener net.Listener

	mu         sync.Mutex
	flows      map[string]*serverFlow
	silent     bool           // receives packets without answering
	delay      time.Duration  // of answers to requests
	flowCount  int            // flows whose SYN arrived
	executions map[string]int // by request
	corrupt    int            // packets received that differ from what their sender wrote
}

// serverFlow is the state of a flow at its server.
type serverFlow struct {
	echo        uint32
	seq         uint32 // next sequence number of the server
	ack         uint32 // next sequence number of the caller
	established bool
	lastAnswer  []byte // for retransmission
}

// ServerEntry is the entry of a server in the store.
type ServerEntry struct {
	Backend      string `json:"backend"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Concurrency  int    `json:"concurrency"`
	State        string `json:"state"`
	WarmupLeftMs int    `json:"warmupLeftMs"`
	Sequence     int    `json:"sequence"`
	Born         int64  `json:"born"`
}

// StartServer starts a server on a loopback address. It sends packets to
// callerPort of the callers' hosts.
func StartServer(number uint32, backend, zone string, address netip.AddrPort, callerPort uint16) (*Server, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	checks, err := net.Listen("tcp", address.String())
	if err != nil {
		_ = packets.Close()
		return nil, err
	}
	sr := &Server{
		ID: fmt.Sprintf("i-%08x", number), number: uint64(number), callerPort: callerPort, packets: packets, healthListener: checks,
		flows: map[string]*serverFlow{}, executions: map[string]int{},
		Entry: ServerEntry{Backend: backend, Address: address.String(), Zone: zone, Version: "v1", Concurrency: 2, State: "ready", Born: 1},
	}
	go sr.serve()
	go sr.accept()
	return sr, nil
}

// Stop stops the server without notifying anyone. Its address refuses
// connections from then on.
func (sr *Server) Stop() {
	_ = sr.packets.Close()
	_ = sr.healthListener.Close()
}

// SetSilent sets whether the server ignores the packets that it receives.
func (sr *Server) SetSilent(silent bool) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.silent = silent
}

// SetDelay sets how long the server takes for a request.
func (sr *Server) SetDelay(delay time.Duration) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.delay = delay
}

// Received reports whether a SYN of a flow from a caller's end reached the server.
func (sr *Server) Received(caller netip.AddrPort) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for key := range sr.flows {
		if strings.HasPrefix(key, caller.String()+" ") {
			return true
		}
	}
	return false
}

// FlowCount returns the number of flows that reached the server.
func (sr *Server) FlowCount() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.flowCount
}

// CorruptPackets returns the number of packets received that differ from what
// their sender wrote.
func (sr *Server) CorruptPackets() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.corrupt
}

// Executions returns how many times the server executed a request.
func (sr *Server) Executions(request string) int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.executions[request]
}

// accept accepts and closes the TCP connections of health checks until Stop.
func (sr *Server) accept() {
	for {
		conn, err := sr.healthListener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

func (sr *Server) serve() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := sr.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < serverNumberBytes {
			continue
		}
		recipient := binary.BigEndian.Uint64(buffer)
		hd, data, valid := unmarshal(buffer[serverNumberBytes:size])
		sr.mu.Lock()
		switch {
		case !valid:
			sr.corrupt++
		case sr.silent || recipient != 0 && recipient != sr.number:
		default:
			sr.handle(hd, string(data))
		}
		sr.mu.Unlock()
	}
}

// handle processes and answers a packet. The caller must hold mu.
func (sr *Server) handle(hd header, data string) {
	key := hd.From.String() + " " + hd.To.String()
	fl := sr.flows[key]
	switch {
	case hd.Flags&flagSYN != 0:
		if fl == nil {
			fl = &serverFlow{seq: uint32(sr.number) + 1, ack: hd.Seq + 1}
			sr.flows[key] = fl
			sr.flowCount++
		}
		fl.echo = hd.Echo
		sr.send(hd, fl, header{Seq: uint32(sr.number), Ack: fl.ack, Flags: flagSYN | flagACK}, nil)
	case hd.Flags&flagRST != 0:
		delete(sr.flows, key)
	case fl == nil || !fl.established && hd.Ack != fl.seq:
		sr.send(hd, &serverFlow{echo: hd.Echo}, header{Seq: hd.Ack, Flags: flagRST}, nil)
	default:
		fl.established, fl.echo = true, hd.Echo
		sr.handleData(hd, fl, data)
	}
}

func (sr *Server) handleData(hd header, fl *serverFlow, data string) {
	if data == "" {
		return
	}
	if hd.Seq == fl.ack {
		sr.executions[data]++
		fl.lastAnswer = []byte(sr.ID)
		fl.ack += uint32(len(data))
		fl.seq += uint32(len(fl.lastAnswer))
	}
	answer, echoed := header{Seq: fl.seq - uint32(len(fl.lastAnswer)), Ack: fl.ack, Flags: flagACK}, *fl
	if sr.delay == 0 {
		sr.send(hd, &echoed, answer, fl.lastAnswer)
		return
	}
	time.AfterFunc(sr.delay, func() { sr.send(hd, &echoed, answer, echoed.lastAnswer) })
}

// send sends a packet to the sender of the packet with header to.
func (sr *Server) send(to header, fl *serverFlow, hd header, data []byte) {
	hd.From, hd.To, hd.Echo = to.To, to.From, fl.echo
	target := netip.AddrPortFrom(to.From.Addr(), sr.callerPort)
	_, _ = sr.packets.WriteToUDPAddrPort(hd.marshal(data), target) // on an error the packet counts as lost and is retransmitted
}
