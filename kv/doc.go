// Package kv defines the ordered key-value store beneath the replicated state, and
// implements it on disk (with Pebble) and in memory.
//
// Reads return no errors. A store that cannot read what it has acknowledged breaks
// an invariant, so implementations panic with a StorageError. The panic stops the
// process before it can serve damaged data.
package kv
