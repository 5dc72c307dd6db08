// Package batch runs batch jobs. Each item of an accepted job gets exactly one
// committed result, and a cancelled job stops.
//
// The package has four parts, none of which uses a clock, socket or file:
//
//   - State is the replicated state machine. It holds jobs, items and results,
//     and is changed only by committed commands.
//   - Scheduler runs on the leader. It holds the leases in memory, decides which
//     job is served next, and proposes results, claims, aborts and expiries.
//   - Worker runs in a sidecar. It pulls items, renews their leases, and keeps
//     each result until the leader reports it as settled.
//   - Intake reads a job in the OpenAI batch format as a stream.
//
// # Guarantees
//
// A job is acknowledged once its JobAccept command is committed; until then none
// of its items runs. The first committed result of an item wins. Later results
// are counted as duplicates, and results of a job that is not running are
// refused. The command that commits the last result of a job also completes the
// job, so that the log decides whether a cancellation or the completion came
// first.
//
// # Repeats
//
// What bounds the runs of an idempotent item is recorded in State, so that it outlives the leader:
// its failed runs, those that were refunded, and those whose worker was lost. The item is not leased
// again before the record is committed, and a worker keeps a failure until then, so that it reports
// it to a new leader otherwise. An item that fails at each run therefore runs at most MaxAttempts
// times, and as often again
//
//   - for failures that are refunded, at most MaxAttempts times,
//   - for runs whose worker is lost, at most MaxAttempts + extraLosses times, and
//   - once for each loss of a worker, or lease that it is told to give up, that falls together with a
//     change of leader, so that no leader counts the run.
//
// # Leases
//
// Leases are not replicated. A new leader gives the workers half a lease time to
// report the leases that they hold and adopts those; an idempotent item whose
// lease was not reported may run again. A non-idempotent item is claimed by an
// ItemsStart command before it is handed out. It runs again only if its worker
// is known not to have started it; if the worker is lost after the claim, the
// item ends as a failure with status 0.
//
// State.Apply, State.Restore and the Scheduler must be called from one
// goroutine. State.Query may be called from any goroutine.
package batch
