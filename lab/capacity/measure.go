package capacity

import (
	"runtime"
)

// Measure measures all slopes. It runs Go code on one processor meanwhile, so
// that processor times add up; nothing else may run in the process.
func Measure(seed uint64, progress func(part string)) ([]CostSeries, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var slopes []CostSeries
	parts := []struct {
		name string
		run  func() []CostSeries
	}{
		{"configuration", configSlopes},
		{"spreading", func() []CostSeries { return spreadSlopes(seed) }},
		{"members", memberSlopes},
		{"entry", func() []CostSeries { return gateSlopes(seed) }},
		{"sidecar", sidecarSlopes},
		{"leases", func() []CostSeries { return leaseSlopes(seed) }},
		{"replicated log", func() []CostSeries { return quorumSlopes(seed) }},
	}
	for _, part := range parts {
		progress(part.name)
		slopes = append(slopes, part.run()...)
	}
	progress("batch")
	jobs, err := batchSlopes()
	return append(slopes, jobs...), err
}
