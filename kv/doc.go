// Package kv defines the ordered key-value storage beneath the agreed state,
// with an implementation on disk (pebble) and one in memory.
//
// Reads return no errors: a storage that cannot read what it has acknowledged
// breaks an invariant, so implementations panic with a Fault, which stops the
// process before it can answer from damaged data.
package kv
