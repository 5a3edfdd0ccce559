package jpsteering_test

import (
	"time"

	"jacinthpass/core/jppacket"
)

// simState is the state of one end of a simulated connection.
type simState uint8

const (
	simHandshake simState = iota
	simOpen
	simClosed
)

const (
	simFIN       = -1 // in a queue of payload sizes
	simMaxRTO    = 2 * time.Second
	simFirst     = 200 * time.Millisecond
	simSYNWait   = time.Second
	simLinger    = time.Minute
	simFINWait   = time.Minute // for the peer's end, as tcp_fin_timeout of Linux
	simWindow    = 1 << 16
	simChallenge = 200 * time.Millisecond
)

// simConn is one end of a connection: TCP with one segment under way at a time.
type simConn struct {
	flow       jppacket.Flow
	server     bool
	state      simState
	una, nxt   uint32 // next sequence numbers to be acknowledged and to be sent
	rcv        uint32 // next sequence number expected
	queue      []int  // payload sizes still to be sent
	sending    int    // payload size under way, simFIN, or 0
	finSent    bool   // and acknowledged, if sending is 0
	first      bool   // closed before the peer, so that it lingers
	finGot     bool
	rto        time.Duration
	retry      time.Time // next retransmission
	tries      int
	progress   time.Time // when the peer last acknowledged, or sending began
	closed     time.Time
	challenged time.Time // when it last answered a segment outside the window
	cold       bool      // last admitted while the server was known to be cold
}

// segment builds a packet that this end sends.
func (co *simConn) segment(flags uint8, seq uint32, payload int) []byte {
	if co.server {
		return fromServer(co.flow, flags, seq, co.rcv, payload)
	}
	acked := co.rcv
	if flags&ack == 0 {
		acked = 0
	}
	return fromCaller(co.flow, flags, seq, acked, payload)
}

// finish queues payload and the end of the connection.
func (co *simConn) finish(now time.Time, sizes ...int) [][]byte {
	co.finSent, co.first = true, !co.finGot
	return co.put(now, append(sizes, simFIN)...)
}

// put queues payload or the end of the connection and returns what to send now.
func (co *simConn) put(now time.Time, sizes ...int) [][]byte {
	co.queue = append(co.queue, sizes...)
	return co.next(now)
}

func (co *simConn) next(now time.Time) [][]byte {
	if co.state != simOpen || co.sending != 0 || len(co.queue) == 0 {
		return nil
	}
	co.sending, co.queue = co.queue[0], co.queue[1:]
	co.nxt = co.una + uint32(max(co.sending, 1))
	co.rto, co.tries, co.progress = simFirst, 0, now
	co.retry = now.Add(co.rto)
	return [][]byte{co.current()}
}

// current is the segment under way.
func (co *simConn) current() []byte {
	switch {
	case co.state == simHandshake && co.server:
		return co.segment(syn|ack, co.una, 0)
	case co.state == simHandshake:
		return co.segment(syn, co.una, 0)
	case co.sending == simFIN:
		return co.segment(fin|ack, co.una, 0)
	}
	return co.segment(ack, co.una, co.sending)
}

// tick retransmits what was not acknowledged.
func (co *simConn) tick(now time.Time) [][]byte {
	waiting := co.state == simHandshake || co.state == simOpen && co.sending != 0
	if !waiting || now.Before(co.retry) {
		return nil
	}
	co.tries++
	co.rto *= 2
	if co.state == simOpen {
		co.rto = min(co.rto, simMaxRTO)
	}
	co.retry = now.Add(co.rto)
	return [][]byte{co.current()}
}

// halfClosed tells whether only the peer's end of the connection is missing.
func (co *simConn) halfClosed() bool {
	return co.state == simOpen && co.finSent && co.sending == 0 && len(co.queue) == 0 && !co.finGot
}

// lastACK tells whether only the acknowledgement of this end's FIN is missing.
func (co *simConn) lastACK() bool {
	return co.state == simOpen && co.finGot && co.finSent && co.sending == simFIN && len(co.queue) == 0
}

// open completes the handshake.
func (co *simConn) open(now time.Time) {
	co.state, co.una, co.progress = simOpen, co.nxt, now
}

