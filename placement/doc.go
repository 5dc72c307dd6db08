// Package placement decides which upstream loads what. It runs on the control
// leader, compares what the services need with what the upstreams report, and
// issues orders through the replicated log.
//
// At most one order is outstanding for each upstream, which the agreed state
// enforces as well. An upstream that serves a service is given up to a change
// only while the others that serve it are at least the service's minimum; an
// upstream that serves nothing may be changed at any time. Loads are paced by
// the token bucket of the weight store in the agreed state.
package placement
