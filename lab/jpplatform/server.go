package jpplatform

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// numberBytes is the size of the server's number before a packet.
const numberBytes = 8

// Server is a backend server that answers each request at once with its own id.
type Server struct {
	Entry ServerEntry
	ID    string

	number     uint64
	callerPort uint16
	packets    *net.UDPConn
	checks     net.Listener

	mu     sync.Mutex
	flows  map[string]*served
	silent bool // takes packets and answers nothing
	opened int
	ran    map[string]int // by request
	bad    int            // packets that their sender did not write so
}

// served is a flow at a server.
type served struct {
	echo uint32
	seq  uint32 // next of the server
	ack  uint32 // next of the caller
	open bool
	last []byte // latest answer
}

// ServerEntry is a server's entry in the store.
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

// StartServer starts a server on a loopback address.
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
		ID: fmt.Sprintf("i-%08x", number), number: uint64(number), callerPort: callerPort, packets: packets, checks: checks,
		flows: map[string]*served{}, ran: map[string]int{},
		Entry: ServerEntry{Backend: backend, Address: address.String(), Zone: zone, Version: "v1", Concurrency: 2, State: "ready", Born: 1},
	}
	go sr.serve()
	go sr.accept()
	return sr, nil
}

// Stop ends the server without a word: its host refuses connections.
func (sr *Server) Stop() {
	_ = sr.packets.Close()
	_ = sr.checks.Close()
}

// SetSilent makes the server take packets without answering.
func (sr *Server) SetSilent(silent bool) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.silent = silent
}

// Opened returns how many flows reached the server.
func (sr *Server) Opened() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.opened
}

// Bad returns how many packets were not as their sender wrote them.
func (sr *Server) Bad() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.bad
}

// Ran returns how often a request ran here.
func (sr *Server) Ran(request string) int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.ran[request]
}

// accept takes connections, which nothing is sent on, until Stop.
func (sr *Server) accept() {
	for {
		conn, err := sr.checks.Accept()
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
		if size < numberBytes {
			continue
		}
		meant := binary.BigEndian.Uint64(buffer)
		hd, data, whole := unmarshal(buffer[numberBytes:size])
		sr.mu.Lock()
		switch {
		case !whole:
			sr.bad++
		case sr.silent || meant != 0 && meant != sr.number:
		default:
			sr.handle(hd, string(data))
		}
		sr.mu.Unlock()
	}
}

// handle answers a packet. The caller holds mu.
func (sr *Server) handle(hd head, data string) {
	key := hd.From.String() + " " + hd.To.String()
	fl := sr.flows[key]
	switch {
	case hd.Flags&flagSYN != 0:
		if fl == nil {
			fl = &served{seq: uint32(sr.number) + 1, ack: hd.Seq + 1}
			sr.flows[key] = fl
			sr.opened++
		}
		fl.echo = hd.Echo
		sr.send(hd, fl, head{Seq: uint32(sr.number), Ack: fl.ack, Flags: flagSYN | flagACK}, nil)
	case hd.Flags&flagRST != 0:
		delete(sr.flows, key)
	case fl == nil || !fl.open && hd.Ack != fl.seq:
		sr.send(hd, &served{echo: hd.Echo}, head{Seq: hd.Ack, Flags: flagRST}, nil)
	default:
		fl.open, fl.echo = true, hd.Echo
		sr.handleData(hd, fl, data)
	}
}

func (sr *Server) handleData(hd head, fl *served, data string) {
	if data == "" {
		return
	}
	if hd.Seq == fl.ack {
		sr.ran[data]++
		fl.last = []byte(sr.ID)
		fl.ack += uint32(len(data))
		fl.seq += uint32(len(fl.last))
	}
	sr.send(hd, fl, head{Seq: fl.seq - uint32(len(fl.last)), Ack: fl.ack, Flags: flagACK}, fl.last)
}

// send sends a packet to the caller of a packet.
func (sr *Server) send(to head, fl *served, hd head, data []byte) {
	hd.From, hd.To, hd.Echo = to.To, to.From, fl.echo
	target := netip.AddrPortFrom(to.From.Addr(), sr.callerPort)
	_, _ = sr.packets.WriteToUDPAddrPort(hd.marshal(data), target) // a lost packet is repeated
}
