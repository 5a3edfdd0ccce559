package jppeer

import "sync"

const (
	// maxQueued bounds the messages that wait for one peer.
	maxQueuedMessages = 256

	// maxQueuedBytes bounds their size: a few copies of the largest settings.
	maxQueuedBytes = 4 << 20
)

// queued is one encoded message.
type queuedMessage struct {
	kind  messageType
	frame []byte
}

// queue holds the messages for one peer. Heartbeats and statuses may be
// dropped: the next one replaces them.
type queue struct {
	mu        sync.Mutex
	messages  []queuedMessage
	bytes     int
	connected bool
	ready     chan struct{} // holds one signal while entries is not empty
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push adds a message and returns how many replaceable ones it dropped for it.
// Without a connection only the latest of them is kept, because an old one
// would tell the peer nothing that is still true.
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

// replaceable tells whether a later message of the type makes an earlier one
// useless.
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
