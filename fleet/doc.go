// Package fleet merges the heartbeats of upstreams into a table.
//
// A heartbeat may reach any control replica, late and out of order. The table's
// state depends only on which heartbeats arrived, not on their order or path: a
// later start of an upstream supersedes an earlier one, a higher sequence number
// supersedes a lower one, and a deregistered upstream stays Gone until it starts
// again.
package fleet
