// Package jpcluster runs jacinthpass and its simulated environment as separate
// processes on loopback addresses, for the demo, experiments and tests.
package jpcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jpsettings"
	"jacinthpass/io/jpoperator"
	"jacinthpass/lab/jpnetwork"
	"jacinthpass/lab/jpstorestand"
)

// DataCentre is a data centre and the number of instances in it.
type DataCentre struct {
	Name      string
	Instances int
}

// Spec describes a cluster.
type Spec struct {
	Dir               string       // for configuration and log files
	InstanceProgram   string       // program jacinthpass
	LabProgram        string       // program jacinthpass-lab
	Settings          []byte       // shared settings; each server in them gets a process
	DataCentres       []DataCentre // the position, from 1, is the third octet of the instances' addresses
	SecondOctet       int          // second octet of the instances' addresses in 127.0.0.0/8; +1 callers, +2 network, +3 store, +4 backend servers
	Seed              uint64
	DelayMS           float64  // one-way delay between data centres; callers and the platform count as data centres too
	ServerFlags       []string // additional flags for each backend server
	AcceptAllServices bool     // backend servers accept connections to all services, not only to their own
	Baseline          string   // baseline steering method, empty for the normal one
}

// Cluster is a running cluster.
type Cluster struct {
	spec      Spec
	tree      *jpsettings.Tree
	Network   *Process
	Store     *Process
	Instances []*Instance
	Servers   []*Server

	mu              sync.Mutex
	processes       []*Process
	callerProcesses int
}

// Instance is one instance of the cluster.
type Instance struct {
	*Process
	ID         string
	DataCentre string
	Listed     jpmember.Listed
	listen     jpmember.Addresses
}

// Server is one backend server of the cluster.
type Server struct {
	*Process
	Service string
	Config  jpsettings.Server
	Control string // base URL of the control interface
}

// Ports at which processes are reached through the simulated network. The processes
// themselves listen listenPortOffset higher. Control interfaces are reached directly
// at controlPort.
const (
	trafficPort      = 5555
	relayPort        = 6081
	peerPort         = 7001
	operatorPort     = 7002
	listenPortOffset = 1000
	storePort        = 8500
	controlPort      = 9000
)

// serverOctetOffset is added to Spec.SecondOctet for the second octet of the
// backend servers' addresses.
const serverOctetOffset = 4

const readyTimeout = 15 * time.Second

// Start starts a cluster and applies its settings. The caller must call Stop even
// if Start returns an error.
func Start(ctx context.Context, spec Spec) (*Cluster, error) {
	cl := &Cluster{spec: spec}
	cl.spec.Settings = relocate(spec.Settings, spec.SecondOctet+serverOctetOffset)
	tree, err := jpsettings.Parse("settings", cl.spec.Settings)
	if err != nil {
		return cl, err
	}
	cl.tree = tree
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return cl, err
	}
	cl.defineInstances()
	steps := []func(context.Context) error{
		cl.startStore, cl.startNetwork, cl.startServers, cl.startInstances, cl.applySettings, cl.awaitSettings,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return cl, errors.Join(err, cl.checkRunning())
		}
	}
	return cl, cl.checkRunning()
}

// checkRunning returns an error if a process has exited. If another cluster uses
// the same addresses, the processes of this one cannot bind them and exit, while
// those of the other cluster answer the readiness checks.
func (cl *Cluster) checkRunning() error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, pr := range cl.processes {
		if !pr.Running() {
			return fmt.Errorf("cluster: %s exited during startup, see %s", pr.Name, pr.logPath)
		}
	}
	return nil
}

var loopbackPrefix = regexp.MustCompile(`\b127\.[0-9]+\.`)

// relocate replaces the second octet of all loopback addresses in the settings, so
// that several clusters can run at the same time.
func relocate(text []byte, octet int) []byte {
	return loopbackPrefix.ReplaceAll(text, fmt.Appendf(nil, "127.%d.", octet))
}

