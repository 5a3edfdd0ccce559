package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpass/lab/jpplatform"
)

// Settings of the deployment, those of a small one.
const (
	warmupFactor = 1.5
	warmupSlack  = 5
	workTime     = 25 * time.Millisecond
	idleTimeout  = 15 * time.Second
	maxFlowAge   = 60 * time.Second
	reorderTime  = 2 * time.Second // reorderMs
)

// Services and their routes.
const (
	deskService      = "desk"
	catalogueService = "catalogue"
)

// rig is a small deployment with its platform, servers and consumers.
type rig struct {
	root, dir string
	base      byte // second octet of all addresses
	zones     []string

	dataPort, readyPort, controlPort, internalPort, serverPort uint16

	store     *jpplatform.Store
	instances []*instance
	servers   []*server
	consumers []*consumer
	version   int
	warmup    float64 // warmupPerS of the services
	loss      float64 // share of the datagrams of servers that are lost

	ended   atomic.Bool // no more processes are started
	mu      sync.Mutex
	began   time.Time
	record  *os.File
	owners  map[string]*server     // of open flows, by consumer's end and route
	foreign map[string]*server     // servers that have got a packet of the flow and do not hold it
	astray  map[string][]time.Time // such packets since the latest one at the flow's own server
	runs    map[string][]string
	lost    int
	random  *rand.Rand
	breaks  []string
}

// newRig starts a store and servers, and machines whose processes do not run yet.
func newRig(root, recordPath string, zones map[string]int, order []string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	rg := &rig{
		root: root, dir: dir, base: byte(100 + rand.N(140)), zones: order, record: record, began: time.Now(),
		owners: map[string]*server{}, foreign: map[string]*server{}, astray: map[string][]time.Time{}, runs: map[string][]string{},
		random: rand.New(rand.NewPCG(rand.Uint64(), 0)),
	}
	for _, port := range []*uint16{&rg.dataPort, &rg.readyPort, &rg.controlPort, &rg.serverPort} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	rg.internalPort = 7720
	if rg.store, err = jpplatform.StartStore(rg.addr(0, 1)); err != nil {
		return nil, err
	}
	number := 0
	for _, zone := range order {
		for ix := range zones[zone] {
			number++
			name := fmt.Sprintf("front-%s-%d", zone, ix+1)
			log, err := os.Create(filepath.Join(dir, name+".log"))
			if err != nil {
				return nil, err
			}
			rg.instances = append(rg.instances, &instance{
				rig: rg, name: name, zone: zone, ip: rg.addr(1, number), store: rg.store.Address, path: filepath.Join(dir, name+".json"), log: log,
			})
		}
	}
	return rg, nil
}

// freePort returns a port that is free at all loopback addresses.
func freePort() (uint16, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort().Port(), nil
}

func (rg *rig) addr(network, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, rg.base, byte(network), byte(host)})
}

// seeds are the control addresses of three machines.
func (rg *rig) seeds() []string {
	var list []string
	for _, in := range rg.instances {
		if len(list) < 3 {
			list = append(list, netip.AddrPortFrom(in.ip, rg.controlPort).String())
		}
	}
	return list
}

// addServer starts a server at the next free address.
func (rg *rig) addServer(service, zone string, cold time.Duration) (*server, error) {
	sv, err := rg.startServer(service, zone, netip.AddrPortFrom(rg.addr(2, len(rg.servers)+1), rg.serverPort), cold)
	if err != nil {
		return nil, err
	}
	rg.mu.Lock()
	rg.servers = append(rg.servers, sv)
	rg.mu.Unlock()
	return sv, nil
}

// routes of the deployment, as addresses of the platform.
var (
	alertRoute = netip.MustParseAddrPort("198.18.0.1:8443") // safe
	orderRoute = netip.MustParseAddrPort("198.18.0.1:8080") // unsafe
	pageRoute  = netip.MustParseAddrPort("198.18.0.2:8443") // download
)

// putConfig writes the first manifest or a further one.
func (rg *rig) putConfig() {
	rg.version += 1 + rand.N(3)
	route := func(name string, at netip.AddrPort, kind, service string, timeout, target, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": at.Addr().String(), "prefix": fmt.Sprintf("/%d/", at.Port()), "type": kind, "timeoutMs": timeout,
			"targetLatencyMs": target, "priority": priority, "backend": service, "maxAttempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": 2.0, "warmupPerS": rg.warmup,
		}
	}
	rg.store.Put("op/config", map[string]any{
		"version": rg.version,
		"routes": []any{
			route("alert", alertRoute, "safe", deskService, 800, 120, 2),
			route("order", orderRoute, "unsafe", deskService, 1000, 150, 1),
			route("page", pageRoute, "download", catalogueService, 3000, 500, 2),
		},
		"backends": []any{service(deskService), service(catalogueService)},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	})
}

// startInstances starts all processes and the platform's readiness checks.
func (rg *rig) startInstances(ctx context.Context) error {
	context.AfterFunc(ctx, func() {
		rg.ended.Store(true)
		for _, in := range rg.instances {
			in.kill()
		}
		_ = os.RemoveAll(rg.dir)
	})
	for _, in := range rg.instances {
		if err := in.start(true); err != nil {
			return err
		}
		go in.probe(ctx)
	}
	return nil
}

