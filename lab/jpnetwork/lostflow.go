package jpnetwork

import (
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/samber/oops"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// LostFlow drops the packets of one flow, like a middlebox on the path that has
// lost the flow's state. Port 0 of Caller matches all ports.
type LostFlow struct {
	ID       string         `json:"id"`
	Caller   netip.AddrPort `json:"caller"`
	Service  netip.AddrPort `json:"service"`
	ToServer bool           `json:"to_server"`
	ToCaller bool           `json:"to_caller"`
	// Side is the side of the instances on which packets are dropped:
	// "callers", "servers", or empty for both.
	Side    string `json:"where"`
	Dropped uint64 `json:"dropped"` // packets dropped so far
}

// Sides of the instances on which packets of a flow can be dropped.
const (
	callerSide = "callers"
	serverSide = "servers"
)

// innerFlow holds the addresses and ports of an encapsulated IPv4 packet. The
// ports are 0 for later fragments and for protocols other than TCP and UDP.
type innerFlow struct {
	source, destination netip.AddrPort
}

// parseInner parses the addresses and ports of an IPv4 packet and reports
// whether the packet is valid.
func parseInner(pkt []byte) (innerFlow, bool) {
	ip := header.IPv4(pkt)
	if !ip.IsValid(len(pkt)) {
		return innerFlow{}, false
	}
	src := ip.SourceAddress().As4()
	dst := ip.DestinationAddress().As4()
	var srcPort, dstPort uint16
	payload := pkt[ip.HeaderLength():]
	hasPorts := ip.Protocol() == uint8(header.TCPProtocolNumber) || ip.Protocol() == uint8(header.UDPProtocolNumber)
	if hasPorts && ip.FragmentOffset() == 0 && len(payload) >= header.UDPMinimumSize {
		srcPort = header.UDP(payload).SourcePort()
		dstPort = header.UDP(payload).DestinationPort()
	}
	return innerFlow{
		source:      netip.AddrPortFrom(netip.AddrFrom4(src), srcPort),
		destination: netip.AddrPortFrom(netip.AddrFrom4(dst), dstPort),
	}, true
}

// lostFlows holds the flows whose packets are dropped.
type lostFlows struct {
	mu     sync.RWMutex
	list   []*LostFlow
	nextID int
}

func (lf *lostFlows) add(fl LostFlow) (LostFlow, error) {
	if !slices.Contains([]string{"", callerSide, serverSide}, fl.Side) {
		return fl, oops.Errorf("network: invalid where %q: want callers, servers or an empty string", fl.Side)
	}
	if !fl.ToServer && !fl.ToCaller {
		return fl, oops.Errorf("network: lost flow needs to_server or to_caller")
	}
	lf.mu.Lock()
	defer lf.mu.Unlock()
	if fl.ID == "" {
		lf.nextID++
		fl.ID = "flow-" + strconv.Itoa(lf.nextID)
	}
	lf.list = append(lf.list, &fl)
	return fl, nil
}

func (lf *lostFlows) remove(id string) {
	lf.mu.Lock()
	defer lf.mu.Unlock()
	lf.list = slices.DeleteFunc(lf.list, func(fl *LostFlow) bool { return id == "" || fl.ID == id })
}

func (lf *lostFlows) all() []LostFlow {
	lf.mu.Lock()
	defer lf.mu.Unlock()
	res := []LostFlow{}
	for _, fl := range lf.list {
		res = append(res, *fl)
	}
	return res
}

// drops reports whether to drop a packet at one side of the instances, and counts
// it if so. toServer tells the direction of the packet.
func (lf *lostFlows) drops(in innerFlow, toServer bool, side string) bool {
	lf.mu.RLock()
	none := len(lf.list) == 0
	lf.mu.RUnlock()
	if none {
		return false
	}
	caller, service := in.source, in.destination
	if !toServer {
		caller, service = service, caller
	}
	lf.mu.Lock()
	defer lf.mu.Unlock()
	for _, fl := range lf.list {
		if fl.Side != "" && fl.Side != side || toServer && !fl.ToServer || !toServer && !fl.ToCaller {
			continue
		}
		anyPort := fl.Caller.Port() == 0 && fl.Caller.Addr() == caller.Addr()
		if fl.Service == service && (anyPort || fl.Caller == caller) {
			fl.Dropped++
			return true
		}
	}
	return false
}
