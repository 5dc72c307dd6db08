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

// processorCountSuffix is the suffix that go test adds to the names of benchmarks.
var processorCountSuffix = regexp.MustCompile(`-\d+$`)

// packagePrefix precedes the package in a line that names it.
const packagePrefix = "pkg: github.com/briarcross/briarcross/"

// ParseGoBench reads the output of go test -bench. Each metric of a benchmark
// gives one measure named PACKAGE/BENCHMARK/UNIT, where BENCHMARK is without
// the word Benchmark; the unit of a metric from b.ReportMetric is its name.
// Several runs of one benchmark give the median.
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
				break // A line of a log that begins like a result.
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

// Median returns the median of values; it panics without any.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
