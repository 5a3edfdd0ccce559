package jpdispatch

import (
	"time"
)

const (
	// activeTime is how long a flow counts as load after its last packet.
	activeTimeout = 4 * time.Second

	// openTime is how long a caller tries to open a flow: 1.4 s and one delay.
	openTimeout = 2 * time.Second

	// deadTime keeps a flow that was reset, so that late packets of it are
	// recognized.
	resetRetention = 2 * time.Second

	// maxTried bounds the servers that the copies of one SYN reach.
	maxTriedServers = 3
)

type flowState uint8

const (
	opening flowState = iota // the SYN went to a server
	open
	closing   // the caller has closed its end
	resetSent // reset here
)

// flow is what this instance knows of one flow.
type flow struct {
	server         *server
	state          flowState
	active         bool      // counts as load of the server
	synSequence    uint32    // of the SYN
	lastAck        uint32    // last that the caller sent
	pendingEnd     uint32    // sequence number after the data that waits for an answer
	awaitingAnswer bool      // data waits for an answer
	stuck          bool      // and has done so for long; counted at the server
	firstSeenAt    time.Time // first packet here
	sentAt         time.Time
	lastSeenAt     time.Time
	triedTags      [maxTriedServers]uint32 // tags of servers that got the SYN
	triedCount     int
}

// activate counts the flow as load of its server.
func (fl *flow) activate() {
	if !fl.active && fl.server != nil {
		fl.active = true
		fl.server.activeFlows++
	}
}

// deactivate takes the flow out of its server's load.
func (fl *flow) deactivate() {
	if fl.active {
		fl.active = false
		fl.server.activeFlows--
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
}

// release takes the flow from its server.
func (fl *flow) release() {
	fl.deactivate()
	fl.clearWaiting()
	if fl.server != nil {
		fl.server.trackedFlows--
		fl.server = nil
	}
}

// follow moves a flow that may have begun after its server's restart to the
// restarted server.
func (fl *flow) followRestart() {
	for sr := fl.server; sr != nil && sr.successor != nil && !fl.firstSeenAt.Before(sr.endedAt); sr = fl.server {
		fl.assign(sr.successor)
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
