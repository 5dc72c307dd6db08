// Package fleet is the table of upstreams as their heartbeats describe them.
//
// Heartbeats reach any control replica, late and out of order. The table is
// the merge of all of them, so that its state depends only on which heartbeats
// were seen, not on the way they took: a later start of an upstream supersedes
// an earlier one, a higher sequence number a lower one, and an upstream that
// left stays gone until it starts again.
package fleet
