package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/briarcross/briarcross/lab/experiment"
)

// cpuMeter sums the processor time that the process uses in one part of a
// measurement, including garbage collection. Nothing else may run in the process.
type cpuMeter struct{ used time.Duration }

func (m *cpuMeter) measure(work func()) {
	before := processCPUTime()
	work()
	m.used += processCPUTime() - before
}

func (m *cpuMeter) microseconds() float64 { return float64(m.used) / float64(time.Microsecond) }

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // The arguments are constant and valid.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// CostSeries holds measurements of one cost at several sizes, and the line fitted
// to them.
type CostSeries struct {
	Name  string
	XUnit string
	YUnit string
	X, Y  []float64
	Fit   experiment.Fit
}

func newCostSeries(name, yUnit, xUnit string) *CostSeries {
	return &CostSeries{Name: name, XUnit: xUnit, YUnit: yUnit}
}

func (s *CostSeries) add(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

// fitAll fits a line to each series and returns the series.
func fitAll(series ...*CostSeries) []CostSeries {
	var fitted []CostSeries
	for _, s := range series {
		s.Fit = experiment.FitLine(s.X, s.Y)
		fitted = append(fitted, *s)
	}
	return fitted
}
