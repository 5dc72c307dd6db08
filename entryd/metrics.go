package entryd

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/transport"
)

// metrics holds the Prometheus metrics of an entry.
type metrics struct {
	registry       *prometheus.Registry
	refusals       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	droppedFrames  prometheus.Counter
	droppedReports prometheus.Counter
}

func newMetrics(identity *transport.Identity, clients *daemon.Clients, memberCount, callCount func() int) *metrics {
	m := &metrics{
		registry: daemon.NewRegistry(identity),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_entry_refusals_total",
			Help: "Requests that were not answered whole, by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_entry_retries_total",
			Help: "Attempts after the first, by the reason that ended the one before.",
		}, []string{"reason"}),
		droppedFrames: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_entry_frames_dropped_total",
			Help: "Answer frames that belonged to another request or attempt.",
		}),
		droppedReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_entry_reports_dropped_total",
			Help: "Ends and first bytes of attempts that were late or crossed.",
		}),
	}
	m.registry.MustRegister(
		m.refusals, m.retries, m.droppedFrames, m.droppedReports,
		newGauge("briarcross_entry_members", "Upstreams that the entry knows.", memberCount),
		newGauge("briarcross_entry_running_requests", "Online requests that the entry handles.", callCount),
	)
	m.registry.MustRegister(clients.Collectors()...)
	return m
}

const hedgeLabel = "HEDGE"

// countRetry counts an attempt after the first, by its reason.
func (m *metrics) countRetry(out gate.Send) {
	label := out.RetryReason.String()
	if out.Hedge {
		label = hedgeLabel
	}
	m.retries.WithLabelValues(label).Inc()
}

func newGauge(name, help string, value func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		return float64(value())
	})
}

// MetricsRegistry returns the metrics of an entry that is not running, to generate the
// documentation of the time series.
func MetricsRegistry() *prometheus.Registry {
	zero := func() int { return 0 }
	return newMetrics(&transport.Identity{}, daemon.NewProbeClients(), zero, zero).registry
}
