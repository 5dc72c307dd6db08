// Package quorum is the replicated log: a deterministic core in the manner of
// Raft with terms, pre-vote, check-quorum, read-index, pipelined append,
// single-step membership changes through learners, chunked snapshots and
// automatic repair.
//
// A Core follows the contract of package core. The shell owes it this:
//
//   - Save outputs are written in order and reported with Saved once they are
//     on stable storage; several may share one sync. A message that depends on
//     a write is held in the core until then.
//   - Apply and Install outputs are carried out in order and reported with
//     Applied and Installed.
//   - Send outputs may be lost, delayed, repeated or reordered.
//   - Entries and messages that pass through the core are read-only.
//
// Time passes only by Tick. All timeouts count ticks, so a jump of the wall
// clock has no influence on elections and reads; the clock only stamps entries.
//
// # Identity
//
// A replica is named by its ID and by the random identity of its data folder.
// Requests name the identity that they are meant for and are dropped by any
// other; replies count only when they come from the identity that the
// membership binds. So a replica whose folder was emptied is a new replica.
// The identities of the first members are bound before the first election:
// each member durably binds the first identity that it hears from each peer,
// and takes part only after all members announced one and the same complete
// list.
package quorum
