package jpplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports that all instances and servers of a site use.
const (
	trafficPort       = 17001
	readyPort         = 17002
	controlPort       = 17003
	metricsPort       = 17004
	firstInternalPort = 17010
	lastInternalPort  = 17019
	serverPort        = 17100
)

// BaseNetworkVariable is the environment variable with the second octet of the
// first network of a site, 127.N.0.0/16. A site uses four consecutive networks.
// Different values allow several sites on one machine.
const BaseNetworkVariable = "JPPLATFORM_BASE"

const defaultBaseNetwork = 76

// baseNetwork returns the second octet of the first network of a site.
func baseNetwork() (byte, error) {
	base := uint64(defaultBaseNetwork)
	if text := os.Getenv(BaseNetworkVariable); text != "" {
		var err error
		if base, err = strconv.ParseUint(text, 10, 8); err != nil || base > 250 {
			return 0, fmt.Errorf("site: %s=%q is not a number up to 250", BaseNetworkVariable, text)
		}
	}
	return byte(base), nil
}

// Networks of a site, as offsets from the base network, which is the store's.
const (
	instanceNetwork byte = 1 + iota
	serverNetwork
	callerNetwork
)

// zones are the data centres of a site.
var zones = []string{"hobart", "launceston", "devonport"}

// Site is a simulated platform with a store, instances, servers and callers on
// loopback addresses.
type Site struct {
	Store     *Store
	Servers   []*Server
	Instances []*Instance
	Callers   *CallerHost

	program string
	dir     string
	version int

	sync.Mutex // held by concurrent users of AddServer and SetRoutes

	mu       sync.Mutex
	rotation []*Instance // instances that get packets of callers
}

// Instance is one jacinthpass process.
type Instance struct {
	Zone       string
	Address    netip.Addr
	LogPath    string
	StoreProxy *Proxy // through which the instance reaches the store

	settingsPath string
	cmd          *exec.Cmd
	done         chan struct{}
}

// State describes the state of the process, or how it ended.
func (in *Instance) State() string {
	if in.Running() {
		return "running"
	}
	return in.cmd.ProcessState.String()
}

// Running reports whether the process of the instance is running.
func (in *Instance) Running() bool {
	select {
	case <-in.done:
		return false
	default:
		return in.cmd != nil
	}
}

// StartSite starts instances of a program in three zones, one server in each zone
// for each of two backends, and a host of callers. Logs and settings are written
// to dir. On an error, the caller must close the returned site unless it is nil.
func StartSite(program, dir string) (*Site, error) {
	base, err := baseNetwork()
	if err != nil {
		return nil, err
	}
	store, err := StartStore(netip.AddrFrom4([4]byte{127, base, 0, 1}))
	if err != nil {
		return nil, err
	}
	si := &Site{Store: store, program: program, dir: dir}
	if si.Callers, err = StartCallerHost(netip.AddrFrom4([4]byte{127, base + callerNetwork, 0, 1}), trafficPort, si.route); err != nil {
		return si, err
	}
	for ix, zone := range zones {
		for iy, backend := range []string{"desk", "catalogue"} {
			number := uint32(0xa0000000 + ix<<8 + iy)
			if _, err := si.AddServer(number, backend, zone, serverAddress(base, ix, iy)); err != nil {
				return si, err
			}
		}
	}
	si.SetRoutes(StandardRoutes()...)
	for ix, zone := range zones {
		in := &Instance{Zone: zone, Address: netip.AddrFrom4([4]byte{127, base + instanceNetwork, byte(ix), 1})}
		if in.StoreProxy, err = StartProxy(in.Address, store.Address); err != nil {
			return si, err
		}
		si.Instances = append(si.Instances, in)
	}
	for _, in := range si.Instances {
		if err := si.Start(in); err != nil {
			return si, err
		}
	}
	si.SetRotation(si.Instances...)
	return si, nil
}

func serverAddress(base byte, zone, index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, base + serverNetwork, byte(zone), byte(index + 1)}), serverPort)
}

// AddServer starts a server and writes its entry.
func (si *Site) AddServer(number uint32, backend, zone string, address netip.AddrPort) (*Server, error) {
	sr, err := StartServer(number, backend, zone, address, trafficPort)
	if err != nil {
		return nil, err
	}
	si.Servers = append(si.Servers, sr)
	si.PutEntry(sr)
	return sr, nil
}

// PutEntry writes the entry of a server, as real servers do themselves.
func (si *Site) PutEntry(sr *Server) { si.PutForeignEntry(sr.ID, sr.Entry) }

// PutForeignEntry writes an entry as another writer may do.
func (si *Site) PutForeignEntry(id string, entry ServerEntry) { si.Store.Put(serverKey(id), entry) }

// RemoveForeignEntry removes an entry that its writer no longer renews.
func (si *Site) RemoveForeignEntry(id string) { si.Store.Remove(serverKey(id)) }

// PutDraining sets the state in the entry of a server to draining.
func (si *Site) PutDraining(sr *Server) {
	entry := sr.Entry
	entry.State = "draining"
	si.Store.Put(serverKey(sr.ID), entry)
}

// RemoveEntry removes the entry of a server.
func (si *Site) RemoveEntry(sr *Server) { si.RemoveForeignEntry(sr.ID) }

// PutMalformed writes data that is not a valid entry as the entry of a server.
func (si *Site) PutMalformed(id, data string) { si.Store.PutRaw(serverKey(id), []byte(data)) }

func serverKey(id string) string { return "servers/" + id }

