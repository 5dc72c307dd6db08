package bench

import (
	"slices"

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

// bounds are the stated targets of metrics that Go benchmarks report, by the
// names that experiment.ParseGoBench gives them.
func bounds() []target {
	return []target{}
}

type target struct {
	name  string
	bound *experiment.Bound
}

// ApplyBounds sets the stated targets on measures of Go benchmarks.
func ApplyBounds(measures []experiment.Measure) {
	targets := bounds()
	for i := range measures {
		at := slices.IndexFunc(targets, func(t target) bool { return t.name == measures[i].Name })
		if at >= 0 {
			measures[i].Bound = targets[at].bound
		}
	}
}
