package jpentry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"jacinthpass/core/jpdirectory"
	"jacinthpass/core/jpdispatch"
	"jacinthpass/io/jppeer"
)

// metricsInterval is how often the served metrics are updated.
const metricsInterval = 2 * time.Second

// metrics holds the counters and gauges of an instance. They are updated with
// atomic operations and reported to tally every metricsInterval.
type metrics struct {
	tags            map[string]string
	packetsByReason [jpdispatch.Reasons]atomic.Uint64
	resetsByReason  [jpdispatch.Reasons]atomic.Uint64 // of open flows
	tagDiffers      atomic.Uint64
	waits           [waitOutcomes][priorityLabels]atomic.Uint64
	waitTime        atomic.Int64 // total time that flows have waited, ns
	waitingFlows    atomic.Int64
	spilled         sync.Map // *atomic.Uint64 by service that the weights had selected
	malformed       atomic.Uint64
	droppedNotReady atomic.Uint64 // packets for which HoldQueue had no room
	readErrors      atomic.Uint64
	sendErrors      atomic.Uint64
	storeErrors     atomic.Uint64
	storeCalls      atomic.Uint64
	storeEra        atomic.Uint64
	ignoredRecords  atomic.Uint64 // of the store, see logIgnored
	checksByResult  [jpdispatch.CheckResults]atomic.Uint64
	flows           atomic.Int64
	servers         atomic.Int64
	silentServers   atomic.Int64
	failingServers  atomic.Int64
	slowServers     atomic.Int64
	revision        atomic.Uint64
	services        atomic.Pointer[[]jpdispatch.ServiceFullness]
	decisionTimes   histogram
}

// histogram counts durations in the buckets of bucketBounds.
type histogram struct {
	counts [len(bucketBounds) + 1]atomic.Uint64
}

// bucketBounds are the upper bounds of the buckets. A decision takes microseconds,
// and much longer only if the process was not scheduled.
var bucketBounds = [...]time.Duration{
	20 * time.Microsecond, 50 * time.Microsecond, 100 * time.Microsecond, 500 * time.Microsecond,
	2 * time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond,
}

func (hg *histogram) observe(took time.Duration) {
	for ix, limit := range bucketBounds {
		if took <= limit {
			hg.counts[ix].Add(1)
			return
		}
	}
	hg.counts[len(bucketBounds)].Add(1)
}

func newMetrics(instance, dataCentre string) *metrics {
	return &metrics{tags: map[string]string{"instance_id": instance, "data_centre": dataCentre}}
}

func (mt *metrics) countDecision(dc jpdispatch.Decision) {
	mt.packetsByReason[dc.Reason].Add(1)
	if dc.Outcome == jpdispatch.Reset {
		mt.resetsByReason[dc.Reason].Add(1)
	}
	if dc.SpilledFrom != "" {
		count, _ := mt.spilled.LoadOrStore(dc.SpilledFrom, new(atomic.Uint64))
		count.(*atomic.Uint64).Add(1)
	}
	if dc.TagDiffers {
		mt.tagDiffers.Add(1)
	}
}

// countReset counts the reset of an idle flow.
func (mt *metrics) countReset(reason jpdispatch.Reason) {
	mt.packetsByReason[reason].Add(1)
	mt.resetsByReason[reason].Add(1)
}

func (mt *metrics) updateGauges(stats jpdispatch.Stats, revision jpdirectory.Revision, calls uint64) {
	mt.flows.Store(int64(stats.Flows))
	mt.servers.Store(int64(stats.Servers))
	mt.waitingFlows.Store(int64(stats.Waiting))
	mt.silentServers.Store(int64(stats.Silent))
	mt.failingServers.Store(int64(stats.Failing))
	mt.slowServers.Store(int64(stats.Slow))
	mt.revision.Store(revision.Number)
	mt.storeEra.Store(revision.Era)
	mt.storeCalls.Store(calls)
}

// droppedLines are the counts of log lines that were dropped: above the rate
// limit, or because the queue was full.
type droppedLines struct{ rateLimited, queueFull uint64 }

