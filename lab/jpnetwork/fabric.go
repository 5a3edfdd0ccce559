package jpnetwork

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"
)

const (
	// maxPacket is an upper bound for the size of a UDP datagram, in bytes.
	maxPacket = 1 << 16
	// socketBuffer is the receive buffer of a socket in bytes, enough for the
	// bursts of several thousand flows.
	socketBuffer = 4 << 20
)

// instanceList holds the instances over which the fabric distributes packets.
type instanceList struct {
	mu   sync.RWMutex
	list []Instance
}

func (il *instanceList) set(list []Instance) ([]Instance, error) {
	for i := range list {
		if list[i].ID == "" || !list[i].Address.IsValid() {
			return nil, oops.Errorf("network: instance has no id or no valid address")
		}
		if list[i].Weight == 0 {
			list[i].Weight = 1
		}
	}
	il.mu.Lock()
	defer il.mu.Unlock()
	il.list = slices.Clone(list)
	return list, nil
}

func (il *instanceList) all() []Instance {
	il.mu.RLock()
	defer il.mu.RUnlock()
	return append([]Instance{}, il.list...)
}

// byAddress returns the instance with an IP address and reports whether there
// is one.
func (il *instanceList) byAddress(addr netip.Addr) (Instance, bool) {
	il.mu.RLock()
	defer il.mu.RUnlock()
	for _, in := range il.list {
		if in.Address.Addr() == addr {
			return in, true
		}
	}
	return Instance{}, false
}

// choose returns a weighted random choice among the instances of a data centre
// that are reachable. An empty data centre stands for all of them.
func (il *instanceList) choose(dataCentre string, rs *randomSource, reachable func(Instance) bool) (Instance, bool) {
	il.mu.RLock()
	defer il.mu.RUnlock()
	total := 0
	candidates := make([]int, 0, 16)
	for i := range il.list {
		in := &il.list[i]
		if (dataCentre == "" || in.DataCentre == dataCentre) && reachable(*in) {
			candidates = append(candidates, i)
			total += in.Weight
		}
	}
	if total == 0 {
		return Instance{}, false
	}
	remaining := int(rs.float() * float64(total))
	for _, i := range candidates {
		remaining -= il.list[i].Weight
		if remaining < 0 {
			return il.list[i], true
		}
	}
	return il.list[candidates[len(candidates)-1]], true
}

// callerTable maps the IP address of a caller to the UDP address of its tunnel.
type callerTable struct {
	mu          sync.RWMutex
	tunnelAddrs map[netip.Addr]netip.AddrPort
}

func (ct *callerTable) record(caller netip.Addr, at netip.AddrPort) {
	ct.mu.RLock()
	same := ct.tunnelAddrs[caller] == at
	ct.mu.RUnlock()
	if same {
		return
	}
	ct.mu.Lock()
	ct.tunnelAddrs[caller] = at
	ct.mu.Unlock()
}

func (ct *callerTable) lookup(caller netip.Addr) (netip.AddrPort, bool) {
	ct.mu.RLock()
	defer ct.mu.RUnlock()
	at, ok := ct.tunnelAddrs[caller]
	return at, ok
}

// fabricPort is one running UDP port of the fabric.
type fabricPort struct {
	network *Network
	conf    Fabric
	conn    *net.UDPConn
}

func (nw *Network) openFabric(conf Fabric) (*fabricPort, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(conf.Listen))
	if err != nil {
		return nil, oops.Wrapf(err, "network: open fabric port")
	}
	conn.SetReadBuffer(socketBuffer)
	fp := &fabricPort{network: nw, conf: conf, conn: conn}
	go fp.run()
	return fp, nil
}

func (fp *fabricPort) run() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := fp.conn.ReadFromUDPAddrPort(buf)
		if fp.network.isClosed(err) {
			return
		}
		if err == nil {
			fp.handle(buf[:n], from)
		}
	}
}

// handle forwards one packet depending on whether a server, an instance or a
// caller sent it.
func (fp *fabricPort) handle(pkt []byte, from netip.AddrPort) {
	nw := fp.network
	in, ok := parseInner(pkt)
	if !ok {
		nw.increment(&nw.malformed)
		return
	}
	if nw.conf.Servers.IsValid() && nw.conf.Servers.Contains(from.Addr()) {
		fp.forwardFromServer(pkt, in, from)
		return
	}
	if _, ok := nw.instances.byAddress(from.Addr()); ok {
		fp.forwardToCaller(pkt, in, from)
		return
	}
	// An instance that was removed from the list may still send packets.
	if _, ok := nw.callerTable.lookup(in.destination.Addr()); ok {
		fp.forwardToCaller(pkt, in, from)
		return
	}
	fp.forwardFromCaller(pkt, in, from)
}

func (fp *fabricPort) forwardFromCaller(pkt []byte, in innerFlow, from netip.AddrPort) {
	nw := fp.network
	nw.callerTable.record(in.source.Addr(), from)
	if nw.lostFlows.drops(in, true, callerSide) {
		return
	}
	fp.spray(pkt, from, fp.conn)
}

func (fp *fabricPort) forwardFromServer(pkt []byte, in innerFlow, from netip.AddrPort) {
	nw := fp.network
	if nw.lostFlows.drops(in, false, serverSide) {
		return
	}
	conn, err := nw.sockets.boundTo(from.Addr())
	if err != nil {
		klog.Errorf("network: open socket with source address %s: %v", from.Addr(), err)
		return
	}
	fp.spray(pkt, from, conn)
}

// spray sends a packet to a random reachable instance.
func (fp *fabricPort) spray(pkt []byte, from netip.AddrPort, conn *net.UDPConn) {
	nw := fp.network
	sender := nw.endpoint(from.Addr())
	var via *link
	in, ok := nw.instances.choose(fp.conf.DataCentre, nw.random, func(in Instance) bool {
		return !nw.links.impairment(nw.links.between(sender, in.endpoint())).routeWithdrawn
	})
	if !ok {
		nw.increment(&nw.unroutable)
		return
	}
	via = nw.links.between(sender, in.endpoint())
	nw.links.forward(via, pkt, func(pkt []byte) { conn.WriteToUDPAddrPort(pkt, in.Address) })
}

func (fp *fabricPort) forwardToCaller(pkt []byte, in innerFlow, from netip.AddrPort) {
	nw := fp.network
	at, ok := nw.callerTable.lookup(in.destination.Addr())
	if !ok {
		nw.increment(&nw.unroutable)
		return
	}
	if nw.lostFlows.drops(in, false, callerSide) {
		return
	}
	to := nw.endpoint(at.Addr())
	to.Name = "callers@" + at.String()
	lk := nw.links.between(nw.endpoint(from.Addr()), to)
	nw.links.forward(lk, pkt, func(pkt []byte) { fp.conn.WriteToUDPAddrPort(pkt, at) })
}

func (in Instance) endpoint() Endpoint {
	return Endpoint{Address: in.Address.Addr(), DataCentre: in.DataCentre, Name: in.ID}
}

// sourceSockets holds UDP sockets bound to the addresses of senders, so that a
// forwarded datagram keeps its source IP address.
type sourceSockets struct {
	mu     sync.Mutex
	byAddr map[netip.Addr]*net.UDPConn
}

func (ss *sourceSockets) boundTo(addr netip.Addr) (*net.UDPConn, error) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if conn := ss.byAddr[addr]; conn != nil {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
	if err != nil {
		return nil, err
	}
	ss.byAddr[addr] = conn
	return conn, nil
}

func (ss *sourceSockets) close() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, conn := range ss.byAddr {
		conn.SetDeadline(time.Now())
		conn.Close()
	}
}
