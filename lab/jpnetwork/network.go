package jpnetwork

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"

	"jacinthpass/lab/jpcontrol"
)

// Network is the running fabric and proxy.
type Network struct {
	conf        Config
	random      *randomSource
	faults      *faultSet
	links       *links
	lostFlows   lostFlows
	instances   instanceList
	callerTable callerTable
	sockets     sourceSockets
	control     *jpcontrol.Server
	malformed   atomic.Uint64
	unroutable  atomic.Uint64

	mu      sync.Mutex
	fabrics []*fabricPort
	rules   []*listener
}

// Start opens all ports of the configuration.
func Start(conf Config) (*Network, error) {
	nw := &Network{conf: conf, random: newRandomSource(conf.Seed), faults: newFaultSet()}
	nw.callerTable.tunnelAddrs = make(map[netip.Addr]netip.AddrPort)
	nw.sockets.byAddr = make(map[netip.Addr]*net.UDPConn)
	nw.links = newLinks(nw.faults, nw.random, newDelayQueue())
	go nw.links.delayQueue.run()
	if err := nw.open(); err != nil {
		nw.Close()
		return nil, err
	}
	return nw, nil
}

func (nw *Network) open() error {
	if _, err := nw.instances.set(nw.conf.Instances); err != nil {
		return err
	}
	for _, ft := range nw.conf.Faults {
		if _, err := nw.faults.add(ft); err != nil {
			return err
		}
	}
	for _, fb := range nw.conf.Fabrics {
		fp, err := nw.openFabric(fb)
		if err != nil {
			return err
		}
		nw.fabrics = append(nw.fabrics, fp)
	}
	for _, rule := range nw.conf.Rules {
		if _, err := nw.addRule(rule); err != nil {
			return err
		}
	}
	if nw.conf.Control == "" {
		return nil
	}
	var err error
	nw.control, err = jpcontrol.Serve(nw.conf.Control, nw.handler())
	return err
}

// Close closes all ports. Delayed datagrams are dropped.
func (nw *Network) Close() {
	if nw.control != nil {
		nw.control.Close()
	}
	close(nw.links.delayQueue.done)
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, fp := range nw.fabrics {
		fp.conn.Close()
	}
	for _, ls := range nw.rules {
		ls.close()
	}
	nw.sockets.close()
}

// isClosed reports whether a read failed because its socket was closed. Other
// errors of UDP sockets, such as those caused by ICMP, affect single datagrams.
func (nw *Network) isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}

func (nw *Network) increment(ct *atomic.Uint64) {
	ct.Add(1)
}

// endpoint returns the endpoint for an address, with its data centre if known.
func (nw *Network) endpoint(addr netip.Addr) Endpoint {
	end := Endpoint{Address: addr}
	bits := -1
	for _, dp := range nw.conf.DataCentres {
		if dp.Prefix.Contains(addr) && dp.Prefix.Bits() > bits {
			end.DataCentre, bits = dp.Name, dp.Prefix.Bits()
		}
	}
	return end
}

// addRule opens a listener of the proxy.
func (nw *Network) addRule(rule Rule) (Rule, error) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if rule.Name == "" || slices.ContainsFunc(nw.rules, func(ls *listener) bool { return ls.rule.Name == rule.Name }) {
		return rule, oops.Errorf("network: rule name %q is empty or already in use", rule.Name)
	}
	ls, err := nw.openRule(rule)
	if err != nil {
		return rule, err
	}
	nw.rules = append(nw.rules, ls)
	return rule, nil
}

// removeRule closes the listener with a name, and its connections.
func (nw *Network) removeRule(name string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.rules = slices.DeleteFunc(nw.rules, func(ls *listener) bool {
		if ls.rule.Name != name {
			return false
		}
		ls.close()
		return true
	})
}

func (nw *Network) allRules() []Rule {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	res := []Rule{}
	for _, ls := range nw.rules {
		res = append(res, ls.rule)
	}
	return res
}

// AddFault activates a fault and returns it with its id. It replaces an active
// fault with the same id.
func (nw *Network) AddFault(ft Fault) (Fault, error) {
	return nw.faults.add(ft)
}

// RemoveFault deactivates the fault with an id, or all faults if the id is empty.
func (nw *Network) RemoveFault(id string) {
	nw.faults.remove(id)
}

// AddLostFlow starts to drop the packets of a flow.
func (nw *Network) AddLostFlow(fl LostFlow) (LostFlow, error) {
	return nw.lostFlows.add(fl)
}

// SetInstances replaces the instances over which the fabric distributes packets.
func (nw *Network) SetInstances(list []Instance) ([]Instance, error) {
	return nw.instances.set(list)
}

// Counters is the response to GET /lab/counters.
type Counters struct {
	Links      []Counter `json:"links"`
	Malformed  uint64    `json:"malformed"`  // packets to the fabric that are not IPv4
	Unroutable uint64    `json:"unroutable"` // packets to the fabric without a reachable target
}

// Counters returns the traffic by link.
func (nw *Network) Counters() Counters {
	return Counters{
		Links:      nw.links.counters(),
		Malformed:  nw.malformed.Load(),
		Unroutable: nw.unroutable.Load(),
	}
}

// handler returns the HTTP handler of the control interface.
func (nw *Network) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lab/faults", jpcontrol.Get(nw.faults.all))
	mux.HandleFunc("POST /lab/faults", jpcontrol.Post(nw.AddFault))
	mux.HandleFunc("DELETE /lab/faults", deleteHandler(nw.RemoveFault))
	mux.HandleFunc("DELETE /lab/faults/{id}", deleteHandler(nw.RemoveFault))
	mux.HandleFunc("GET /lab/flows", jpcontrol.Get(nw.lostFlows.all))
	mux.HandleFunc("POST /lab/flows", jpcontrol.Post(nw.AddLostFlow))
	mux.HandleFunc("DELETE /lab/flows", deleteHandler(nw.lostFlows.remove))
	mux.HandleFunc("DELETE /lab/flows/{id}", deleteHandler(nw.lostFlows.remove))
	mux.HandleFunc("GET /lab/instances", jpcontrol.Get(nw.instances.all))
	mux.HandleFunc("PUT /lab/instances", jpcontrol.Post(nw.SetInstances))
	mux.HandleFunc("GET /lab/rules", jpcontrol.Get(nw.allRules))
	mux.HandleFunc("POST /lab/rules", jpcontrol.Post(nw.addRule))
	mux.HandleFunc("DELETE /lab/rules/{id}", deleteHandler(nw.removeRule))
	mux.HandleFunc("GET /lab/counters", jpcontrol.Get(nw.Counters))
	return mux
}

func deleteHandler(remove func(id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		remove(req.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	}
}
