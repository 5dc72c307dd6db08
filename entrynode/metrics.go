package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/node"
)

type metrics struct {
	registry    *prometheus.Registry
	connections prometheus.Counter
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	panics      prometheus.Counter
	// quotaRefusals counts refusals for the quotas of customers.
	quotaRefusals *quotaRefusals
	slotWait      prometheus.Histogram
	firstByte     *prometheus.HistogramVec
	hedges        *prometheus.CounterVec
	// hedgesDenied counts attempts on routes with hedged requests that were not hedged.
	// Those with a first event in time count only if they could not have been hedged.
	hedgesDenied *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		quotaRefusals: newQuotaRefusals(),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_upstream_connections_total", Help: "New connections to upstreams.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_requests_total", Help: "Requests of callers by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_refusals_total", Help: "Refused requests by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_retries_total", Help: "Further attempts at upstreams by reason.",
		}, []string{"reason"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_request_panics_total", Help: "Panics in the handling of requests of callers.",
		}),
		slotWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "briarcross_slot_wait_seconds", Help: "Wait for a slot.", Buckets: node.LatencyBuckets,
		}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "briarcross_first_byte_seconds", Help: "Time from the request to the first byte of its answer.", Buckets: node.LatencyBuckets,
		}, []string{"route"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_hedges_total", Help: "Second attempts beside a first one by result: won, lost, cancelled (neither attempt had a first event).",
		}, []string{"result"}),
		hedgesDenied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_hedges_denied_total", Help: "Attempts on routes with hedged requests that could not be hedged, by reason.",
		}, []string{"reason"}),
	}
	m.registry.MustRegister(m.connections, m.requests, m.refusals, m.retries, m.panics, m.slotWait, m.firstByte, m.quotaRefusals.counters, m.hedges, m.hedgesDenied)
	return m
}
