package jpinstance

import (
	"context"
	"net/http"
	"time"

	"jacinthpass/core/jpadmission"
	"jacinthpass/core/jpsettings"
	"jacinthpass/core/jpsteering"
	"jacinthpass/io/jpmetrics"
	"jacinthpass/io/jpoperator"
	"jacinthpass/io/jppeer"
)

// Status returns the state of this instance.
func (in *Instance) Status(context.Context) (jpoperator.Status, error) {
	now := time.Now()
	in.control.mu.Lock()
	status := jpoperator.Status{
		ID: in.cfg.ID, DataCentre: in.cfg.DataCentre,
		SettingsVersion: in.control.rollout.Record().Version,
		Leaving:         in.stopping.Load(),
		Members:         in.control.view.Members,
	}
	in.control.mu.Unlock()
	in.steering.mu.Lock()
	owned := in.steering.steerer.Status(now)
	status.FlowEntries = in.steering.steerer.Flows()
	in.steering.mu.Unlock()
	status.FlowCapacity = jpsteering.MaxFlows
	status.Drops = in.metrics.Drops()
	for _, ss := range owned {
		status.Owned = append(status.Owned, ownedServer(ss))
	}
	return status, nil
}

func ownedServer(ss jpsteering.ServerStatus) jpoperator.OwnedServer {
	limits := ss.Server.Limits
	row := jpoperator.OwnedServer{
		Service: ss.Service, Server: ss.Server.Name, DataCentre: ss.Server.DataCentre,
		Address: ss.Server.Address, Flows: ss.Flows, Requests: ss.Requests,
		State: jpoperator.Warm, Draining: ss.Server.Draining, Responding: ss.Responsive,
		ConnectionLimit: limits.Connections, RequestLimit: limits.Slots,
		Connections: limits.Connections, Slots: limits.Slots,
	}
	switch ss.Stage {
	case jpadmission.Cold:
		row.State = jpoperator.Cold
	case jpadmission.SlowStart:
		row.State = jpoperator.SlowStart
	}
	if ss.Kind == jpsettings.Request {
		row.RequestLimit = ss.Allowance
	} else {
		row.ConnectionLimit = ss.Allowance
	}
	return row
}

// Metrics returns the handler for GET /metrics.
func (in *Instance) Metrics() http.Handler { return in.metrics.Handler() }

// connectionTotals are counters of the connections of peers and operators since
// the start.
type connectionTotals struct {
	peers            jppeer.Stats
	refusedOperators uint64 // refused connections
}

// countConnections adds to the metrics by how much the counters of connections have
// risen since the last call.
func (in *Instance) countConnections() {
	now := connectionTotals{in.peers.Stats(), in.refusals.Count()}
	in.control.mu.Lock()
	before := in.control.reportedTotals
	in.control.reportedTotals = now
	in.control.mu.Unlock()
	in.metrics.CountControlSent(int(now.peers.ConnectionBytesWritten - before.peers.ConnectionBytesWritten))
	in.metrics.CountControlReceived(int(now.peers.ConnectionBytesRead - before.peers.ConnectionBytesRead))
	in.metrics.CountRefused(jpmetrics.PeerInterface, now.peers.RefusedConnections-before.peers.RefusedConnections)
	in.metrics.CountRefused(jpmetrics.OperatorInterface, now.refusedOperators-before.refusedOperators)
}
