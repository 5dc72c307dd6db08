package capacity

import (
	"runtime"
)

// Measure measures all slopes. It runs Go code on one processor meanwhile, so
// that processor times add up; nothing else may run in the process.
func Measure(seed uint64, progress func(part string)) ([]Slope, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var slopes []Slope
	parts := []struct {
		name string
		run  func() []Slope
	}{
		{"configuration", configSlopes},
		{"spreading", func() []Slope { return spreadSlopes(seed) }},
		{"members", memberSlopes},
		{"entry", func() []Slope { return gateSlopes(seed) }},
		{"sidecar", sidecarSlopes},
		{"leases", func() []Slope { return leaseSlopes(seed) }},
		{"replicated log", func() []Slope { return quorumSlopes(seed) }},
	}
	for _, part := range parts {
		progress(part.name)
		slopes = append(slopes, part.run()...)
	}
	progress("batch")
	jobs, err := batchSlopes()
	return append(slopes, jobs...), err
}
