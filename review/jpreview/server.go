package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for a backend server. It runs each request for workTime and
// answers the caller directly.
type backend struct {
	id       string
	number   uint64
	service  string
	zone     string
	address  netip.AddrPort
	born     int64 // Unix ms
	workTime time.Duration

	// ignoreHalfOpen makes the server ignore packets of a flow of which it has only a
	// SYN, if they don't acknowledge its SYN+ACK. Otherwise it answers them with a reset.
	ignoreHalfOpen bool

	callerPort uint16
	record     *recorder
	conn       *net.UDPConn
	health     *http.Server

	mu         sync.Mutex
	flows      map[flowID]*backendFlow
	opened     int            // flows opened so far
	executions map[string]int // by request
	ignored    map[flowID]int // packets that were ignored because of ignoreHalfOpen
}

// flowID identifies a flow by its two ends.
type flowID struct{ caller, route netip.AddrPort }

// backendFlow is a flow at its server.
type backendFlow struct {
	echo   uint32
	seq    uint32 // next sequence number of the server
	ack    uint32 // next sequence number of the caller
	open   bool
	answer packet // latest answer, repeated when the request is
}

// entry returns the server's entry in the store.
func (bk *backend) entry(state string) map[string]any {
	return map[string]any{
		"backend": bk.service, "address": bk.address.String(), "zone": bk.zone, "version": "v1",
		"concurrency": 2, "state": state, "warmupLeftMs": 0, "sequence": 1, "born": bk.born,
	}
}

func (bk *backend) start() error {
	var err error
	if bk.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bk.address)); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", bk.address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("X-Jacinthpass-Instance-Id", bk.id)
	})
	bk.health = &http.Server{Handler: mux}
	go func() { _ = bk.health.Serve(listener) }() // returns after close
	go bk.serve()
	return nil
}

func (bk *backend) close() {
	if bk.conn != nil {
		_ = bk.conn.Close()
	}
	if bk.health != nil {
		_ = bk.health.Close()
	}
}

func (bk *backend) serve() {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, _, err := bk.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < serverNumberSize {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		pk, valid := unmarshal(buffer[serverNumberSize:size])
		if !valid {
			bk.record.add("server %s got a packet that its sender did not write so", bk.id)
			continue
		}
		if number == 0 || number == bk.number {
			bk.mu.Lock()
			bk.handle(pk)
			bk.mu.Unlock()
		}
	}
}

// handle handles a packet of a caller. The caller of handle holds mu.
func (bk *backend) handle(pk packet) {
	id := flowID{pk.From, pk.To}
	fl := bk.flows[id]
	switch {
	case pk.Flags&flagSYN != 0:
		if fl == nil {
			fl = &backendFlow{seq: rand.Uint32(), ack: pk.Seq + 1}
			bk.flows[id] = fl
			bk.record.add("server %s got the SYN of %s to %s", bk.id, pk.From, pk.To)
		}
		if !fl.open {
			fl.echo = pk.Echo
			bk.send(id, packet{Echo: fl.echo, Seq: fl.seq, Ack: fl.ack, Flags: flagSYN | flagACK})
		}
	case pk.Flags&flagRST != 0:
		delete(bk.flows, id)
	case fl != nil && !fl.open && pk.Ack != fl.seq+1 && bk.ignoreHalfOpen:
		bk.ignored[id]++
		bk.record.add("server %s ignores a packet of %s to %s, whose flow it does not hold", bk.id, pk.From, pk.To)
	case fl == nil || !fl.open && pk.Ack != fl.seq+1:
		bk.record.add("server %s resets %s to %s, whose flow it does not hold", bk.id, pk.From, pk.To)
		bk.send(id, packet{Echo: pk.Echo, Seq: pk.Ack, Flags: flagRST})
	default:
		bk.handleOpen(id, fl, pk)
	}
}

func (bk *backend) handleOpen(id flowID, fl *backendFlow, pk packet) {
	fl.echo = pk.Echo
	if !fl.open {
		fl.open = true
		fl.seq++
		bk.opened++
		bk.record.add("flow %s to %s opens at server %s", pk.From, pk.To, bk.id)
	}
	switch {
	case pk.Flags&flagFIN != 0:
		bk.send(id, packet{Echo: fl.echo, Seq: fl.seq, Ack: pk.Seq + 1, Flags: flagACK | flagFIN})
		delete(bk.flows, id)
	case len(pk.Data) > 0 && pk.Seq == fl.ack:
		fl.ack += uint32(len(pk.Data))
		request := requestID(string(pk.Data))
		bk.executions[request]++
		bk.record.add("server %s runs %s", bk.id, request)
		time.AfterFunc(bk.workTime, func() { bk.finish(id, request) })
	case len(pk.Data) > 0 && fl.answer.Ack == pk.Seq+uint32(len(pk.Data)):
		fl.answer.Echo = fl.echo
		bk.send(id, fl.answer)
	}
}

// finish answers a request if its flow is still open.
func (bk *backend) finish(id flowID, request string) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	fl := bk.flows[id]
	if fl == nil {
		return
	}
	body := bk.id + " " + request
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Jacinthpass-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", bk.id, len(body), body)
	fl.answer = packet{Echo: fl.echo, Seq: fl.seq, Ack: fl.ack, Flags: flagACK, Data: []byte(text)}
	fl.seq += uint32(len(text))
	bk.send(id, fl.answer)
}

// send sends a packet to the caller of a flow.
func (bk *backend) send(id flowID, pk packet) {
	pk.From, pk.To = id.route, id.caller
	to := netip.AddrPortFrom(id.caller.Addr(), bk.callerPort)
	_, _ = bk.conn.WriteToUDPAddrPort(pk.marshal(), to) // on an error the packet counts as lost
}

// ranTimes returns how many times the server ran a request.
func (bk *backend) ranTimes(request string) int {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return bk.executions[request]
}

// ignoredPackets returns how many packets of a flow the server has ignored.
func (bk *backend) ignoredPackets(id flowID) int {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return bk.ignored[id]
}

const requestIDHeader = "X-Jacinthpass-Request-Id: "

// requestID returns the id of a request, or "".
func requestID(text string) string {
	_, rest, _ := strings.Cut(text, requestIDHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
