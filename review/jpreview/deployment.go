package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"jacinthpass/lab/jpplatform"
)

// Sizes of the deployment, those of the site dss-hobart.
var (
	zoneNames        = []string{"hobart", "launceston", "devonport"}
	instancesPerZone = []int{3, 2, 2}
	deskPerZone      = []int{5, 5, 4}
	cataloguePerZone = []int{2, 1, 1}
)

// Names of the services.
const (
	deskService      = "order-desk"
	catalogueService = "catalogue"
)

const (
	startTimeout = 15 * time.Second

	// connectedTime is connectedMs of the deployment: how long an instance has to run
	// without a disruption before the bounds apply to it.
	connectedTime = 4 * time.Second

	// configApplyTime is configApplyMs of the deployment.
	configApplyTime = 3 * time.Second

	metricsPort = 9464 // as in deploy/system.toml
)

// Routes of the deployment. More are added by the cases.
var (
	alertRoute    = netip.MustParseAddrPort("198.18.0.1:8443")
	orderRoute    = netip.MustParseAddrPort("198.18.0.1:8080")
	brochureRoute = netip.MustParseAddrPort("198.18.0.2:8443")
)

// deployment is a small deployment with real processes of the entry program and
// stand-ins for everything else, on loopback addresses.
type deployment struct {
	record    *recorder
	program   string
	dir       string
	network   byte // second octet of all addresses
	port      uint16
	store     *jpplatform.Store
	fabric    *fabric
	instances []*instance
	backends  []*backend
	callers   []*callerHost
	version   int
	routes    []map[string]any
	cancel    context.CancelFunc
}

// instance is one process of the entry program.
type instance struct {
	name      string
	zone      string
	address   netip.Addr
	traffic   netip.AddrPort
	readiness netip.AddrPort
	logPath   string
	cmd       *exec.Cmd
	done      chan struct{}
}

// startDeployment starts everything and waits until all instances are ready and in
// touch. On an error, the deployment that it returns must be closed too.
func startDeployment(re *recorder, program, dir string) (*deployment, error) {
	dp := &deployment{record: re, program: program, dir: dir}
	dp.network, dp.port = freeAddresses()
	var err error
	if dp.store, err = jpplatform.StartStore(dp.addr(0, 0, 1)); err != nil {
		return dp, err
	}
	dp.fabric = &fabric{record: re, zones: zoneNames, missed: map[*instance]int{}}
	for zone, name := range zoneNames {
		for ix := range instancesPerZone[zone] {
			dp.addInstance(name, dp.addr(1, byte(zone), byte(ix+1)))
		}
		ch, err := startCallerHost(name, netip.AddrPortFrom(dp.addr(3, byte(zone), 1), dp.port), dp.fabric, re)
		if err != nil {
			return dp, err
		}
		dp.callers = append(dp.callers, ch)
	}
	if err := dp.startBackends(); err != nil {
		return dp, err
	}
	dp.addRoute("alert", alertRoute, "safe", deskService)
	dp.addRoute("order", orderRoute, "unsafe", deskService)
	dp.addRoute("brochure", brochureRoute, "download", catalogueService)
	dp.putManifest()
	for _, in := range dp.instances {
		if err := dp.startInstance(in); err != nil {
			return dp, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	dp.cancel = cancel
	go dp.fabric.run(ctx)
	return dp, dp.awaitReady()
}

// freeAddresses returns the second octet and the first port of addresses that are free.
func freeAddresses() (byte, uint16) {
	for {
		network, port := byte(100+rand.N(100)), uint16(20000+10*rand.N(1000))
		listener, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, 1, 1}), port).String())
		if err == nil {
			_ = listener.Close()
			return network, port
		}
	}
}

// addr returns an address: group 0 is the platform, 1 the instances, 2 the servers and
// 3 the callers.
func (dp *deployment) addr(group, zone, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, dp.network, group<<4 | zone, number})
}

func (dp *deployment) addInstance(zone string, address netip.Addr) {
	in := &instance{
		name: fmt.Sprintf("front-%s-%d", zone, address.As4()[3]), zone: zone, address: address,
		traffic: netip.AddrPortFrom(address, dp.port), readiness: netip.AddrPortFrom(address, dp.port+1),
	}
	dp.instances = append(dp.instances, in)
	dp.fabric.instances = append(dp.fabric.instances, in)
}

func (dp *deployment) startBackends() error {
	for zone, name := range zoneNames {
		for ix := range deskPerZone[zone] + cataloguePerZone[zone] {
			service := deskService
			if ix >= deskPerZone[zone] {
				service = catalogueService
			}
			bk, err := dp.startBackend(service, name, netip.AddrPortFrom(dp.addr(2, byte(zone), byte(ix+1)), dp.port+2))
			if err != nil {
				return err
			}
			dp.store.Put("servers/"+bk.id, bk.entry("ready"))
		}
	}
	return nil
}

func (dp *deployment) startBackend(service, zone string, address netip.AddrPort) (*backend, error) {
	number := rand.Uint32()
	bk := &backend{
		id: fmt.Sprintf("i-%08x", number), number: uint64(number), service: service, zone: zone, address: address,
		born: time.Now().UnixMilli(), workTime: 25 * time.Millisecond, callerPort: dp.port, record: dp.record,
		flows: map[flowID]*backendFlow{}, executions: map[string]int{}, ignored: map[flowID]int{},
	}
	dp.backends = append(dp.backends, bk)
	return bk, bk.start()
}