// Stop kills all processes of the cluster, including paused ones.
func (cl *Cluster) Stop() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, pr := range cl.processes {
		if pr.Running() {
			_ = pr.Signal(syscall.SIGCONT)
			_ = pr.Kill()
		}
	}
}

func (cl *Cluster) address(offset, third, fourth, port int) netip.AddrPort {
	ad := netip.AddrFrom4([4]byte{127, byte(cl.spec.SecondOctet + offset), byte(third), byte(fourth)})
	return netip.AddrPortFrom(ad, uint16(port))
}

// Fabric returns the UDP address of the fabric.
func (cl *Cluster) Fabric() netip.AddrPort { return cl.address(2, 0, 1, trafficPort) }

// NetworkControl returns the base URL of the network's control interface.
func (cl *Cluster) NetworkControl() string {
	return "http://" + cl.address(2, 0, 1, controlPort).String()
}

// StoreControl returns the base URL of the store's control interface.
func (cl *Cluster) StoreControl() string {
	return "http://" + cl.address(3, 0, 1, storePort+listenPortOffset).String()
}

func (cl *Cluster) defineInstances() {
	for ix, dc := range cl.spec.DataCentres {
		for no := range dc.Instances {
			cl.defineInstance(ix+1, no+1, dc.Name)
		}
	}
}

func (cl *Cluster) defineInstance(third, fourth int, dataCentre string) *Instance {
	at := func(port int) netip.AddrPort { return cl.address(0, third, fourth, port) }
	in := &Instance{
		ID: fmt.Sprintf("%s-%d", dataCentre, fourth), DataCentre: dataCentre,
		listen: jpmember.Addresses{
			Traffic: at(trafficPort + listenPortOffset), Relay: at(relayPort + listenPortOffset),
			Peer: at(peerPort + listenPortOffset), Operator: at(operatorPort + listenPortOffset),
		},
	}
	in.Listed = jpmember.Listed{ID: in.ID, DataCentre: dataCentre, Addresses: jpmember.Addresses{
		Traffic: at(trafficPort), Relay: at(relayPort), Peer: at(peerPort), Operator: at(operatorPort),
	}}
	cl.Instances = append(cl.Instances, in)
	return in
}

func (cl *Cluster) startStore(ctx context.Context) error {
	var err error
	cl.Store, err = cl.startProcess("store", cl.spec.LabProgram, "store", "--listen", cl.address(3, 0, 1, storePort+listenPortOffset).String())
	if err != nil {
		return err
	}
	return cl.awaitHTTP(ctx, cl.StoreControl()+"/lab/calls")
}

func (cl *Cluster) startNetwork(ctx context.Context) error {
	path := filepath.Join(cl.spec.Dir, "network.json")
	text, err := json.MarshalIndent(cl.networkConfig(), "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	if cl.Network, err = cl.startProcess("network", cl.spec.LabProgram, "network", "--config", path); err != nil {
		return err
	}
	return cl.awaitHTTP(ctx, cl.NetworkControl()+"/lab/faults")
}

// networkConfig returns the configuration of the network, with a proxy rule for
// each listening address of the other processes.
func (cl *Cluster) networkConfig() jpnetwork.Config {
	cfg := jpnetwork.Config{
		Control: cl.address(2, 0, 1, controlPort).String(),
		Seed:    cl.spec.Seed,
		Fabrics: []jpnetwork.Fabric{{Listen: cl.Fabric()}},
		DataCentres: []jpnetwork.DataCentrePrefix{
			{Prefix: netip.PrefixFrom(cl.address(1, 0, 0, 0).Addr(), 16), Name: "callers"},
			{Prefix: netip.PrefixFrom(cl.address(3, 0, 0, 0).Addr(), 16), Name: "platform"},
		},
	}
	if cl.spec.DelayMS > 0 {
		cfg.Faults = []jpnetwork.Fault{{ID: "distance", BetweenDataCentres: true, DelayMS: cl.spec.DelayMS}}
	}
	for ix, dc := range cl.spec.DataCentres {
		prefix := netip.PrefixFrom(cl.address(0, ix+1, 0, 0).Addr(), 24)
		cfg.DataCentres = append(cfg.DataCentres, jpnetwork.DataCentrePrefix{Prefix: prefix, Name: dc.Name})
	}
	for _, in := range cl.Instances {
		cfg.Rules = append(cfg.Rules, in.proxyRules()...)
		cfg.Instances = append(cfg.Instances, in.fabricTarget())
	}
	cl.addServers(&cfg)
	cfg.Rules = append(cfg.Rules, jpnetwork.Rule{
		Name: "store", Protocol: "tcp", DataCentre: "platform",
		Listen: cl.address(3, 0, 1, storePort), Target: cl.address(3, 0, 1, storePort+listenPortOffset),
	})
	return cfg
}

