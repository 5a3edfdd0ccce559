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
	queuedFIN            = -1 // in simConn.sendQueue and inFlight, a FIN instead of payload
	simMaxRTO            = 2 * time.Second
	simInitialRTO        = 200 * time.Millisecond
	simSYNTimeout        = time.Second
	simTimeWait          = time.Minute
	simFINTimeout        = time.Minute // wait for the peer's FIN, as tcp_fin_timeout of Linux
	simWindow            = 1 << 16     // bytes
	simChallengeInterval = 200 * time.Millisecond
)

// simConn is one end of a TCP connection that has at most one segment in flight.
type simConn struct {
	flow            jppacket.Flow
	server          bool
	state           simState
	sndUna, sndNxt  uint32 // first unacknowledged and next sequence number (SND.UNA, SND.NXT)
	rcvNxt          uint32 // next sequence number expected (RCV.NXT)
	sendQueue       []int  // payload sizes still to be sent, in bytes
	inFlight        int    // payload bytes in flight, queuedFIN, or 0
	finSent         bool   // FIN sent or queued; acknowledged if inFlight is 0
	activeClose     bool   // sent its FIN before the peer's, so that it enters TIME_WAIT
	finReceived     bool
	rto             time.Duration
	retransmitAt    time.Time // when the segment in flight is next retransmitted
	retransmissions int
	lastProgress    time.Time // when the peer last acknowledged a segment, or the one in flight was first sent
	closedAt        time.Time
	lastChallenge   time.Time // when it last sent a rate-limited ACK, see receive
	admittedCold    bool      // see oracle.admittedCold
}

// segment builds a segment from this end.
func (co *simConn) segment(flags uint8, seq uint32, payload int) []byte {
	if co.server {
		return serverSegment(co.flow, flags, seq, co.rcvNxt, payload)
	}
	acked := co.rcvNxt
	if flags&ack == 0 {
		acked = 0
	}
	return callerSegment(co.flow, flags, seq, acked, payload)
}

// closeAfter queues payload and a FIN. It returns the segments to send now.
func (co *simConn) closeAfter(now time.Time, sizes ...int) [][]byte {
	co.finSent, co.activeClose = true, !co.finReceived
	return co.enqueue(now, append(sizes, queuedFIN)...)
}

// enqueue queues payload or queuedFIN. It returns the segments to send now.
func (co *simConn) enqueue(now time.Time, sizes ...int) [][]byte {
	co.sendQueue = append(co.sendQueue, sizes...)
	return co.sendNext(now)
}

func (co *simConn) sendNext(now time.Time) [][]byte {
	if co.state != simOpen || co.inFlight != 0 || len(co.sendQueue) == 0 {
		return nil
	}
	co.inFlight, co.sendQueue = co.sendQueue[0], co.sendQueue[1:]
	co.sndNxt = co.sndUna + uint32(max(co.inFlight, 1))
	co.rto, co.retransmissions, co.lastProgress = simInitialRTO, 0, now
	co.retransmitAt = now.Add(co.rto)
	return [][]byte{co.currentSegment()}
}

// currentSegment returns the segment in flight.
func (co *simConn) currentSegment() []byte {
	switch {
	case co.state == simHandshake && co.server:
		return co.segment(syn|ack, co.sndUna, 0)
	case co.state == simHandshake:
		return co.segment(syn, co.sndUna, 0)
	case co.inFlight == queuedFIN:
		return co.segment(fin|ack, co.sndUna, 0)
	}
	return co.segment(ack, co.sndUna, co.inFlight)
}

// retransmit returns the segment in flight if its retransmission timeout has expired.
func (co *simConn) retransmit(now time.Time) [][]byte {
	waiting := co.state == simHandshake || co.state == simOpen && co.inFlight != 0
	if !waiting || now.Before(co.retransmitAt) {
		return nil
	}
	co.retransmissions++
	co.rto *= 2
	if co.state == simOpen {
		co.rto = min(co.rto, simMaxRTO)
	}
	co.retransmitAt = now.Add(co.rto)
	return [][]byte{co.currentSegment()}
}

// halfClosed reports whether only the peer's FIN is missing (FIN_WAIT_2).
func (co *simConn) halfClosed() bool {
	return co.state == simOpen && co.finSent && co.inFlight == 0 && len(co.sendQueue) == 0 && !co.finReceived
}

// awaitsLastACK reports whether only the acknowledgement of this end's FIN is
// missing (LAST_ACK).
func (co *simConn) awaitsLastACK() bool {
	return co.state == simOpen && co.finReceived && co.finSent && co.inFlight == queuedFIN && len(co.sendQueue) == 0
}

// completeHandshake opens the connection.
func (co *simConn) completeHandshake(now time.Time) {
	co.state, co.sndUna, co.lastProgress = simOpen, co.sndNxt, now
}

