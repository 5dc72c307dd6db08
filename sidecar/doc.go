// Package sidecar decides what one engine runs and when.
//
// A sidecar stands beside each engine and is the only way to it. The engine
// knows no priorities and admits requests as they come, so the queue, the
// priorities and the concurrency window are kept here.
//
// The contract between the core and its shell:
//
//   - Each Submit leads to exactly one final answer. Either the core emits
//     Refuse, or the shell answers when it reports Ended. After a Refuse the
//     shell answers nothing more for that submission.
//   - A Refuse with the reason duplicate belongs to the submission that caused
//     it. The first submission with this ID goes on and keeps its stream.
//   - Start is the only output that lets an engine see a request. The outcome
//     not-run is given only to submissions that had no Start.
//   - Stop asks for an Ended, which frees the place. The shell reports an
//     Ended for each Start, whether it was stopped or not.
//   - A batch item that was stopped to make room waits here (Requeued) and is
//     started again later, unless it is given back to its job (GiveBack).
//   - A non-idempotent item is never stopped to make room.
//
// Online work is served by priority and then by the time at which its first
// token is due. Batch work takes the places that are left within the harm that
// the profile allows.
package sidecar