// awaitReady waits until all instances are in rotation.
func (rg *rig) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, in := range rg.instances {
			if in.inTurn.Load() {
				count++
			}
		}
		if count == len(rg.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready in %s", limit)
}

// close ends everything that the rig has started.
func (rg *rig) close() {
	for _, in := range rg.instances {
		in.kill()
		in.log.Close()
	}
	rg.store.Close()
	_ = os.RemoveAll(rg.dir)
	rg.record.Close()
}

// logf writes a line to the record, with the time since the start.
func (rg *rig) logf(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.logLocked(format, args...)
}

func (rg *rig) logLocked(format string, args ...any) {
	fmt.Fprintf(rg.record, "%8.3f "+format+"\n", append([]any{time.Since(rg.began).Seconds()}, args...)...)
}

// broken records that a rule was broken.
func (rg *rig) broken(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.logLocked("BROKEN "+format, args...)
	rg.breaks = append(rg.breaks, fmt.Sprintf(format, args...))
}

func flowName(src, dst netip.AddrPort) string { return src.String() + ">" + dst.String() }

func (fl *flow) name() string {
	return flowName(netip.AddrPortFrom(fl.consumer.ip, fl.port), fl.route)
}

// setLoss sets the share of the servers' datagrams that the network loses.
func (rg *rig) setLoss(share float64) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.loss = share
}

// loses reports whether the network loses a datagram of a server.
func (rg *rig) loses(sv *server, pk packet) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.loss == 0 || rg.random.Float64() >= rg.loss {
		return false
	}
	rg.lost++
	rg.logLocked("network: lost a datagram (flags %d, %d B) of %s to flow %s", pk.flags, len(pk.data), sv.id, flowName(pk.dst, pk.src))
	return true
}

// noteSYN records the opening packet of a flow at a server.
func (rg *rig) noteSYN(sv *server, pk packet) {
	rg.logf("server %s: SYN of flow %s, copy %d", sv.id, flowName(pk.src, pk.dst), pk.ack)
}

// noteOpen records the server at which a flow is open.
func (rg *rig) noteOpen(sv *server, pk packet) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.owners[flowName(pk.src, pk.dst)] = sv
}

// noteForeign records that a server gets a packet of a flow that it does not hold.
func (rg *rig) noteForeign(sv *server, pk packet) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	name := flowName(pk.src, pk.dst)
	rg.foreign[name] = sv
	rg.astray[name] = append(rg.astray[name], time.Now())
	rg.logLocked("server %s: does not hold flow %s (flags %d, %d B)", sv.id, name, pk.flags, len(pk.data))
}

// noteOwn records that a flow's own server gets a packet of it.
func (rg *rig) noteOwn(pk packet) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	delete(rg.astray, flowName(pk.src, pk.dst))
}

// judgeAstray judges the packets of a flow that has got no answer (rule FLOW, b).
func (rg *rig) judgeAstray(fl *flow) {
	rg.mu.Lock()
	owner, other, astray := rg.owners[fl.name()], rg.foreign[fl.name()], rg.astray[fl.name()]
	rg.mu.Unlock()
	if owner == nil || other == owner || len(astray) < 3 || time.Since(astray[0]) < reorderTime {
		return
	}
	rg.broken("FLOW: flow %s is open at server %s, which lives; for %.1f s, %d packets of it reached server %s and none its own",
		fl.name(), owner.id, time.Since(astray[0]).Seconds(), len(astray), other.id)
}

// noteRun records that a server runs a request.
func (rg *rig) noteRun(sv *server, id string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.runs[id] = append(rg.runs[id], sv.id)
}

// runsOf returns the servers that have run a request.
func (rg *rig) runsOf(id string) []string {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return slices.Clone(rg.runs[id])
}

// notePacket records the copies of SYNs.
func (rg *rig) notePacket(fl *flow, pk packet, in *instance) {
	if pk.has(flagSYN) && pk.ack > 0 {
		rg.logf("consumer: flow %s, flags %d, %d B, copy %d, echo %08x, through %s", fl.name(), pk.flags, len(pk.data), pk.ack, pk.echo, in.name)
	}
}

// noteResetSeen judges a reset that a consumer has got (rule FLOW, a).
func (rg *rig) noteResetSeen(fl *flow, pk packet) {
	if !fl.opened {
		return
	}
	rg.mu.Lock()
	owner, other := rg.owners[fl.name()], rg.foreign[fl.name()]
	rg.mu.Unlock()
	if owner == nil || other == owner && pk.sum != 0 {
		return // never open at a server, or its own server has reset it
	}
	select {
	case <-owner.stopped:
		return
	default:
	}
	age := time.Since(fl.openedAt)
	if age > maxFlowAge {
		return
	}
	if pk.sum == 0 {
		rg.broken("FLOW: flow %s is open at server %s, which lives; the consumer got a reset of the system, %.1f s after it was opened", fl.name(), owner.id, age.Seconds())
		return
	}
	if other == nil {
		return
	}
	rg.broken("FLOW: flow %s is open at server %s, which lives; the consumer got a reset of server %s, %.1f s after it was opened", fl.name(), owner.id, other.id, age.Seconds())
}
