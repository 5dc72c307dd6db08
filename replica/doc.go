// Package replica runs one quorum core with its goroutines, clock and storage.
//
// The log, term, membership and state machine share one kv.Store. One goroutine
// owns the core. A writer goroutine commits all writes that were queued during
// the previous sync as one batch with one sync, while the core continues. An
// apply goroutine applies committed commands and commits their effects together
// with the applied index, without a sync; after a crash the log is replayed from
// the last applied index on disk. Another goroutine reads snapshots for replicas
// that lag behind.
//
// The data folder holds an identity file beside the store. The file contains the
// replica's ID, its group and the random identity that the other replicas
// associate with this folder. A folder whose store was emptied gets a new
// identity and must be added to the group again. A copied folder is rejected.
package replica
