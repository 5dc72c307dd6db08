// Package route chooses the upstream for each attempt of a request.
//
// A request with a known prompt prefix goes to the upstream that rendezvous
// hashing names for the prefix, so that its cached blocks are found again,
// unless this upstream's load is above a bound; then to the next by the same
// order. Other requests go to the better of two random upstreams. Upstreams of
// the own data centre come first while one of them has room.
//
// The load of an upstream is what its answers report, corrected by what this
// table has sent since. Upstreams that fail repeatedly are ejected for a growing
// time and get their share back gradually. At most half of the upstreams of a
// service are ejected at a time.
package route
