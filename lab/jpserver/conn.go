package jpserver

import (
	"bufio"
	"context"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"

	"jacinthpass/lab/jpmessage"
)

// maxContent is the maximum size of the content of an answer in bytes.
const maxContent = jpmessage.MaxMessageBytes / 2

// readBuffer is the size in bytes of the buffer of each connection. It is small
// because a server holds thousands of connections.
const readBuffer = 512

// conn is an open connection.
type conn struct {
	sv        *Server
	tcp       *gonet.TCPConn
	ep        tcpip.Endpoint
	ctx       context.Context // cancelled when the connection ends
	cancel    context.CancelFunc
	abortOnce sync.Once
	writeMu   sync.Mutex
}

func newConn(sv *Server, tc *gonet.TCPConn, ep tcpip.Endpoint) *conn {
	cn := &conn{sv: sv, tcp: tc, ep: ep}
	cn.ctx, cn.cancel = context.WithCancel(context.Background())
	return cn
}

// abort resets the connection and cancels its requests.
func (cn *conn) abort() {
	cn.abortOnce.Do(func() {
		cn.cancel()
		// Abort takes the lock of the endpoint, which a writer may hold.
		go cn.ep.Abort()
	})
}

// serve reads requests until the connection ends.
func (cn *conn) serve() {
	var wg sync.WaitGroup
	rd := bufio.NewReaderSize(cn.tcp, readBuffer)
	for cn.ctx.Err() == nil {
		var req jpmessage.Request
		enc, err := jpmessage.Read(rd, &req)
		if err != nil {
			break
		}
		digest := jpmessage.Digest(enc)
		wg.Go(func() { cn.handle(req, digest) })
	}
	cn.cancel()
	wg.Wait()
}

func (cn *conn) handle(req jpmessage.Request, digest uint64) {
	switch req.Kind {
	case jpmessage.Work:
		cn.runInSlot(req, digest)
	case jpmessage.Ask:
		if cn.execute(req) {
			cn.sendAnswer(req, digest)
		}
	case jpmessage.Subscribe:
		cn.reply(jpmessage.Reply{Kind: jpmessage.Answer, ID: req.ID, Digest: digest})
		cn.pushAlerts(req)
	default:
		cn.abort()
	}
}

// runInSlot executes a request when it gets a slot. The slot is released before
// the answer is sent, so that a caller can send the next request as soon as it has
// the answer.
func (cn *conn) runInSlot(req jpmessage.Request, digest uint64) {
	sv := cn.sv
	jb, adm := sv.admitWork(time.Now())
	if adm == refused {
		cn.abort()
		return
	}
	var deadline <-chan time.Time
	if req.DeadlineMicros > 0 {
		timer := time.NewTimer(time.Duration(req.DeadlineMicros) * time.Microsecond)
		defer timer.Stop()
		deadline = timer.C
	}
	done, late := false, false
	select {
	case <-jb.ready:
		done = cn.execute(req)
	case <-cn.ctx.Done():
	case <-deadline:
		late = true
	}
	sv.finishWork(jb)
	if done {
		cn.sendAnswer(req, digest)
	} else if late {
		cn.reply(jpmessage.Reply{Kind: jpmessage.Overtime, ID: req.ID, Digest: digest})
	}
}

// execute executes a request. It returns false if the connection ended first.
func (cn *conn) execute(req jpmessage.Request) bool {
	cn.sv.executionStarted(req.ID)
	done := sleep(cn.ctx, time.Duration(req.WorkMicros)*time.Microsecond)
	cn.sv.executionEnded(req.ID, !done)
	return done
}

func (cn *conn) sendAnswer(req jpmessage.Request, digest uint64) {
	cn.reply(jpmessage.Reply{
		Kind: jpmessage.Answer, ID: req.ID, Digest: digest,
		Content: jpmessage.Content(req.ID, min(max(req.Size, 0), maxContent)),
	})
}

// pushAlerts sends numbered alerts until the connection ends.
func (cn *conn) pushAlerts(req jpmessage.Request) {
	if req.AlertMicros <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(req.AlertMicros) * time.Microsecond)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		select {
		case <-cn.ctx.Done():
			return
		case <-ticker.C:
			cn.reply(jpmessage.Reply{Kind: jpmessage.Alert, ID: req.ID, Sequence: seq})
		}
	}
}

// reply sends a reply. Write errors are ignored, because the next read fails too.
func (cn *conn) reply(rep jpmessage.Reply) {
	rep.Server = cn.sv.conf.Name
	cn.writeMu.Lock()
	defer cn.writeMu.Unlock()
	jpmessage.Write(cn.tcp, jpmessage.Encode(rep))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
