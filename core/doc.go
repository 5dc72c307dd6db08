// Package core defines the seam between decisions and I/O.
//
// Every role of briarcross is a deterministic state machine, called a core,
// inside a shell. A core keeps its entities in tables and advances only by
// Step, which handles one input, and Tick, which runs its systems over the
// tables in a fixed order. Everything that a core wants done is put in its
// outbox as a typed value: messages, writes, calls and answers.
//
// The contract of a core:
//
//   - It reads no clock, starts no goroutine, and touches no socket or file.
//     The time is an argument, randomness a seeded source.
//   - Equal inputs in equal order give equal outputs. A core does not range
//     over a map where the order could reach its outbox.
//   - One goroutine owns a core. Step and Tick never block.
//   - A write that an answer depends on is confirmed by a further input; the
//     answer leaves the outbox only after that.
//   - An idle tick costs nothing that grows with the tables: expiry is kept in
//     Deadlines, not found by scanning.
//
// The contract of a shell: it calls Drain after every Step and Tick, carries
// the outputs out in order, and feeds their completions back as inputs.
package core
