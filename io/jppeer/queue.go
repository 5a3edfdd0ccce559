package jppeer

import "sync"

const (
	// maxQueuedMessages bounds the number of messages queued for one peer.
	maxQueuedMessages = 256

	// maxQueuedBytes bounds their total size: a few copies of the largest settings.
	maxQueuedBytes = 4 << 20
)

// queuedMessage is one encoded message.
type queuedMessage struct {
	kind  messageType
	frame []byte
}

// queue holds the messages to be sent to one peer. Heartbeats and directory
// statuses may be dropped, because the next one supersedes them.
type queue struct {
	mu        sync.Mutex
	messages  []queuedMessage
	bytes     int
	connected bool
	ready     chan struct{} // holds one signal while messages is not empty
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push adds a message and returns the number of queued messages that it dropped. A
// replaceable message drops the oldest one of its type if the queue is full, and
// always while there is no connection, because that one would be out of date by the
// time the peer is connected.
func (qu *queue) push(msg queuedMessage) (dropped int, err error) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	full := len(qu.messages) >= maxQueuedMessages
	if msg.kind.replaceable() && (full || !qu.connected) {
		dropped = qu.dropOldest(msg.kind)
	}
	if len(qu.messages) >= maxQueuedMessages || qu.bytes+len(msg.frame) > maxQueuedBytes {
		return dropped, ErrQueueFull
	}
	qu.messages = append(qu.messages, msg)
	qu.bytes += len(msg.frame)
	qu.signal()
	return dropped, nil
}

// replaceable reports whether a later message of the type supersedes an earlier
// one.
func (mt messageType) replaceable() bool {
	return mt == typeHeartbeat || mt == typeDirectoryStatus
}

// dropOldest removes the oldest message of a type.
func (qu *queue) dropOldest(kind messageType) int {
	for at, msg := range qu.messages {
		if msg.kind == kind {
			qu.messages = append(qu.messages[:at], qu.messages[at+1:]...)
			qu.bytes -= len(msg.frame)
			return 1
		}
	}
	return 0
}

// pop removes the oldest message.
func (qu *queue) pop() (queuedMessage, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if len(qu.messages) == 0 {
		return queuedMessage{}, false
	}
	msg := qu.messages[0]
	qu.messages[0] = queuedMessage{}
	qu.messages = qu.messages[1:]
	qu.bytes -= len(msg.frame)
	if len(qu.messages) > 0 {
		qu.signal()
	}
	return msg, true
}

func (qu *queue) signal() {
	select {
	case qu.ready <- struct{}{}:
	default:
	}
}

func (qu *queue) setConnected(connected bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.connected = connected
}