// flush reports to a scope by how much each counter has grown since the last
// call, and the gauges. reported holds the counter values reported so far.
func (mt *metrics) flush(scope tally.Scope, dropped droppedLines, peers jppeer.Stats, reported map[string]uint64) {
	reportCounter := func(name string, tags map[string]string, key string, value uint64) {
		scope.Tagged(tags).Counter(name).Inc(int64(value - reported[name+key]))
		reported[name+key] = value
	}
	for reason := range mt.packetsByReason {
		name := jpdispatch.Reason(reason).String()
		reportCounter("packets_total", map[string]string{"reason": name}, name, mt.packetsByReason[reason].Load())
		if resets := mt.resetsByReason[reason].Load(); resets > 0 {
			reportCounter("open_flow_resets_total", map[string]string{"reason": name}, name, resets)
		}
	}
	for result := range mt.checksByResult {
		name := jpdispatch.CheckResult(result).String()
		reportCounter("checks_total", map[string]string{"result": name}, name, mt.checksByResult[result].Load())
	}
	mt.spilled.Range(func(service, count any) bool {
		name := service.(string)
		reportCounter("spilled_flows_total", map[string]string{"service": name}, name, count.(*atomic.Uint64).Load())
		return true
	})
	for _, ct := range []struct {
		name string
		from *atomic.Uint64
	}{
		{"malformed_packets_total", &mt.malformed},
		{"not_ready_drops_total", &mt.droppedNotReady},
		{"read_errors_total", &mt.readErrors},
		{"send_errors_total", &mt.sendErrors},
		{"store_errors_total", &mt.storeErrors},
		{"store_calls_total", &mt.storeCalls},
		{"ignored_records_total", &mt.ignoredRecords},
		{"tag_differs_packets_total", &mt.tagDiffers},
	} {
		reportCounter(ct.name, nil, "", ct.from.Load())
	}
	for outcome := range mt.waits {
		for priority := range mt.waits[outcome] {
			if count := mt.waits[outcome][priority].Load(); count > 0 {
				label := strconv.Itoa(priority)
				tags := map[string]string{"outcome": waitOutcomeNames[outcome], "priority": label}
				reportCounter("waits_total", tags, tags["outcome"]+label, count)
			}
		}
	}
	reportCounter("wait_milliseconds_total", nil, "", uint64(mt.waitTime.Load()/int64(time.Millisecond)))
	reportCounter("log_lines_dropped_total", map[string]string{"reason": "budget"}, "budget", dropped.rateLimited)
	reportCounter("log_lines_dropped_total", map[string]string{"reason": "queue"}, "queue", dropped.queueFull)
	for direction, traffic := range map[string]map[string]jppeer.MessageTraffic{"sent": peers.Written, "received": peers.Read} {
		for kind, tr := range traffic {
			tags := map[string]string{"kind": kind, "direction": direction}
			reportCounter("peer_messages_total", tags, direction+kind, tr.Messages)
			reportCounter("peer_message_bytes_total", tags, direction+kind, tr.Bytes)
		}
	}
	reportCounter("peer_connection_bytes_total", map[string]string{"direction": "sent"}, "sent", peers.ConnectionBytesWritten)
	reportCounter("peer_connection_bytes_total", map[string]string{"direction": "received"}, "received", peers.ConnectionBytesRead)
	total := uint64(0)
	for ix := range mt.decisionTimes.counts {
		total += mt.decisionTimes.counts[ix].Load()
		limit := "+Inf"
		if ix < len(bucketBounds) {
			limit = strconv.FormatFloat(bucketBounds[ix].Seconds(), 'g', -1, 64)
		}
		reportCounter("decision_seconds_bucket", map[string]string{"le": limit}, limit, total)
	}
	scope.Gauge("peers").Update(float64(peers.OutgoingConnections))
	scope.Gauge("flows").Update(float64(mt.flows.Load()))
	scope.Gauge("waiting_flows").Update(float64(mt.waitingFlows.Load()))
	scope.Gauge("servers").Update(float64(mt.servers.Load()))
	scope.Gauge("silent_servers").Update(float64(mt.silentServers.Load()))
	scope.Gauge("failing_servers").Update(float64(mt.failingServers.Load()))
	scope.Gauge("slow_servers").Update(float64(mt.slowServers.Load()))
	scope.Gauge("directory_revision").Update(float64(mt.revision.Load()))
	scope.Gauge("store_era").Update(float64(mt.storeEra.Load()))
	mt.flushServices(scope)
}

// flushServices reports how full each service is.
func (mt *metrics) flushServices(scope tally.Scope) {
	services := mt.services.Load()
	if services == nil {
		return
	}
	for _, sf := range *services {
		tagged := scope.Tagged(map[string]string{"service": sf.Service})
		tagged.Gauge("service_slots").Update(sf.Estimate.Slots)
		tagged.Gauge("service_requests").Update(sf.Estimate.Requests)
		tagged.Gauge("service_fill").Update(sf.Estimate.Fill())
		tagged.Gauge("service_instances_seen").Update(sf.Estimate.Seen)
	}
}

// serveMetrics serves the metrics and the timeline until ctx ends.
func (en *Entry) serveMetrics(ctx context.Context) error {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      prom.NewRegistry(),
		OnRegisterError: func(err error) { klog.ErrorS(err, "metrics: registration failed") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jacinthpass", Tags: en.metrics.tags, CachedReporter: reporter,
		Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, metricsInterval)
	defer func() {
		if err := closer.Close(); err != nil {
			klog.ErrorS(err, "metrics: last report failed")
		}
	}()
	go func() {
		reported := map[string]uint64{}
		for ctx.Err() == nil {
			dropped := droppedLines{rateLimited: en.lineLimiter.suppressed.Load() + en.resetLineLimiter.suppressed.Load()}
			if en.options.Log != nil {
				dropped.queueFull = en.options.Log.Dropped()
			}
			en.metrics.flush(scope, dropped, en.peers.Stats(), reported)
			sleep(ctx, metricsInterval)
		}
	}()
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", reporter.HTTPHandler())
	mux.HandleFunc("GET /timeline", en.serveTimeline)
	address := net.JoinHostPort(en.settings.Traffic.Addr().String(), strconv.Itoa(int(en.options.MetricsPort)))
	return serveHTTP(ctx, address, mux)
}
