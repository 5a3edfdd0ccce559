package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is what a server writes of itself to the store.
type entry struct {
	Backend      string  `json:"backend"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Version      string  `json:"version"`
	Concurrency  int     `json:"concurrency"`
	State        string  `json:"state"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
	Sequence     int     `json:"sequence"`
	Born         int64   `json:"born"`
}

const (
	heartbeat   = 770 * time.Millisecond
	serverSlots = 2
	maxRetries  = 8 // retransmissions of a server before it gives up
)

// halfOpenIgnored says that a server keeps silent about packets of a flow of which it has
// only the SYN, instead of treating it as one that it does not hold.
var halfOpenIgnored = os.Getenv("HALF_OPEN") == "ignore"

// retryAfter returns the time from a transmission to the next one.
func retryAfter(retries int) time.Duration {
	return min(200*time.Millisecond<<retries, 1600*time.Millisecond)
}

// server is a backend server.
type server struct {
	rig     *rig
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	conn    *net.UDPConn
	health  net.Listener
	warmAt  time.Time // end of the slow start
	work    time.Duration
	slots   chan struct{}
	stopped chan struct{}

	born     int64 // Unix ms
	mu       sync.Mutex
	state    string
	sequence int
	flows    map[string]*serverFlow
}

// serverFlow is a flow that a server holds.
type serverFlow struct {
	open    bool
	peer    netip.AddrPort // consumer's end
	route   netip.AddrPort
	echo    uint32
	seq     uint32 // next sequence number to send
	ack     uint32 // next one expected from the consumer
	unacked *packet
	retries int
	timer   *time.Timer
	request []byte // received part of the request
}

func (rg *rig) startServer(service, zone string, address netip.AddrPort, cold time.Duration) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", address.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	number := uint64(rand.Uint32())<<8 | uint64(rand.Uint32N(255)+1)
	sv := &server{
		rig: rg, id: fmt.Sprintf("i-%010x", number), number: number, service: service, zone: zone, address: address,
		conn: conn, health: health, warmAt: time.Now().Add(cold), born: time.Now().UnixMilli(), work: workTime, state: "ready",
		slots: make(chan struct{}, serverSlots), stopped: make(chan struct{}), flows: map[string]*serverFlow{},
	}
	go sv.serve()
	go sv.serveHealth()
	go sv.report()
	return sv, nil
}

// report writes the server's entry to the store at intervals.
func (sv *server) report() {
	for {
		sv.write()
		select {
		case <-sv.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// write writes the server's entry to the store.
func (sv *server) write() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.sequence++
	sv.rig.store.Put("servers/"+sv.id, entry{
		Backend: sv.service, Address: sv.address.String(), Zone: sv.zone, Version: "v1", Concurrency: serverSlots,
		State: sv.state, WarmupLeftMs: max(time.Until(sv.warmAt).Seconds()*1000, 0), Sequence: sv.sequence, Born: sv.born,
	})
}

// serveHealth answers status checks.
func (sv *server) serveHealth() {
	for {
		conn, err := sv.health.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			if n, _ := conn.Read(make([]byte, 2048)); n > 0 {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			}
		}()
	}
}

func (sv *server) serve() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := sv.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < 8 {
			continue
		}
		pk, ok := unmarshal(buffer[8:size])
		if number := binary.BigEndian.Uint64(buffer); !ok || number != 0 && number != sv.number {
			continue
		}
		sv.mu.Lock()
		sv.handle(pk)
		sv.mu.Unlock()
	}
}

