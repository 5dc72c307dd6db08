// Package entrynode serves callers: it matches their requests with the routing
// table, places them at upstreams, and relays the answers as they come. Batch
// jobs go to the storage group. An entry keeps no durable state.
package entrynode
