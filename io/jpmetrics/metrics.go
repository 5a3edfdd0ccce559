// Package jpmetrics counts what an instance does and shows it in the Prometheus
// text format. Counting is one or two atomic additions; a goroutine passes the
// sums on to tally each second.
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

	// flushInterval is also tally's, so the page is at most twice as old.
	flushInterval = time.Second

	// values is the number of values of a Reason or OutcomeKind, so that no
	// index is out of range.
	enumValues = 256
)

// Metrics holds the counters and gauges of one instance. All methods are safe
// for concurrent use.
type Metrics struct {
	tags     map[string]string
	reporter prometheus.Reporter

	countsByOutcome    [enumValues]atomic.Uint64 // by kind, without drops and records
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
		// A registry of its own keeps instances of one process apart.
		reporter: prometheus.NewReporter(prometheus.Options{
			Registerer:      prom.NewRegistry(),
			OnRegisterError: func(err error) { klog.Errorf("metrics: %v", err) },
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

// Refused says which interface turned somebody away.
type Interface uint8

// Interfaces that turn strangers away.
const (
	PeerInterface     Interface = iota // connections without a valid certificate or for another instance
	OperatorInterface                  // connections without a valid certificate
	RelayInterface                     // relayed packets from an unknown address
	interfaceCount
)

// CountRefused counts what an interface turned away.
func (mt *Metrics) CountRefused(kind Interface, count uint64) { mt.refusedByInterface[kind].Add(count) }

// SetFlows sets the number of entries in the flow table.
func (mt *Metrics) SetFlows(count int) { mt.flows.Store(int64(count)) }

// SetOwnedServers sets the number of backend servers that the instance owns.
func (mt *Metrics) SetOwnedServers(count int) { mt.ownedServers.Store(int64(count)) }

// SetSettingsVersion sets the version of the settings in force.
func (mt *Metrics) SetSettingsVersion(version uint64) { mt.settingsVersion.Store(version) }

// Drops returns the dropped packets since the start by reason, without the
// reasons that have not occurred.
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

// Handler returns the page for Prometheus. It is empty before Run.
func (mt *Metrics) Handler() http.Handler { return mt.reporter.HTTPHandler() }

// Run passes counts on to the page each second until ctx ends.
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
