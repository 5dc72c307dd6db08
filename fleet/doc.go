// Package fleet merges the heartbeats of upstreams into a table.
//
// A heartbeat may reach any control replica, late and out of order. The table's
// state depends only on which heartbeats arrived, not on their order or path: a
// later start of an upstream supersedes an earlier one, a higher sequence number
// supersedes a lower one, and a deregistered upstream stays Gone until it starts
// again, or is heard long after that. Of two upstreams at one address, the one with the later start time has it,
// and the other one is Gone. If the start times do not tell that, both stay in the
// table, the one that was heard last has the address, and the other one counts as
// silent: this is derived from the table and never stored.
package fleet
