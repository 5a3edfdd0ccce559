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

// consumer is a caller at an address of its own.
type consumer struct {
	rig  *rig
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*flow
}

// flow is one of a consumer's flows. Its fields belong to the goroutine that uses it.
type flow struct {
	consumer *consumer
	route    netip.AddrPort
	port     uint16
	seq, ack uint32
	echo     uint32 // the last one received on the flow
	packets  chan packet
	openedAt time.Time
	usedAt   time.Time // latest packet
	opened   bool
}

// Errors of flows.
var (
	errReset   = errors.New("flow was reset")
	errRefused = errors.New("flow was refused")
	errTimeout = errors.New("no answer in time")
)

func (rg *rig) startConsumer(zone string, ip netip.Addr) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, rg.dataPort)))
	if err != nil {
		return nil, err
	}
	cs := &consumer{rig: rg, zone: zone, ip: ip, conn: conn, nextPort: uint16(20000 + rand.N(20000)), flows: map[uint16]*flow{}}
	go cs.serve()
	return cs, nil
}

func (cs *consumer) serve() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := cs.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		pk, ok := unmarshal(buffer[:size])
		if !ok {
			continue
		}
		cs.mu.Lock()
		fl := cs.flows[pk.dst.Port()]
		cs.mu.Unlock()
		if fl == nil || fl.route != pk.src {
			continue
		}
		select {
		case fl.packets <- pk:
		default: // too many wait: it is lost
		}
	}
}

// send sends a packet to the instance that the platform's routers select.
func (fl *flow) send(pk packet) {
	pk.src, pk.dst, pk.echo = netip.AddrPortFrom(fl.consumer.ip, fl.port), fl.route, fl.echo
	fl.usedAt = time.Now()
	in := fl.consumer.rig.route(fl.consumer.zone, pk)
	_, _ = fl.consumer.conn.WriteToUDPAddrPort(pk.marshal(), netip.AddrPortFrom(in.ip, fl.consumer.rig.dataPort))
	fl.consumer.rig.notePacket(fl, pk, in)
}

// open opens a flow.
func (cs *consumer) open(route netip.AddrPort) (*flow, error) {
	cs.mu.Lock()
	cs.nextPort++
	fl := &flow{consumer: cs, route: route, port: cs.nextPort, seq: rand.Uint32(), packets: make(chan packet, 64)}
	cs.flows[fl.port] = fl
	cs.mu.Unlock()
	began := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		fl.send(packet{seq: fl.seq, ack: uint32(copies), flags: flagSYN})
		pk, err := fl.await(began.Add(until), func(pk packet) bool { return pk.has(flagSYN) && pk.ack == fl.seq+1 })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			fl.forget()
			return nil, errRefused
		}
		fl.seq, fl.ack, fl.openedAt, fl.opened = fl.seq+1, pk.seq+1, time.Now(), true
		fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagACK})
		return fl, nil
	}
	fl.forget()
	return nil, errTimeout
}

// await returns the first packet that accept selects. The flow takes the echo of each
// packet that it receives.
func (fl *flow) await(until time.Time, accept func(packet) bool) (packet, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return packet{}, errTimeout
		case pk := <-fl.packets:
			if pk.has(flagRST) {
				// A reset of the system counts only near the consumer's last acknowledgement.
				if far := int32(pk.seq - fl.ack); fl.opened && pk.sum == 0 && (far > 76800 || far < -76800) {
					continue
				}
				fl.consumer.rig.noteResetSeen(fl, pk)
				return packet{}, errReset
			}
			fl.echo = pk.echo
			if accept(pk) {
				return pk, nil
			}
		}
	}
}

// request sends a request on an open flow and waits for the whole answer.
func (fl *flow) request(id, method string, budget time.Duration) (string, error) {
	body := ""
	if method == "POST" {
		body = strings.Repeat("b", 400)
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: desk\r\nX-Jacinthpass-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, id, id, len(body), body)
	end := time.Now().Add(budget)
	for retries := 0; time.Now().Before(end); retries++ {
		fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagACK, data: []byte(text)})
		until := time.Now().Add(retryAfter(retries))
		if until.After(end) {
			until = end
		}
		pk, err := fl.await(until, func(pk packet) bool { return len(pk.data) > 0 && pk.seq == fl.ack })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return "", err
		}
		fl.seq += uint32(len(text))
		fl.ack += uint32(len(pk.data))
		fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagACK})
		return string(pk.data), nil
	}
	return "", errTimeout
}

// pause waits between two requests. It returns an error if the flow is reset meanwhile.
func (fl *flow) pause(length time.Duration) error {
	_, err := fl.await(time.Now().Add(length), func(packet) bool { return false })
	if errors.Is(err, errTimeout) {
		return nil
	}
	return err
}

// close ends the flow.
func (fl *flow) close() {
	fl.send(packet{seq: fl.seq, ack: fl.ack, flags: flagFIN | flagACK})
	_, _ = fl.await(time.Now().Add(100*time.Millisecond), func(pk packet) bool { return pk.has(flagFIN) })
	fl.forget()
}

func (fl *flow) forget() {
	fl.consumer.mu.Lock()
	defer fl.consumer.mu.Unlock()
	delete(fl.consumer.flows, fl.port)
}
