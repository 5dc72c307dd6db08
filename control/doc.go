// Package control is the state machine of the control group: it dispatches each
// command of the replicated log, and each query, to the table that handles it.
//
// State implements replica.StateMachine. All of its content, except what the
// batch state caches in memory, is in the key-value store; equal logs give equal
// states. Log time is the wall clock of the proposing leaders, made monotonic here.
// Apply must run on one goroutine. Query and UpdateSince may run concurrently on
// others, each with its own reader; for Query, the batch state must allow it.
package control
