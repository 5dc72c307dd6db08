package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/briarcross/briarcross/transport"
)

// NewRegistry returns a registry with the metrics that all daemons have: the
// process's CPU time, memory and goroutines, dropped envelopes, and the bytes
// sent to and received from other daemons.
func NewRegistry(identity *transport.Identity) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "briarcross_envelopes_dropped_total",
			Help: "Received envelopes that were meant for another incarnation or group.",
		}, func() float64 { return float64(identity.DroppedEnvelopes()) }),
	)
	for _, class := range transport.Classes() {
		traffic := identity.Traffic(class)
		registry.MustRegister(
			trafficCounter(class, "sent", traffic.Sent),
			trafficCounter(class, "received", traffic.Received),
		)
	}
	return registry
}

func trafficCounter(class transport.Class, direction string, count func() uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name:        "briarcross_transport_bytes_total",
		Help:        "Bytes to and from other daemons, before encryption, by class of traffic.",
		ConstLabels: prometheus.Labels{"class": class.String(), "direction": direction},
	}, func() float64 { return float64(count()) })
}

// MetricsHandler returns a handler that serves the metrics of a registry.
func MetricsHandler(registry *prometheus.Registry) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}
