package jpcaller

import (
	"bytes"
	"encoding/binary"
	"net"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"

	"jacinthpass/lab/jpmessage"
	"jacinthpass/lab/jptunnel"
)

// beginRequest counts a request. It returns false if too many are open to start it.
func (cl *Callers) beginRequest(planned time.Time) bool {
	ok := true
	cl.results.update(func(res *Results) {
		rq := &res.Requests
		open := rq.Attempted - rq.Served - rq.Refused - rq.Unanswered - rq.Unknown - rq.Overtime - rq.Wrong
		if open >= cl.conf.MaxOpen {
			rq.Skipped++
			ok = false
			return
		}
		rq.Attempted++
		cl.results.secondFor(planned).Attempted++
	})
	return ok
}

// runRequest runs one request on a connection of its own.
func (cl *Callers) runRequest(planned time.Time) {
	if !cl.beginRequest(planned) {
		return
	}
	end := Ending{ID: cl.lastID.Add(1)}
	tc, local, err := cl.dial()
	end.Caller = local.String()
	if err != nil {
		end.Kind, end.Detail = classifyDialError(err), err.Error()
		cl.recordFailedRequest(end)
		return
	}
	defer tc.Close()
	req := jpmessage.Request{
		Kind: jpmessage.Work, ID: end.ID, Caller: end.Caller,
		Size: cl.conf.Size, WorkMicros: cl.conf.Work.Microseconds(),
	}
	enc := jpmessage.Encode(req)
	tc.SetDeadline(time.Now().Add(cl.conf.AnswerTimeout))
	var rep jpmessage.Reply
	if err = jpmessage.Write(tc, enc); err == nil {
		_, err = jpmessage.Read(tc, &rep)
	}
	if err != nil {
		end.Kind, end.Detail = classifyReadError(err), err.Error()
		cl.recordFailedRequest(end)
		return
	}
	end.Server = rep.Server
	end.Kind, end.Detail = checkReply(req, enc, rep)
	if end.Kind != "" {
		cl.recordFailedRequest(end)
		return
	}
	cl.results.update(func(res *Results) {
		res.Requests.Served++
		res.Requests.ByServer[rep.Server]++
		cl.results.secondFor(planned).Served++
		recordDuration(cl.results.latency, time.Since(planned))
	})
}

// checkReply checks the reply to a request. It returns the kind of failure and a
// detail, or an empty kind if the reply is correct.
func checkReply(req jpmessage.Request, enc []byte, rep jpmessage.Reply) (kind, detail string) {
	switch {
	case rep.ID != req.ID || rep.Digest != jpmessage.Digest(enc):
		return Wrong, "answer belongs to another request"
	case rep.Kind == jpmessage.Overtime:
		return Overtime, ""
	case rep.Kind != jpmessage.Answer:
		return Wrong, "reply is not an answer"
	case !bytes.Equal(rep.Content, jpmessage.Content(req.ID, req.Size)):
		return Wrong, "content of the answer differs"
	}
	return "", ""
}

// recordFailedRequest counts a request that was not served.
func (cl *Callers) recordFailedRequest(end Ending) {
	cl.results.update(func(res *Results) {
		rq := &res.Requests
		switch end.Kind {
		case Refused:
			rq.Refused++
		case Unanswered:
			rq.Unanswered++
		case Overtime:
			rq.Overtime++
		case Wrong:
			rq.Wrong++
		default:
			rq.Unknown++
		}
		appendEnding(&rq.Endings, end)
	})
}

// runDatagram sends a datagram from a port of its own and waits for its echo.
func (cl *Callers) runDatagram(time.Time) {
	local := jptunnel.FullAddress(cl.nextLocalAddr())
	remote := jptunnel.FullAddress(cl.conf.Service)
	conn, err := gonet.DialUDP(cl.tunnel.Stack, &local, &remote, ipv4.ProtocolNumber)
	if err != nil {
		return // the port is in use
	}
	defer conn.Close()
	id := cl.lastID.Add(1)
	sent := binary.BigEndian.AppendUint64(nil, id)
	sent = append(sent, jpmessage.Content(id, min(cl.conf.Size, 1000))...)
	cl.results.update(func(res *Results) { res.UDP.Sent++ })
	echoed, err := sendAndReceive(conn, sent, time.Now().Add(cl.conf.AnswerTimeout))
	cl.results.update(func(res *Results) {
		switch {
		case err != nil:
			res.UDP.Lost++
		case !bytes.Equal(echoed, sent):
			res.UDP.Wrong++
		default:
			res.UDP.Echoed++
		}
	})
}

func sendAndReceive(conn net.Conn, sent []byte, deadline time.Time) ([]byte, error) {
	conn.SetDeadline(deadline)
	if _, err := conn.Write(sent); err != nil {
		return nil, err
	}
	buf := make([]byte, 1<<16)
	n, err := conn.Read(buf)
	return buf[:n], err
}
