// Package quorum implements a replicated log as a deterministic core. It
// follows Raft with pre-vote, check-quorum, read-index, pipelined append,
// single-step membership changes through learners, chunked snapshots and
// automatic replacement of lost replicas.
//
// A Core follows the contract of package core. The host code that drives it must
// keep these rules:
//
//   - Carry out Save outputs in order and report each with Saved once it is on
//     stable storage; several may share one sync. The core holds back every
//     message that depends on a write until then.
//   - Carry out Apply and InstallSnapshot outputs in order and report them with
//     Applied and SnapshotInstalled.
//   - Send outputs may be lost, delayed, duplicated or reordered.
//   - Log entries and messages that pass through the core are read-only.
//
// All timeouts count calls of Tick, so a jump of the wall clock does not affect
// elections and reads; the wall clock only sets the timestamps of log entries.
//
// # Identity
//
// A replica is identified by its ID and by the random identity of its data
// folder. A replica drops requests that name another identity than its own, and
// counts replies only from the identity that the membership binds to the
// sender's ID. A replica whose data folder was emptied is therefore a new
// replica.
//
// The identities of the first members are bound before the first election:
// each member durably binds the first identity that each peer announces, and
// takes part in elections only after all members have announced the same
// complete membership.
package quorum
