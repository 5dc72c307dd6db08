// Package orders keeps the replicated table of orders to upstreams: loading
// and unloading of models and adapters, and changes of role.
//
// Each accepted order gets a fencing number that grows for its upstream and
// is never used again. An upstream has at most one outstanding order; it is
// finished, as done or as failed, before the next one is issued. Loads share
// the rate of the weight store through a token bucket in the same state, so
// that the limit also holds across a change of leader.
package orders
