// Package jobpages stores batch jobs whose results are read in pages, by
// position.
//
// A job is accepted as a whole, once. Each item gets exactly one result, which
// takes the next free position of its job and never moves. State is the
// replicated state machine: only commands of the log change it, so every replica
// has the same positions. Scheduler is the volatile state of the leader: which
// items run, and in which order the others start.
package jobpages
