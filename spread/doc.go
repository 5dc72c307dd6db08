// Package spread distributes accepted configuration to all daemons.
//
// A Publisher runs on each control replica. A daemon subscribes to any replica,
// starting from the revision that it holds, and receives the documents that
// changed since, then each later change when the replica applies it, and
// heartbeats in between. An update is marked confirmed if a quorum has confirmed,
// within the lease duration, that the replica has applied everything accepted.
// The confirmation for the first confirmed update of a subscription must have
// been requested after the subscription arrived.
//
// A Subscriber runs on each entry and sidecar. It is ready only while it holds a
// confirmed revision whose lease has not expired. It switches to another replica
// if updates stay unconfirmed, or if the replica stays behind a revision that a
// message of another daemon has shown. So both the replica and its subscribers
// detect that the replica is partitioned from its group. The revision in force
// never decreases: the Subscriber drops older updates, and subscribes again if
// an update does not follow its revision.
//
// Both types follow the contract of package core. The host code responds to each
// RequestConfirmation with exactly one Confirmed or ConfirmationFailed. It builds
// the update of each SendUpdate from its state at the time of sending, and copies
// Confirmed and LeaseRemaining into it.
package spread
