// Package sidecar schedules the requests and batch items of one engine.
//
// Each engine has one sidecar, and all its work passes through it. Engines
// admit requests in the order of arrival and know no priorities, so the sidecar
// keeps the queues, the priorities and the concurrency window.
//
// The contract between the core and its host code, the sidecar daemon:
//
//   - Each Submit leads to exactly one final response. Either the core emits
//     Refuse, or the daemon responds when it reports RunEnded. After a Refuse
//     the daemon sends no further response for that submission.
//   - A Refuse with the reason duplicate belongs to the submission that caused
//     it. The first submission with this ID continues and keeps its stream.
//   - Start is the only output that sends a request to the engine. The outcome
//     not-run is given only to submissions that had no Start.
//   - The daemon reports one RunEnded for each Start, with or without a Stop.
//     RunEnded frees the slot in the window.
//   - A preempted batch item waits in the sidecar (Requeued) and is started
//     again later, unless it is released to its job (ReleaseItem).
//   - A non-idempotent item is never preempted.
//
// Online requests are started by priority and then by the time at which their
// first token is due. Batch items use the remaining slots, as far as the online
// latency that they add stays within the bound of the profile (HarmPermille).
package sidecar
