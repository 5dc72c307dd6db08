// Package gate implements the state machine of an entry. For each online request
// it decides on admission, the upstream, retries, hedges and the final outcome.
//
// A request that passes the limits of its caller is sent to an upstream. A
// non-idempotent request with an idempotency key first claims that key at the
// control replicas. The response of the attempt that delivers the first byte is
// relayed to the caller; other attempts are aborted.
//
// The contract between the core (this package) and the daemon, which does the
// I/O:
//
//   - Each RequestArrived leads to exactly one Finish. A request that fails is
//     finished immediately, without waiting for attempts that still run.
//   - The daemon reports AttemptEnded once for each Send that was not aborted. It
//     reports OUTCOME_NOT_RUN only if no engine can have seen the attempt: the
//     sidecar reported that, or nothing of the attempt was written.
//   - The daemon performs each Send once, on a stream of its own. AttemptEnded
//     describes only what was received on that stream.
//   - Until the Finish of a request, the daemon relays only frames of the attempt
//     that it reported FirstByte for.
//   - A FirstByte or AttemptEnded for an attempt that the core no longer knows
//     is late. The core ignores it and emits InputDropped, which is counted.
//
// A request is sent again if it is certain that no attempt has run, or if it is
// idempotent and nothing was relayed. Once a part of a response was relayed,
// only an idempotent and resumable request is sent again, from the position
// reached. A non-idempotent request is sent again only after OUTCOME_NOT_RUN or
// REASON_WRONG_INCARNATION. Retries and hedges share one budget per service.
//
// A request whose claim was granted continues when its caller disconnects, so
// that the caller gets the recorded response when it repeats the request.
//
// While the entry is not ready, the profiles in force are not known, and new
// requests are refused with OUTCOME_NOT_RUN. Requests admitted before continue.
package gate
