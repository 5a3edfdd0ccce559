package jpentry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
)

// readErrorDelay is the delay after a failed read. It bounds the CPU load if every
// read of the socket fails.
const readErrorDelay = 10 * time.Millisecond

// servePackets receives and handles packets of callers until ctx ends.
func (en *Entry) servePackets(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = en.conn.SetReadDeadline(time.Unix(1, 0)) })()
	headroom := en.platform.Codec.Headroom()
	buffer := make([]byte, headroom+en.platform.MaxDatagramSize)
	rd, err := newPacketReader(en.conn)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		size, err := rd.read(buffer[headroom:])
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case errors.Is(err, os.ErrDeadlineExceeded): // ctx has ended
		case err != nil:
			en.metrics.readErrors.Add(1)
			time.Sleep(readErrorDelay)
		default:
			en.handlePacket(buffer, headroom, size, rd.emptyAt)
		}
	}
	return nil
}

// packetReader reads a socket and notes when there was nothing to read. It is not safe
// for concurrent use.
type packetReader struct {
	raw     syscall.RawConn
	emptyAt time.Time // latest time at which no packet waited in the socket

	buffer []byte // of the running read
	size   int
	err    error
}

func newPacketReader(conn *net.UDPConn) (*packetReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &packetReader{raw: raw, emptyAt: time.Now()}, nil
}

// read waits for a packet and returns its size, cut to that of the buffer.
func (rd *packetReader) read(buffer []byte) (int, error) {
	rd.buffer = buffer
	if err := rd.raw.Read(rd.tryRead); err != nil {
		return 0, err
	}
	return rd.size, rd.err
}

// tryRead reads a packet if there is one, and reports whether the read is over. The time
// is taken before, because the process may be paused after it.
func (rd *packetReader) tryRead(fd uintptr) bool {
	for {
		now := time.Now()
		rd.size, rd.err = unix.Read(int(fd), rd.buffer)
		if errors.Is(rd.err, unix.EAGAIN) {
			rd.emptyAt = now
			return false
		}
		if !errors.Is(rd.err, unix.EINTR) {
			return true
		}
	}
}

// handlePacket handles the packet of size bytes that follows headroom bytes in
// buffer. It has arrived after a time, see jpdispatch.Packet.
func (en *Entry) handlePacket(buffer []byte, headroom, size int, arrivedAfter time.Time) {
	pk, ok := en.platform.Codec.Parse(buffer[headroom : headroom+size])
	if !ok {
		en.metrics.malformed.Add(1)
		return
	}
	pk.ArrivedAfter = arrivedAfter
	now := time.Now()
	en.lastPacket.Store(now.UnixNano())
	en.mu.Lock()
	en.observe(now)
	dc := en.dispatcher.Handle(now, pk)
	if dc.Outcome == jpdispatch.Wait {
		en.keepWaiting(pk, buffer[headroom:headroom+size])
	}
	released := en.takeReleased(now)
	current := en.directory.CurrentAt()
	revision := en.directory.Revision()
	en.mu.Unlock()
	en.metrics.countDecision(dc)
	en.metrics.countWait(pk, dc)
	if dc.Outcome == jpdispatch.Reset {
		en.logReset(now, dc.Reset, pk.Request, revision, now.Sub(current))
	} else {
		en.logDecision(pk, dc, revision, now.Sub(current))
	}
	switch dc.Outcome {
	case jpdispatch.Forward:
		en.platform.Codec.ToServer(buffer, dc.Server)
		en.send(buffer[:headroom+size], dc.Server.Address)
	case jpdispatch.Hold:
		en.hold(now, heldPacket{slices.Clone(buffer[headroom : headroom+size]), arrivedAfter})
	case jpdispatch.Refuse, jpdispatch.Reset:
		en.sendReset(dc.Reset)
	}
	if dc.Check.Server.ID != "" {
		en.checkServer(dc.Check)
	}
	if dc.Reason == jpdispatch.UnknownTag {
		en.requestUpdate(now)
	}
	en.finishReleased(released)
	en.metrics.decisionTimes.observe(time.Since(now))
}

// heldPacket is a packet that was received before the directory had a manifest.
type heldPacket struct {
	data         []byte
	arrivedAfter time.Time
}

// hold keeps a packet until the directory has a manifest, unless the directory got one
// meanwhile or too many packets wait.
func (en *Entry) hold(now time.Time, packet heldPacket) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.directory.Manifest() == nil && en.held.Add(now, packet) {
		return
	}
	en.metrics.droppedNotReady.Add(1)
}

// handleHeld handles the packets that were held and that need not wait any more.
func (en *Entry) handleHeld() {
	en.mu.Lock()
	packets := en.held.Take(time.Now(), func(packet heldPacket) bool {
		pk, ok := en.platform.Codec.Parse(packet.data)
		return !ok || !en.dispatcher.MustHold(pk)
	})
	en.mu.Unlock()
	if len(packets) == 0 {
		return
	}
	headroom := en.platform.Codec.Headroom()
	buffer := make([]byte, headroom+en.platform.MaxDatagramSize)
	for _, packet := range packets {
		en.handlePacket(buffer, headroom, copy(buffer[headroom:], packet.data), packet.arrivedAfter)
	}
	klog.InfoS("entry: held packets handled", "count", len(packets))
}

// sendReset sends a reset to a caller.
func (en *Entry) sendReset(rs jpdispatch.ResetPacket) {
	en.send(en.platform.Codec.Reset(rs), netip.AddrPortFrom(rs.Caller.Addr(), en.settings.CallerPort))
}

func (en *Entry) send(datagram []byte, to netip.AddrPort) {
	if _, err := en.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		en.metrics.sendErrors.Add(1)
		klog.V(1).InfoS("entry: packet was not sent", "to", to, "err", err)
	}
}

// logDecision logs decisions that place a flow on a server, refuse or drop a packet,
// or forward it to another server than its tag says, and those on SYNs and on the
// first packet of each request, up to the limit of lineLimiter.
func (en *Entry) logDecision(pk jpdispatch.Packet, dc jpdispatch.Decision, revision jpdirectory.Revision, age time.Duration) {
	routine := dc.Outcome == jpdispatch.Forward && dc.Reason != jpdispatch.Placed && dc.Reason != jpdispatch.Moved
	routine = routine && !dc.TagDiffers && pk.Request == "" && pk.Flags&jpdispatch.SYN == 0
	if routine || !en.lineLimiter.allow(time.Now()) {
		return
	}
	klog.InfoS("dispatch: "+dc.Reason.String(),
		"outcome", outcomeName(dc.Outcome), "request", pk.Request,
		"caller", pk.Caller, "route", pk.Route, "server", dc.Server.ID, "tag_differs", dc.TagDiffers,
		"load", dc.Load, "choices", dc.Choices, "copies", synCopies(pk), "spilled", dc.SpilledFrom,
		"priority", dc.Priority, "waited_ms", dc.Waited.Milliseconds(),
		"revision", revision, "age_ms", age.Milliseconds())
}

// synCopies returns the number of earlier copies of a SYN, which its
// acknowledgement field carries, or 0 for other packets.
func synCopies(pk jpdispatch.Packet) uint32 {
	if pk.Flags&jpdispatch.SYN == 0 {
		return 0
	}
	return pk.Ack
}

var outcomeNames = []string{
	jpdispatch.Drop: "drop", jpdispatch.Hold: "hold", jpdispatch.Forward: "forward", jpdispatch.Wait: "wait", jpdispatch.Refuse: "refuse", jpdispatch.Reset: "reset",
}

func outcomeName(oc jpdispatch.Outcome) string { return outcomeNames[oc] }
