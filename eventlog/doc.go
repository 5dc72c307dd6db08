// Package eventlog writes one structured log line for each decision that affects
// a request or changes the state that a daemon acts on.
//
// Lines are JSON on standard output. Logging never blocks: lines go through a
// bounded buffer to one background writer. If the buffer is full, lines are
// dropped, and a line of their own reports how many.
package eventlog
