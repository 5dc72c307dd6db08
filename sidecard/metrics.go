package sidecard

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// metrics holds the metrics of a sidecar.
type metrics struct {
	registry *prometheus.Registry
	refusals *prometheus.CounterVec
	// ordersIgnored counts orders that were ignored for an old fencing number.
	ordersIgnored prometheus.Counter
	currentLoad   atomic.Pointer[pb.Load]
}

func newMetrics(identity *transport.Identity) *metrics {
	m := &metrics{
		registry: daemon.NewRegistry(identity),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_sidecar_refusals_total",
			Help: "Requests that the sidecar refused, by reason.",
		}, []string{"reason"}),
	}
	m.ordersIgnored = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "briarcross_sidecar_orders_ignored_total",
		Help: "Orders to the upstream that were refused for their old fencing number.",
	})
	m.registry.MustRegister(
		m.refusals, m.ordersIgnored,
		m.gauge("briarcross_sidecar_running_online", "Online requests at the engine.", (*pb.Load).GetRunningOnline),
		m.gauge("briarcross_sidecar_running_batch", "Batch items at the engine.", (*pb.Load).GetRunningBatch),
		m.gauge("briarcross_sidecar_queued_online", "Online requests that wait for the engine.", (*pb.Load).GetQueuedOnline),
		m.gauge("briarcross_sidecar_window_requests", "Requests that may be at the engine at a time.", (*pb.Load).GetWindow),
	)
	return m
}

func (m *metrics) gauge(name, help string, read func(*pb.Load) uint32) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		return float64(read(m.load()))
	})
}

func (m *metrics) countRefusal(reason pb.Reason) {
	m.refusals.WithLabelValues(reason.String()).Inc()
}

func (m *metrics) setLoad(load *pb.Load) {
	m.currentLoad.Store(load)
}

func (m *metrics) load() *pb.Load {
	return m.currentLoad.Load()
}

// MetricsRegistry returns the registry of a sidecar that is not started, to document its
// metrics.
func MetricsRegistry() *prometheus.Registry {
	return newMetrics(&transport.Identity{}).registry
}
