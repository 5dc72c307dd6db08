package capacity

import (
	"runtime"
)

// Measure measures all costs and calls progress before each part. Meanwhile it
// limits Go code to one processor, so that processor times add up. Nothing else
// may run in the process.
func Measure(seed uint64, progress func(part string)) ([]CostSeries, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var costs []CostSeries
	measurements := []struct {
		name string
		run  func() []CostSeries
	}{
		{"configuration", configCosts},
		{"spreading", func() []CostSeries { return spreadCosts(seed) }},
		{"members", memberCosts},
		{"entry", func() []CostSeries { return gateCosts(seed) }},
		{"sidecar", sidecarCosts},
		{"leases", func() []CostSeries { return leaseCosts(seed) }},
		{"replicated log", func() []CostSeries { return quorumCosts(seed) }},
	}
	for _, part := range measurements {
		progress(part.name)
		costs = append(costs, part.run()...)
	}
	progress("batch")
	jobCosts, err := batchCosts()
	return append(costs, jobCosts...), err
}
