// Package fence carries out the orders for one upstream, at the sidecar.
//
// An upstream may not check fencing numbers, so the sidecar does it for all:
//
//   - Nothing is carried out before a quorum-confirmed read has told the highest
//     number that was ever issued, also not after a restart.
//   - Only an order that a quorum-confirmed read shows as outstanding is
//     carried out. What other messages say about orders is a hint to read.
//   - An order whose outcome is not known, and one that an earlier incarnation
//     may have begun, is examined at the upstream before it is sent again.
//   - The number of the order that was begun last only grows; an older order is
//     refused and counted.
//
// A leader that was cut off can issue no order, since an order is a committed
// command, and its hints lead to reads that a majority answers.
package fence
