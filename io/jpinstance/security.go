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

// loadTLS loads the instance's certificate and checks that it belongs to its id.
func (in *Instance) loadTLS() error {
	var err error
	if in.tls, err = in.cfg.TLS.Load(); err != nil {
		return err
	}
	if in.tls == nil {
		klog.Warningf("instance: no [tls] section: peers and operators are not authenticated")
		return nil
	}
	// Each peer would refuse the connection, so fail at the start instead.
	return jptls.CheckInstance(in.tls.Certificates[0].Leaf, in.cfg.ID)
}

// requireTLS returns a listener that refuses operators without a valid certificate,
// or the listener itself if TLS is not used.
func (in *Instance) requireTLS(listener net.Listener) net.Listener {
	if in.tls == nil {
		return listener
	}
	return jptls.NewListener(listener, in.tls, in.refusals)
}

// senderSet holds the source addresses that relayed packets may have. It is nil if
// any is allowed: before the first view, or while a live instance's address is not
// known.
type senderSet map[netip.Addr]struct{}

// relaySenders returns the relay addresses of all known instances. They include dead
// ones, because they may be dead only in the view of this instance. The ports are not compared,
// because the network between two instances may change the source port.
func relaySenders(view jpmember.View) senderSet {
	senders := senderSet{}
	for _, mb := range view.Members {
		if relay := mb.Addresses.Relay; relay.IsValid() {
			senders[relay.Addr()] = struct{}{}
		} else if mb.State == jpmember.Alive && mb.ID != view.Self {
			// It sent a heartbeat before the instance list contained it. Its packets
			// must not be dropped.
			return nil
		}
	}
	return senders
}

// checkRelaySender reports whether the sender of a packet is allowed to relay packets,
// and counts the packet if not. Packets that were not relayed pass.
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
