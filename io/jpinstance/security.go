package jpinstance

import (
	"net"
	"net/netip"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpmember"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jpmetrics"
	"jacinthpass/io/jptls"
)

// loadTLS reads the files of the instance's certificate.
func (in *Instance) loadTLS() error {
	var err error
	if in.tls, err = in.cfg.TLS.Load(); err != nil {
		return err
	}
	if in.tls == nil {
		klog.Warningf("instance: no [tls] section: peers and operators are not authenticated")
		return nil
	}
	// Peers would turn the instance away one by one; better not to start.
	return jptls.CheckInstance(in.tls.Certificates[0].Leaf, in.cfg.ID)
}

// secure turns operators without a valid certificate away if TLS is used.
func (in *Instance) requireTLS(listener net.Listener) net.Listener {
	if in.tls == nil {
		return listener
	}
	return jptls.NewListener(listener, in.tls, in.refusals)
}

// senders are the addresses that relayed packets may come from; nil if they
// cannot be told.
type senderSet map[netip.Addr]struct{}

// relaySenders returns the relay addresses of all known instances, dead ones
// too, because they may be dead only here. Only the IP addresses count: what
// lies between two instances may change the port.
func relaySenders(view jpmember.View) senderSet {
	senders := senderSet{}
	for _, mb := range view.Members {
		if relay := mb.Addresses.Relay; relay.IsValid() {
			senders[relay.Addr()] = struct{}{}
		} else if mb.State == jpmember.Alive && mb.ID != view.Self {
			// Heard before the list named it: its packets must not be lost.
			return nil
		}
	}
	return senders
}

// allowed reports whether a packet comes from where it may, and counts it if not.
func (in *Instance) checkRelaySender(pkt *jpsteering.Packet) bool {
	if pkt.Relay.Kind == jppacket.RelayNone {
		return true
	}
	senders := *in.steering.relaySenders.Load()
	if senders == nil {
		return true
	}
	if _, ok := senders[pkt.Outer]; ok {
		return true
	}
	in.metrics.CountRefused(jpmetrics.RelayInterface, 1)
	return false
}
