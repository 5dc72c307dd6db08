// Package experiment defines measures with bounds, and prints, stores and draws
// them. An experiment is one function; package lab/bench lists all experiments.
// Go benchmarks contribute measures through b.ReportMetric: see ParseGoBench.
package experiment
