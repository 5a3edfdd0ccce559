package jpmetrics

import (
	"github.com/uber-go/tally/v4"

	"jacinthpass/core/jpsteering"
)

// counter adds the growth of a total to a tally counter.
type counter struct {
	total    func() uint64
	target   tally.Counter
	reported uint64 // part of the total that target has
}

// gauge copies a value to a tally gauge.
type gauge struct {
	value  func() float64
	target tally.Gauge
}

// flusher copies the totals and values of a Metrics to a tally scope.
type flusher struct {
	counters []*counter
	gauges   []gauge
}

var outcomeNames = []struct {
	kind jpsteering.OutcomeKind
	name string
}{
	{jpsteering.ToServer, "to_server"},
	{jpsteering.ToCaller, "to_caller"},
	{jpsteering.ToInstance, "to_instance"},
	{jpsteering.NotifyInstance, "tell"},
}

func newFlusher(mt *Metrics, scope tally.Scope) *flusher {
	fl := &flusher{}
	for _, on := range outcomeNames {
		out := scope.Tagged(map[string]string{"outcome": on.name}).Counter("outcomes_total")
		fl.addCounter(out, mt.countsByOutcome[on.kind].Load)
	}
	for _, rn := range dropNames {
		out := scope.Tagged(map[string]string{"reason": rn.name}).Counter("drops_total")
		fl.addCounter(out, mt.countsByReason[rn.reason].Load)
	}
	unknown := scope.Tagged(map[string]string{"reason": unknownSender}).Counter("drops_total")
	fl.addCounter(unknown, mt.refusedByInterface[RelayInterface].Load)
	for _, kind := range []Interface{PeerInterface, OperatorInterface} {
		out := scope.Tagged(map[string]string{"interface": interfaceNames[kind]}).Counter("refused_connections_total")
		fl.addCounter(out, mt.refusedByInterface[kind].Load)
	}
	for _, rn := range eventNames {
		out := scope.Tagged(map[string]string{"event": rn.name}).Counter("events_total")
		fl.addCounter(out, mt.countsByReason[rn.reason].Load)
	}
	fl.addCounter(scope.Counter("control_sent_bytes_total"), mt.controlSent.Load)
	fl.addCounter(scope.Counter("control_received_bytes_total"), mt.controlReceived.Load)
	fl.addGauge(scope.Gauge("flows"), func() float64 { return float64(mt.flows.Load()) })
	fl.addGauge(scope.Gauge("owned_servers"), func() float64 { return float64(mt.ownedServers.Load()) })
	fl.addGauge(scope.Gauge("settings_version"), func() float64 { return float64(mt.settingsVersion.Load()) })
	return fl
}

func (fl *flusher) addCounter(target tally.Counter, total func() uint64) {
	fl.counters = append(fl.counters, &counter{total: total, target: target})
}

func (fl *flusher) addGauge(target tally.Gauge, value func() float64) {
	fl.gauges = append(fl.gauges, gauge{value: value, target: target})
}

func (fl *flusher) flush() {
	for _, ct := range fl.counters {
		total := ct.total()
		ct.target.Inc(int64(total - ct.reported))
		ct.reported = total
	}
	for _, ga := range fl.gauges {
		ga.target.Update(ga.value())
	}
}