// addServers adds the proxy rules and address prefixes of the backend servers.
func (cl *Cluster) addServers(cfg *jpnetwork.Config) {
	seen := map[netip.Prefix]bool{}
	for _, sv := range cl.tree.Services {
		for _, sr := range sv.Servers {
			cfg.Rules = append(cfg.Rules, serverRules(sr)...)
			prefix, _ := sr.Address.Addr().Prefix(24)
			if !seen[prefix] {
				seen[prefix] = true
				cfg.DataCentres = append(cfg.DataCentres, jpnetwork.DataCentrePrefix{Prefix: prefix, Name: sr.DataCentre})
			}
			cfg.Servers, _ = sr.Address.Addr().Prefix(16)
		}
	}
}

// loadAddress returns the address of a server's load endpoint.
func loadAddress(sr jpsettings.Server) netip.AddrPort {
	rest := strings.TrimPrefix(sr.LoadURL, "http://")
	host, _, _ := strings.Cut(rest, "/")
	ap, _ := netip.ParseAddrPort(host)
	return ap
}

// listenAddress returns the address that a process listens on for an address of the
// proxy.
func listenAddress(ap netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(ap.Addr(), ap.Port()+listenPortOffset)
}

func proxyRule(name, protocol string, listen netip.AddrPort, tunnel bool) jpnetwork.Rule {
	return jpnetwork.Rule{Name: name, Protocol: protocol, Listen: listen, Target: listenAddress(listen), Tunnel: tunnel}
}

func (in *Instance) proxyRules() []jpnetwork.Rule {
	ad := in.Listed.Addresses
	return []jpnetwork.Rule{
		proxyRule(in.ID+"-relay", "udp", ad.Relay, false),
		proxyRule(in.ID+"-peer", "tcp", ad.Peer, false),
		proxyRule(in.ID+"-operator", "tcp", ad.Operator, false),
	}
}

func (in *Instance) fabricTarget() jpnetwork.Instance {
	return jpnetwork.Instance{ID: in.ID, Address: in.listen.Traffic, DataCentre: in.DataCentre}
}

func (cl *Cluster) startServers(ctx context.Context) error {
	for _, sv := range cl.tree.Services {
		for _, sr := range sv.Servers {
			if err := cl.startServer(sv, sr); err != nil {
				return err
			}
		}
	}
	for _, sr := range cl.Servers {
		if err := cl.awaitHTTP(ctx, sr.Control+"/lab/stats"); err != nil {
			return err
		}
	}
	return nil
}

// serviceAddresses returns the service addresses that a server of sv accepts
// connections to.
func (cl *Cluster) serviceAddresses(sv jpsettings.Service) []string {
	if !cl.spec.AcceptAllServices {
		return []string{sv.Address.String()}
	}
	var list []string
	for _, each := range cl.tree.Services {
		list = append(list, each.Address.String())
	}
	return list
}

