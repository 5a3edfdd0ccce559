package jpdispatch

import (
	"time"
)

const (
	// activeTime is how long a flow counts as load after its last packet.
	activeTime = 4 * time.Second

	// openTime is how long a caller tries to open a flow: 1.4 s and one delay.
	openTime = 2 * time.Second

	// deadTime keeps a flow that was reset, so that late packets of it are
	// recognized.
	deadTime = 2 * time.Second

	// maxTried bounds the servers that the copies of one SYN reach.
	maxTried = 3
)

type flowState uint8

const (
	opening flowState = iota // the SYN went to a server
	open
	closing // the caller has closed its end
	dead    // reset here
)

// flow is what this instance knows of one flow.
type flow struct {
	server   *server
	state    flowState
	active   bool      // counts as load of the server
	sequence uint32    // of the SYN
	ack      uint32    // last that the caller sent
	pending  uint32    // sequence number after the data that waits for an answer
	waiting  bool      // data waits for an answer
	stuck    bool      // and has done so for long; counted at the server
	begun    time.Time // first packet here
	sentAt   time.Time
	seenAt   time.Time
	tried    [maxTried]uint32 // tags of servers that got the SYN
	tries    int
}

// activate counts the flow as load of its server.
func (fl *flow) activate() {
	if !fl.active && fl.server != nil {
		fl.active = true
		fl.server.flows++
	}
}

// deactivate takes the flow out of its server's load.
func (fl *flow) deactivate() {
	if fl.active {
		fl.active = false
		fl.server.flows--
	}
}

// assign moves the flow to a server.
func (fl *flow) assign(sr *server) {
	if fl.server == sr {
		return
	}
	fl.release()
	fl.server = sr
	sr.entries++
}

// release takes the flow from its server.
func (fl *flow) release() {
	fl.deactivate()
	fl.answered()
	if fl.server != nil {
		fl.server.entries--
		fl.server = nil
	}
}

// follow moves a flow that may have begun after its server's restart to the
// restarted server.
func (fl *flow) follow() {
	for sr := fl.server; sr != nil && sr.next != nil && !fl.begun.Before(sr.endedAt); sr = fl.server {
		fl.assign(sr.next)
	}
}

func (fl *flow) hasTried(tag uint32) bool {
	for _, tried := range fl.tried[:fl.tries] {
		if tried == tag {
			return true
		}
	}
	return false
}

func (fl *flow) try(sr *server) {
	if fl.tries < maxTried {
		fl.tried[fl.tries] = sr.tag
		fl.tries++
	}
}
