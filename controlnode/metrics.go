package controlnode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/node"
)

type metrics struct {
	registry   *prometheus.Registry
	calls      *prometheus.CounterVec
	heartbeats *prometheus.CounterVec
	// updatesNotSent counts updates to subscribers that could not be encoded.
	updatesNotSent prometheus.Counter
	// recordsNotSent counts the records that updates left out for that reason.
	recordsNotSent prometheus.Counter
	// routingBytes counts the bytes of routing tables sent to subscribers, by kind.
	routingBytes *prometheus.CounterVec
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_operator_calls_total", Help: "Calls of operators by call and outcome.",
		}, []string{"call", "outcome"}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_heartbeats_total", Help: "Heartbeats of upstreams by what became of them.",
		}, []string{"outcome"}),
		updatesNotSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_updates_not_sent_total", Help: "Updates to subscribers that could not be encoded.",
		}),
		recordsNotSent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_records_not_sent_total", Help: "Records left out of updates to subscribers because they cannot be encoded.",
		}),
	}
	m.routingBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "briarcross_routing_sent_bytes_total", Help: "Bytes of routing tables sent to subscribers, by how: document, change, part.",
	}, []string{"kind"})
	m.registry.MustRegister(m.calls, m.heartbeats, m.updatesNotSent, m.recordsNotSent, m.routingBytes, n.quarantine.Collector(),
		node.Gauge("briarcross_routing_version", "Version of the routing table that this replica has applied.", func() float64 {
			return float64(n.routing.current().number())
		}),
		node.Gauge("briarcross_routing_subscriber_lag_seconds", "Longest time for which a subscriber of this replica has lacked a routing table.", func() float64 {
			return n.maxRoutingLag(time.Now()).Seconds()
		}),
		node.Gauge("briarcross_watchers", "Daemons that subscribe to this replica.", func() float64 {
			daemons, _ := n.subscribers.list()
			return float64(len(daemons))
		}),
		node.Gauge("briarcross_group_leading", "1 while this replica leads the control group.", func() float64 {
			if _, _, leading := n.replica.Leader(); leading {
				return 1
			}
			return 0
		}),
		node.Gauge("briarcross_group_lag_entries", "Committed entries that this replica has not applied.", func() float64 {
			status := n.replica.Status()
			return float64(status.GetCommitIndex() - status.GetAppliedIndex())
		}),
	)
	return m
}
