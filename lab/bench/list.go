package bench

import (
	"slices"
	"strings"

	"github.com/briarcross/briarcross/lab/experiment"
)

// Experiments returns all experiments in the order in which they run.
func Experiments() []experiment.Experiment {
	return []experiment.Experiment{
		{Name: "engine-client", Run: engineClient},
		{Name: "relay", Run: relay},
		{Name: "mix", Run: mix},
	}
}

// target is a stated target of the metrics of some Go benchmarks, by the names
// that experiment.ParseGoBench gives them.
type target struct {
	prefix string
	metric string
	bound  *experiment.Bound
}

func (t target) covers(name string) bool {
	return strings.HasPrefix(name, t.prefix) && strings.HasSuffix(name, "/"+t.metric)
}

// Targets of issue 5.
const (
	commitsItem   = 0.1
	capacityShare = 0.95
	// engineLossSeconds is the lease time and the time of one item.
	engineLossSeconds = 17
)

func targets() []target {
	return []target{
		{prefix: "batch/Capacity/", metric: "capacity-share", bound: experiment.LowerBound(capacityShare)},
		{prefix: "batch/", metric: "run-commits-per-item", bound: experiment.UpperBound(commitsItem)},
		{prefix: "batch/EngineLoss", metric: "lost-s", bound: experiment.UpperBound(engineLossSeconds)},
		{prefix: "batch/LeaderLoss", metric: "items-run-twice", bound: experiment.UpperBound(0)},
	}
}

// ApplyBounds sets the stated targets on measures of Go benchmarks.
func ApplyBounds(measures []experiment.Measure) {
	all := targets()
	for i := range measures {
		at := slices.IndexFunc(all, func(t target) bool { return t.covers(measures[i].Name) })
		if at >= 0 {
			measures[i].Bound = all[at].bound
		}
	}
}