// SetEvacuated takes a data centre out of service, or back into service.
func (si *Site) SetEvacuated(zone string, evacuated bool) {
	key := "op/evacuate/" + zone
	if !evacuated {
		si.Store.Remove(key)
		return
	}
	si.Store.Put(key, struct{}{})
}

// Addresses of the standard routes.
var (
	AlertRoute    = netip.MustParseAddrPort("198.18.0.1:443")
	OrderRoute    = netip.MustParseAddrPort("198.18.0.1:8080")
	BrochureRoute = netip.MustParseAddrPort("198.18.0.2:443")
)

// Route is a route of the operator's manifest.
type Route struct {
	Address         netip.AddrPort
	Kind            string
	Backend         string
	Priority        int
	TargetLatencyMs int     // 0 if not stated
	Split           []Share // in the place of Backend
}

// Share is a part of a route's split.
type Share struct {
	Backend string `json:"backend"`
	Weight  int    `json:"weight"`
}

// StandardRoutes returns the routes with which a site starts.
func StandardRoutes() []Route {
	return []Route{
		{Address: AlertRoute, Kind: "safe", Backend: "desk", Priority: 1}, {Address: OrderRoute, Kind: "unsafe", Backend: "desk", Priority: 1},
		{Address: BrochureRoute, Kind: "download", Backend: "catalogue", Priority: 1},
	}
}

// SetRoutes writes the next version of the manifest.
func (si *Site) SetRoutes(routes ...Route) {
	si.version += 3
	var list []map[string]any
	for ix, rt := range routes {
		entry := map[string]any{
			"name": fmt.Sprintf("r-%d", ix), "hostname": rt.Address.Addr().String(),
			"prefix": fmt.Sprintf("/%d/", rt.Address.Port()), "type": rt.Kind,
			"timeoutMs": 1000, "priority": rt.Priority, "maxAttempts": 2,
		}
		if rt.TargetLatencyMs > 0 {
			entry["targetLatencyMs"] = rt.TargetLatencyMs
		}
		if len(rt.Split) > 0 {
			entry["split"] = rt.Split
		} else {
			entry["backend"] = rt.Backend
		}
		list = append(list, entry)
	}
	var backends []map[string]any
	for _, name := range []string{"desk", "catalogue"} {
		backends = append(backends, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "warmupS": 1.0, "warmupPerS": 0.0,
		})
	}
	si.Store.Put("op/config", map[string]any{
		"version": si.version, "routes": list, "backends": backends, "limits": map[string]any{"idleTimeoutMs": 15000},
	})
}

// SetRotation sets the instances to which the packets of callers are sent.
func (si *Site) SetRotation(instances ...*Instance) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.rotation = instances
}

// route selects an instance by the caller's port modulo the number of instances,
// so that nearly all flows move to another instance when the rotation changes.
func (si *Site) route(caller netip.AddrPort) netip.AddrPort {
	si.mu.Lock()
	defer si.mu.Unlock()
	in := si.rotation[int(caller.Port())%len(si.rotation)]
	return netip.AddrPortFrom(in.Address, trafficPort)
}

// Start starts the process of an instance.
func (si *Site) Start(in *Instance) error {
	in.settingsPath = filepath.Join(si.dir, in.Address.String()+".json")
	in.LogPath = filepath.Join(si.dir, in.Address.String()+".log")
	if err := os.WriteFile(in.settingsPath, si.settings(in), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(in.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(si.program, "run", "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "JACINTHPASS_NODE_FILE="+in.settingsPath, "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	in.cmd, in.done = cmd, done
	return nil
}

func (si *Site) settings(in *Instance) []byte {
	var seeds []string
	for _, other := range si.Instances {
		seeds = append(seeds, netip.AddrPortFrom(other.Address, controlPort).String())
	}
	address := func(port uint16) string { return netip.AddrPortFrom(in.Address, port).String() }
	text, err := json.Marshal(map[string]any{
		"ip": in.Address.String(), "zone": in.Zone, "hashFn": "mod", "forwardMode": "echo", "nodeName": in.Address.String(),
		"listen":        map[string]string{"dataAddr": address(trafficPort), "ready": address(readyPort), "control": address(controlPort)},
		"internalPorts": []int{firstInternalPort, lastInternalPort}, "seeds": seeds,
		"parameters": map[string]any{"graceS": 6, "drainMs": 3000, "configApplyMs": 3000, "evacMs": 5000},
		"platform":   map[string]any{"address": in.StoreProxy.Address.String(), "forwardMode": "kv", "ttlMinMs": 1000},
	})
	if err != nil {
		panic("site: encode settings: " + err.Error())
	}
	return text
}

// Signal sends a signal to the process of an instance.
func (in *Instance) Signal(signal syscall.Signal) error { return in.cmd.Process.Signal(signal) }

// Done returns a channel that is closed when the process ends.
func (in *Instance) Done() <-chan struct{} { return in.done }

// Ready reports whether the readiness endpoint of the instance returns 200.
func (in *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + netip.AddrPortFrom(in.Address, readyPort).String() + "/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Get returns the response body for a path at the metrics address, or the text of
// the error.
func (in *Instance) Get(path string) string {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + netip.AddrPortFrom(in.Address, metricsPort).String() + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Close stops everything that the site started.
func (si *Site) Close() {
	for _, in := range si.Instances {
		in.StoreProxy.Close()
		if in.cmd != nil {
			_ = in.cmd.Process.Kill() // fails if the process has already ended
			<-in.done
		}
	}
	for _, sr := range si.Servers {
		sr.Stop()
	}
	if si.Callers != nil {
		si.Callers.Close()
	}
	si.Store.Close()
}
