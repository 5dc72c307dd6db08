// Package spread brings accepted configuration into force on every daemon.
//
// A Publisher runs on each control replica. Daemons subscribe to any replica
// with the revision that they hold and get the documents that follow, then
// each later change as it is applied, and heartbeats in between. An update is
// marked confirmed when a quorum confirmed, within the lease time, that the
// replica holds everything accepted; for the first confirmed update of a
// subscription the confirmation starts after the subscription arrived.
//
// A Subscriber runs on each entry and sidecar. It is ready only while it
// holds a confirmed revision whose lease has not lapsed. It leaves a replica
// whose updates stay unconfirmed, and a replica that stays behind a revision
// seen in a message of another daemon, so that a replica that is cut off from
// its group is noticed from both sides. The revision in force never
// decreases: an older update is dropped, and one that leaves a gap makes the
// Subscriber subscribe again.
//
// Both types follow the contract of package core. The shell answers each
// ConfirmWanted with exactly one Confirmed or ConfirmFailed, builds the
// update of each Send from its state at the time of sending, and copies the
// fields Confirmed and Lease into it.
package spread