// addRoute adds a route to the next manifest.
func (dp *deployment) addRoute(name string, address netip.AddrPort, kind, service string) {
	dp.routes = append(dp.routes, map[string]any{
		"name": name, "hostname": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "type": kind,
		"timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "backend": service, "maxAttempts": 2,
	})
}

// putManifest writes the next version of the manifest. The store has acknowledged it
// when putManifest returns.
func (dp *deployment) putManifest() {
	dp.version += 1 + rand.N(3)
	var services []map[string]any
	for _, name := range []string{deskService, catalogueService} {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": 2.0, "warmupPerS": 0.0,
		})
	}
	dp.store.Put("op/config", map[string]any{
		"version": dp.version, "routes": dp.routes, "backends": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// settings returns the settings file of an instance.
func (dp *deployment) settings(in *instance) ([]byte, error) {
	zones := map[string]string{}
	for _, name := range zoneNames {
		zones[name] = "tas"
	}
	var seeds []string
	for zone := range zoneNames {
		seeds = append(seeds, netip.AddrPortFrom(dp.addr(1, byte(zone), 1), dp.port+3).String())
	}
	return json.MarshalIndent(map[string]any{
		"nodeName": in.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": in.address.String(), "zone": in.zone, "region": "tas", "zones": zones,
		"listen": map[string]string{
			"dataAddr": in.traffic.String(), "ready": in.readiness.String(),
			"control": netip.AddrPortFrom(in.address, dp.port+3).String(),
		},
		"internalPorts": []uint16{dp.port + 4, dp.port + 9}, "seeds": seeds, "bootstrap": true, "inFaultBudget": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "advertise", "heartbeatMs": 770,
		"faultTolerance": map[string]int{"hostFaults": 2, "zones": 1, "regions": 0},
		"parameters": map[string]any{
			"reuseAfterS": 2, "connectedMs": connectedTime.Milliseconds(), "drainMs": 3000, "graceS": 6,
			"configApplyMs": configApplyTime.Milliseconds(), "evacMs": 5000, "maxFlowS": 60,
		},
		"hashFn": "mod", "forwardMode": "echo",
		"platform": map[string]any{
			"address": dp.store.Address.String(), "forwardMode": "kv", "writesPerS": 400, "readsPerS": 2000,
			"historyS": 20, "valueBytes": maxValueSize, "ttlMinMs": 1000,
		},
	}, "", " ")
}

// maxValueSize is valueBytes of the store: the size of the largest value.
const maxValueSize = 1 << 20

// startInstance starts the process of an instance with the command of deploy/system.toml.
func (dp *deployment) startInstance(in *instance) error {
	text, err := dp.settings(in)
	if err != nil {
		return err
	}
	path := filepath.Join(dp.dir, in.name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	in.logPath = filepath.Join(dp.dir, in.name+".log")
	out, err := os.Create(in.logPath)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(dp.program, "run", "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACINTHPASS_NODE_FILE=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	in.cmd, in.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		dp.record.add("instance %s ended: %s", in.name, cmd.ProcessState)
		close(in.done)
	}()
	return nil
}

// awaitReady waits until all instances are ready, and until they are in touch.
func (dp *deployment) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, in := range dp.instances {
		for !in.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("instance %s is not ready after %v", in.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	dp.record.add("%d instances are ready, %d servers are listed", len(dp.instances), len(dp.backends))
	time.Sleep(connectedTime + time.Second)
	return nil
}

// backendOf returns the server that ran a request, or nil.
func (dp *deployment) backendOf(request string) *backend {
	for _, bk := range dp.backends {
		if bk.ranTimes(request) > 0 {
			return bk
		}
	}
	return nil
}

// close ends everything and adds the instances' lines on resets to the record.
func (dp *deployment) close() {
	if dp.cancel != nil {
		dp.cancel()
	}
	for _, in := range dp.instances {
		if in.cmd != nil {
			_ = in.cmd.Process.Kill() // fails if the process has already ended
			<-in.done
			dp.addLog(in)
		}
	}
	for _, bk := range dp.backends {
		bk.close()
	}
	for _, ch := range dp.callers {
		_ = ch.conn.Close()
	}
	if dp.store != nil {
		dp.store.Close()
	}
}

// maxLogLines bounds the lines of one instance's log in the record.
const maxLogLines = 12

// addLog adds those lines of an instance's log to the record that tell of resets, of
// the store and of its entries.
func (dp *deployment) addLog(in *instance) {
	text, err := os.ReadFile(in.logPath)
	if err != nil {
		dp.record.add("log of %s: %v", in.name, err)
		return
	}
	count := 0
	for line := range strings.Lines(string(text)) {
		told := strings.Contains(line, `outcome="reset"`) || strings.Contains(line, `"store: `) || strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE")
		if told && count < maxLogLines {
			count++
			dp.record.add("log of %s: %s", in.name, strings.TrimSpace(line))
		}
	}
}
