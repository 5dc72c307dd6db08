package controld

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// statmFile holds the memory sizes of this process in pages.
const statmFile = "/proc/self/statm"

// registerProcessUsage registers the metrics of this process's CPU time and
// memory.
func registerProcessUsage(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "briarcross_control_cpu_seconds_total",
			Help: "CPU time that the process has taken, in seconds.",
		}, cpuSeconds),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "briarcross_control_memory_bytes",
			Help: "Memory of the process that is resident, in bytes.",
		}, memoryBytes),
	)
}

// cpuSeconds returns the user and system CPU time of this process, or 0 if it
// cannot be read.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	cpuTime := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return cpuTime.Seconds()
}

// memoryBytes returns the resident memory of this process, or 0 if it cannot be
// read.
func memoryBytes() float64 {
	text, err := os.ReadFile(statmFile)
	if err != nil {
		return 0
	}
	const residentColumn = 1
	columns := strings.Fields(string(text))
	if len(columns) <= residentColumn {
		return 0
	}
	pages, err := strconv.Atoi(columns[residentColumn])
	if err != nil {
		return 0
	}
	return float64(pages * os.Getpagesize())
}
