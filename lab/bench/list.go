package bench

import (
	"slices"
	"strings"

	"github.com/briarcross/briarcross/lab/experiment"
)

// Experiments returns all experiments in the order in which they run.
func Experiments() []experiment.Experiment {
	return []experiment.Experiment{
		{Name: "engine-client", Run: measureEngineClient},
		{Name: "relay", Run: measureRelay},
		{Name: "mix", Run: measureMix},
	}
}

// benchmarkTarget is the target of one metric in all Go benchmarks whose measure
// names, as made by experiment.ParseGoBench, start with a prefix.
type benchmarkTarget struct {
	prefix string
	metric string
	bound  *experiment.Bound
}

func (t benchmarkTarget) matches(name string) bool {
	return strings.HasPrefix(name, t.prefix) && strings.HasSuffix(name, "/"+t.metric)
}

// Targets of issue 5.
const (
	maxCommitsPerItem = 0.1
	minCapacityShare  = 0.95
	// maxEngineLossSeconds is the lease time plus the run time of one item.
	maxEngineLossSeconds = 17
)

func benchmarkTargets() []benchmarkTarget {
	return []benchmarkTarget{
		{prefix: "batch/Capacity/", metric: "capacity-share", bound: experiment.LowerBound(minCapacityShare)},
		{prefix: "batch/", metric: "run-commits-per-item", bound: experiment.UpperBound(maxCommitsPerItem)},
		{prefix: "batch/EngineLoss", metric: "lost-s", bound: experiment.UpperBound(maxEngineLossSeconds)},
		{prefix: "batch/LeaderLoss", metric: "items-run-twice", bound: experiment.UpperBound(0)},
	}
}

// ApplyBounds sets the bound of each measure of a Go benchmark that has a target.
func ApplyBounds(measures []experiment.Measure) {
	all := benchmarkTargets()
	for i := range measures {
		at := slices.IndexFunc(all, func(t benchmarkTarget) bool { return t.matches(measures[i].Name) })
		if at >= 0 {
			measures[i].Bound = all[at].bound
		}
	}
}
