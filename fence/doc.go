// Package fence runs in the sidecar and executes the orders for one upstream.
//
// Some upstreams do not check fencing numbers, so the sidecar checks them for
// every upstream:
//
//   - After each start of the sidecar, no order is executed before a
//     quorum-confirmed read has returned the highest number ever issued.
//   - Only an order that a quorum-confirmed read returns as outstanding is
//     executed. A fencing number in any other message only triggers a read.
//   - An order whose outcome is unknown, or that an earlier process of the
//     sidecar may have sent, is checked at the upstream before it is sent again.
//   - The fencing numbers of executed orders never decrease; an order with an
//     old number is ignored and counted.
//
// A leader that is partitioned from the majority cannot issue an order, because
// an order is a committed command. A number in its messages only triggers a
// read, which a majority must confirm.
package fence
