// Package fleet merges the heartbeats of upstreams into a table.
//
// A heartbeat may reach any control replica, late and out of order. The table's
// state depends only on which heartbeats arrived, not on their order or path: a
// later start of an upstream supersedes an earlier one, a higher sequence number
// supersedes a lower one, and a deregistered upstream stays Gone until it starts
// again. Of two upstreams at one address, the one that started later has it. If their
// start times do not tell that, the one that was heard last has it, until the other is
// heard again: only this depends on the order of arrival.
package fleet