// receive handles a segment of an open connection. It returns the segments to send
// in reply, the accepted payload in bytes, and whether the connection was reset.
func (co *simConn) receive(now time.Time, hd *jppacket.Header) (answers [][]byte, payload int, reset bool) {
	if hd.Flags&rst != 0 {
		return nil, 0, hd.Sequence == co.rcvNxt
	}
	if hd.Flags&ack != 0 && hd.Flags&syn == 0 && co.inFlight != 0 && hd.Acknowledgement == co.sndNxt {
		co.sndUna, co.inFlight, co.lastProgress = co.sndNxt, 0, now
		answers = co.sendNext(now)
	}
	length := uint32(hd.PayloadLength)
	if hd.Flags&fin != 0 {
		length++
	}
	switch {
	case hd.Flags&syn != 0, length == 0 && hd.Sequence-co.rcvNxt > simWindow:
		// The ACK for a SYN, or for a segment without payload outside the window, is
		// rate-limited, so that two ends do not send ACKs to each other forever.
		if now.Sub(co.lastChallenge) >= simChallengeInterval {
			co.lastChallenge = now
			answers = append(answers, co.segment(ack, co.sndNxt, 0))
		}
	case length > 0:
		if hd.Sequence == co.rcvNxt {
			co.rcvNxt += length
			payload = int(hd.PayloadLength)
			co.finReceived = hd.Flags&fin != 0
		}
		answers = append(answers, co.segment(ack, co.sndNxt, 0))
	}
	if co.finReceived && co.finSent && co.inFlight == 0 && co.state == simOpen {
		co.state, co.closedAt = simClosed, now
	}
	return answers, payload, false
}

// simServer is one backend server, which accepts the addresses of all services.
type simServer struct {
	sim               *simulation
	num               int
	dc                int
	connByFlow        map[jppacket.Flow]*simConn
	conns             []*simConn
	dead              bool
	shedding          bool
	coldUntil         time.Time // end of the real cold start
	alwaysReportsWarm bool      // its load endpoint does not report the cold start
	connsLost         time.Time // when it last lost all connections
	takenOut          time.Time // when its data centre was last taken out, zero if never

	isOut           bool      // according to the latest settings
	outVersion      uint64    // version of the settings that last took it out
	outAppliedByAll time.Time // when all instances had these settings, zero before
}

func (ms *simServer) receive(pkt []byte) {
	var hd jppacket.Header
	if ms.dead || hd.Parse(pkt) != nil {
		return
	}
	fl := hd.FlowFromCaller()
	co := ms.connByFlow[fl]
	isSYN := hd.Flags&(syn|ack|rst) == syn
	switch {
	case co == nil && hd.Flags&rst != 0:
	case co == nil && isSYN && ms.shedding:
		ms.send(serverSegment(fl, rst|ack, 0, hd.Sequence+1, 0))
	case co == nil && isSYN:
		ms.accept(fl, &hd)
	case co == nil && hd.Flags&ack != 0:
		ms.send(serverSegment(fl, rst, hd.Acknowledgement, 0, 0))
	case co == nil:
	case co.state == simHandshake:
		ms.handleHandshake(co, &hd)
	default:
		ms.handleEstablished(co, &hd)
	}
}

func (ms *simServer) accept(fl jppacket.Flow, hd *jppacket.Header) {
	isn := ms.sim.rng.Uint32()
	co := &simConn{flow: fl, server: true, sndUna: isn, sndNxt: isn + 1, rcvNxt: hd.Sequence + 1, rto: simSYNTimeout, retransmitAt: ms.sim.now.Add(simSYNTimeout)}
	ms.connByFlow[fl] = co
	ms.conns = append(ms.conns, co)
	ms.send(co.currentSegment())
}

// handleHandshake handles a segment of a half-open connection as Linux does: a
// segment outside the window is answered with an ACK before its acknowledgement
// number is checked.
func (ms *simServer) handleHandshake(co *simConn, hd *jppacket.Header) {
	switch {
	case hd.Flags&rst != 0:
		if hd.Sequence == co.rcvNxt {
			ms.removeConn(co)
		}
	case hd.Flags&syn != 0:
		ms.send(co.currentSegment())
	case hd.Sequence-co.rcvNxt > simWindow:
		ms.send(co.segment(ack, co.sndNxt, 0))
	case hd.Acknowledgement != co.sndNxt:
		ms.send(serverSegment(co.flow, rst, hd.Acknowledgement, 0, 0))
	default:
		co.completeHandshake(ms.sim.now)
		ms.sim.oracle.checkOpened(ms, co)
		ms.handleEstablished(co, hd)
	}
}

func (ms *simServer) handleEstablished(co *simConn, hd *jppacket.Header) {
	answers, payload, reset := co.receive(ms.sim.now, hd)
	if reset {
		ms.sim.oracle.checkServerReset(ms, co)
		ms.removeConn(co)
		return
	}
	ms.send(answers...)
	if payload > 0 {
		ms.scheduleResponse(co)
	}
	if co.finReceived && !co.finSent {
		ms.send(co.closeAfter(ms.sim.now)...)
	}
}

