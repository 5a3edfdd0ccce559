package jpentry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpdispatch"
)

// errorPause bounds the load of a socket on which every read fails.
const errorPause = 10 * time.Millisecond

// servePackets handles packets of callers until ctx ends.
func (en *Entry) servePackets(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = en.conn.SetReadDeadline(time.Unix(1, 0)) })()
	room := en.platform.Codec.Room()
	buffer := make([]byte, room+en.platform.MaxDatagram)
	for ctx.Err() == nil {
		size, _, err := en.conn.ReadFromUDPAddrPort(buffer[room:])
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case errors.Is(err, os.ErrDeadlineExceeded): // ctx has ended
		case err != nil:
			en.metrics.readErrors.Add(1)
			time.Sleep(errorPause)
		default:
			en.handlePacket(buffer, room, size)
		}
	}
	return nil
}

func (en *Entry) handlePacket(buffer []byte, room, size int) {
	pk, ok := en.platform.Codec.Parse(buffer[room : room+size])
	if !ok {
		en.metrics.malformed.Add(1)
		return
	}
	now := time.Now()
	en.lastSeen.Store(now.UnixNano())
	en.mu.Lock()
	dc := en.dispatch.Handle(now, pk)
	current := en.directory.CurrentAt()
	revision := en.directory.Revision()
	en.mu.Unlock()
	en.metrics.count(dc)
	en.logDecision(pk, dc, revision, now.Sub(current))
	switch dc.Outcome {
	case jpdispatch.Forward:
		en.platform.Codec.ToServer(buffer, dc.Server)
		en.send(buffer[:room+size], dc.Server.Address)
	case jpdispatch.Refuse, jpdispatch.Reset:
		en.sendReset(dc.Reset)
	}
	if dc.Check.ID != "" {
		en.check(dc.Check)
	}
	if dc.Reason == jpdispatch.UnknownTag {
		en.askSoon(now)
	}
	en.metrics.handled.RecordDuration(time.Since(now))
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

// logDecision writes a line for a decision that placed, ended or lost a flow,
// and for the start of each request.
func (en *Entry) logDecision(pk jpdispatch.Packet, dc jpdispatch.Decision, revision uint64, age time.Duration) {
	routine := dc.Outcome == jpdispatch.Forward && dc.Reason != jpdispatch.Placed && dc.Reason != jpdispatch.Moved
	if routine && pk.Request == "" && pk.Flags&jpdispatch.SYN == 0 || !en.budget.take(time.Now()) {
		return
	}
	klog.InfoS("dispatch: "+dc.Reason.String(),
		"outcome", outcomeName(dc.Outcome), "request", pk.Request,
		"caller", pk.Caller, "route", pk.Route, "server", dc.Server.ID+dc.Reset.Server,
		"load", dc.Load, "choices", dc.Choices, "copies", synCopies(pk),
		"revision", revision, "age_ms", age.Milliseconds())
}

// synCopies is the number of earlier copies of a SYN.
func synCopies(pk jpdispatch.Packet) uint32 {
	if pk.Flags&jpdispatch.SYN == 0 {
		return 0
	}
	return pk.Ack
}

var outcomeNames = []string{
	jpdispatch.Drop: "drop", jpdispatch.Forward: "forward", jpdispatch.Refuse: "refuse", jpdispatch.Reset: "reset",
}

func outcomeName(oc jpdispatch.Outcome) string { return outcomeNames[oc] }
