package jpslope

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jppeer"
)

const (
	heartbeatsSent = 20_000 // for each measurement
)

// heartbeat returns a heartbeat with the large sequence numbers and versions of an
// instance that has been running for long, because their encoded size depends on
// the value.
func heartbeat(from string, changes, loads int) jppeer.Heartbeat {
	hb := jppeer.Heartbeat{
		Member: jpmember.Heartbeat{
			From: from, DataCentre: "centre_0", Incarnation: 1_790_000_000_000_000_000, State: jpmember.Alive,
			Sequence: 1_700_000_000, Echo: 1_700_000_001, Digest: 1 << 63, Monitoring: true,
		},
		SettingsVersion: 3000,
	}
	for no := range changes {
		hb.Member.Changes = append(hb.Member.Changes, jpmember.Change{
			ID: fmt.Sprintf("centre_1-%03d", no), Incarnation: 1_790_000_000_000_000_000, State: jpmember.Alive,
		})
	}
	for no := range loads {
		hb.Loads = append(hb.Loads, jpsteering.Load{Service: fmt.Sprintf("service_%04d", no), Server: serverAddress(no), Flows: 1500})
	}
	return hb
}

// measureHeartbeats measures the size of heartbeats and the CPU time to send and
// receive one, between two nodes over loopback.
func measureHeartbeats() ([]Measurement, error) {
	var out []Measurement
	for _, row := range []struct{ changes, loads int }{{0, 0}, {1, 0}, {16, 0}, {0, 1}, {0, 6}} {
		size := fmt.Sprintf("%d changes, %d loads", row.changes, row.loads)
		bytes, cpu, err := measureExchange(heartbeat("centre_0-001", row.changes, row.loads), heartbeatsSent)
		if err != nil {
			return nil, err
		}
		out = append(out,
			Measurement{"heartbeat", size, bytes, "bytes"},
			Measurement{"heartbeat, sent and received", size, float64(cpu) / 1e3, "µs"})
	}
	return out, nil
}

// measureExchange sends a message count times and returns the bytes sent and the CPU
// time of sender and receiver together, both for one message.
func measureExchange(msg jppeer.Heartbeat, count int) (bytes float64, cpu time.Duration, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan struct{}, 1)
	loopback := netip.MustParseAddrPort("127.60.9.1:0")
	from := jppeer.New(jppeer.Config{ID: "centre_0-001", Listen: loopback}, func(string, any) {})
	to := jppeer.New(jppeer.Config{ID: "to", Listen: loopback}, func(string, any) { received <- struct{}{} })
	var group errgroup.Group
	group.Go(func() error { return from.Serve(ctx) })
	group.Go(func() error { return to.Serve(ctx) })
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	for to.Address().Port() == 0 {
		time.Sleep(time.Millisecond)
	}
	from.SetPeers([]jppeer.Peer{{ID: "to", Address: to.Address()}})
	for from.Stats().OutgoingConnections == 0 {
		time.Sleep(time.Millisecond)
	}
	before, start := from.Stats().Written["heartbeat"], cpuTime()
	for range count {
		// Send one message at a time, because heartbeats are a quarter of a second
		// apart. A burst would handle several messages in one system call.
		if err := from.Send("to", msg); err != nil {
			return 0, 0, err
		}
		<-received
	}
	used := cpuTime() - start
	written := from.Stats().Written["heartbeat"]
	return float64(written.Bytes-before.Bytes) / float64(count), used / time.Duration(count), nil
}

// connectionCount is the number of connections whose memory is measured. It is the
// maximum that an instance of the design size has in each direction.
const connectionCount = 54

// measureConnections measures the memory of a connection between instances after it
// has carried heartbeats, without the memory of the kernel.
func measureConnections() ([]Measurement, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	loopback := netip.MustParseAddrPort("127.60.9.1:0")
	received := make(chan struct{}, connectionCount)
	serve := func(id string) *jppeer.Node {
		nd := jppeer.New(jppeer.Config{ID: id, Listen: loopback}, func(string, any) { received <- struct{}{} })
		group.Go(func() error { return nd.Serve(ctx) })
		for nd.Address().Port() == 0 {
			time.Sleep(time.Millisecond)
		}
		return nd
	}
	from := serve("from")
	var peers []jppeer.Peer
	for no := range connectionCount {
		id := fmt.Sprint("to-", no)
		peers = append(peers, jppeer.Peer{ID: id, Address: serve(id).Address()})
	}
	before := memoryInUse()
	from.SetPeers(peers)
	for from.Stats().OutgoingConnections < connectionCount {
		time.Sleep(time.Millisecond)
	}
	for range 8 {
		for _, pr := range peers {
			if err := from.Send(pr.ID, heartbeat("from", 16, 6)); err != nil {
				return nil, err
			}
		}
		for range peers {
			<-received
		}
	}
	size := fmt.Sprintf("%d connections", connectionCount)
	return []Measurement{{"memory of a connection, both ends", size, (memoryInUse() - before) / connectionCount / 1e3, "KB"}}, nil
}

// memoryInUse returns the size of the heap after a garbage collection and of the
// stacks, in bytes.
func memoryInUse() float64 {
	used := heapInUse()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return used + float64(ms.StackInuse)
}
