// Package bench lists all experiments and the targets of measurements that Go
// benchmarks report.
package bench
