// Package eventlog writes one structured line for each decision that touches
// a request or changes what a process believes.
//
// Lines are JSON on standard output. Writing never blocks a decision: lines
// wait in a bounded buffer for one writer, and those that find it full are
// dropped and counted in a line of their own.
package eventlog
