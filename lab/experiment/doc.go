// Package experiment defines measurements with bounds, how they are printed,
// kept and drawn. An experiment is one function; the list of all of them is in
// package lab/bench. Go benchmarks take part by b.ReportMetric: see
// ParseGoBench.
package experiment
