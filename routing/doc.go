// Package routing provides the routing table, which maps the host and path of a
// request to a route: the services, limits and retry rules that apply to it.
//
// A table is one complete, versioned configuration. Build validates it; it must
// not be changed afterwards.
package routing