// input takes in a segment of an open connection. It returns the answers, the
// payload accepted and whether the connection was reset.
func (co *simConn) input(now time.Time, hd *jppacket.Header) (answers [][]byte, payload int, reset bool) {
	if hd.Flags&rst != 0 {
		return nil, 0, hd.Sequence == co.rcv
	}
	if hd.Flags&ack != 0 && hd.Flags&syn == 0 && co.sending != 0 && hd.Acknowledgement == co.nxt {
		co.una, co.sending, co.progress = co.nxt, 0, now
		answers = co.next(now)
	}
	length := uint32(hd.PayloadLength)
	if hd.Flags&fin != 0 {
		length++
	}
	switch {
	case hd.Flags&syn != 0, length == 0 && hd.Sequence-co.rcv > simWindow:
		// A segment without payload inside the window is not answered; others
		// are, but not so often that two ends answer each other for ever.
		if now.Sub(co.challenged) >= simChallenge {
			co.challenged = now
			answers = append(answers, co.segment(ack, co.nxt, 0))
		}
	case length > 0:
		if hd.Sequence == co.rcv {
			co.rcv += length
			payload = int(hd.PayloadLength)
			co.finGot = hd.Flags&fin != 0
		}
		answers = append(answers, co.segment(ack, co.nxt, 0))
	}
	if co.finGot && co.finSent && co.sending == 0 && co.state == simOpen {
		co.state, co.closed = simClosed, now
	}
	return answers, payload, false
}

// simServer is one backend server: a machine with the addresses of services.
type simServer struct {
	w        *world
	num      int
	dc       int
	conns    map[jppacket.Flow]*simConn
	order    []*simConn
	dead     bool
	shedding bool
	coldEnd  time.Time // really cold until then
	lies     bool      // load endpoint always reports warm
	lost     time.Time // when it last lost its connections
	out      time.Time // when its data centre was last taken out

	isOut      bool      // under the latest settings
	outVersion uint64    // of the settings that took it out
	outSpread  time.Time // when all instances had them, zero if not yet
}

func (ms *simServer) input(pkt []byte) {
	var hd jppacket.Header
	if ms.dead || hd.Parse(pkt) != nil {
		return
	}
	fl := hd.FlowFromCaller()
	co := ms.conns[fl]
	isSYN := hd.Flags&(syn|ack|rst) == syn
	switch {
	case co == nil && hd.Flags&rst != 0:
	case co == nil && isSYN && ms.shedding:
		ms.send(fromServer(fl, rst|ack, 0, hd.Sequence+1, 0))
	case co == nil && isSYN:
		ms.accept(fl, &hd)
	case co == nil && hd.Flags&ack != 0:
		ms.send(fromServer(fl, rst, hd.Acknowledgement, 0, 0))
	case co == nil:
	case co.state == simHandshake:
		ms.handshake(co, &hd)
	default:
		ms.established(co, &hd)
	}
}

func (ms *simServer) accept(fl jppacket.Flow, hd *jppacket.Header) {
	isn := ms.w.rng.Uint32()
	co := &simConn{flow: fl, server: true, una: isn, nxt: isn + 1, rcv: hd.Sequence + 1, rto: simSYNWait, retry: ms.w.now.Add(simSYNWait)}
	ms.conns[fl] = co
	ms.order = append(ms.order, co)
	ms.send(co.current())
}

// handshake behaves like Linux: a segment outside the window is answered with
// an acknowledgement before its acknowledgement number is looked at.
func (ms *simServer) handshake(co *simConn, hd *jppacket.Header) {
	switch {
	case hd.Flags&rst != 0:
		if hd.Sequence == co.rcv {
			ms.forget(co)
		}
	case hd.Flags&syn != 0:
		ms.send(co.current())
	case hd.Sequence-co.rcv > simWindow:
		ms.send(co.segment(ack, co.nxt, 0))
	case hd.Acknowledgement != co.nxt:
		ms.send(fromServer(co.flow, rst, hd.Acknowledgement, 0, 0))
	default:
		co.open(ms.w.now)
		ms.w.oracle.opened(ms, co)
		ms.established(co, hd)
	}
}

func (ms *simServer) established(co *simConn, hd *jppacket.Header) {
	answers, payload, reset := co.input(ms.w.now, hd)
	if reset {
		ms.w.oracle.serverReset(ms, co)
		ms.forget(co)
		return
	}
	ms.send(answers...)
	if payload > 0 {
		ms.respond(co)
	}
	if co.finGot && !co.finSent {
		ms.send(co.finish(ms.w.now)...)
	}
}

