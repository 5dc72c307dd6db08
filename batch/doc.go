// Package batch runs batch jobs: every accepted item completes exactly once,
// and a cancelled job stops.
//
// The package has four parts, none of which touches a clock, socket or file:
//
//   - State is the replicated part. It holds jobs, items and results, and is
//     changed only by committed commands.
//   - Scheduler is the leader's core. It holds the leases in memory, orders
//     the jobs, and proposes results, claims, aborts and expiries.
//   - Worker is the core of a sidecar. It pulls leases, renews them, and keeps
//     each result until the leader says that it is settled.
//   - Intake reads a job in the OpenAI batch format as a stream.
//
// # Contract
//
// A job is acknowledged by the commit of its JobAccept command; until then no
// item of it runs. The first committed result of an item wins. Later ones are
// counted as duplicates, and results of a job that is not running are refused.
// A job whose items are all committed is completed by that same command, so
// that a cancel and a completion have one order, that of the log.
//
// Leases are not replicated. A new leader gives the workers half a lease time to
// report what they hold and adopts it; an idempotent item whose lease was
// forgotten may run again. A non-idempotent item is claimed by an ItemsStart
// command before it is handed out, and runs again only after its holder has
// proved that it did not start; an item that was claimed and then lost ends
// as a failure with status 0.
//
// State.Apply, State.Restore and the Scheduler are called from one goroutine.
// State.Query may be called from any.
package batch
