package node

import (
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/fleet"
)

const (
	metricsPath          = "/metrics"
	metricsHeaderTimeout = 5 * time.Second
	metricsWriteTimeout  = 30 * time.Second
)

// MetricsServer serves the metrics of a registry over HTTP.
type MetricsServer struct {
	server *http.Server
	done   chan struct{}
}

// ServeMetrics starts a server of a registry at an address; with an empty
// address it listens nowhere. onError is called if the server fails.
func ServeMetrics(address string, registry *prometheus.Registry, onError func(error)) (*MetricsServer, error) {
	m := &MetricsServer{done: make(chan struct{})}
	if address == "" {
		close(m.done)
		return m, nil
	}
	listener, err := daemon.ListenTCP("metrics", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	clients := daemon.NewProbeClients()
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout, WriteTimeout: metricsWriteTimeout, ConnState: clients.Track}
	go func() {
		defer close(m.done)
		if err := m.server.Serve(clients.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			onError(err)
		}
	}()
	return m, nil
}

// Close stops the server and waits until it has ended.
func (m *MetricsServer) Close() {
	if m.server != nil {
		_ = m.server.Close()
	}
	<-m.done
}

// LatencyBuckets are histogram buckets in seconds, from the time of one engine
// step up to the usual deadlines.
var LatencyBuckets = []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1.2, 2.5, 5}

// Gauge returns a gauge that calls read when metrics are collected.
func Gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read)
}

// Collectors returns the metrics of the dispatcher's view of routing and upstreams.
func (d *Dispatcher) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		Gauge("briarcross_routing_version", "Version of the routing table in force; 0 before the first.", func() float64 {
			return float64(d.routing.Version())
		}),
		Gauge("briarcross_upstreams_ready", "Upstreams that take new requests.", func() float64 {
			return float64(len(d.readyUpstreams()))
		}),
		Gauge("briarcross_upstream_heartbeat_age_seconds", "Age of the oldest heartbeat of an upstream that takes new requests.", func() float64 {
			oldest := time.Duration(0)
			for _, u := range d.readyUpstreams() {
				oldest = max(oldest, time.Since(u.LastHeartbeat))
			}
			return oldest.Seconds()
		}),
		d.suspicions,
		d.leaving,
		d.rateChanges,
		d.routingLag,
		d.routingDelay,
		d.routingBytes,
		d.Quarantine.Collector(),
		d.loadReporter.sent,
		d.StreamOrigins.sent,
		d.StreamOrigins.found,
		Gauge("briarcross_upstreams_suspect", "Upstreams that failed requests and that others are kept away from.", func() float64 {
			return float64(d.Slots.SuspectCount())
		}),
		Gauge("briarcross_upstream_slowness_min", "Time between events at the fastest upstream in relation to the average of its service; 1 while all are alike.", func() float64 {
			fastest, _ := d.Slots.SpeedRange()
			return fastest
		}),
		Gauge("briarcross_upstream_slowness_max", "Time between events at the slowest upstream in relation to the average of its service; 1 while all are alike.", func() float64 {
			_, slowest := d.Slots.SpeedRange()
			return slowest
		}),
		Gauge("briarcross_upstreams_in_spell", "Upstreams that are now much slower than usual.", func() float64 {
			return float64(d.Slots.SpellCount())
		}),
		Gauge("briarcross_slot_waiters", "Requests that wait for a slot.", func() float64 {
			return float64(d.Slots.QueueLength())
		}),
	}
}

func (d *Dispatcher) readyUpstreams() []fleet.Upstream {
	var ready []fleet.Upstream
	for _, u := range d.View.Upstreams() {
		if u.Phase == fleet.Ready {
			ready = append(ready, u)
		}
	}
	return ready
}
