// Package core defines the boundary between decisions and I/O.
//
// Every process role of briarcross is a deterministic state machine, called a
// core, driven by host code that does the I/O. A core keeps its state in tables
// and changes it only in Step, which handles one input, and Tick, which runs the
// time-dependent work over the tables in a fixed order. Every effect that a
// core requests (a message, a write, a request, a response) is a typed value
// in its outbox.
//
// The contract of a core:
//
//   - It reads no clock, starts no goroutine, and touches no socket or file.
//     The time is an argument, randomness a seeded source.
//   - Equal inputs in equal order give equal outputs. A core does not range
//     over a map where the order could reach its outbox.
//   - One goroutine owns a core. Step and Tick never block.
//   - A write that a response depends on is confirmed by a later input; the
//     core puts the response into the outbox only after that.
//   - The cost of a tick with nothing due does not grow with the tables: expiry
//     times are kept in Deadlines, not found by scanning.
//
// The contract of host code: it calls Drain after every Step and Tick, executes
// the outputs in order, and passes their completions to the core as inputs.
package core
