package jpplatform

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// numberBytes is the size of the server's number before a packet.
const serverNumberBytes = 8

// Server is a backend server that answers each request at once with its own id.
type Server struct {
	Entry ServerEntry
	ID    string

	number         uint64
	callerPort     uint16
	packets        *net.UDPConn
	healthListener net.Listener

	mu         sync.Mutex
	flows      map[string]*serverFlow
	silent     bool // takes packets and answers nothing
	flowCount  int
	executions map[string]int // by request
	corrupt    int            // packets that their sender did not write so
}

// served is a flow at a server.
type serverFlow struct {
	echo        uint32
	seq         uint32 // next of the server
	ack         uint32 // next of the caller
	established bool
	lastAnswer  []byte // latest answer
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
		ID: fmt.Sprintf("i-%08x", number), number: uint64(number), callerPort: callerPort, packets: packets, healthListener: checks,
		flows: map[string]*serverFlow{}, executions: map[string]int{},
		Entry: ServerEntry{Backend: backend, Address: address.String(), Zone: zone, Version: "v1", Concurrency: 2, State: "ready", Born: 1},
	}
	go sr.serve()
	go sr.accept()
	return sr, nil
}

// Stop ends the server without a word: its host refuses connections.
func (sr *Server) Stop() {
	_ = sr.packets.Close()
	_ = sr.healthListener.Close()
}

// SetSilent makes the server take packets without answering.
func (sr *Server) SetSilent(silent bool) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.silent = silent
}

// Opened returns how many flows reached the server.
func (sr *Server) FlowCount() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.flowCount
}

// Bad returns how many packets were not as their sender wrote them.
func (sr *Server) CorruptPackets() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.corrupt
}

// Ran returns how often a request ran here.
func (sr *Server) Executions(request string) int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.executions[request]
}

// accept takes connections, which nothing is sent on, until Stop.
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

// handle answers a packet. The caller holds mu.
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
	sr.send(hd, fl, header{Seq: fl.seq - uint32(len(fl.lastAnswer)), Ack: fl.ack, Flags: flagACK}, fl.lastAnswer)
}

// send sends a packet to the caller of a packet.
func (sr *Server) send(to header, fl *serverFlow, hd header, data []byte) {
	hd.From, hd.To, hd.Echo = to.To, to.From, fl.echo
	target := netip.AddrPortFrom(to.From.Addr(), sr.callerPort)
	_, _ = sr.packets.WriteToUDPAddrPort(hd.marshal(data), target) // a lost packet is repeated
}
