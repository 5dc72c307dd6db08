// Package route chooses the upstream for each attempt of a request.
//
// A request with prompt prefix hashes goes to the first upstream in the prefix's
// rendezvous hashing order whose cost is within a bound, so that it reuses the
// prompt blocks cached there. Other requests go to the cheaper of two random
// upstreams. Upstreams in the entry's own data centre are preferred while one of
// them has capacity.
//
// The load of an upstream is the load that it last reported plus the attempts
// that this selector has in flight there. An upstream that fails repeatedly is
// ejected, each time for longer, and regains its share of the load gradually. At
// most half of a service's upstreams are ejected at a time.
package route
