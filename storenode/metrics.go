package storenode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/node"
)

type metrics struct {
	registry  *prometheus.Registry
	settled   *prometheus.CounterVec
	stopped   *prometheus.CounterVec
	restarted *prometheus.CounterVec
	postponed prometheus.Counter
	// notRecorded counts the proposals of results that are not known to be committed.
	notRecorded *prometheus.CounterVec
	runTime     prometheus.Histogram
	// stalled is the time for which items have waited while none ran, stalls counts the reported
	// stalls by reason.
	stalled prometheus.Gauge
	stalls  *prometheus.CounterVec
	// backlogRefusals counts the jobs that were refused since too much is open.
	backlogRefusals prometheus.Counter
}

// runTimeBuckets spans the usual run times of items, in seconds.
var runTimeBuckets = []float64{.5, 1, 2, 4, 8, 16, 32}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		settled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_items_settled_total", Help: "Items that got their result, by outcome.",
		}, []string{"outcome"}),
		stopped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_item_runs_stopped_total", Help: "Runs of items that ended without a result, by reason.",
		}, []string{"reason"}),
		restarted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_items_restarted_total", Help: "Items whose output was discarded because another software version runs them now, by reason.",
		}, []string{"reason"}),
		postponed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "briarcross_items_postponed_total", Help: "Times that an item waited longer for a run: because engines crashed on a part of its prompt, or run after run was interrupted without output.",
		}),
		runTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "briarcross_item_run_seconds", Help: "Time of the last run of an item.", Buckets: runTimeBuckets,
		}),
	}
	m.stalled = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "briarcross_items_stalled_seconds", Help: "Time for which open items have waited while this leader ran none.",
	})
	m.stalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "briarcross_item_stalls_total", Help: "Times that no item ran for seconds although some were open, by the reason that most of them did not start.",
	}, []string{"reason"})
	m.backlogRefusals = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "briarcross_backlog_refusals_total", Help: "Jobs that were refused because the open jobs are as many, or as large, as they may be.",
	})
	m.notRecorded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "briarcross_item_results_not_recorded_total", Help: "Proposals of results of items that are not known to be committed, by outcome and error.",
	}, []string{"outcome", "error"})
	m.registry.MustRegister(m.notRecorded, m.backlogRefusals, m.stalled, m.stalls, m.settled, m.stopped, m.restarted, m.postponed, m.runTime, n.runner.workers.results,
		node.Gauge("briarcross_open_items", "Items without a result.", func() float64 {
			return float64(len(n.state.OpenItems()))
		}),
		node.Gauge("briarcross_backlog_items", "Items of the open jobs, with those that have a result.", func() float64 {
			items, _ := n.state.OpenSize()
			return float64(items)
		}),
		node.Gauge("briarcross_backlog_bytes", "Size of the items of the open jobs.", func() float64 {
			_, bytes := n.state.OpenSize()
			return float64(bytes)
		}),
		node.Gauge("briarcross_group_leading", "1 while this replica leads the storage group.", func() float64 {
			r := n.replica.Load()
			if r == nil {
				return 0
			}
			if _, _, leading := r.Leader(); leading {
				return 1
			}
			return 0
		}),
		node.Gauge("briarcross_group_lag_entries", "Committed entries that this replica has not applied.", func() float64 {
			r := n.replica.Load()
			if r == nil {
				return 0
			}
			status := r.Status()
			return float64(status.GetCommitIndex() - status.GetAppliedIndex())
		}),
	)
	m.registry.MustRegister(n.Collectors()...)
	m.registry.MustRegister(n.clients.MemoryCollectors()...)
	return m
}
