package controld

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/transport"
)

// metrics are the series of a control replica.
type metrics struct {
	registry     *prometheus.Registry
	refusals     *prometheus.CounterVec
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

// Series returns the registry of a control replica that is not started, for
// the documentation of its series.
func Series() *prometheus.Registry {
	return newMetrics(&transport.Identity{}).registry
}
