// Package replica runs one quorum core with its goroutines, clock and storage.
//
// Log, term, membership and the state of the machine share one kv.Store. One
// goroutine owns the core. A writer goroutine puts everything that queued up
// during the last sync into one batch with one sync, while the core goes on.
// An apply goroutine runs committed commands and commits their effects,
// unsynced, together with the applied index: after a crash the log is replayed
// from there. Another goroutine reads snapshots for replicas that lag.
//
// The data folder holds an identity file beside the storage. It names the
// replica and its group and carries the random identity by which the other
// replicas know this folder. A folder whose storage was emptied gets a new
// identity and has to be added again; a copied folder is refused.
package replica