// scheduleResponse sends a response after a random delay. It closes the connection
// of a request, but not a stream connection.
func (ms *simServer) scheduleResponse(co *simConn) {
	delay := time.Duration(1+ms.sim.rng.IntN(60)) * time.Millisecond
	ms.sim.schedule(delay, func() {
		if ms.connByFlow[co.flow] != co || ms.dead || co.state != simOpen {
			return
		}
		if ms.sim.isRequest(co.flow) && !co.finSent {
			ms.send(co.closeAfter(ms.sim.now, 300)...)
		} else if !co.finSent {
			ms.send(co.enqueue(ms.sim.now, 80)...)
		}
	})
}

func (ms *simServer) removeConn(co *simConn) {
	delete(ms.connByFlow, co.flow)
	for ix, other := range ms.conns {
		if other == co {
			ms.conns = append(ms.conns[:ix:ix], ms.conns[ix+1:]...)
			return
		}
	}
}

func (ms *simServer) send(pkts ...[]byte) {
	for _, pkt := range pkts {
		ms.sim.sendViaFabric(netLocation{dc: ms.dc}, pkt, ms.address())
	}
}

func (ms *simServer) tick() {
	if ms.dead {
		return
	}
	now := ms.sim.now
	for _, co := range append([]*simConn(nil), ms.conns...) {
		switch {
		case co.state == simHandshake && co.retransmissions >= 4, co.state == simClosed && (!co.activeClose || now.Sub(co.closedAt) > simTimeWait), co.retransmissions > 30,
			co.halfClosed() && now.Sub(co.lastProgress) > simFINTimeout:
			ms.removeConn(co)
			continue
		case co.state == simOpen && !ms.sim.isRequest(co.flow) && !co.finSent && ms.sim.rng.IntN(40) == 0:
			ms.send(co.enqueue(now, 60)...) // a message without a request
		}
		ms.send(co.retransmit(now)...)
	}
}

// simCaller is a caller with one flow.
type simCaller struct {
	sim         *simulation
	dc          int
	conn        *simConn
	started     time.Time
	closeAt     time.Time // when it closes a stream connection
	receiveOnly bool      // sends nothing on a stream connection
	vanished    bool      // stopped without closing the connection
	ending      string    // how the flow ended, empty while it is open
}

func (cl *simCaller) receive(pkt []byte) {
	var hd jppacket.Header
	if cl.vanished || hd.Parse(pkt) != nil {
		return
	}
	co, now := cl.conn, cl.sim.now
	if cl.ending != "" && !(co.state == simClosed && co.activeClose) {
		if hd.Flags&(rst|ack) == ack {
			cl.send(callerSegment(co.flow, rst, hd.Acknowledgement, 0, 0))
		}
		return
	}
	if co.state == simHandshake {
		switch {
		case hd.Flags&rst != 0 && hd.Flags&ack != 0 && hd.Acknowledgement == co.sndNxt:
			cl.finish("refused")
			cl.sim.oracle.checkRefused(cl)
		case hd.Flags&(syn|ack|rst) == syn|ack && hd.Acknowledgement == co.sndNxt:
			co.rcvNxt = hd.Sequence + 1
			co.completeHandshake(now)
			cl.send(co.segment(ack, co.sndNxt, 0))
			cl.sendFirstMessage()
		case hd.Flags&(ack|rst) == ack:
			cl.send(callerSegment(co.flow, rst, hd.Acknowledgement, 0, 0))
		}
		return
	}
	answers, _, reset := co.receive(now, &hd)
	if reset && co.awaitsLastACK() {
		// The application has received everything, so TCP reports no error.
		co.state, co.closedAt = simClosed, now
		cl.finish("done")
		return
	}
	if reset {
		if cl.ending == "" {
			cl.finish("reset")
			cl.sim.oracle.checkCallerReset(cl)
		}
		return
	}
	cl.send(answers...)
	if co.finReceived && !co.finSent {
		cl.send(co.closeAfter(now)...)
	}
	if co.state == simClosed && cl.ending == "" {
		cl.finish("done")
	}
}

// sendFirstMessage sends the request or the first message on a stream connection.
func (cl *simCaller) sendFirstMessage() {
	if !cl.receiveOnly {
		cl.send(cl.conn.enqueue(cl.sim.now, 200)...)
	}
}

func (cl *simCaller) finish(ending string) {
	cl.ending = ending
	cl.sim.endCounts[ending]++
}

func (cl *simCaller) tick() {
	co, now := cl.conn, cl.sim.now
	if cl.ending != "" || cl.vanished {
		return
	}
	switch {
	case co.state == simHandshake && co.retransmissions >= 4:
		cl.finish("timeout")
		return
	case co.retransmissions > 40:
		cl.finish("gave up")
		return
	case co.state == simOpen && !cl.sim.isRequest(co.flow) && !co.finSent:
		if !now.Before(cl.closeAt) {
			cl.send(co.closeAfter(now)...)
		} else if !cl.receiveOnly && cl.sim.rng.IntN(20) == 0 {
			cl.send(co.enqueue(now, 100)...)
		}
	}
	cl.send(co.retransmit(now)...)
}

func (cl *simCaller) send(pkts ...[]byte) {
	for _, pkt := range pkts {
		cl.sim.sendViaFabric(netLocation{dc: cl.dc}, pkt, callerOuterAddress)
	}
}