// handle handles a packet of a consumer. The caller holds mu.
func (sv *server) handle(pk packet) {
	key := pk.src.String() + ">" + pk.dst.String()
	fl := sv.flows[key]
	switch {
	case pk.has(flagSYN):
		if fl == nil {
			fl = &serverFlow{peer: pk.src, route: pk.dst, seq: rand.Uint32(), ack: pk.seq + 1}
			sv.flows[key] = fl
			sv.rig.noteSYN(sv, pk)
			fl.echo = pk.echo
			fl.seq++
			sv.sendReliable(key, fl, packet{seq: fl.seq - 1, ack: fl.ack, flags: flagSYN | flagACK})
			return
		}
		fl.echo = pk.echo
		if !fl.open {
			sv.send(fl, *fl.unacked)
		}
	case pk.has(flagRST):
		sv.drop(key, fl)
	case fl == nil || !fl.open && pk.ack != fl.seq:
		// The flow is not open here, so the packet is of a flow that this server does not hold.
		sv.rig.noteForeign(sv, pk)
		if fl != nil && halfOpenIgnored {
			return
		}
		sv.send(&serverFlow{peer: pk.src, route: pk.dst, echo: pk.echo}, packet{seq: pk.ack, flags: flagRST})
	default:
		if !fl.open {
			fl.open = true
			sv.rig.noteOpen(sv, pk)
		}
		fl.echo = pk.echo
		sv.rig.noteOwn(pk)
		sv.handleOpen(key, fl, pk)
	}
}

func (sv *server) drop(key string, fl *serverFlow) {
	if fl != nil {
		fl.timer.Stop()
		delete(sv.flows, key)
	}
}

// handleOpen handles a packet of an open flow.
func (sv *server) handleOpen(key string, fl *serverFlow, pk packet) {
	if fl.unacked != nil && pk.ack == fl.seq {
		fl.unacked, fl.retries = nil, 0
		fl.timer.Stop()
	}
	if pk.has(flagFIN) {
		sv.send(fl, packet{seq: fl.seq, ack: pk.seq + 1, flags: flagACK | flagFIN})
		sv.drop(key, fl)
		return
	}
	if len(pk.data) == 0 {
		return
	}
	if pk.seq != fl.ack { // sent again
		sv.send(fl, packet{seq: fl.seq, ack: fl.ack, flags: flagACK})
		return
	}
	fl.ack += uint32(len(pk.data))
	fl.request = append(fl.request, pk.data...)
	head, body, ok := strings.Cut(string(fl.request), "\r\n\r\n")
	if !ok || len(body) < headerInt(head, "Content-Length") {
		return
	}
	fl.request = nil
	id := headerText(head, "X-Jacinthpass-Request-Id")
	go sv.run(key, fl, id)
}

// run runs a request and answers it.
func (sv *server) run(key string, fl *serverFlow, id string) {
	sv.slots <- struct{}{}
	sv.rig.noteRun(sv, id)
	time.Sleep(sv.work)
	<-sv.slots
	body := strings.Repeat("x", 500)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Jacinthpass-Request-Id: %s\r\nX-Jacinthpass-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, sv.id, len(body), body)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.flows[key] != fl {
		return
	}
	fl.seq += uint32(len(text))
	sv.sendReliable(key, fl, packet{seq: fl.seq - uint32(len(text)), ack: fl.ack, flags: flagACK, data: []byte(text)})
}

// sendReliable sends a packet, and again until it is acknowledged or the server gives up.
func (sv *server) sendReliable(key string, fl *serverFlow, pk packet) {
	fl.unacked, fl.retries = &pk, 0
	sv.send(fl, pk)
	fl.timer = time.AfterFunc(retryAfter(0), func() { sv.retry(key, fl, &pk) })
}

func (sv *server) retry(key string, fl *serverFlow, pk *packet) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.flows[key] != fl || fl.unacked != pk {
		return
	}
	if fl.retries++; fl.retries > maxRetries {
		delete(sv.flows, key)
		return
	}
	sv.send(fl, *pk)
	fl.timer = time.AfterFunc(retryAfter(fl.retries), func() { sv.retry(key, fl, pk) })
}

// send sends a packet to the consumer of a flow, unless the network loses it.
func (sv *server) send(fl *serverFlow, pk packet) {
	select {
	case <-sv.stopped:
		return
	default:
	}
	pk.src, pk.dst, pk.echo = fl.route, fl.peer, fl.echo
	if sv.rig.loses(sv, pk) {
		return
	}
	_, _ = sv.conn.WriteToUDPAddrPort(pk.marshal(), netip.AddrPortFrom(fl.peer.Addr(), sv.rig.dataPort))
}

func headerText(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if key, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(key, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func headerInt(head, name string) int {
	number, _ := strconv.Atoi(headerText(head, name)) // 0 if there is none
	return number
}
