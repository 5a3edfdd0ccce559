package jpdispatch

import (
	"time"

	"jacinthpass/core/jpspeed"
)

const (
	// activeTimeout is how long a flow counts as load after its last packet.
	activeTimeout = 4 * time.Second

	// openTimeout is how long a caller tries to open a flow: 1.4 s plus the delay
	// of a packet. Closing flows are kept for the same time.
	openTimeout = 2 * time.Second

	// resetRetention is how long the entry of a flow that was reset is kept, so
	// that its late packets are recognized.
	resetRetention = 2 * time.Second

	// maxTriedServers bounds the servers that are remembered as tried with the
	// SYN of one flow.
	maxTriedServers = 3

	// sequenceWindow is how far a packet's sequence or acknowledgement number may be
	// from the latest ones of its flow here: twice what an end may have in flight, 16
	// packets of 1,200 bytes.
	sequenceWindow = 2 * 16 * 1200
)

type flowState uint8

const (
	opening flowState = iota // the SYN was sent to a server
	open
	closing   // the caller has closed its end
	resetSent // this instance has sent a reset to the caller
)

// flow is the flow table entry of one flow.
type flow struct {
	server         *server
	state          flowState
	active         bool                    // counts as load of the server
	requesting     bool                    // counts in server.requests
	held           bool                    // counts in server.heldFlows
	synSequence    uint32                  // sequence number of the SYN
	sequence       uint32                  // highest sequence number of the caller, once open
	lastAck        uint32                  // latest acknowledgement of the caller
	pendingEnd     uint32                  // sequence number after the data that awaits an answer
	awaitingAnswer bool                    // data was sent to the server and not answered
	stuck          bool                    // the answer is overdue; counted in server.stuckFlows
	firstSeenAt    time.Time               // first packet of the flow at this instance
	sentAt         time.Time               // when the unanswered SYN or data was sent
	lastSeenAt     time.Time               // latest packet of the flow at this instance
	triedTags      [maxTriedServers]uint32 // tags of the servers that got the SYN
	triedCount     int
	usual          *jpspeed.Usual // response time of such requests, nil if that of the unanswered one is no sample
}

// activate counts the flow as load of its server.
func (fl *flow) activate() {
	if !fl.active && fl.server != nil {
		fl.active = true
		fl.server.activeFlows++
	}
}

// deactivate stops counting the flow as load of its server.
func (fl *flow) deactivate() {
	if fl.active {
		fl.active = false
		fl.server.activeFlows--
	}
	fl.endRequest()
}

// beginRequest counts a request at the flow's server. A flow that is opening counts
// too: its request follows at once.
func (fl *flow) beginRequest() {
	if !fl.requesting && fl.server != nil {
		fl.requesting = true
		fl.server.addRequests(1)
		if fl.state != opening {
			fl.server.begun++
		}
	}
}

// endRequest ends what beginRequest began.
func (fl *flow) endRequest() {
	if fl.requesting {
		fl.requesting = false
		fl.server.addRequests(-1)
	}
}

// assign moves the flow to a server.
func (fl *flow) assign(sr *server) {
	if fl.server == sr {
		return
	}
	fl.release()
	fl.server = sr
	sr.trackedFlows++
	if fl.state == opening || fl.state == open {
		fl.held = true
		sr.heldFlows++
	}
}

// release removes the flow from its server and from the server's counts.
func (fl *flow) release() {
	fl.deactivate()
	fl.clearWaiting()
	fl.endHeld()
	if fl.server != nil {
		fl.server.trackedFlows--
		fl.server = nil
	}
}

// endHeld records that the server does not hold the flow any more.
func (fl *flow) endHeld() {
	if fl.held {
		fl.held = false
		fl.server.heldFlows--
	}
}

// followRestart moves a flow that may have begun after its server's restart to
// the restarted server. It follows several restarts in a row.
func (fl *flow) followRestart() {
	for sr := fl.server; sr != nil && sr.successor != nil && !fl.firstSeenAt.Before(sr.endedAt); sr = fl.server {
		fl.assign(sr.successor)
	}
}

// mayHaveSent reports whether a packet may be one of this flow. Those of a later flow from
// the same port have other sequence and acknowledgement numbers. After many packets through
// other instances both may differ in the same flow too, whose tag then names its server.
func (fl *flow) mayHaveSent(pk Packet) bool {
	if fl.state == opening {
		return inWindow(pk.Sequence, fl.synSequence)
	}
	return inWindow(pk.Sequence, fl.sequence) || fl.lastAck != 0 && inWindow(pk.Ack, fl.lastAck)
}

func inWindow(number, latest uint32) bool {
	distance := int32(number - latest)
	return -sequenceWindow <= distance && distance <= sequenceWindow
}

// noteSequence records the sequence number after a packet of the open flow.
func (fl *flow) noteSequence(pk Packet) {
	end := pk.Sequence + uint32(pk.Length)
	if fl.lastAck == 0 || int32(end-fl.sequence) > 0 {
		fl.sequence = end
	}
}

func (fl *flow) hasTried(tag uint32) bool {
	for _, tried := range fl.triedTags[:fl.triedCount] {
		if tried == tag {
			return true
		}
	}
	return false
}

func (fl *flow) addTried(sr *server) {
	if fl.triedCount < maxTriedServers {
		fl.triedTags[fl.triedCount] = sr.tag
		fl.triedCount++
	}
}
