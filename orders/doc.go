// Package orders is the replicated table of orders to upstreams. An order loads
// or unloads a model or an adapter, or changes the role of the upstream.
//
// Each accepted order gets a fencing number, which grows for each upstream and
// is never reused. An upstream has at most one outstanding order, which must be
// finished, as done or as failed, before the next order is issued. A token
// bucket limits the rate at which loads read from the weight store. The bucket
// is part of the replicated state, so that the limit also holds across a change
// of leader.
package orders
