// Package bench lists all experiments and sets the targets of the metrics that
// Go benchmarks report.
package bench
