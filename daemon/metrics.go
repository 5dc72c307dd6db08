package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/briarcross/briarcross/transport"
)

// NewRegistry returns a registry with the series that all daemons have: the
// process's CPU time, memory and goroutines, and dropped envelopes.
func NewRegistry(identity *transport.Identity) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "briarcross_envelopes_dropped_total",
			Help: "Received envelopes that were meant for another incarnation or group.",
		}, func() float64 { return float64(identity.Dropped()) }),
	)
	return registry
}

// MetricsHandler serves the series of a registry.
func MetricsHandler(registry *prometheus.Registry) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}
