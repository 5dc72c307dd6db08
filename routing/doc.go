// Package routing holds the routing table: which route a request belongs to,
// and what the route allows.
//
// A table is a whole, versioned configuration. It is checked once, when it is
// built, and never changes afterwards.
package routing
