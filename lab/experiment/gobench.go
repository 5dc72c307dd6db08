package experiment

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// processorCountSuffix matches the value of GOMAXPROCS that go test appends to
// the names of benchmarks.
var processorCountSuffix = regexp.MustCompile(`-\d+$`)

// packagePrefix starts the line in which go test names the package.
const packagePrefix = "pkg: github.com/briarcross/briarcross/"

// ParseGoBench reads the output of go test -bench. Each metric of a benchmark
// becomes one measure named PACKAGE/BENCHMARK/UNIT, where BENCHMARK omits the
// prefix Benchmark. The unit of a metric from b.ReportMetric is its name.
// If a benchmark ran several times, the measure holds the median.
func ParseGoBench(r io.Reader) ([]Measure, error) {
	scanner := bufio.NewScanner(r)
	pkg := ""
	var names []string
	values := make(map[string][]float64)
	units := make(map[string]string)
	for scanner.Scan() {
		line := scanner.Text()
		if rest, ok := strings.CutPrefix(line, packagePrefix); ok {
			pkg = rest
			continue
		}
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		benchmark := pkg + "/" + strings.TrimPrefix(processorCountSuffix.ReplaceAllString(fields[0], ""), "Benchmark")
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				break // A log line that starts like a benchmark result.
			}
			name := benchmark + "/" + strings.ReplaceAll(fields[i+1], "/", "-per-")
			if _, ok := values[name]; !ok {
				names = append(names, name)
			}
			values[name] = append(values[name], value)
			units[name] = fields[i+1]
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "experiment: read go test -bench output")
	}
	var measures []Measure
	for _, name := range names {
		measures = append(measures, Measure{Name: name, Value: Median(values[name]), Unit: units[name]})
	}
	return measures, nil
}

// Median returns the median of values. It panics if values is empty.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
