package controld

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/transport"
)

// metrics are the Prometheus metrics of a control replica.
type metrics struct {
	registry *prometheus.Registry
	// refusals counts refused requests by error code, or ROLE if the sender's
	// certificate doesn't permit the message.
	refusals *prometheus.CounterVec
	// messagesLost counts messages of the replicated log that were not sent.
	messagesLost prometheus.Counter
}

func newMetrics(identity *transport.Identity) *metrics {
	m := &metrics{
		registry: daemon.NewRegistry(identity),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_control_refusals_total",
			Help: "Requests that a control replica did not carry out, by code.",
		}, []string{"code"}),
		messagesLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_quorum_messages_lost_total",
			Help: "Messages to other replicas that were dropped before they were sent.",
		}),
	}
	m.registry.MustRegister(m.refusals, m.messagesLost)
	registerProcessUsage(m.registry)
	return m
}

// MetricsRegistry returns the metrics registry of a control replica that is not started.
// The documentation of the metrics is generated from it.
func MetricsRegistry() *prometheus.Registry {
	return newMetrics(&transport.Identity{}).registry
}