func (cl *Cluster) startServer(sv jpsettings.Service, sr jpsettings.Server) error {
	control := listenAddress(loadAddress(sr)).String()
	lm := sr.Limits
	args := append([]string{
		cl.spec.LabProgram, "server", "--name", sr.Name,
		"--listen", listenAddress(sr.Address).String(), "--fabric", cl.Fabric().String(),
		"--service", strings.Join(cl.serviceAddresses(sv), ","), "--http", control,
		"--slots", strconv.Itoa(lm.Slots), "--connections", strconv.Itoa(lm.Connections),
		"--cold-slots", strconv.Itoa(lm.ColdSlots), "--cold-connections", strconv.Itoa(lm.ColdConnections),
		"--cold-duration", lm.ColdDuration.String(),
	}, cl.spec.ServerFlags...)
	pr, err := cl.startProcess(sr.Name, args...)
	if err != nil {
		return err
	}
	cl.Servers = append(cl.Servers, &Server{Process: pr, Service: sv.Name, Config: sr, Control: "http://" + control})
	return nil
}

func (cl *Cluster) startInstances(ctx context.Context) error {
	for _, in := range cl.Instances {
		if err := cl.StartInstance(ctx, in); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance registers an instance with the platform and starts its process.
func (cl *Cluster) StartInstance(ctx context.Context, in *Instance) error {
	if err := jpstorestand.Register(ctx, cl.StoreControl(), in.Listed); err != nil {
		return err
	}
	if in.Process != nil {
		return in.Process.start()
	}
	path := filepath.Join(cl.spec.Dir, in.ID+".ini")
	if err := os.WriteFile(path, []byte(cl.instanceConfig(in)), 0o644); err != nil {
		return err
	}
	args := []string{cl.spec.InstanceProgram, "instance", "--config", path}
	if cl.spec.Baseline != "" {
		args = append(args, "--baseline", cl.spec.Baseline)
	}
	var err error
	in.Process, err = cl.startProcess(in.ID, args...)
	return err
}

func (cl *Cluster) instanceConfig(in *Instance) string {
	ad, listen := in.Listed.Addresses, in.listen
	var sb strings.Builder
	fmt.Fprintf(&sb, "[instance]\nid = %s\ndata_centre = %s\nfabric = %s\n", in.ID, in.DataCentre, cl.Fabric())
	fmt.Fprintf(&sb, "traffic = %s\nrelay = %s\npeer = %s\noperator = %s\n", ad.Traffic, ad.Relay, ad.Peer, ad.Operator)
	fmt.Fprintf(&sb, "listen_traffic = %s\nlisten_relay = %s\nlisten_peer = %s\nlisten_operator = %s\n", listen.Traffic, listen.Relay, listen.Peer, listen.Operator)
	fmt.Fprintf(&sb, "[platform]\nstore = http://%s\n", cl.address(3, 0, 1, storePort))
	return sb.String()
}

// Operator returns a client of an instance's operator interface.
func (cl *Cluster) Operator(in *Instance) *jpoperator.Client {
	return jpoperator.Dial(in.listen.Operator.String())
}

func (cl *Cluster) applySettings(ctx context.Context) error {
	first := cl.Instances[0]
	return retry(ctx, readyTimeout, func() error {
		_, err := cl.Operator(first).Apply(ctx, jpoperator.Change{Text: cl.spec.Settings, Author: "cluster"})
		return err
	})
}

// awaitSettings waits until each instance has the settings and considers all
// others alive.
func (cl *Cluster) awaitSettings(ctx context.Context) error {
	return cl.AwaitMembers(ctx, readyTimeout*time.Duration(len(cl.Instances)))
}

func (cl *Cluster) awaitHTTP(ctx context.Context, url string) error {
	return retry(ctx, readyTimeout, func() error { return GetJSON(ctx, url, nil) })
}

// retry calls try until it succeeds or the limit has passed.
func retry(ctx context.Context, limit time.Duration, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("cluster: not ready after %v", limit), err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// SortedServers returns the servers of a service, sorted by name.
func (cl *Cluster) SortedServers(service string) []*Server {
	var list []*Server
	for _, sr := range cl.Servers {
		if sr.Service == service {
			list = append(list, sr)
		}
	}
	sort.Slice(list, func(ix, jx int) bool { return list[ix].Config.Name < list[jx].Config.Name })
	return list
}
