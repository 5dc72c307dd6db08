// Package placement decides which upstream loads which model or adapter. It runs
// on the control leader, compares what the services need with what the upstreams
// report, and issues orders through the replicated log.
//
// At most one order is outstanding for each upstream; the replicated state
// enforces this as well. An upstream that serves a service gets an order only
// while at least the service's minimum of other upstreams serve it; an upstream
// that serves nothing may get an order at any time. The token bucket of the weight
// store in the replicated state limits the rate of loads.
package placement
