// Package entrynode serves callers: it matches their requests against the routing
// table, sends them to upstreams, and streams the responses back. Batch jobs go to
// the storage group. An entry keeps no durable state.
package entrynode