// respond answers a request after a while and closes; on a standing connection
// it answers each message.
func (ms *simServer) respond(co *simConn) {
	delay := time.Duration(1+ms.w.rng.IntN(60)) * time.Millisecond
	ms.w.after(delay, func() {
		if ms.conns[co.flow] != co || ms.dead || co.state != simOpen {
			return
		}
		if ms.w.isRequest(co.flow) && !co.finSent {
			ms.send(co.finish(ms.w.now, 300)...)
		} else if !co.finSent {
			ms.send(co.put(ms.w.now, 80)...)
		}
	})
}

func (ms *simServer) forget(co *simConn) {
	delete(ms.conns, co.flow)
	for ix, other := range ms.order {
		if other == co {
			ms.order = append(ms.order[:ix:ix], ms.order[ix+1:]...)
			return
		}
	}
}

func (ms *simServer) send(pkts ...[]byte) {
	for _, pkt := range pkts {
		ms.w.fabric(place{dc: ms.dc}, pkt, ms.address())
	}
}

func (ms *simServer) tick() {
	if ms.dead {
		return
	}
	now := ms.w.now
	for _, co := range append([]*simConn(nil), ms.order...) {
		switch {
		case co.state == simHandshake && co.tries >= 4, co.state == simClosed && (!co.first || now.Sub(co.closed) > simLinger), co.tries > 30,
			co.halfClosed() && now.Sub(co.progress) > simFINWait:
			ms.forget(co)
			continue
		case co.state == simOpen && !ms.w.isRequest(co.flow) && !co.finSent && ms.w.rng.IntN(40) == 0:
			ms.send(co.put(now, 60)...) // push
		}
		ms.send(co.tick(now)...)
	}
}

// simCaller is one caller with one flow.
type simCaller struct {
	w       *world
	dc      int
	conn    *simConn
	started time.Time
	ends    time.Time // when it closes a standing connection
	passive bool      // only receives
	dropped bool      // vanished without closing
	over    string    // how the flow ended
}

func (cl *simCaller) input(pkt []byte) {
	var hd jppacket.Header
	if cl.dropped || hd.Parse(pkt) != nil {
		return
	}
	co, now := cl.conn, cl.w.now
	if cl.over != "" && !(co.state == simClosed && co.first) {
		if hd.Flags&(rst|ack) == ack {
			cl.send(fromCaller(co.flow, rst, hd.Acknowledgement, 0, 0))
		}
		return
	}
	if co.state == simHandshake {
		switch {
		case hd.Flags&rst != 0 && hd.Flags&ack != 0 && hd.Acknowledgement == co.nxt:
			cl.end("refused")
			cl.w.oracle.refused(cl)
		case hd.Flags&(syn|ack|rst) == syn|ack && hd.Acknowledgement == co.nxt:
			co.rcv = hd.Sequence + 1
			co.open(now)
			cl.send(co.segment(ack, co.nxt, 0))
			cl.begin()
		case hd.Flags&(ack|rst) == ack:
			cl.send(fromCaller(co.flow, rst, hd.Acknowledgement, 0, 0))
		}
		return
	}
	answers, _, reset := co.input(now, &hd)
	if reset && co.lastACK() {
		// The user of the connection has everything; TCP reports no error.
		co.state, co.closed = simClosed, now
		cl.end("done")
		return
	}
	if reset {
		if cl.over == "" {
			cl.end("reset")
			cl.w.oracle.reset(cl)
		}
		return
	}
	cl.send(answers...)
	if co.finGot && !co.finSent {
		cl.send(co.finish(now)...)
	}
	if co.state == simClosed && cl.over == "" {
		cl.end("done")
	}
}

// begin sends the request or the first message.
func (cl *simCaller) begin() {
	if !cl.passive {
		cl.send(cl.conn.put(cl.w.now, 200)...)
	}
}

func (cl *simCaller) end(how string) {
	cl.over = how
	cl.w.ended[how]++
}

func (cl *simCaller) tick() {
	co, now := cl.conn, cl.w.now
	if cl.over != "" || cl.dropped {
		return
	}
	switch {
	case co.state == simHandshake && co.tries >= 4:
		cl.end("timeout")
		return
	case co.tries > 40:
		cl.end("gave up")
		return
	case co.state == simOpen && !cl.w.isRequest(co.flow) && !co.finSent:
		if !now.Before(cl.ends) {
			cl.send(co.finish(now)...)
		} else if !cl.passive && cl.w.rng.IntN(20) == 0 {
			cl.send(co.put(now, 100)...)
		}
	}
	cl.send(co.tick(now)...)
}

func (cl *simCaller) send(pkts ...[]byte) {
	for _, pkt := range pkts {
		cl.w.fabric(place{dc: cl.dc}, pkt, anyAddress)
	}
}
