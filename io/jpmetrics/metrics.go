// Package jpmetrics counts what an instance does and exports the counts in the
// Prometheus text format. Counting takes one or two atomic additions; a goroutine
// copies the totals to tally once a second.
package jpmetrics

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpsteering"
)

const (
	prefix = "jacinthpass"

	// flushInterval is also the reporting interval of tally, so the exported
	// values are at most two intervals old.
	flushInterval = time.Second

	// enumValues is the number of values that the type of Reason and OutcomeKind
	// can hold, so that no index is out of range.
	enumValues = 256
)

// Metrics holds the counters and gauges of one instance. All methods are safe
// for concurrent use.
type Metrics struct {
	tags     map[string]string
	reporter prometheus.Reporter

	countsByOutcome    [enumValues]atomic.Uint64 // by OutcomeKind, except drops and records, which are counted by Reason
	countsByReason     [enumValues]atomic.Uint64
	controlSent        atomic.Uint64 // bytes
	controlReceived    atomic.Uint64 // bytes
	refusedByInterface [interfaceCount]atomic.Uint64

	flows           atomic.Int64
	ownedServers    atomic.Int64
	settingsVersion atomic.Uint64
}

// New returns the metrics of an instance. Its id and data centre become the
// labels instance_id and data_centre.
func New(instance, dataCentre string) *Metrics {
	return &Metrics{
		// Prometheus itself sets a label "instance".
		tags: map[string]string{"instance_id": instance, "data_centre": dataCentre},
		// A separate registry keeps several instances in one process apart.
		reporter: prometheus.NewReporter(prometheus.Options{
			Registerer:      prom.NewRegistry(),
			OnRegisterError: func(err error) { klog.Errorf("metrics: registration failed: %v", err) },
		}),
	}
}

// CountOutcome counts one outcome of the steerer. It does not allocate.
func (mt *Metrics) CountOutcome(kind jpsteering.OutcomeKind, reason jpsteering.Reason) {
	if kind == jpsteering.Drop || kind == jpsteering.Record {
		mt.countsByReason[reason].Add(1)
		return
	}
	mt.countsByOutcome[kind].Add(1)
}

// CountControlSent counts bytes sent to peers as control messages.
func (mt *Metrics) CountControlSent(bytes int) { mt.controlSent.Add(uint64(bytes)) }

// CountControlReceived counts bytes received from peers as control messages.
func (mt *Metrics) CountControlReceived(bytes int) { mt.controlReceived.Add(uint64(bytes)) }

// Interface is an interface of the instance that refuses connections or packets.
type Interface uint8

// Interfaces, with what they refuse.
const (
	PeerInterface     Interface = iota // connections without a valid certificate or for another instance
	OperatorInterface                  // connections without a valid certificate
	RelayInterface                     // relayed packets from an unknown address
	interfaceCount
)

// CountRefused counts connections or packets that an interface has refused.
func (mt *Metrics) CountRefused(kind Interface, count uint64) { mt.refusedByInterface[kind].Add(count) }

// SetFlows sets the number of entries in the flow table.
func (mt *Metrics) SetFlows(count int) { mt.flows.Store(int64(count)) }

// SetOwnedServers sets the number of backend servers that the instance owns.
func (mt *Metrics) SetOwnedServers(count int) { mt.ownedServers.Store(int64(count)) }

// SetSettingsVersion sets the version of the settings in force.
func (mt *Metrics) SetSettingsVersion(version uint64) { mt.settingsVersion.Store(version) }

// Drops returns the numbers of packets dropped since the start by reason, without
// the reasons that have not occurred.
func (mt *Metrics) Drops() map[string]uint64 {
	drops := map[string]uint64{}
	for _, rn := range dropNames {
		if count := mt.countsByReason[rn.reason].Load(); count > 0 {
			drops[rn.name] = count
		}
	}
	if count := mt.refusedByInterface[RelayInterface].Load(); count > 0 {
		drops[unknownSender] = count
	}
	return drops
}

// Handler returns the handler of the page that Prometheus scrapes. The page is empty
// before Run.
func (mt *Metrics) Handler() http.Handler { return mt.reporter.HTTPHandler() }

// Run updates the page each second until ctx ends.
func (mt *Metrics) Run(ctx context.Context) {
	mt.run(ctx, flushInterval)
}

func (mt *Metrics) run(ctx context.Context, interval time.Duration) {
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   mt.tags,
		CachedReporter:         mt.reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, interval)
	defer func() {
		if err := closer.Close(); err != nil {
			klog.Warningf("metrics: last report failed: %v", err)
		}
	}()
	fl := newFlusher(mt, scope)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fl.flush()
		select {
		case <-ctx.Done():
			fl.flush()
			return
		case <-ticker.C:
		}
	}
}
