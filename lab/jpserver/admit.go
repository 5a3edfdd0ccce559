package jpserver

import (
	"net/netip"
	"slices"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"jacinthpass/lab/jptunnel"
)

// coldSteps is the number of equal parts of the cold time. The limits double at
// the end of each but the last, after which the server is warm.
const coldSteps = 4

// limits returns the current limits of the server and whether it is cold. The
// caller must hold sv.mu.
func (sv *Server) limits(now time.Time) (slots, connections int, cold bool) {
	if !sv.coldSince.IsZero() && now.Sub(sv.coldSince) >= sv.conf.ColdDuration {
		sv.coldSince = time.Time{}
	}
	if sv.coldSince.IsZero() {
		return sv.conf.Slots, sv.conf.Connections, false
	}
	step := 0
	if !sv.conf.ConstantCold && now.After(sv.coldSince) {
		step = int(now.Sub(sv.coldSince) * coldSteps / sv.conf.ColdDuration)
	}
	slots = min(sv.conf.Slots, sv.conf.ColdSlots<<step)
	connections = min(sv.conf.Connections, sv.conf.ColdConnections<<step)
	return slots, connections, true
}

// setCold makes the server cold from a time on, as after a restart or when its
// caches are flushed. The caller must hold sv.mu.
func (sv *Server) setCold(since time.Time) {
	sv.coldSince = since
	sv.stats.TurnedCold++
}

// startOutage simulates the failure of an overloaded cold server: it resets all
// connections and refuses everything for a while. The caller must hold sv.mu.
func (sv *Server) startOutage(now time.Time) {
	sv.stats.Overloads++
	sv.stats.LastOverload = now
	sv.outageUntil = now.Add(sv.conf.OverloadOutage)
	sv.setCold(sv.outageUntil)
	sv.resetAll()
}

// ResetAll resets all connections.
func (sv *Server) ResetAll() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.resetAll()
}

// resetAll resets all connections. The caller must hold sv.mu.
func (sv *Server) resetAll() {
	for cn := range sv.conns {
		cn.abort()
	}
	sv.queue = nil
}

// admitSYN decides whether to accept a new connection, and counts an accepted one
// as open.
func (sv *Server) admitSYN(now time.Time) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if now.Before(sv.outageUntil) {
		sv.stats.Refused++
		return false
	}
	if sv.shed > 0 {
		sv.shed--
		sv.stats.Shed++
		return false
	}
	_, connections, cold := sv.limits(now)
	if sv.openConns >= connections {
		sv.stats.Refused++
		if cold {
			sv.startOutage(now)
		}
		return false
	}
	sv.openConns++
	sv.stats.Accepted++
	sv.stats.LastAccepted = now
	if sv.draining {
		sv.stats.AcceptedDraining++
	}
	sv.stats.PeakConnections = max(sv.stats.PeakConnections, sv.openConns)
	if cold {
		sv.stats.PeakColdConnections = max(sv.stats.PeakColdConnections, sv.openConns)
	}
	return true
}

// recordFlow records a caller whose SYN the server accepts.
func (sv *Server) recordFlow(caller netip.AddrPort) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if _, known := sv.flows[caller]; !known {
		sv.flows[caller] = time.Now()
	}
}

// recordRefusal records a caller whose SYN the server refuses.
func (sv *Server) recordRefusal(caller netip.AddrPort) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if _, known := sv.refusals[caller]; !known {
		sv.refusals[caller] = time.Now()
	}
}

// countUnconfirmed counts a segment that belongs to no open connection, if it
// carries payload and the server never accepted its flow.
func (sv *Server) countUnconfirmed(id stack.TransportEndpointID, pkt *stack.PacketBuffer) {
	if pkt.Data().Size() == 0 {
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if _, ok := sv.flows[jptunnel.AddrPort(id.RemoteAddress, id.RemotePort)]; !ok {
		sv.stats.Unconfirmed++
	}
}

// handleSYN answers a SYN with a reset, or accepts the connection and serves it.
func (sv *Server) handleSYN(req *tcp.ForwarderRequest) {
	id := req.ID()
	at := jptunnel.AddrPort(id.LocalAddress, id.LocalPort)
	if !slices.Contains(sv.conf.Services, at) {
		sv.mu.Lock()
		sv.stats.WrongPort++
		sv.mu.Unlock()
		req.Complete(true)
		return
	}
	if !sv.admitSYN(time.Now()) {
		sv.recordRefusal(jptunnel.AddrPort(id.RemoteAddress, id.RemotePort))
		req.Complete(true)
		return
	}
	sv.recordFlow(jptunnel.AddrPort(id.RemoteAddress, id.RemotePort))
	var wq waiter.Queue
	ep, terr := req.CreateEndpoint(&wq)
	req.Complete(false)
	if terr != nil {
		sv.releaseConnection()
		return
	}
	ep.SocketOptions().SetKeepAlive(false)
	cn := newConn(sv, gonet.NewTCPConn(&wq, ep), ep)
	sv.mu.Lock()
	if time.Now().Before(sv.outageUntil) {
		cn.abort()
	}
	sv.conns[cn] = struct{}{}
	sv.mu.Unlock()
	cn.serve()
	sv.mu.Lock()
	delete(sv.conns, cn)
	sv.mu.Unlock()
	// Release before sending the FIN, so that the caller can open another
	// connection as soon as it sees the FIN.
	sv.releaseConnection()
	cn.tcp.Close()
}

func (sv *Server) releaseConnection() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.openConns--
}

// job is a request that is running or waiting for a slot.
type job struct {
	ready chan struct{} // closed when the job gets a slot
}

// admission is the decision about a request.
type admission uint8

const (
	admitted admission = iota
	queued
	refused
)

// admitWork assigns a slot to a new request, queues it, or refuses it.
func (sv *Server) admitWork(now time.Time) (*job, admission) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if now.Before(sv.outageUntil) {
		return nil, refused
	}
	slots, _, cold := sv.limits(now)
	jb := &job{ready: make(chan struct{})}
	if sv.running < slots {
		sv.assignSlot(jb, cold)
		return jb, admitted
	}
	if cold {
		sv.startOutage(now)
		return nil, refused
	}
	if len(sv.queue) >= sv.conf.Queue {
		sv.stats.QueueOverflows++
		return nil, refused
	}
	sv.queue = append(sv.queue, jb)
	sv.stats.PeakQueue = max(sv.stats.PeakQueue, len(sv.queue))
	return jb, queued
}

// assignSlot assigns a slot to a job. The caller must hold sv.mu.
func (sv *Server) assignSlot(jb *job, cold bool) {
	sv.running++
	sv.stats.PeakRunning = max(sv.stats.PeakRunning, sv.running)
	if cold {
		sv.stats.PeakColdRunning = max(sv.stats.PeakColdRunning, sv.running)
	}
	close(jb.ready)
}

// finishWork releases the slot of a job and assigns free slots to queued jobs. A
// job that never got a slot is removed from the queue.
func (sv *Server) finishWork(jb *job) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	select {
	case <-jb.ready:
	default:
		sv.queue = slices.DeleteFunc(sv.queue, func(other *job) bool { return other == jb })
		return
	}
	sv.running--
	slots, _, cold := sv.limits(time.Now())
	for len(sv.queue) > 0 && sv.running < slots {
		next := sv.queue[0]
		sv.queue = sv.queue[1:]
		sv.assignSlot(next, cold)
	}
}
