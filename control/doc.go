// Package control is the state machine of the replicated log: it hands each
// command to the table that it concerns, and answers queries.
//
// State implements the state machine that package quorum/replica drives. All
// of its content is in the key-value state; equal logs give equal states.
// Log time is the wall clock of the proposing leaders, made monotonic here.
// Apply runs on one goroutine; Query and UpdateSince are safe on any other
// with a reader of its own, as far as the batch state's Query is.
package control
