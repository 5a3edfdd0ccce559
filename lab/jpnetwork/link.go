package jpnetwork

import (
	"cmp"
	"container/heap"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Counter counts the traffic of one link. Dropped packets are not in Packets.
type Counter struct {
	From        string    `json:"from"`         // address of the sender
	FromDC      string    `json:"from_dc"`      // its data centre
	To          string    `json:"to"`           // name of the rule or instance, address of the caller
	ToDC        string    `json:"to_dc"`        // its data centre
	Packets     uint64    `json:"packets"`      // TCP: chunks
	Bytes       uint64    `json:"bytes"`        // payload of the datagrams or streams
	Dropped     uint64    `json:"dropped"`      // by faults
	Last        time.Time `json:"last"`         // time of the last packet that passed
	TCPAccepted uint64    `json:"tcp_accepted"` // TCP connections accepted
}

type linkKey struct {
	from netip.Addr
	to   Endpoint
}

// link is one direction between two endpoints, with its impairment and counter.
type link struct {
	from, to Endpoint

	mu      sync.Mutex
	imp     impairment      // cached
	change  <-chan struct{} // closed when imp is out of date
	epoch   uint64          // of imp
	cached  bool            // imp has been computed
	lastDue time.Time       // of the latest packet; keeps packets in order under jitter
	counter Counter
}

// links holds all links that carried traffic or were looked up.
type links struct {
	faults     *faultSet
	random     *randomSource
	delayQueue *delayQueue
	mu         sync.RWMutex
	byKey      map[linkKey]*link
}

func newLinks(fs *faultSet, rs *randomSource, dq *delayQueue) *links {
	return &links{faults: fs, random: rs, delayQueue: dq, byKey: make(map[linkKey]*link)}
}

func (ls *links) between(from, to Endpoint) *link {
	key := linkKey{from: from.Address, to: to}
	ls.mu.RLock()
	lk := ls.byKey[key]
	ls.mu.RUnlock()
	if lk != nil {
		return lk
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if lk = ls.byKey[key]; lk != nil {
		return lk
	}
	lk = &link{from: from, to: to, counter: Counter{
		From: from.Address.String(), FromDC: from.DataCentre, To: to.Name, ToDC: to.DataCentre,
	}}
	ls.byKey[key] = lk
	return lk
}

// counters returns the counters of all links, sorted by receiver and sender.
func (ls *links) counters() []Counter {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	res := make([]Counter, 0, len(ls.byKey))
	for _, lk := range ls.byKey {
		lk.mu.Lock()
		res = append(res, lk.counter)
		lk.mu.Unlock()
	}
	slices.SortFunc(res, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.From, b.From))
	})
	return res
}

// impairment returns the current impairment of the link.
func (ls *links) impairment(lk *link) impairment {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return ls.refresh(lk)
}

// refresh returns the link's impairment and recomputes it if the faults have
// changed. The caller must hold lk.mu.
func (ls *links) refresh(lk *link) impairment {
	if !lk.cached || lk.epoch != ls.faults.epoch.Load() {
		lk.imp, lk.epoch, lk.change = ls.faults.impairmentOn(lk.from, lk.to)
		lk.cached = true
	}
	return lk.imp
}

// forward sends one datagram over the link, subject to its faults. It calls send
// at most twice, at once or after a delay; payload is copied for a delayed call.
func (ls *links) forward(lk *link, payload []byte, send func([]byte)) {
	lk.mu.Lock()
	imp := ls.refresh(lk)
	if imp.cut || ls.random.chance(imp.drop) {
		lk.counter.Dropped++
		lk.mu.Unlock()
		return
	}
	now := time.Now()
	lk.counter.Packets++
	lk.counter.Bytes += uint64(len(payload))
	lk.counter.Last = now
	due := now.Add(imp.delay)
	if imp.jitter > 0 {
		due = due.Add(time.Duration(ls.random.float() * float64(imp.jitter)))
	}
	if due.Before(lk.lastDue) {
		due = lk.lastDue
	}
	if ls.random.chance(imp.reorder) {
		due = due.Add(imp.reorderDelay)
	} else if due.After(now) {
		lk.lastDue = due
	}
	lk.mu.Unlock()

	copies := 1
	if ls.random.chance(imp.duplicate) {
		copies = 2
	}
	for range copies {
		if due.After(now) {
			ls.delayQueue.add(due, slices.Clone(payload), send)
		} else {
			send(payload)
		}
	}
}

// delayedDatagram is a datagram that is sent at a later time.
type delayedDatagram struct {
	due      time.Time
	sequence uint64 // order of insertion, for datagrams due at the same time
	payload  []byte
	send     func([]byte)
}

type delayHeap []delayedDatagram

func (dh delayHeap) Len() int      { return len(dh) }
func (dh delayHeap) Swap(i, j int) { dh[i], dh[j] = dh[j], dh[i] }
func (dh *delayHeap) Push(x any)   { *dh = append(*dh, x.(delayedDatagram)) }

func (dh delayHeap) Less(i, j int) bool {
	if dh[i].due.Equal(dh[j].due) {
		return dh[i].sequence < dh[j].sequence
	}
	return dh[i].due.Before(dh[j].due)
}

func (dh *delayHeap) Pop() any {
	old := *dh
	last := old[len(old)-1]
	old[len(old)-1] = delayedDatagram{}
	*dh = old[:len(old)-1]
	return last
}

// delayQueue sends datagrams at their due times from one goroutine.
type delayQueue struct {
	mu       sync.Mutex
	heap     delayHeap
	sequence uint64
	wake     chan struct{}
	done     chan struct{}
}

func newDelayQueue() *delayQueue {
	return &delayQueue{wake: make(chan struct{}, 1), done: make(chan struct{})}
}

func (dq *delayQueue) add(due time.Time, payload []byte, send func([]byte)) {
	dq.mu.Lock()
	dq.sequence++
	heap.Push(&dq.heap, delayedDatagram{due: due, sequence: dq.sequence, payload: payload, send: send})
	first := dq.heap[0].sequence == dq.sequence
	dq.mu.Unlock()
	if first {
		select {
		case dq.wake <- struct{}{}:
		default:
		}
	}
}

func (dq *delayQueue) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := dq.sendDue()
		timer.Reset(wait)
		select {
		case <-dq.done:
			return
		case <-dq.wake:
		case <-timer.C:
		}
	}
}

// sendDue sends the datagrams that are due and returns the time until the next one.
func (dq *delayQueue) sendDue() time.Duration {
	for {
		dq.mu.Lock()
		if len(dq.heap) == 0 {
			dq.mu.Unlock()
			return time.Hour
		}
		if wait := time.Until(dq.heap[0].due); wait > 0 {
			dq.mu.Unlock()
			return wait
		}
		item := heap.Pop(&dq.heap).(delayedDatagram)
		dq.mu.Unlock()
		item.send(item.payload)
	}
}
