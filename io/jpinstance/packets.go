package jpinstance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/core/jpbaseline"
	"jacinthpass/core/jppacket"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jpmetrics"
)

// Values of Config.Baseline.
const (
	BaselineHash     = "hash"
	BaselineTracking = "tracking"
)

// baseline is a packet handler that needs only the settings.
type baseline interface {
	packetHandler
	ApplySettings(tree *jpsettings.Tree)
}

func newBaseline(name string) (baseline, error) {
	switch name {
	case BaselineHash:
		return jpbaseline.New(jpbaseline.NoTracking{}), nil
	case BaselineTracking:
		return jpbaseline.New(jpbaseline.NewLocalTracking()), nil
	}
	return nil, fmt.Errorf("instance: unknown baseline %q", name)
}

// outcomePool reuses the lists of outcomes, so that the packet path does not allocate.
var outcomePool = sync.Pool{New: func() any { return new([]jpsteering.Outcome) }}

// handlePacket gets the outcomes of one packet and executes them.
func (in *Instance) handlePacket(pkt jpsteering.Packet) {
	if !in.checkRelaySender(&pkt) {
		return
	}
	now := time.Now()
	if pkt.Relay.Kind == jppacket.RelayNone {
		in.lastFabricPacket.Store(now.UnixNano())
	}
	list := outcomePool.Get().(*[]jpsteering.Outcome)
	in.steering.mu.Lock()
	out := in.steering.handler.HandlePacket(now, pkt, (*list)[:0])
	in.steering.mu.Unlock()
	in.executeOutcomes(out)
	clear(out)
	*list = out[:0]
	outcomePool.Put(list)
}

// executeOutcomes counts and executes outcomes.
func (in *Instance) executeOutcomes(out []jpsteering.Outcome) {
	for ix := range out {
		oc := &out[ix]
		in.metrics.CountOutcome(oc.Kind, oc.Reason)
		if err := in.executeOutcome(oc); err != nil {
			klog.V(2).Infof("steering: outcome not executed: %v", err)
		}
	}
}

func (in *Instance) executeOutcome(oc *jpsteering.Outcome) error {
	switch oc.Kind {
	case jpsteering.ToServer:
		return in.sockets.SendServer(oc.Server, oc.Packet)
	case jpsteering.ToCaller:
		return in.sockets.SendFabric(oc.Packet)
	case jpsteering.ToInstance:
		to, ok := (*in.steering.relayAddresses.Load())[oc.Instance]
		if !ok || !to.IsValid() {
			return fmt.Errorf("relay address of instance %s is not known", oc.Instance)
		}
		return in.sockets.SendInstance(to, oc.Relay, oc.Packet)
	case jpsteering.NotifyInstance:
		return in.peers.Send(oc.Instance, oc.Message)
	case jpsteering.Record:
		in.recordSteeringEvent(oc)
	}
	return nil
}

// recordSteeringEvent adds an event of the steerer to the timeline.
func (in *Instance) recordSteeringEvent(oc *jpsteering.Outcome) {
	if !in.eventLimiter.allow(time.Now(), eventKind{oc.Reason, oc.Service}) {
		return
	}
	detail := ""
	if oc.Server.IsValid() {
		detail = "server " + oc.Server.String()
	}
	in.recordEvent("steering", jpmetrics.ReasonName(oc.Reason), oc.Service, detail)
}

// runSteering calls the steerer's Tick and updates the flow gauge until ctx ends.
func (in *Instance) runSteering(ctx context.Context) {
	ticker := time.NewTicker(steeringInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		st := &in.steering
		st.mu.Lock()
		out := st.steerer.Tick(time.Now(), nil)
		flows := st.steerer.Flows()
		st.mu.Unlock()
		in.executeOutcomes(out)
		in.metrics.SetFlows(flows)
	}
}

// handleReport handles a report from the load endpoint of a server.
func (in *Instance) handleReport(rep jpsteering.Report) {
	in.steering.mu.Lock()
	defer in.steering.mu.Unlock()
	in.steering.steerer.HandleReport(time.Now(), rep)
}
